//! A host's part of an endpoint's limit, by what it knows of the other hosts.

use std::{
    rc::Rc,
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::{
    control_store::{
        ControlPage,
        ControlRecord,
        ControlStream,
        GroupMember, //
    },
    endpoint::Endpoint,
    endpoint_limit::limit_news,
    front::Front,
    record_updates::{
        self,
        PageSource, //
    },
    stream_position::StreamPosition,
    wire_codec::StatedRate,
};

#[path = "support/test_host.rs"]
mod test_host;

use test_host::{
    new_host,
    TextCodec, //
};

const LIMIT_PER_S: f64 = 8.0;
/// Time in which a whole request accrues for any sender.
const ACCRUAL_TIME: Duration = Duration::from_secs(2);

/// Lists an endpoint that has just named a limit in an answer to a host.
fn limited_endpoint(front: &Front) -> Rc<Endpoint> {
    let record = ControlRecord {
        position: StreamPosition::new(0, 0),
        key: "e".into(),
        value: Some("1".into()),
    };
    let page = ControlPage {
        records: vec![record],
        next: StreamPosition::new(0, 1),
        has_more: false,
    };
    let stream = ControlStream::Endpoints;
    record_updates::apply_page::<TextCodec>(front, stream, &page, PageSource::Changes, None);
    let endpoint = front.endpoints.borrow().get("e").expect("listed").clone();
    let rate = StatedRate::PerSecond(LIMIT_PER_S);
    limit_news::apply_answer(front, &endpoint, rate, BootInstant::now());
    endpoint
}

/// Gives a host a list of all hosts, which has it and no other.
fn apply_list(front: &Front) {
    let members: Vec<GroupMember> = vec![front.own_member()];
    let mut peers = front.peers.borrow_mut();
    peers.apply_group_list(members, BootInstant::now());
}

/// Guards against LIMIT: hosts that join while the store does not answer know nobody, and each takes the
/// whole limit.
#[test]
fn a_host_without_a_list_of_hosts_waits_before_it_sends_to_a_limited_endpoint() {
    let front = new_host();
    let endpoint = limited_endpoint(&front);
    let now = BootInstant::now();
    assert!(!limit_news::has_room(&front, &endpoint, now + ACCRUAL_TIME));
    apply_list(&front);
    let later = now + ACCRUAL_TIME * 2;
    assert!(!limit_news::has_room(&front, &endpoint, later));
    assert!(limit_news::has_room(
        &front,
        &endpoint,
        later + ACCRUAL_TIME
    ));
}

/// Guards against a host that never sends: the store may be away for long, or the host alone.
#[test]
fn a_host_that_gets_no_list_of_hosts_goes_by_those_that_it_heard() {
    let front = new_host();
    let endpoint = limited_endpoint(&front);
    let now = BootInstant::now();
    let is_room = |after: Duration| limit_news::has_room(&front, &endpoint, now + after);
    assert!(!is_room(ACCRUAL_TIME));
    assert!(!is_room(ACCRUAL_TIME * 3));
    assert!(is_room(ACCRUAL_TIME * 4));
}
