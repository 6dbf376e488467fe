//! Tests of the fake engine: normal operation, and the effect of each fault.

#[path = "support/engine_request.rs"]
mod engine_request;

use std::time::Duration;

use engine_request::{
    block_prompt,
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

/// Timeout of waits, on the paused clock.
const WAIT_TIMEOUT: Duration = Duration::from_secs(600);

/// Receives all chunks of a stream until it ends.
async fn collect_chunks(engine: &FakeEngine, request: &EngineRequest) -> Vec<EngineChunk> {
    let mut stream = engine
        .generate(request.clone())
        .expect("the engine accepts the request");
    let mut chunks = Vec::new();
    while let Some(chunk) = stream.chunks.recv().await {
        chunks.push(chunk);
    }
    chunks
}

/// Returns the concatenated text of all chunks.
fn concatenate_text(chunks: &[EngineChunk]) -> String {
    chunks.iter().map(|chunk| &*chunk.text).collect()
}

/// Whether the stream is complete, in order, and contains only chunks of its request and attempt.
fn is_complete(chunks: &[EngineChunk], request: &EngineRequest) -> bool {
    let belongs_to_request = |chunk: &EngineChunk| {
        chunk.request_id == request.request_id && chunk.attempt_id == request.attempt_id
    };
    let numbers: Vec<u64> = chunks.iter().map(|chunk| chunk.sequence).collect();
    let expected_numbers: Vec<u64> = (request.resume_from..=u64::from(ANSWER_TOKENS)).collect();
    let done = chunks.last().is_some_and(|chunk| chunk.done.is_some());
    chunks.iter().all(belongs_to_request) && numbers == expected_numbers && done
}

#[tokio::test(start_paused = true)]
async fn stream_is_complete_and_reports_cached_tokens() {
    let engine = FakeEngine::new(EngineProfile::default());
    let mut request = request_for(&block_prompt("abc"));
    let chunks = collect_chunks(&engine, &request).await;
    assert!(is_complete(&chunks, &request), "{chunks:?}");
    assert_eq!(
        concatenate_text(&chunks),
        AnswerText::new(&request).full_text(u64::from(ANSWER_TOKENS))
    );
    request.prompt = block_prompt("abd").into();
    let again = collect_chunks(&engine, &request).await;
    let done = again.last().and_then(|chunk| chunk.done.clone());
    let done = done.expect("the stream is whole");
    assert_eq!((done.cached_tokens, done.prompt_tokens), (32, 48));
    assert_ne!(concatenate_text(&chunks), concatenate_text(&again));
}

#[tokio::test(start_paused = true)]
async fn chains_of_different_cache_salts_weights_and_adapters_are_disjoint() {
    let request = request_for(&block_prompt("abc"));
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
async fn another_engine_resumes_the_same_text() {
    let request = request_for(&block_prompt("abc"));
    let engine = FakeEngine::new(EngineProfile::default());
    let full_text = concatenate_text(&collect_chunks(&engine, &request).await);
    let other = FakeEngine::new(EngineProfile::default());
    let resumed = EngineRequest {
        resume_from: 7,
        ..request.clone()
    };
    let rest = collect_chunks(&other, &resumed).await;
    assert!(is_complete(&rest, &resumed), "{rest:?}");
    assert!(full_text.ends_with(&concatenate_text(&rest)));
}

/// A stream fault and its expected symptom.
struct StreamCase {
    name: &'static str,
    faults: EngineFaults,
    /// Whether the received chunks show the symptom.
    has_symptom: fn(&[EngineChunk]) -> bool,
}

/// Whether two consecutive chunks are equal.
fn has_duplicate(chunks: &[EngineChunk]) -> bool {
    chunks.windows(2).any(|pair| pair[0] == pair[1])
}

/// Whether a chunk is missing from a stream that ended with its last event.
fn has_gap(chunks: &[EngineChunk]) -> bool {
    let done = chunks.last().is_some_and(|chunk| chunk.done.is_some());
    done && chunks.len() == ANSWER_TOKENS as usize
}

/// Returns a case for every stream fault.
fn stream_cases() -> Vec<StreamCase> {
    let faults = EngineFaults::default;
    vec![
        StreamCase {
            name: "crossed",
            faults: EngineFaults {
                crossed_percent: 100,
                ..faults()
            },
            has_symptom: |chunks| chunks.iter().any(|c| &*c.request_id != "request-1"),
        },
        StreamCase {
            name: "late",
            faults: EngineFaults {
                late_percent: 100,
                ..faults()
            },
            has_symptom: |chunks| chunks.iter().any(|c| &*c.attempt_id != "attempt-1"),
        },
        StreamCase {
            name: "duplicate",
            faults: EngineFaults {
                duplicate_percent: 100,
                ..faults()
            },
            has_symptom: has_duplicate,
        },
        StreamCase {
            name: "gap",
            faults: EngineFaults {
                gap_percent: 100,
                ..faults()
            },
            has_symptom: has_gap,
        },
        StreamCase {
            name: "truncated",
            faults: EngineFaults {
                truncated_percent: 100,
                ..faults()
            },
            has_symptom: |chunks| chunks.iter().all(|chunk| chunk.done.is_none()),
        },
        StreamCase {
            name: "cut after chunks",
            faults: EngineFaults {
                cut_after_chunks: 5,
                ..faults()
            },
            has_symptom: |chunks| chunks.len() == 5 && chunks.iter().all(|c| c.done.is_none()),
        },
        StreamCase {
            name: "cut before the last event",
            faults: EngineFaults {
                cut_after_chunks: u64::from(ANSWER_TOKENS),
                ..faults()
            },
            has_symptom: |chunks| chunks.len() == 20 && chunks.iter().all(|c| c.done.is_none()),
        },
    ]
}

#[tokio::test(start_paused = true)]
async fn each_stream_fault_takes_effect_and_can_be_unset() {
    let request = request_for(&block_prompt("abc"));
    for case in stream_cases() {
        let engine = FakeEngine::new(EngineProfile::default());
        engine.set_faults(case.faults);
        let chunks = collect_chunks(&engine, &request).await;
        assert!((case.has_symptom)(&chunks), "{}: {chunks:?}", case.name);
        assert!(!is_complete(&chunks, &request), "{}", case.name);
        engine.set_faults(EngineFaults::default());
        let chunks = collect_chunks(&engine, &request).await;
        assert!(
            is_complete(&chunks, &request),
            "{} is still active",
            case.name
        );
    }
}

#[tokio::test(start_paused = true)]
async fn fault_percentage_selects_streams_reproducibly() {
    let affected_streams = |seed| async move {
        let engine = FakeEngine::new(EngineProfile::default());
        engine.set_faults(EngineFaults {
            seed,
            gap_percent: 30,
            ..EngineFaults::default()
        });
        let mut affected = Vec::new();
        for number in 0..60 {
            let mut request = request_for("a");
            request.attempt_id = format!("attempt-{number}").into();
            let chunks = collect_chunks(&engine, &request).await;
            affected.push(!is_complete(&chunks, &request));
        }
        affected
    };
    let first = affected_streams(1).await;
    let count = first.iter().filter(|is_affected| **is_affected).count();
    assert!((9..28).contains(&count), "{count} of 60");
    assert_eq!(first, affected_streams(1).await);
    assert_ne!(first, affected_streams(2).await);
}

/// A request that the engine refuses.
struct RefusalCase {
    faults: EngineFaults,
    /// Version of the weights in the request.
    weights_version: u64,
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
async fn batch_and_queue_are_limited_and_ordered_by_priority() {
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
    let mut first_token_times = Vec::new();
    for task in [running, urgent, slack] {
        let result = task
            .await
            .expect("the task completes")
            .expect("the work runs");
        first_token_times.push(result.first_token);
    }
    assert!(first_token_times.is_sorted(), "{first_token_times:?}");
    assert_eq!(engine.load_report().running, 0);
}

#[tokio::test(start_paused = true)]
async fn slow_and_frozen_engines_delay_chunks() {
    let request = request_for(&block_prompt("abc"));
    let engine = FakeEngine::new(EngineProfile::default());
    let started_at = Instant::now();
    collect_chunks(&engine, &request).await;
    let plain = started_at.elapsed();
    engine.set_faults(EngineFaults {
        slow_ms: 100,
        ..EngineFaults::default()
    });
    let started_at = Instant::now();
    collect_chunks(&engine, &request).await;
    assert!(started_at.elapsed() >= plain + Duration::from_secs(1));
    engine.set_faults(EngineFaults {
        freeze: true,
        ..EngineFaults::default()
    });
    let mut stream = engine
        .generate(request)
        .expect("the engine accepts the request");
    let silence = time::timeout(WAIT_TIMEOUT, stream.chunks.recv()).await;
    assert!(silence.is_err(), "{silence:?}");
    engine.set_faults(EngineFaults::default());
    let chunk = time::timeout(WAIT_TIMEOUT, stream.chunks.recv()).await;
    assert!(matches!(chunk, Ok(Some(_))), "{chunk:?}");
}

#[tokio::test(start_paused = true)]
async fn cancelled_attempt_stops() {
    let engine = FakeEngine::new(EngineProfile::default());
    let mut stream = engine
        .generate(request_for("a"))
        .expect("the engine accepts the request");
    stream.chunks.recv().await.expect("the first chunk");
    assert!(engine.cancel("attempt-1"));
    assert!(!engine.cancel("attempt-1"));
    while let Some(chunk) = stream.chunks.recv().await {
        assert!(chunk.done.is_none());
    }
    assert_eq!(engine.counts().cancelled, 1);
    assert_eq!(engine.load_report().running, 0);
    let mut stream = engine
        .generate(request_for("a"))
        .expect("the engine accepts the request");
    stream.chunks.recv().await.expect("the first chunk");
    drop(stream);
    time::sleep(WAIT_TIMEOUT).await;
    assert_eq!(engine.counts().cancelled, 2);
}

#[tokio::test(start_paused = true)]
async fn request_dropped_from_the_queue_is_not_prefilled() {
    let engine = FakeEngine::new(EngineProfile {
        batch_limit: 1,
        ..EngineProfile::default()
    });
    let _running = engine
        .generate(request_for("a"))
        .expect("the engine accepts the request");
    let waiting = engine
        .generate(request_for("b"))
        .expect("the engine accepts the request");
    time::sleep(Duration::from_millis(1)).await;
    assert_eq!(engine.load_report().queued, 1);
    drop(waiting);
    time::sleep(Duration::from_millis(1)).await;
    assert_eq!(engine.load_report().queued, 0);
    assert_eq!(engine.counts().prompt_tokens, 1);
}

#[tokio::test(start_paused = true)]
async fn crash_cuts_streams_and_empties_the_cache() {
    let engine = FakeEngine::new(EngineProfile::default());
    let request = request_for(&block_prompt("abc"));
    collect_chunks(&engine, &request).await;
    let chain = prompt_blocks::chain_of(&request);
    assert_eq!(engine.cached_blocks(&chain), 3);
    let before = engine.load_report();
    let mut stream = engine
        .generate(request)
        .expect("the engine accepts the request");
    stream.chunks.recv().await.expect("the first chunk");
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
    assert!(
        !engine.faults().crash,
        "the switch is unset after the crash"
    );
}

#[tokio::test(start_paused = true)]
async fn cache_events_match_the_cache_contents() {
    let engine = FakeEngine::new(EngineProfile {
        cache_blocks: 4,
        ..EngineProfile::default()
    });
    for letters in ["abc", "abd", "xyz", "abc"] {
        collect_chunks(&engine, &request_for(&block_prompt(letters))).await;
    }
    let page = engine.cache_events(1);
    let mut reported = Vec::new();
    for (index, event) in page.events.iter().enumerate() {
        assert_eq!(event.sequence, index as u64 + 1);
        match event.kind {
            CacheEventKind::Stored => reported.extend(&event.blocks),
            CacheEventKind::Removed => reported.retain(|block| !event.blocks.contains(block)),
            CacheEventKind::Cleared => reported.clear(),
        }
    }
    let mut cached = engine.cache_contents();
    reported.sort_unstable();
    cached.sort_unstable();
    assert_eq!(reported, cached);
    assert_eq!(page.next, engine.load_report().events_next);
    assert!(engine.cache_events(page.next).events.is_empty());
}

#[tokio::test(start_paused = true)]
async fn cache_events_can_be_lost_and_delayed() {
    let engine = FakeEngine::new(EngineProfile::default());
    for number in 0..100 {
        let text = format!("{number:064}");
        collect_chunks(&engine, &request_for(&text)).await;
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
    collect_chunks(&engine, &request_for(&block_prompt("z"))).await;
    assert_eq!(engine.cache_events(101).events.len(), 0);
    time::sleep(Duration::from_secs(5)).await;
    assert_eq!(engine.cache_events(101).events.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn load_report_lags() {
    let engine = FakeEngine::new(EngineProfile::default());
    engine.set_faults(EngineFaults {
        load_lag_ms: 5_000,
        slow_ms: 1_000,
        ..EngineFaults::default()
    });
    assert_eq!(engine.load_report().running, 0);
    let _stream = engine
        .generate(request_for("a"))
        .expect("the engine accepts the request");
    time::sleep(Duration::from_millis(4_500)).await;
    assert_eq!(engine.load_report().running, 0);
    time::sleep(Duration::from_millis(5_500)).await;
    assert_eq!(engine.load_report().running, 1);
}

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
async fn only_engines_that_check_refuse_an_old_fencing_token() {
    for checks_fencing in [true, false] {
        let engine = FakeEngine::new(EngineProfile {
            checks_fencing,
            ..EngineProfile::default()
        });
        engine
            .order(&load_order(7, 3))
            .expect("the fencing token is newer");
        let old = engine.order(&load_order(6, 2));
        assert_eq!(old.is_err(), checks_fencing);
        time::sleep(WAIT_TIMEOUT).await;
        let state = engine.state();
        let serves = if checks_fencing { 3 } else { 2 };
        assert_eq!((state.weights_version, state.fencing), (serves, 7));
        assert_eq!(engine.counts().orders_refused, u64::from(checks_fencing));
    }
}

#[tokio::test(start_paused = true)]
async fn concurrent_loads_take_longer() {
    let weights = FakeWeights::new(2);
    let engines: Vec<FakeEngine> = (0..4)
        .map(|_| FakeEngine::with_weights(EngineProfile::default(), weights.clone()))
        .collect();
    let request = request_for(&block_prompt("abc"));
    collect_chunks(&engines[0], &request).await;
    for engine in &engines {
        engine
            .order(&load_order(1, 2))
            .expect("the fencing token is newer");
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
async fn load_is_discarded_after_its_time_limit() {
    let engine = FakeEngine::new(EngineProfile::default());
    let order = EngineOrder {
        limit_ms: 1_000,
        ..load_order(1, 2)
    };
    engine.order(&order).expect("the fencing token is newer");
    time::sleep(WAIT_TIMEOUT).await;
    let state = engine.state();
    assert_eq!((state.weights_version, state.loading), (1, 0));
}
