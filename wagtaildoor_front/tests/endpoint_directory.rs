//! Registry of endpoints under stale records, restarts under the same name, and store outages.

use std::{
    rc::Rc,
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::{
    endpoint::{
        EndpointRecord,
        EndpointState, //
    },
    endpoint_directory::{
        DirectoryChange,
        EndpointDirectory,
        RELISTING_GRACE, //
    },
    endpoint_limit::LimitStatement,
};

/// Creates an endpoint's record.
fn record(id: &str, started_ms: u64, revision: u64, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        service: "drafters".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "kl-a".into(),
        state,
        slots: 32,
        warm_up: Duration::ZERO,
        weights: vec![("m".into(), 1)],
        started_ms,
        revision,
    }
}

/// Time of the operations.
const NOW: BootInstant = BootInstant::ZERO;

#[test]
fn a_stale_record_does_not_make_a_leaving_endpoint_ready() {
    let mut directory = EndpointDirectory::default();
    let first = directory.apply_record(record("a", 1, 1, EndpointState::Ready), NOW);
    assert_eq!(first, DirectoryChange::Appeared);
    let leaving = directory.apply_record(record("a", 1, 5, EndpointState::Draining), NOW);
    assert_eq!(leaving, DirectoryChange::Leaving);
    let late = directory.apply_record(record("a", 1, 4, EndpointState::Ready), NOW);
    assert_eq!(late, DirectoryChange::None);
    assert!(!directory.get("a").expect("known").is_accepting_requests());
}

#[test]
fn a_restart_under_the_same_name_is_another_endpoint() {
    let mut directory = EndpointDirectory::default();
    directory.apply_record(record("a", 1, 9, EndpointState::Ready), NOW);
    let before = directory.get("a").expect("known").clone();
    before.record_weights(&"m".into(), 7);
    let again = directory.apply_record(record("a", 2, 1, EndpointState::Ready), NOW);
    assert_eq!(again, DirectoryChange::Appeared);
    let after = directory.get("a").expect("known").clone();
    assert_ne!(
        before.key, after.key,
        "cached blocks do not survive the restart"
    );
    assert!(!before.is_accepting_requests());
    assert_eq!(after.weights("m"), 1);
    let stale = directory.apply_record(record("a", 1, 10, EndpointState::Ready), NOW);
    assert_eq!(stale, DirectoryChange::None);
    assert_eq!(directory.get("a").expect("known").key, after.key);
    assert_eq!(directory.service_endpoints("drafters").len(), 1);
}

#[test]
fn a_removed_endpoint_takes_no_more_work() {
    let mut directory = EndpointDirectory::default();
    directory.apply_record(record("a", 1, 1, EndpointState::Ready), NOW);
    let held = directory.get("a").expect("known").clone();
    assert!(directory.mark_gone(&"a".into(), None, NOW));
    assert!(!held.is_accepting_requests());
    assert!(directory.service_endpoints("drafters").is_empty());
}

#[test]
fn after_an_outage_endpoints_have_time_to_register_again() {
    let mut directory = EndpointDirectory::default();
    for id in ["back", "gone"] {
        directory.apply_record(record(id, 1, 1, EndpointState::Ready), NOW);
        assert!(!directory.mark_gone(&id.into(), Some(NOW + RELISTING_GRACE), NOW));
    }
    directory.apply_record(record("back", 1, 2, EndpointState::Ready), NOW);
    let just_before = NOW + (RELISTING_GRACE - Duration::from_millis(1));
    assert!(directory.expire_missing(just_before).is_empty());
    assert_eq!(directory.service_endpoints("drafters").len(), 2);
    let expired = directory.expire_missing(NOW + RELISTING_GRACE);
    assert_eq!(expired, [Box::from("gone")]);
    assert_eq!(directory.service_endpoints("drafters").len(), 1);
}

#[test]
fn a_complete_list_removes_endpoints_that_it_does_not_contain() {
    let mut directory = EndpointDirectory::default();
    for id in ["a", "b", "c"] {
        directory.apply_record(record(id, 1, 1, EndpointState::Ready), NOW);
    }
    let gone = directory.retain_listed(|id| id == "b", None, NOW);
    assert_eq!(gone.len(), 2);
    assert_eq!(directory.len(), 1);
}

#[test]
fn weights_never_go_back_within_one_start() {
    let mut directory = EndpointDirectory::default();
    directory.apply_record(record("a", 1, 1, EndpointState::Ready), NOW);
    let endpoint = directory.get("a").expect("known").clone();
    endpoint.record_weights(&"m".into(), 3);
    directory.apply_record(record("a", 1, 2, EndpointState::Ready), NOW);
    assert_eq!(endpoint.weights("m"), 3, "the record lags behind the order");
    assert_eq!(endpoint.published_weights("m"), 1);
}

/// Guards against DRAIN: an entry that expires and is written again makes an endpoint of the same start,
/// of which nobody knows any more that it leaves.
#[test]
fn an_endpoint_that_is_listed_again_is_still_leaving() {
    let mut directory = EndpointDirectory::default();
    directory.apply_record(record("a", 1, 1, EndpointState::Ready), NOW);
    let told = directory.get("a").expect("known").clone();
    assert!(told.record_leaving(NOW));
    assert!(directory.mark_gone(&"a".into(), None, NOW));
    directory.apply_record(record("a", 1, 2, EndpointState::Ready), NOW);
    let again = directory.get("a").expect("known").clone();
    assert!(!again.is_accepting_requests());
    directory.apply_record(record("a", 2, 1, EndpointState::Ready), NOW);
    let restarted = directory.get("a").expect("known").clone();
    assert!(restarted.is_accepting_requests(), "another start");
}

/// Guards against DRAIN: an answer that comes after its endpoint was removed says that it leaves.
#[test]
fn an_answer_after_the_removal_counts_once_the_endpoint_is_listed_again() {
    let mut directory = EndpointDirectory::default();
    directory.apply_record(record("a", 1, 1, EndpointState::Ready), NOW);
    let told = directory.get("a").expect("known").clone();
    assert!(directory.mark_gone(&"a".into(), None, NOW));
    assert!(told.record_leaving(NOW));
    directory.apply_record(record("a", 1, 2, EndpointState::Ready), NOW);
    let again = directory.get("a").expect("known").clone();
    assert!(!again.is_accepting_requests());
}

/// Guards against LIMIT: an entry that expires and is written again makes an endpoint of the same start,
/// of whose limit nobody knows any more.
#[test]
fn an_endpoint_that_is_listed_again_is_still_limited() {
    let mut directory = EndpointDirectory::default();
    directory.apply_record(record("a", 1, 1, EndpointState::Ready), NOW);
    let told = directory.get("a").expect("known").clone();
    let statement = LimitStatement {
        per_s: Some(2.6),
        said_at: NOW,
    };
    told.statements.limit.borrow_mut().record(statement, NOW);
    assert!(directory.mark_gone(&"a".into(), None, NOW));
    directory.apply_record(record("a", 1, 2, EndpointState::Ready), NOW);
    let again = directory.get("a").expect("known").clone();
    assert_eq!(again.statements.limit.borrow().per_s(), Some(2.6));
    directory.apply_record(record("a", 2, 1, EndpointState::Ready), NOW);
    let restarted = directory.get("a").expect("known").clone();
    assert_eq!(
        restarted.statements.limit.borrow().per_s(),
        None,
        "another start"
    );
}

/// Guards against memory that grows with each endpoint that was ever removed.
#[test]
fn what_a_removed_endpoint_said_is_forgotten_in_the_end() {
    let mut directory = EndpointDirectory::default();
    directory.apply_record(record("a", 1, 1, EndpointState::Ready), NOW);
    let told = directory.get("a").expect("known").clone();
    assert!(told.record_leaving(NOW));
    assert!(directory.mark_gone(&"a".into(), None, NOW));
    let statements = Rc::downgrade(&told.statements);
    drop(told);
    directory.expire_missing(NOW + Duration::from_secs(300));
    assert!(statements.upgrade().is_some(), "it may be listed again");
    directory.expire_missing(NOW + Duration::from_secs(600));
    assert!(statements.upgrade().is_none());
}
