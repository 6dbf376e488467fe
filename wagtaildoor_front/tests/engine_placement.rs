//! Placement of prompts under patterns of load and failure, without a network.

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
/// Tokens of a prompt's shared prefix.
const SHARED_TOKENS: f64 = 5_400.0;

/// Prefill work, in tokens, for the 2,000 prompt tokens after the shared prefix. Each million pairs
/// of prompt tokens adds 20 tokens, and there are 7.4 x 7.4 - 5.4 x 5.4 million pairs.
const OWN_PREFILL_WORK: u64 = 2_512;

/// The policy that the deployments use.
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
        outdated_for: Duration::ZERO,
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

/// A prompt with shared prefixes under weights 1 and 2, and tokens of its own.
struct Prompt {
    /// Prefixes by weights version.
    prefixes: Vec<(u64, Vec<SharedPrefix>)>,
    /// Tokens after the shared prefix.
    own_tokens: f64,
    /// Maximum number of response tokens.
    answer_tokens: u64,
    /// Newest version of the weights.
    wanted: u64,
    /// Time since that version was first wanted.
    wanted_age: Duration,
}

impl Prompt {
    /// Creates a prompt whose longest shared prefix derives from `id`.
    fn new(id: u64) -> Self {
        let chain = |weights: u64| {
            let outer = SharedPrefix {
                id: weights * 1_000_000 + 7,
                tokens: 500.0,
            };
            let inner = SharedPrefix {
                id: weights * 1_000_000 + id * 100,
                tokens: SHARED_TOKENS,
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

    /// Id of the longest shared prefix under a version of the weights.
    fn shared_id(&self, weights: u64) -> u64 {
        self.prefixes[weights as usize - 1].1[1].id
    }

    /// Places the prompt.
    fn choose(
        &self,
        engines: &[EngineCandidate],
        prefix_index: &PrefixIndex,
    ) -> Option<EngineChoice> {
        let request = PromptRequest {
            prefixes: &self.prefixes,
            tokens: SHARED_TOKENS + self.own_tokens,
            answer_tokens: self.answer_tokens,
            wanted: self.wanted,
        };
        let mut engines = engines.to_vec();
        for engine in engines
            .iter_mut()
            .filter(|engine| engine.weights < self.wanted)
        {
            engine.outdated_for = self.wanted_age;
        }
        let input = PlacementInput {
            engines: &engines,
            stores: &[StoreCandidate { key: STORE }],
            prefix_index,
            now: NOW,
        };
        engine_placement::choose_engine(&input, &request, &policy())
    }
}

/// Time of the decisions.
const NOW: BootInstant = BootInstant::ZERO;

#[test]
fn all_hosts_choose_the_same_engine_for_a_new_prefix() {
    let engines = engines();
    for id in 0..50 {
        let prompt = Prompt::new(id);
        let here = prompt.choose(&engines, &PrefixIndex::default());
        let mut there = engines.clone();
        for engine in &mut there {
            engine.is_same_domain = !engine.is_same_domain;
        }
        let there = prompt.choose(&there, &PrefixIndex::default());
        assert_eq!(here.map(|c| c.index), there.map(|c| c.index), "prefix {id}");
    }
}

#[test]
fn a_held_prefix_is_not_prefilled_again() {
    let engines = engines();
    let prompt = Prompt::new(1);
    for holder in [1, 2, 3, 4] {
        let mut prefix_index = PrefixIndex::default();
        prefix_index.record_holder(prompt.shared_id(1), holder, true, NOW);
        let choice = prompt.choose(&engines, &prefix_index).expect("a placement");
        assert_eq!(choice.prefill_tokens, OWN_PREFILL_WORK, "holder {holder}");
        let is_holder = engines[choice.index].key == holder;
        let fetched = choice.source == Some(BlockSource::Engine(holder as usize - 1));
        assert!(is_holder || fetched, "holder {holder}: {choice:?}");
    }
}

#[test]
fn a_prefix_is_copied_when_its_holder_is_busy() {
    let mut engines = engines();
    let prompt = Prompt::new(1);
    let mut prefix_index = PrefixIndex::default();
    prefix_index.record_holder(prompt.shared_id(1), 1, true, NOW);
    engines[0].prefill_tokens = 20_000.0;
    engines[0].requests = 9.0;
    let choice = prompt.choose(&engines, &prefix_index).expect("a placement");
    assert_ne!(choice.index, 0);
    assert_eq!(choice.source, Some(BlockSource::Engine(0)));
    assert_eq!(choice.prefill_tokens, OWN_PREFILL_WORK);
}

#[test]
fn a_prompt_waits_at_the_engine_that_is_prefilling_its_prefix() {
    let engines = engines();
    let prompt = Prompt::new(1);
    let mut prefix_index = PrefixIndex::default();
    prefix_index.record_holder(prompt.shared_id(1), 3, false, NOW);
    let choice = prompt.choose(&engines, &prefix_index).expect("a placement");
    assert_eq!(engines[choice.index].key, 3);
}

#[test]
fn an_engine_that_may_have_evicted_a_prefix_gets_another_source() {
    let engines = engines();
    let prompt = Prompt::new(1);
    let mut prefix_index = PrefixIndex::default();
    prefix_index.record_holder(prompt.shared_id(1), 1, true, NOW);
    prefix_index.record_holder(prompt.shared_id(1), STORE, true, NOW);
    let choice = prompt.choose(&engines, &prefix_index).expect("a placement");
    assert_eq!(choice.index, 0);
    assert_eq!(choice.source, Some(BlockSource::Store(0)));
    assert_eq!(choice.copy_to, None, "the store has it");
}

#[test]
fn the_first_prefill_of_a_prefix_is_copied_to_the_store() {
    let choice = Prompt::new(1).choose(&engines(), &PrefixIndex::default());
    assert_eq!(choice.expect("a placement").copy_to, Some(0));
}

#[test]
fn engines_that_fail_or_are_full_are_avoided() {
    let prompt = Prompt::new(1);
    let mut prefix_index = PrefixIndex::default();
    prefix_index.record_holder(prompt.shared_id(1), 1, true, NOW);
    let impairments: [fn(&mut EngineCandidate); 3] = [
        |engine| engine.failure_rate = 0.6,
        |engine| engine.is_full = true,
        |engine| engine.is_excluded = true,
    ];
    for (case, impair) in impairments.iter().enumerate() {
        let mut engines = engines();
        impair(&mut engines[0]);
        let choice = prompt.choose(&engines, &prefix_index).expect("a placement");
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
        let choice = prompt.choose(&engines, &prefix_index).expect("a placement");
        prefix_index.record_holder(prompt.shared_id(1), engines[choice.index].key, true, NOW);
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
fn all_hosts_choose_the_same_new_home_when_the_home_is_silent() {
    for id in 0..50 {
        let prompt = Prompt::new(id);
        let mut engines = engines();
        let first = prompt
            .choose(&engines, &PrefixIndex::default())
            .expect("a placement");
        engines[first.index].is_excluded = true;
        let here = prompt
            .choose(&engines, &PrefixIndex::default())
            .expect("a placement");
        assert_ne!(
            here.source,
            Some(BlockSource::Engine(first.index)),
            "prefix {id}"
        );
        for engine in &mut engines {
            engine.is_same_domain = !engine.is_same_domain;
        }
        let there = prompt
            .choose(&engines, &PrefixIndex::default())
            .expect("a placement");
        assert_eq!(here.index, there.index, "prefix {id}");
    }
}

#[test]
fn old_weights_are_used_during_a_rollout_until_their_limit() {
    let mut prompt = Prompt::new(1);
    prompt.wanted = 2;
    let mut engines = engines();
    engines[0].weights = 2;
    engines[0].prefill_tokens = 60_000.0;
    let cases = [(200, true), (3_000, true), (5_200, false), (60_000, false)];
    for (age_ms, may_use_old) in cases {
        prompt.wanted_age = Duration::from_millis(age_ms);
        let choice = prompt.choose(&engines, &PrefixIndex::default());
        let choice = choice.expect("a placement");
        assert_eq!(choice.weights == 1, may_use_old, "after {age_ms} ms");
    }
    engines[0].is_excluded = true;
    assert_eq!(prompt.choose(&engines, &PrefixIndex::default()), None);
}

#[test]
fn a_request_that_would_start_after_the_limit_does_not_use_old_weights() {
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
fn a_long_response_does_not_start_where_weights_change_next() {
    let mut prompt = Prompt::new(1);
    prompt.wanted = 2;
    prompt.wanted_age = Duration::from_millis(100);
    let mut prefix_index = PrefixIndex::default();
    prefix_index.record_holder(prompt.shared_id(1), 1, true, NOW);
    let mut engines = engines();
    engines[0].rollout_wave = 1;
    for engine in &mut engines[1..] {
        engine.rollout_wave = 4;
    }
    let long = prompt.choose(&engines, &prefix_index).expect("a placement");
    assert_ne!(long.index, 0);
    assert_eq!(long.source, Some(BlockSource::Engine(0)));
    prompt.answer_tokens = 4;
    let short = prompt.choose(&engines, &prefix_index).expect("a placement");
    assert_eq!(short.index, 0, "it ends before the weights are loaded");
}

#[test]
fn blocks_of_other_weights_are_not_fetched() {
    let mut prompt = Prompt::new(1);
    prompt.wanted = 2;
    let mut engines = engines();
    engines[3].weights = 2;
    let mut prefix_index = PrefixIndex::default();
    prefix_index.record_holder(prompt.shared_id(1), 1, true, NOW);
    let choice = prompt.choose(&engines, &prefix_index).expect("a placement");
    assert_eq!(choice.index, 3);
    assert!(
        !matches!(choice.source, Some(BlockSource::Engine(_))),
        "{choice:?}"
    );
}

#[test]
fn a_prompt_without_shared_prefixes_goes_to_the_least_busy_engine() {
    let mut engines = engines();
    for (index, engine) in engines.iter_mut().enumerate() {
        engine.prefill_tokens = 9_000.0 - 3_000.0 * index as f64;
    }
    let mut prompt = Prompt::new(1);
    prompt.prefixes.clear();
    let choice = prompt.choose(&engines, &PrefixIndex::default());
    assert_eq!(choice.expect("a placement").index, 3);
}

#[test]
fn prompts_avoid_an_engine_with_a_very_long_prompt() {
    // One caller in ten sends a prompt several times as long as the others. Its prefill time grows
    // faster than its length, and later requests at its engine wait for that long.
    let idle = engines();
    let prefix_index = PrefixIndex::default();
    let work_of = |own_tokens: f64| {
        let prompt = Prompt {
            own_tokens,
            ..Prompt::new(1)
        };
        let choice = prompt.choose(&idle, &prefix_index).expect("a placement");
        choice.prefill_tokens as f64
    };
    let mut engines = vec![idle[0].clone(), idle[1].clone()];
    engines[0].prefill_tokens = work_of(40_000.0);
    engines[1].prefill_tokens = 3.0 * work_of(13_500.0);
    let mut chosen = [0; 2];
    for id in 2..30 {
        let choice = Prompt::new(id).choose(&engines, &prefix_index);
        chosen[choice.expect("a placement").index] += 1;
    }
    assert_eq!(
        chosen,
        [0, 28],
        "three prompts of a third of the length take less prefill time"
    );
}
