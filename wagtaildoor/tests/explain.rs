//! Verdicts and sentences for the events of a request.

use wagtaildoor::{
    error::ErrorKind,
    explain::{
        self,
        RunVerdict, //
    },
    schema::{
        ClockStamp,
        EventKind,
        TimelineEvent, //
    },
};

/// Id of the request in all cases.
const REQUEST: &str = "0190-request";

/// Creates events of one request, one millisecond apart.
fn events(kinds: &[(EventKind, &str)]) -> Vec<TimelineEvent> {
    let mut wall_ms = 1_700_000_000_000;
    let event = |&(kind, detail): &(EventKind, &str)| {
        wall_ms += 1;
        TimelineEvent {
            stamp: ClockStamp {
                wall_ms,
                counter: 0,
            },
            host: "north-1".into(),
            process: "entry".into(),
            kind,
            request: Some(REQUEST.into()),
            account: Some("school".into()),
            endpoint: detail.contains("drafter-1").then(|| "drafter-1".into()),
            detail: detail.into(),
        }
    };
    kinds.iter().map(event).collect()
}

#[test]
fn verdicts_follow_the_events() {
    use EventKind as Kind;
    use RunVerdict as Verdict;
    let received = (Kind::RequestReceived, "school asked for draft");
    let placed = (
        Kind::RequestPlaced,
        "sent to drafter-1: it holds the prompt",
    );
    let answered = (Kind::RequestAnswered, "in 12 pieces");
    let retried = (Kind::RequestRetried, "drafter-1 failed");
    let won = (Kind::ClaimWon, "the log gives the key to this attempt");
    let lost = (Kind::ClaimLost, "an earlier copy has run");
    let recorded = (Kind::OutcomeRecorded, "the answer is on record");
    let replayed = (Kind::OutcomeReplayed, "from the record");
    let unknown = (Kind::ClaimUnknown, "no answer came");
    let settled_ran = (
        Kind::ClaimSettled,
        "the service's own record says that it ran",
    );
    let settled_as_not_run = (
        Kind::ClaimSettled,
        "Mei settled key k as not_run: asked the shop",
    );
    let settled_with_note = (
        Kind::ClaimSettled,
        "Mei settled key k as ran: first settled key k as not_run: wrong",
    );
    let released = (Kind::ClaimReleased, "no endpoint");
    let gone = (Kind::CallerGone, "after 3 pieces");
    let full = (Kind::RequestRefused, "overloaded: no room");
    let late = (Kind::RequestRefused, "deadline_passed: too late");
    let open = (Kind::RequestRefused, "outcome_unknown: no answer came");
    let kept = (Kind::RequestRefused, "answer_not_kept: has run");
    let future = (Kind::RequestRefused, "kind_of_a_later_release: why");
    let cases = [
        (
            "answered",
            vec![received, placed, answered],
            Verdict::Ran,
            "answer is whole",
        ),
        (
            "retried",
            vec![received, placed, retried, placed, answered],
            Verdict::Ran,
            "whole",
        ),
        (
            "under way",
            vec![received, placed],
            Verdict::UnderWay,
            "no end is on record",
        ),
        (
            "refused before",
            vec![received, full],
            Verdict::NotRun,
            "told: overloaded: no room.",
        ),
        (
            "refused after",
            vec![received, placed, late],
            Verdict::Unknown,
            "not known",
        ),
        (
            "ran, caller late",
            vec![placed, recorded, late],
            Verdict::Ran,
            "did not get the answer",
        ),
        (
            "ran once",
            vec![received, won, placed, recorded],
            Verdict::Ran,
            "it ran",
        ),
        (
            "second copy",
            vec![received, lost, replayed],
            Verdict::Replayed,
            "not run again",
        ),
        (
            "not kept",
            vec![received, lost, kept],
            Verdict::Ran,
            "did not get the answer",
        ),
        (
            "claim released",
            vec![won, placed, released, open],
            Verdict::NotRun,
            "did not run",
        ),
        (
            "no answer yet",
            vec![won, placed, unknown],
            Verdict::Unknown,
            "not known",
        ),
        (
            "answer lost",
            vec![won, placed, unknown, open],
            Verdict::Unknown,
            "wtd unresolved",
        ),
        (
            "found to have run",
            vec![won, placed, unknown, settled_ran],
            Verdict::Ran,
            "it ran",
        ),
        (
            "a note decides nothing",
            vec![won, placed, unknown, settled_with_note],
            Verdict::Ran,
            "ran",
        ),
        (
            "found not to have run",
            vec![won, placed, unknown, open, settled_as_not_run],
            Verdict::NotRun,
            "not run",
        ),
        (
            "hung up",
            vec![placed, gone],
            Verdict::Unknown,
            "hung up before the end",
        ),
        (
            "hung up, ran",
            vec![placed, gone, recorded],
            Verdict::Ran,
            "hung up",
        ),
        (
            "later kind, unsent",
            vec![received, future],
            Verdict::NotRun,
            "did not run",
        ),
        (
            "later kind, sent",
            vec![received, placed, future],
            Verdict::Unknown,
            "not known",
        ),
    ];
    for (name, kinds, verdict, part) in cases {
        let explained = explain::explain(REQUEST, &events(&kinds)).expect(name);
        assert_eq!(explained.verdict, verdict, "{name}: {explained:#?}");
        assert!(
            explained.conclusion.contains(part),
            "{name}: {}",
            explained.conclusion
        );
    }
}

#[test]
fn a_refusal_has_the_outcome_of_its_error_kind() {
    for kind in ErrorKind::ALL {
        let detail = format!("{kind}: because");
        let refused = events(&[(EventKind::RequestRefused, &detail)]);
        let explained = explain::explain(REQUEST, &refused).expect("events");
        let outcome = kind.answer().outcome.to_string();
        let verdict = serde_json::to_value(explained.verdict).expect("a word");
        assert_eq!(verdict, outcome, "{kind}");
    }
}

#[test]
fn the_text_names_account_host_time_and_reason() {
    let events_with_detail = events(&[
        (EventKind::RequestReceived, "school asked for draft"),
        (
            EventKind::RequestPlaced,
            "sent to drafter-1: it holds the prompt.",
        ),
        (EventKind::EndpointRestarted, ""),
    ]);
    let text = explain::explain(REQUEST, &events_with_detail)
        .expect("events")
        .text();
    let expected = [
        "Request 0190-request of school reached host north-1 on 2023-11-14 22:13:20.001 UTC.",
        "As entry on north-1 saw it:\n       0 ms  The request came in: school asked for draft.\n",
        "1 ms  An endpoint was chosen: sent to drafter-1: it holds the prompt.\n",
        "2 ms  Endpoint restarted.\n",
        "In short: no end is on record.",
    ];
    for line in expected {
        assert!(text.contains(line), "{line:?} not in {text}");
    }
}

#[test]
fn other_requests_are_left_out() {
    let mut all = events(&[
        (EventKind::RequestReceived, "mine"),
        (EventKind::RequestReceived, "theirs"),
    ]);
    all[1].request = Some("other".into());
    let explained = explain::explain(REQUEST, &all).expect("events");
    assert_eq!(explained.steps.len(), 1);
    assert_eq!(explain::explain("third", &all), None);
}
