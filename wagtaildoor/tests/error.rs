//! Response of each error kind.

use std::collections::HashSet;

use wagtaildoor::error::{
    ErrorKind,
    RunOutcome, //
};

#[test]
fn error_kind_names_are_unique() {
    let names: HashSet<String> = ErrorKind::ALL.iter().map(ToString::to_string).collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
}

#[test]
fn not_run_is_never_said_where_a_copy_of_the_request_may_have_run() {
    let sent = [
        ErrorKind::KeyExpired,
        ErrorKind::KeyUnchecked,
        ErrorKind::PlatformUnavailable,
        ErrorKind::EndpointFailed,
        ErrorKind::StreamBroken,
        ErrorKind::DeadlinePassed,
        ErrorKind::OutcomeUnknown,
        ErrorKind::KeyInProgress,
        ErrorKind::AnswerNotKept,
        ErrorKind::Internal,
    ];
    for kind in ErrorKind::ALL {
        let not_run = kind.answer().outcome == RunOutcome::NotRun;
        assert_eq!(not_run, !sent.contains(&kind), "{kind}");
    }
}

#[test]
fn statuses_are_errors() {
    for kind in ErrorKind::ALL {
        let status = kind.answer().status;
        assert!((400..600).contains(&status), "{kind}: {status}");
    }
}

#[test]
fn a_shortage_before_the_claim_does_not_say_not_run() {
    let shortages = [
        ErrorKind::AccountLimited,
        ErrorKind::Overloaded,
        ErrorKind::DeadlineUnreachable,
        ErrorKind::NoEndpoint,
        ErrorKind::NotConfigured,
    ];
    for kind in shortages {
        assert_eq!(kind.before_claim(), ErrorKind::KeyUnchecked, "{kind}");
    }
    assert_eq!(ErrorKind::Forbidden.before_claim(), ErrorKind::Forbidden);
}
