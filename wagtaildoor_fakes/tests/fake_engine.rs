//! Contract of the stand-in engine: what it promises, and that each fault switch bites.

#[path = "support/engine_request.rs"]
mod engine_request;

use std::time::Duration;

use engine_request::{
    prompt_of,
    request_for,
    ANSWER_TOKENS, //
};
use tokio::time::{
    self,
    Instant, //
};
use wagtaildoor::schema::{
    CacheEventKind,
    EngineChunk,
    EngineOrder,
    EngineRequest,
    OrderKind, //
};
use wagtaildoor_fakes::{
    fake_engine::{
        answer_text::AnswerText,
        engine_faults::EngineFaults,
        engine_run::EngineWork,
        prompt_blocks,
        EngineProfile,
        EngineRefusal,
        FakeEngine, //
    },
    fake_weights::FakeWeights,
};

/// Longest wait for something that has to come, on the paused clock.
const PATIENCE: Duration = Duration::from_secs(600);

/// All chunks of a stream, until it ends.
async fn chunks_of(engine: &FakeEngine, request: &EngineRequest) -> Vec<EngineChunk> {
    let mut stream = engine.generate(request.clone()).expect("it is taken");
    let mut chunks = Vec::new();
    while let Some(chunk) = stream.chunks.recv().await {
        chunks.push(chunk);
    }
    chunks
}

/// Text of the chunks of the request itself.
fn text_of(chunks: &[EngineChunk]) -> String {
    chunks.iter().map(|chunk| &*chunk.text).collect()
}

/// Whether the stream is complete and in order, and only of its own request and attempt.
fn is_whole(chunks: &[EngineChunk], request: &EngineRequest) -> bool {
    let own = |chunk: &EngineChunk| {
        chunk.request_id == request.request_id && chunk.attempt_id == request.attempt_id
    };
    let numbers: Vec<u64> = chunks.iter().map(|chunk| chunk.sequence).collect();
    let wanted: Vec<u64> = (request.resume_from..=u64::from(ANSWER_TOKENS)).collect();
    let done = chunks.last().is_some_and(|chunk| chunk.done.is_some());
    chunks.iter().all(own) && numbers == wanted && done
}

#[tokio::test(start_paused = true)]
async fn a_stream_is_whole_and_says_what_was_cached() {
    let engine = FakeEngine::new(EngineProfile::default());
    let mut request = request_for(&prompt_of("abc"));
    let chunks = chunks_of(&engine, &request).await;
    assert!(is_whole(&chunks, &request), "{chunks:?}");
    assert_eq!(
        text_of(&chunks),
        AnswerText::new(&request).full_text(u64::from(ANSWER_TOKENS))
    );
    request.prompt = prompt_of("abd").into();
    let again = chunks_of(&engine, &request).await;
    let done = again.last().and_then(|chunk| chunk.done.clone());
    let done = done.expect("the stream is whole");
    assert_eq!((done.cached_tokens, done.prompt_tokens), (32, 48));
    assert_ne!(text_of(&chunks), text_of(&again));
}

#[tokio::test(start_paused = true)]
async fn chains_of_other_accounts_weights_and_adapters_share_nothing() {
    let request = request_for(&prompt_of("abc"));
    let chain = prompt_blocks::chain_of(&request);
    let others = [
        EngineRequest {
            cache_salt: "other".into(),
            ..request.clone()
        },
        EngineRequest {
            weights_version: 2,
            ..request.clone()
        },
        EngineRequest {
            adapter: "dialect".into(),
            ..request.clone()
        },
    ];
    for other in others {
        let other_chain = prompt_blocks::chain_of(&other);
        assert!(chain.iter().all(|block| !other_chain.contains(block)));
    }
}

#[tokio::test(start_paused = true)]
async fn another_engine_resumes_the_same_answer() {
    let request = request_for(&prompt_of("abc"));
    let engine = FakeEngine::new(EngineProfile::default());
    let whole = text_of(&chunks_of(&engine, &request).await);
    let other = FakeEngine::new(EngineProfile::default());
    let resumed = EngineRequest {
        resume_from: 7,
        ..request.clone()
    };
    let rest = chunks_of(&other, &resumed).await;
    assert!(is_whole(&rest, &resumed), "{rest:?}");
    assert!(whole.ends_with(&text_of(&rest)));
}

/// A fault of a stream, and what a reader must see of it.
struct StreamCase {
    /// Its name.
    name: &'static str,
    /// The switch.
    faults: EngineFaults,
    /// What the stream shows.
    shows: fn(&[EngineChunk]) -> bool,
}

/// Whether a chunk comes twice.
fn has_duplicate(chunks: &[EngineChunk]) -> bool {
    chunks.windows(2).any(|pair| pair[0] == pair[1])
}

/// Whether a chunk is missing before the last event.
fn has_gap(chunks: &[EngineChunk]) -> bool {
    let done = chunks.last().is_some_and(|chunk| chunk.done.is_some());
    done && chunks.len() == ANSWER_TOKENS as usize
}

/// Every fault of a stream.
fn stream_cases() -> Vec<StreamCase> {
    let faults = EngineFaults::default;
    vec![
        StreamCase {
            name: "crossed",
            faults: EngineFaults {
                crossed_percent: 100,
                ..faults()
            },
            shows: |chunks| chunks.iter().any(|c| &*c.request_id != "request-1"),
        },
        StreamCase {
            name: "late",
            faults: EngineFaults {
                late_percent: 100,
                ..faults()
            },
            shows: |chunks| chunks.iter().any(|c| &*c.attempt_id != "attempt-1"),
        },
        StreamCase {
            name: "duplicate",
            faults: EngineFaults {
                duplicate_percent: 100,
                ..faults()
            },
            shows: has_duplicate,
        },
        StreamCase {
            name: "gap",
            faults: EngineFaults {
                gap_percent: 100,
                ..faults()
            },
            shows: has_gap,
        },
        StreamCase {
            name: "truncated",
            faults: EngineFaults {
                truncated_percent: 100,
                ..faults()
            },
            shows: |chunks| chunks.iter().all(|chunk| chunk.done.is_none()),
        },
        StreamCase {
            name: "cut after chunks",
            faults: EngineFaults {
                cut_after_chunks: 5,
                ..faults()
            },
            shows: |chunks| chunks.len() == 5 && chunks.iter().all(|c| c.done.is_none()),
        },
        StreamCase {
            name: "cut before the last event",
            faults: EngineFaults {
                cut_after_chunks: u64::from(ANSWER_TOKENS),
                ..faults()
            },
            shows: |chunks| chunks.len() == 20 && chunks.iter().all(|c| c.done.is_none()),
        },
    ]
}

#[tokio::test(start_paused = true)]
async fn each_stream_fault_bites_and_goes_off() {
    let request = request_for(&prompt_of("abc"));
    for case in stream_cases() {
        let engine = FakeEngine::new(EngineProfile::default());
        engine.set_faults(case.faults);
        let chunks = chunks_of(&engine, &request).await;
        assert!((case.shows)(&chunks), "{}: {chunks:?}", case.name);
        assert!(!is_whole(&chunks, &request), "{}", case.name);
        engine.set_faults(EngineFaults::default());
        let chunks = chunks_of(&engine, &request).await;
        assert!(is_whole(&chunks, &request), "{} stays on", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_share_strikes_some_streams_and_the_same_ones_each_time() {
    let strikes = |seed| async move {
        let engine = FakeEngine::new(EngineProfile::default());
        engine.set_faults(EngineFaults {
            seed,
            gap_percent: 30,
            ..EngineFaults::default()
        });
        let mut struck = Vec::new();
        for number in 0..60 {
            let mut request = request_for("a");
            request.attempt_id = format!("attempt-{number}").into();
            let chunks = chunks_of(&engine, &request).await;
            struck.push(!is_whole(&chunks, &request));
        }
        struck
    };
    let first = strikes(1).await;
    let count = first.iter().filter(|struck| **struck).count();
    assert!((9..28).contains(&count), "{count} of 60");
    assert_eq!(first, strikes(1).await);
    assert_ne!(first, strikes(2).await);
}

/// A refusal, and how it comes about.
struct RefusalCase {
    /// The switch.
    faults: EngineFaults,
    /// Weights the request asks for.
    weights_version: u64,
    /// What the engine says.
    refusal: EngineRefusal,
}

#[tokio::test(start_paused = true)]
async fn refused_work_does_not_run() {
    let faults = EngineFaults::default;
    let cases = [
        RefusalCase {
            faults: EngineFaults {
                refuse: true,
                ..faults()
            },
            weights_version: 1,
            refusal: EngineRefusal::NotRun("refuse fault is set"),
        },
        RefusalCase {
            faults: EngineFaults {
                leaving: true,
                ..faults()
            },
            weights_version: 1,
            refusal: EngineRefusal::NotRun("leaving"),
        },
        RefusalCase {
            faults: faults(),
            weights_version: 2,
            refusal: EngineRefusal::OtherWeights(1),
        },
    ];
    for case in cases {
        let engine = FakeEngine::new(EngineProfile::default());
        let leaving = case.faults.leaving;
        engine.set_faults(case.faults);
        let mut request = request_for("a");
        request.weights_version = case.weights_version;
        let refusal = engine.generate(request).expect_err("it is refused");
        assert_eq!(refusal, case.refusal);
        let counts = engine.counts();
        assert_eq!((counts.taken, counts.refused, counts.chunks), (0, 1, 0));
        assert_eq!(engine.load_report().leaving, leaving);
    }
}

#[tokio::test(start_paused = true)]
async fn the_batch_and_the_queue_are_limited_and_ordered() {
    let engine = FakeEngine::new(EngineProfile {
        batch_limit: 1,
        queue_limit: 2,
        ..EngineProfile::default()
    });
    let work = |priority| EngineWork {
        chain: [].into(),
        prompt_tokens: 10,
        resumed_tokens: 0,
        answer_tokens: 10,
        priority,
        weights_version: 1,
    };
    let run = |priority| {
        let engine = engine.clone();
        tokio::spawn(async move { engine.run(&work(priority)).await })
    };
    let running = run(5);
    time::sleep(Duration::from_millis(1)).await;
    let slack = run(9);
    let urgent = run(1);
    time::sleep(Duration::from_millis(1)).await;
    assert_eq!(engine.load_report().queued, 2);
    let refusal = engine.run(&work(1)).await.expect_err("the queue is full");
    assert_eq!(refusal, EngineRefusal::NotRun("full"));
    let mut firsts = Vec::new();
    for task in [running, urgent, slack] {
        let receipt = task.await.expect("no panic").expect("it runs");
        firsts.push(receipt.first_token);
    }
    assert!(firsts.is_sorted(), "{firsts:?}");
    assert_eq!(engine.load_report().running, 0);
}

#[tokio::test(start_paused = true)]
async fn slow_and_frozen_engines_take_longer() {
    let request = request_for(&prompt_of("abc"));
    let engine = FakeEngine::new(EngineProfile::default());
    let begun = Instant::now();
    chunks_of(&engine, &request).await;
    let plain = begun.elapsed();
    engine.set_faults(EngineFaults {
        slow_ms: 100,
        ..EngineFaults::default()
    });
    let begun = Instant::now();
    chunks_of(&engine, &request).await;
    assert!(begun.elapsed() >= plain + Duration::from_secs(1));
    engine.set_faults(EngineFaults {
        freeze: true,
        ..EngineFaults::default()
    });
    let mut stream = engine.generate(request).expect("it is taken");
    let silence = time::timeout(PATIENCE, stream.chunks.recv()).await;
    assert!(silence.is_err(), "{silence:?}");
    engine.set_faults(EngineFaults::default());
    let chunk = time::timeout(PATIENCE, stream.chunks.recv()).await;
    assert!(matches!(chunk, Ok(Some(_))), "{chunk:?}");
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_attempt_stops() {
    let engine = FakeEngine::new(EngineProfile::default());
    let mut stream = engine.generate(request_for("a")).expect("it is taken");
    stream.chunks.recv().await.expect("a first chunk");
    assert!(engine.cancel("attempt-1"));
    assert!(!engine.cancel("attempt-1"));
    while let Some(chunk) = stream.chunks.recv().await {
        assert!(chunk.done.is_none());
    }
    assert_eq!(engine.counts().cancelled, 1);
    assert_eq!(engine.load_report().running, 0);
    let mut stream = engine.generate(request_for("a")).expect("it is taken");
    stream.chunks.recv().await.expect("a first chunk");
    drop(stream);
    time::sleep(PATIENCE).await;
    assert_eq!(engine.counts().cancelled, 2);
}

#[tokio::test(start_paused = true)]
async fn a_reader_who_leaves_the_queue_costs_nothing() {
    let engine = FakeEngine::new(EngineProfile {
        batch_limit: 1,
        ..EngineProfile::default()
    });
    let _running = engine.generate(request_for("a")).expect("it is taken");
    let waiting = engine.generate(request_for("b")).expect("it is taken");
    time::sleep(Duration::from_millis(1)).await;
    assert_eq!(engine.load_report().queued, 1);
    drop(waiting);
    time::sleep(Duration::from_millis(1)).await;
    assert_eq!(engine.load_report().queued, 0);
    assert_eq!(engine.counts().prompt_tokens, 1);
}

#[tokio::test(start_paused = true)]
async fn a_crash_cuts_streams_and_empties_the_cache() {
    let engine = FakeEngine::new(EngineProfile::default());
    let request = request_for(&prompt_of("abc"));
    chunks_of(&engine, &request).await;
    let chain = prompt_blocks::chain_of(&request);
    assert_eq!(engine.cached_blocks(&chain), 3);
    let before = engine.load_report();
    let mut stream = engine.generate(request).expect("it is taken");
    stream.chunks.recv().await.expect("a first chunk");
    engine.set_faults(EngineFaults {
        crash: true,
        ..EngineFaults::default()
    });
    while let Some(chunk) = stream.chunks.recv().await {
        assert!(chunk.done.is_none());
    }
    let after = engine.load_report();
    assert_ne!(before.boot_id, after.boot_id);
    assert_eq!((before.events_next, after.events_next), (2, 1));
    assert!(engine.cache_contents().is_empty());
    assert_eq!(engine.counts().cut, 1);
    assert!(!engine.faults().crash, "the switch acts once");
}

#[tokio::test(start_paused = true)]
async fn cache_events_tell_what_the_cache_holds() {
    let engine = FakeEngine::new(EngineProfile {
        cache_blocks: 4,
        ..EngineProfile::default()
    });
    for letters in ["abc", "abd", "xyz", "abc"] {
        chunks_of(&engine, &request_for(&prompt_of(letters))).await;
    }
    let page = engine.cache_events(1);
    let mut told = Vec::new();
    for (place, event) in page.events.iter().enumerate() {
        assert_eq!(event.sequence, place as u64 + 1);
        match event.kind {
            CacheEventKind::Stored => told.extend(&event.blocks),
            CacheEventKind::Removed => told.retain(|block| !event.blocks.contains(block)),
            CacheEventKind::Cleared => told.clear(),
        }
    }
    let mut held = engine.cache_contents();
    told.sort_unstable();
    held.sort_unstable();
    assert_eq!(told, held);
    assert_eq!(page.next, engine.load_report().events_next);
    assert!(engine.cache_events(page.next).events.is_empty());
}

#[tokio::test(start_paused = true)]
async fn events_are_lost_and_late() {
    let engine = FakeEngine::new(EngineProfile::default());
    for number in 0..100 {
        let text = format!("{number:064}");
        chunks_of(&engine, &request_for(&text)).await;
    }
    engine.set_faults(EngineFaults {
        event_loss_percent: 30,
        ..EngineFaults::default()
    });
    let page = engine.cache_events(1);
    let count = page.events.len();
    assert!((55..85).contains(&count), "{count} of 100");
    assert_eq!(page.next, 101);
    assert_eq!(page, engine.cache_events(1));
    engine.set_faults(EngineFaults {
        event_lag_ms: 5_000,
        ..EngineFaults::default()
    });
    chunks_of(&engine, &request_for(&prompt_of("z"))).await;
    assert_eq!(engine.cache_events(101).events.len(), 0);
    time::sleep(Duration::from_secs(5)).await;
    assert_eq!(engine.cache_events(101).events.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn the_load_report_lags() {
    let engine = FakeEngine::new(EngineProfile::default());
    engine.set_faults(EngineFaults {
        load_lag_ms: 5_000,
        slow_ms: 1_000,
        ..EngineFaults::default()
    });
    assert_eq!(engine.load_report().running, 0);
    let _stream = engine.generate(request_for("a")).expect("it is taken");
    time::sleep(Duration::from_millis(4_500)).await;
    assert_eq!(engine.load_report().running, 0);
    time::sleep(Duration::from_millis(5_500)).await;
    assert_eq!(engine.load_report().running, 1);
}

/// An order to load weights.
fn load_order(fencing: u64, weights_version: u64) -> EngineOrder {
    EngineOrder {
        fencing,
        kind: OrderKind::LoadWeights,
        limit_ms: 60_000,
        name: "".into(),
        weights_version,
    }
}

#[tokio::test(start_paused = true)]
async fn only_engines_that_check_refuse_an_old_fencing_number() {
    for checks_fencing in [true, false] {
        let engine = FakeEngine::new(EngineProfile {
            checks_fencing,
            ..EngineProfile::default()
        });
        engine.order(&load_order(7, 3)).expect("it is newer");
        let old = engine.order(&load_order(6, 2));
        assert_eq!(old.is_err(), checks_fencing);
        time::sleep(PATIENCE).await;
        let state = engine.state();
        let serves = if checks_fencing { 3 } else { 2 };
        assert_eq!((state.weights_version, state.fencing), (serves, 7));
        assert_eq!(engine.counts().orders_refused, u64::from(checks_fencing));
    }
}

#[tokio::test(start_paused = true)]
async fn loads_take_time_and_more_of_it_when_many_load() {
    let weights = FakeWeights::new(2);
    let engines: Vec<FakeEngine> = (0..4)
        .map(|_| FakeEngine::with_weights(EngineProfile::default(), weights.clone()))
        .collect();
    let request = request_for(&prompt_of("abc"));
    chunks_of(&engines[0], &request).await;
    for engine in &engines {
        engine.order(&load_order(1, 2)).expect("it is newer");
    }
    let serving = || {
        let versions = engines.iter().map(|engine| engine.state().weights_version);
        versions.collect::<Vec<_>>()
    };
    assert_eq!(engines[0].state().loading, 2);
    time::sleep(Duration::from_millis(5_001)).await;
    assert_eq!(serving(), [2, 2, 1, 1]);
    time::sleep(Duration::from_millis(5_000)).await;
    assert_eq!(serving(), [2, 2, 2, 2]);
    assert_eq!(weights.peak_loads(), 4);
    assert!(engines[0].cache_contents().is_empty());
    let refusal = engines[0].generate(request).expect_err("old weights");
    assert_eq!(refusal, EngineRefusal::OtherWeights(2));
}

#[tokio::test(start_paused = true)]
async fn an_order_counts_for_nothing_after_its_limit() {
    let engine = FakeEngine::new(EngineProfile::default());
    let order = EngineOrder {
        limit_ms: 1_000,
        ..load_order(1, 2)
    };
    engine.order(&order).expect("it is newer");
    time::sleep(PATIENCE).await;
    let state = engine.state();
    assert_eq!((state.weights_version, state.loading), (1, 0));
}
