//! Tests that no prompt crashes engine after engine, and that crashes keep no sound prompt away.

use std::time::Duration;

use reqwest::Response;
use serde_json::{
    json,
    Value, //
};
use tokio::time;
use wagtaildoor::error::ErrorKind;
use wagtaildoor_fakes::fake_engine::engine_faults::EngineFaults;

use crate::{
    entry_rig::{
        EntryRig,
        DESK_TOKEN,
        WAIT_TIMEOUT, //
    },
    refusals,
};

/// Delay of each chunk in milliseconds, so that an answer can break off.
const CHUNK_DELAY_MS: u64 = 10;

/// Starts an entry with engines that crash like processes.
async fn start_rig(engine_count: usize) -> EntryRig {
    let rig = EntryRig::start_with_proxies(engine_count).await;
    for engine in &rig.engines {
        engine.set_faults(EngineFaults {
            slow_ms: CHUNK_DELAY_MS,
            ..EngineFaults::default()
        });
    }
    rig
}

/// Requests a whole answer of a template whose levels take the parameter `dialect`.
async fn request(rig: &EntryRig, template: &str, dialect: &str) -> Response {
    let mut body = refusals::chat_with(template);
    body["parameters"] = json!({ "dialect": dialect });
    let call = rig.post("/v1/chat/completions", DESK_TOKEN).json(&body);
    call.send().await.expect("an answer")
}

/// Requests the answer of the sound template and returns its text.
async fn request_draft(rig: &EntryRig) -> String {
    let answer = request(rig, "draft", "Johor").await;
    assert_eq!(answer.status().as_u16(), 200, "{:?}", answer.text().await);
    let body: Value = answer.json().await.expect("a body");
    let text = body["choices"][0]["message"]["content"].as_str();
    text.expect("text").to_owned()
}

fn crashes(rig: &EntryRig) -> u64 {
    rig.engines
        .iter()
        .map(|engine| engine.counts().crashes)
        .sum()
}

/// Guards against BUDGET: a level that crashes engines was sent on to every attempt of every request.
#[tokio::test(flavor = "multi_thread")]
async fn a_level_that_crashes_engines_is_kept_from_them_after_three() {
    let rig = start_rig(8).await;
    let first = request(&rig, "crashing", "Johor").await;
    assert_eq!(crashes(&rig), 3, "engines that the first request ended");
    refusals::check_refusal("first", first, ErrorKind::EndpointFailed).await;
    for _ in 0..3 {
        let next = request(&rig, "crashing", "Johor").await;
        refusals::check_refusal("next", next, ErrorKind::PromptBlocked).await;
    }
    assert_eq!(crashes(&rig), 3);
    request_draft(&rig).await;
}

/// Guards against the same fault where requests fill the text of the levels with other parameters.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_other_parameters_do_not_crash_further_engines() {
    let dialects = ["Johor", "Kedah", "Perak", "Melaka", "Pahang"];
    let rig = start_rig(8).await;
    request_draft(&rig).await;
    for dialect in dialects {
        request(&rig, "crashing", dialect).await;
    }
    assert_eq!(crashes(&rig), 3);
    // Without an answer, the first dialect explains three crashes as well as the layout does.
    let rig = start_rig(8).await;
    for dialect in dialects {
        request(&rig, "crashing", dialect).await;
    }
    assert_eq!(crashes(&rig), 4);
}

/// Guards against refusing sound prompts whose answers broke off with an engine that another crashed.
#[tokio::test(flavor = "multi_thread")]
async fn sound_answers_on_crashed_engines_are_resumed_to_their_end() {
    let rig = start_rig(6).await;
    let expected = request_draft(&rig).await;
    let drafts = async {
        for _ in 0..6 {
            let pair = tokio::join!(request_draft(&rig), request_draft(&rig));
            assert_eq!(pair, (expected.clone(), expected.clone()));
        }
    };
    let crashing = async {
        for _ in 0..3 {
            request(&rig, "crashing", "Johor").await;
        }
    };
    tokio::join!(drafts, crashing);
    assert_eq!(crashes(&rig), 3);
}

/// Guards against blaming prompts for engines that ended for another reason.
#[tokio::test(flavor = "multi_thread")]
async fn two_engines_that_crash_for_another_reason_keep_no_prompt_away() {
    let rig = start_rig(4).await;
    let crash_twice = async {
        let mut begun = vec![0; rig.proxies.len()];
        for _ in 0..2 {
            let answering = wait_for_answer(&rig, &begun).await;
            begun = rig.proxies.iter().map(|proxy| proxy.begun()).collect();
            rig.proxies[answering].crash();
            while rig.engines[answering].counts().crashes == 0 {
                time::sleep(Duration::from_millis(1)).await;
            }
        }
    };
    let (text, ()) = tokio::join!(request_draft(&rig), crash_twice);
    assert_eq!(crashes(&rig), 2);
    assert_eq!(request_draft(&rig).await, text);
}

/// Waits until a proxy passes on a chunk of an answer, and returns its place.
async fn wait_for_answer(rig: &EntryRig, begun: &[u32]) -> usize {
    let wait = async {
        loop {
            let mut pairs = rig.proxies.iter().zip(begun);
            if let Some(place) = pairs.position(|(proxy, begun)| proxy.begun() > *begun) {
                return place;
            }
            time::sleep(Duration::from_millis(1)).await;
        }
    };
    time::timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("an answer begins")
}
