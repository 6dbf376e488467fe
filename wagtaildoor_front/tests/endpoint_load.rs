//! Load of an endpoint, from this host's requests, the endpoint's reports and other hosts' hints.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::{
    endpoint_load::EndpointLoad,
    wire_codec::LoadReading, //
};

/// Time in milliseconds after boot.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

#[test]
fn own_requests_count_exactly_and_those_of_other_hosts_decay() {
    let mut load = EndpointLoad::new(32);
    load.add_request(5_000);
    load.add_request(1_000);
    load.start_response(1_000);
    let reading = LoadReading {
        running: 5,
        waiting: 3,
        slots: 32,
    };
    load.apply_report(reading, at(0));
    assert_eq!(load.estimated_requests(at(0)), 8.0);
    assert_eq!(load.estimated_requests(at(1_000)), 5.0);
    load.finish_response();
    load.remove_request(5_000);
    assert_eq!(load.own_requests(), 0);
    assert_eq!(load.own_prefill_tokens(), 0);
    assert_eq!(load.estimated_requests(at(0)), 6.0);
}

#[test]
fn the_newest_prefill_report_of_each_host_counts_until_it_expires() {
    let mut load = EndpointLoad::new(32);
    let first = "10.0.0.1:7000".parse().expect("an address");
    let second = "10.0.0.2:7000".parse().expect("an address");
    load.add_request(1_000);
    load.set_peer_prefill(first, 4_000, at(0));
    load.set_peer_prefill(first, 2_000, at(100));
    load.set_peer_prefill(second, 500, at(200));
    assert_eq!(load.total_prefill_tokens(at(200)), 3_500.0);
    load.set_peer_prefill(second, 0, at(300));
    assert_eq!(load.total_prefill_tokens(at(300)), 3_000.0);
    assert_eq!(load.total_prefill_tokens(at(1_700)), 1_000.0);
}

#[test]
fn an_endpoint_counts_as_full_for_a_short_time() {
    let mut load = EndpointLoad::new(32);
    load.mark_full(at(1_000));
    assert!(load.is_full(at(1_299)));
    assert!(!load.is_full(at(1_300)));
}
