//! Use of idle connections for requests that must not run twice, around the cut of a failure domain.

use std::time::Duration;

use tokio::{
    net::TcpListener,
    task::{
        self,
        LocalSet, //
    },
};
use wagtaildoor::{
    boot_clock::BootInstant,
    ids::DomainId, //
};
use wagtaildoor_front::{
    broken_links::BrokenLinks,
    endpoint_connection::{
        ConnectionPool,
        ConnectionUse, //
    },
};

/// Time in milliseconds after boot.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

/// Accepts connections and leaves them open.
async fn accept_all(listener: TcpListener) {
    let mut open = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        open.push(stream);
    }
}

/// Runs a test with a pool that has one connection, idle since second 10.
fn with_idle_connection(announced: Option<Duration>, test: impl FnOnce(&ConnectionPool)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let pool = ConnectionPool::new(listener.local_addr().expect("an address"));
        task::spawn_local(accept_all(listener));
        let connection = pool.connect().await.expect("a connection");
        pool.put_idle(connection, announced, at(10_000));
        test(&pool);
    });
}

#[test]
fn a_connection_within_the_announced_limit_carries_requests_that_run_once() {
    let announced = Some(Duration::from_secs(10));
    with_idle_connection(announced, |pool| {
        let usage = ConnectionUse::AtMostOnce(BootInstant::ZERO);
        assert!(pool.take_idle(usage, at(15_000)).is_some());
    });
    with_idle_connection(announced, |pool| {
        let usage = ConnectionUse::AtMostOnce(BootInstant::ZERO);
        assert!(pool.take_idle(usage, at(17_500)).is_none(), "7 s of 10");
    });
    with_idle_connection(None, |pool| {
        let usage = ConnectionUse::AtMostOnce(BootInstant::ZERO);
        assert!(pool.take_idle(usage, at(11_100)).is_none(), "unannounced");
    });
}

#[test]
fn after_a_broken_connection_only_those_used_since_carry_requests_that_run_once() {
    let north = DomainId::from("north");
    let mut links = BrokenLinks::default();
    links.record(&north, at(12_000));
    assert_eq!(links.trusted_since("south"), BootInstant::ZERO);
    with_idle_connection(Some(Duration::from_secs(10)), |pool| {
        let usage = ConnectionUse::AtMostOnce(links.trusted_since("north"));
        assert!(pool.take_idle(usage, at(12_100)).is_none(), "idle before");
        assert!(pool
            .take_idle(ConnectionUse::Repeatable, at(12_100))
            .is_some());
    });
    links.record(&north, at(9_000));
    with_idle_connection(Some(Duration::from_secs(10)), |pool| {
        let usage = ConnectionUse::AtMostOnce(links.trusted_since("north"));
        assert!(pool.take_idle(usage, at(12_100)).is_some(), "idle since");
    });
}
