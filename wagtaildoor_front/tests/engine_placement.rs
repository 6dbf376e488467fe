//! Where prompts go: patterns of load and of failure, without a network.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::{
    engine_placement::{
        self,
        BlockSource,
        EngineCandidate,
        EngineChoice,
        EnginePolicy,
        PlacementInput,
        PromptRequest,
        SharedPrefix,
        StoreCandidate, //
    },
    prefix_index::PrefixIndex,
};

/// Key of the store of cached blocks.
const STORE: u64 = 900;
/// Tokens of the shared part of a long prompt.
const SHARED: f64 = 5_400.0;

/// Work of reading 2,000 tokens behind the shared part: 20 tokens more for each of the
/// 7.4 x 7.4 - 5.4 x 5.4 million pairs.
const OWN_WORK: u64 = 2_512;

/// The figures of the deployments.
fn policy() -> EnginePolicy {
    EnginePolicy {
        prefill_tokens_per_ms: 90.0,
        pair_tokens_per_million: 20.0,
        queued_request_tokens: 2_000.0,
        running_ms: 0.7,
        over_slots_ms: 40.0,
        fetch_ms_per_1000: 2.0,
        new_copy_ms: 10.0,
        copy_own_share: 3.0,
        away_from_home_ms: 40.0,
        other_domain_ms: 15.0,
        failure_ms: 600.0,
        full_ms: 500.0,
        next_load_ms: 120.0,
        old_weights_free: Duration::from_millis(1_200),
        old_weights_ms: 150.0,
        old_weights_limit: Duration::from_millis(5_100),
    }
}

/// Idle engines, two in the host's failure domain and two in another, all on weights 1.
fn engines() -> Vec<EngineCandidate> {
    let engine = |key: u64| EngineCandidate {
        key,
        is_same_domain: key <= 2,
        domain: u64::from(key > 2),
        weights: 1,
        prefill_tokens: 0.0,
        waiting: 0.0,
        requests: 0.0,
        slots: 32.0,
        failure_rate: 0.0,
        is_full: false,
        rollout_wave: 0,
        is_excluded: false,
    };
    (1..=4).map(engine).collect()
}

/// A prompt with a shared part, under weights 1 and 2, and tokens of its own.
struct Prompt {
    /// Its prefixes by weights.
    prefixes: Vec<(u64, Vec<SharedPrefix>)>,
    /// Tokens of its own behind the shared part.
    own_tokens: f64,
    /// Tokens of its answer.
    answer_tokens: u64,
    /// Newest weights.
    wanted: u64,
    /// Time since they were named.
    wanted_age: Duration,
}

impl Prompt {
    /// A prompt whose shared part has an id.
    fn new(id: u64) -> Self {
        let chain = |weights: u64| {
            let outer = SharedPrefix {
                id: weights * 1_000_000 + 7,
                tokens: 500.0,
            };
            let inner = SharedPrefix {
                id: weights * 1_000_000 + id * 100,
                tokens: SHARED,
            };
            (weights, vec![outer, inner])
        };
        Self {
            prefixes: vec![chain(1), chain(2)],
            own_tokens: 2_000.0,
            answer_tokens: 60,
            wanted: 1,
            wanted_age: Duration::from_secs(60),
        }
    }

    /// Id of its shared part under weights.
    fn shared(&self, weights: u64) -> u64 {
        self.prefixes[weights as usize - 1].1[1].id
    }

    /// Its choice among engines.
    fn choose(
        &self,
        engines: &[EngineCandidate],
        prefix_index: &PrefixIndex,
    ) -> Option<EngineChoice> {
        let demand = PromptRequest {
            prefixes: &self.prefixes,
            tokens: SHARED + self.own_tokens,
            answer_tokens: self.answer_tokens,
            wanted: self.wanted,
            wanted_age: self.wanted_age,
        };
        let field = PlacementInput {
            engines,
            stores: &[StoreCandidate { key: STORE }],
            prefix_index,
            now: NOW,
        };
        engine_placement::choose_engine(&field, &demand, &policy())
    }
}

/// Time of the choices.
const NOW: BootInstant = BootInstant::ZERO;

#[test]
fn all_hosts_read_a_new_part_at_the_same_engine() {
    let engines = engines();
    for id in 0..50 {
        let prompt = Prompt::new(id);
        let here = prompt.choose(&engines, &PrefixIndex::default());
        let mut there = engines.clone();
        for engine in &mut there {
            engine.is_same_domain = !engine.is_same_domain;
        }
        let there = prompt.choose(&there, &PrefixIndex::default());
        assert_eq!(here.map(|c| c.index), there.map(|c| c.index), "part {id}");
    }
}

#[test]
fn a_part_that_is_held_is_not_read_again() {
    let engines = engines();
    let prompt = Prompt::new(1);
    for holder in [1, 2, 3, 4] {
        let mut prefix_index = PrefixIndex::default();
        prefix_index.record_holder(prompt.shared(1), holder, true, NOW);
        let choice = prompt.choose(&engines, &prefix_index).expect("a choice");
        assert_eq!(choice.prefill_tokens, OWN_WORK, "holder {holder}");
        let is_holder = engines[choice.index].key == holder;
        let fetched = choice.source == Some(BlockSource::Engine(holder as usize - 1));
        assert!(is_holder || fetched, "holder {holder}: {choice:?}");
    }
}

#[test]
fn a_hot_part_spreads_when_its_holder_is_busy() {
    let mut engines = engines();
    let prompt = Prompt::new(1);
    let mut prefix_index = PrefixIndex::default();
    prefix_index.record_holder(prompt.shared(1), 1, true, NOW);
    engines[0].prefill_tokens = 20_000.0;
    engines[0].requests = 9.0;
    let choice = prompt.choose(&engines, &prefix_index).expect("a choice");
    assert_ne!(choice.index, 0);
    assert_eq!(choice.source, Some(BlockSource::Engine(0)));
    assert_eq!(choice.prefill_tokens, OWN_WORK);
}

#[test]
fn a_part_that_is_being_read_is_waited_for_where_it_is_read() {
    let engines = engines();
    let prompt = Prompt::new(1);
    let mut prefix_index = PrefixIndex::default();
    prefix_index.record_holder(prompt.shared(1), 3, false, NOW);
    let choice = prompt.choose(&engines, &prefix_index).expect("a choice");
    assert_eq!(engines[choice.index].key, 3);
}

#[test]
fn an_engine_that_may_have_evicted_a_part_is_told_where_else_it_is() {
    let engines = engines();
    let prompt = Prompt::new(1);
    let mut prefix_index = PrefixIndex::default();
    prefix_index.record_holder(prompt.shared(1), 1, true, NOW);
    prefix_index.record_holder(prompt.shared(1), STORE, true, NOW);
    let choice = prompt.choose(&engines, &prefix_index).expect("a choice");
    assert_eq!(choice.index, 0);
    assert_eq!(choice.source, Some(BlockSource::Store(0)));
    assert_eq!(choice.copy_to, None, "the store has it");
}

#[test]
fn the_first_read_of_a_part_leaves_a_copy_in_the_store() {
    let choice = Prompt::new(1).choose(&engines(), &PrefixIndex::default());
    assert_eq!(choice.expect("a choice").copy_to, Some(0));
}

#[test]
fn engines_that_fail_or_refuse_get_less() {
    let prompt = Prompt::new(1);
    let mut prefix_index = PrefixIndex::default();
    prefix_index.record_holder(prompt.shared(1), 1, true, NOW);
    let spoil: [fn(&mut EngineCandidate); 3] = [
        |engine| engine.failure_rate = 0.6,
        |engine| engine.is_full = true,
        |engine| engine.is_excluded = true,
    ];
    for (case, spoil) in spoil.iter().enumerate() {
        let mut engines = engines();
        spoil(&mut engines[0]);
        let choice = prompt.choose(&engines, &prefix_index).expect("a choice");
        assert_ne!(choice.index, 0, "case {case}");
    }
}

#[test]
fn with_five_of_eighteen_engines_silent_the_others_share_the_load_evenly() {
    let mut engines: Vec<EngineCandidate> = (0..18)
        .map(|key| EngineCandidate {
            key: key + 1,
            ..engines()[0].clone()
        })
        .collect();
    for engine in engines.iter_mut().take(5) {
        engine.is_excluded = true;
    }
    let mut sent = [0_u32; 18];
    let mut prefix_index = PrefixIndex::default();
    for id in 0..130 {
        let prompt = Prompt::new(id);
        let choice = prompt.choose(&engines, &prefix_index).expect("a choice");
        prefix_index.record_holder(prompt.shared(1), engines[choice.index].key, true, NOW);
        sent[choice.index] += 1;
        engines[choice.index].prefill_tokens += choice.prefill_tokens as f64;
        engines[choice.index].requests += 1.0;
    }
    assert_eq!(sent[..5], [0; 5]);
    assert!(
        sent[5..].iter().all(|&count| (8..=12).contains(&count)),
        "{sent:?}"
    );
}

#[test]
fn a_part_whose_home_is_silent_gets_another_home_that_all_hosts_agree_on() {
    for id in 0..50 {
        let prompt = Prompt::new(id);
        let mut engines = engines();
        let first = prompt
            .choose(&engines, &PrefixIndex::default())
            .expect("a choice");
        engines[first.index].is_excluded = true;
        let here = prompt
            .choose(&engines, &PrefixIndex::default())
            .expect("a choice");
        assert_ne!(
            here.source,
            Some(BlockSource::Engine(first.index)),
            "part {id}"
        );
        for engine in &mut engines {
            engine.is_same_domain = !engine.is_same_domain;
        }
        let there = prompt
            .choose(&engines, &PrefixIndex::default())
            .expect("a choice");
        assert_eq!(here.index, there.index, "part {id}");
    }
}

#[test]
fn while_weights_are_rolled_out_old_ones_run_rather_than_wait_then_no_more() {
    let mut prompt = Prompt::new(1);
    prompt.wanted = 2;
    let mut engines = engines();
    engines[0].weights = 2;
    engines[0].prefill_tokens = 60_000.0;
    let cases = [(200, true), (3_000, true), (5_200, false), (60_000, false)];
    for (age_ms, may_be_old) in cases {
        prompt.wanted_age = Duration::from_millis(age_ms);
        let choice = prompt.choose(&engines, &PrefixIndex::default());
        let choice = choice.expect("a choice");
        assert_eq!(choice.weights == 1, may_be_old, "after {age_ms} ms");
    }
    engines[0].is_excluded = true;
    assert_eq!(prompt.choose(&engines, &PrefixIndex::default()), None);
}

#[test]
fn a_request_that_would_begin_after_the_limit_does_not_go_to_old_weights() {
    let mut prompt = Prompt::new(1);
    prompt.wanted = 2;
    prompt.wanted_age = Duration::from_millis(4_500);
    let mut engines = engines();
    assert!(prompt.choose(&engines, &PrefixIndex::default()).is_some());
    for engine in &mut engines {
        engine.prefill_tokens = 40_000.0;
    }
    assert_eq!(prompt.choose(&engines, &PrefixIndex::default()), None);
}

#[test]
fn a_long_answer_does_not_begin_where_weights_change_next() {
    let mut prompt = Prompt::new(1);
    prompt.wanted = 2;
    prompt.wanted_age = Duration::from_millis(100);
    let mut prefix_index = PrefixIndex::default();
    prefix_index.record_holder(prompt.shared(1), 1, true, NOW);
    let mut engines = engines();
    engines[0].rollout_wave = 1;
    for engine in &mut engines[1..] {
        engine.rollout_wave = 4;
    }
    let long = prompt.choose(&engines, &prefix_index).expect("a choice");
    assert_ne!(long.index, 0);
    assert_eq!(long.source, Some(BlockSource::Engine(0)));
    prompt.answer_tokens = 4;
    let short = prompt.choose(&engines, &prefix_index).expect("a choice");
    assert_eq!(short.index, 0, "it ends before the load");
}

#[test]
fn blocks_of_other_weights_are_not_fetched() {
    let mut prompt = Prompt::new(1);
    prompt.wanted = 2;
    let mut engines = engines();
    engines[3].weights = 2;
    let mut prefix_index = PrefixIndex::default();
    prefix_index.record_holder(prompt.shared(1), 1, true, NOW);
    let choice = prompt.choose(&engines, &prefix_index).expect("a choice");
    assert_eq!(choice.index, 3);
    assert!(
        !matches!(choice.source, Some(BlockSource::Engine(_))),
        "{choice:?}"
    );
}

#[test]
fn a_prompt_without_shared_parts_goes_to_the_least_busy_engine() {
    let mut engines = engines();
    for (index, engine) in engines.iter_mut().enumerate() {
        engine.prefill_tokens = 9_000.0 - 3_000.0 * index as f64;
    }
    let mut prompt = Prompt::new(1);
    prompt.prefixes.clear();
    let choice = prompt.choose(&engines, &PrefixIndex::default());
    assert_eq!(choice.expect("a choice").index, 3);
}

#[test]
fn work_behind_a_very_long_prompt_goes_to_several_shorter_ones_instead() {
    // Pattern: one caller in ten sends a prompt several times as long as the others. The time to
    // read it grows faster than its length, and all that comes to its engine waits so long.
    let idle = engines();
    let prefix_index = PrefixIndex::default();
    let work_of = |own_tokens: f64| {
        let prompt = Prompt {
            own_tokens,
            ..Prompt::new(1)
        };
        let choice = prompt.choose(&idle, &prefix_index).expect("an idle engine");
        choice.prefill_tokens as f64
    };
    let mut engines = vec![idle[0].clone(), idle[1].clone()];
    engines[0].prefill_tokens = work_of(40_000.0);
    engines[1].prefill_tokens = 3.0 * work_of(13_500.0);
    let mut chosen = [0; 2];
    for id in 2..30 {
        let choice = Prompt::new(id).choose(&engines, &prefix_index);
        chosen[choice.expect("an engine").index] += 1;
    }
    assert_eq!(
        chosen,
        [0, 28],
        "three prompts of a third of the length are read sooner"
    );
}
