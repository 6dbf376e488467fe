//! Tests of an entry that is stopped while its callers go on sending. The signal reaches the whole process, so
//! that they have a program of their own.

use std::time::{
    Duration,
    Instant, //
};

use rustix::process::{
    self,
    Signal, //
};
use serde_json::json;
use tokio::time;

#[path = "support/crash_proxy.rs"]
#[expect(dead_code, reason = "other tests use more of it")]
mod crash_proxy;
#[path = "support/entry_rig.rs"]
#[expect(dead_code, reason = "other tests use more of it")]
mod entry_rig;
#[path = "support/fake_keeper.rs"]
#[expect(dead_code, reason = "other tests use more of it")]
mod fake_keeper;

use entry_rig::{
    EntryRig,
    DESK_TOKEN,
    PLAIN_DEADLINE,
    SHUTDOWN_LIMIT, //
};

const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time before the end of the shutdown in which a connection may close without an answer.
const CLOSING_TIME: Duration = Duration::from_millis(200);
/// Time around the change from served to refused requests in which either is right.
const CHANGE_TIME: Duration = Duration::from_millis(200);

/// Guards against LOST: requests that come late in a shutdown are taken, and cut without an answer at its
/// end.
#[tokio::test]
async fn a_stopping_entry_serves_what_fits_and_refuses_the_rest_as_not_run() {
    let rig = EntryRig::start().await;
    let stopped_at = Instant::now();
    process::kill_process(process::getpid(), Signal::TERM).expect("a signal");
    let (mut served, mut refused) = (0, 0);
    while stopped_at.elapsed() < SHUTDOWN_LIMIT - CLOSING_TIME {
        let sent_after = stopped_at.elapsed();
        let body = json!({
            "model": "plain",
            "messages": [{ "role": "user", "content": "Two coffees." }],
        });
        let request = rig.post("/v1/chat/completions", DESK_TOKEN).json(&body);
        let answer = request.send().await;
        let answer = answer.unwrap_or_else(|error| panic!("{sent_after:?}: {error}"));
        let outcome = answer.headers().get("x-wagtaildoor-outcome");
        let outcome = outcome.map(|value| value.to_str().expect("plain text").to_owned());
        let status = answer.status().as_u16();
        answer.bytes().await.expect("a whole answer");
        let last_fit = SHUTDOWN_LIMIT - PLAIN_DEADLINE;
        if sent_after + CHANGE_TIME < last_fit {
            assert_eq!(status, 200, "{sent_after:?}");
            served += 1;
        } else if sent_after > last_fit + CHANGE_TIME {
            assert_eq!(status, 503, "{sent_after:?}");
            assert_eq!(outcome.as_deref(), Some("not_run"), "{sent_after:?}");
            refused += 1;
        }
        time::sleep(REQUEST_INTERVAL).await;
    }
    assert!(
        served > 0 && refused > 0,
        "{served} served, {refused} refused"
    );
}
