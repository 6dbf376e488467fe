//! Endpoint state from the list, reports, responses and polls; cache events; poll assignment.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use tokio::time;
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    endpoint_probe::{
        EndpointProbe,
        ProbeError,
        Result, //
    },
    endpoint_watch::{
        EndpointWatch,
        WatchSettings,
        POLLERS_PER_ENDPOINT,
        SMALL_SYSTEM_HOSTS, //
    },
    schema::{
        CacheEvent,
        CacheEventKind,
        CacheEventPage,
        ConfigHead,
        EndpointNews,
        EndpointState,
        EndpointView,
        HostView,
        ListedEndpoint,
        LoadReport, //
    },
};

const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a poll of a frozen endpoint fails.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which a leaving endpoint may be shown as live.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// Response of a fake endpoint to a poll.
#[derive(Clone)]
enum FakeResponse {
    Report(LoadReport),
    /// The connection fails at once.
    Refused,
    /// The poll times out.
    Frozen,
}

/// Fake endpoints with responses that the test sets.
#[derive(Clone, Default)]
struct FakeProbe {
    responses: Arc<Mutex<HashMap<SocketAddr, FakeResponse>>>,
    events: Arc<Mutex<Vec<CacheEvent>>>,
}

impl FakeProbe {
    fn set_response(&self, index: u16, response: FakeResponse) {
        let mut responses = self.responses.lock().expect("a lock");
        responses.insert(address(index), response);
    }
}

fn failed() -> ProbeError {
    ProbeError {
        reason: "no answer".into(),
    }
}

impl EndpointProbe for FakeProbe {
    async fn load(&self, address: SocketAddr) -> Result<LoadReport> {
        let response = self
            .responses
            .lock()
            .expect("a lock")
            .get(&address)
            .cloned();
        match response {
            Some(FakeResponse::Report(report)) => Ok(report),
            Some(FakeResponse::Frozen) => {
                time::sleep(PROBE_TIMEOUT).await;
                Err(failed())
            }
            Some(FakeResponse::Refused) | None => Err(failed()),
        }
    }

    async fn events(&self, address: SocketAddr, from: u64) -> Result<CacheEventPage> {
        let report = self.load(address).await?;
        let events = self.events.lock().expect("a lock");
        let events = events.iter().filter(|event| event.sequence >= from);
        Ok(CacheEventPage {
            boot_id: report.boot_id,
            events: events.cloned().collect(),
            next: report.events_next,
        })
    }
}

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2000 + index))
}

fn listed(index: u16, state: EndpointState) -> ListedEndpoint {
    ListedEndpoint {
        address: address(index),
        domain: format!("domain-{}", index % 3).into(),
        id: format!("e{index}").into(),
        pool: "assistant".into(),
        state,
    }
}

fn report(boot: &str, leaving: bool) -> LoadReport {
    LoadReport {
        boot_id: boot.into(),
        events_next: 1,
        leaving,
        queued: 0,
        running: 0,
        weights_version: 1,
    }
}

fn host(index: usize) -> HostView {
    HostView {
        alive: true,
        domain: format!("domain-{}", index % 3).into(),
        entries: address(0),
        head: ConfigHead {
            hash: "".into(),
            offset: 0,
            sequence: 0,
        },
        id: format!("host-{index}").into(),
        operators: address(0),
    }
}

fn watch_as(host: &str, probe: &FakeProbe) -> EndpointWatch<FakeProbe> {
    let settings = WatchSettings {
        host: host.into(),
        poll: POLL_INTERVAL,
    };
    EndpointWatch::new(settings, probe.clone(), None, CancellationToken::new())
}

/// Waits until the first endpoint satisfies `wanted` and returns the time it took.
async fn wait_for_first_endpoint(
    watch: &EndpointWatch<FakeProbe>,
    wanted: impl Fn(&EndpointView) -> bool,
) -> Duration {
    let started = time::Instant::now();
    let mut views = watch.endpoints();
    let seen = views.wait_for(|views| views.first().is_some_and(&wanted));
    let seen = time::timeout(Duration::from_secs(60), seen).await;
    seen.expect("in time").expect("a watch");
    started.elapsed()
}

fn is_leaving(view: &EndpointView) -> bool {
    view.state == EndpointState::Leaving
}

/// Creates a watch of one endpoint that has reported.
async fn watch_one_endpoint() -> (EndpointWatch<FakeProbe>, FakeProbe) {
    let probe = FakeProbe::default();
    probe.set_response(0, FakeResponse::Report(report("boot-1", false)));
    let watch = watch_as("host-0", &probe);
    watch.update_list(&[listed(0, EndpointState::Live)]);
    wait_for_first_endpoint(&watch, |view| &*view.boot_id == "boot-1").await;
    (watch, probe)
}

#[tokio::test(start_paused = true)]
async fn a_leaving_endpoint_is_out_within_the_bound_however_it_shows() {
    let cases = [
        ("load report", FakeResponse::Report(report("boot-1", true))),
        ("refused connection", FakeResponse::Refused),
        ("poll timeout", FakeResponse::Frozen),
    ];
    for (name, response) in cases {
        let (watch, probe) = watch_one_endpoint().await;
        // The list lags behind and still shows the endpoint as live.
        watch.update_list(&[listed(0, EndpointState::Live)]);
        probe.set_response(0, response);
        let took = wait_for_first_endpoint(&watch, is_leaving).await;
        assert!(took <= LEAVING_BOUND, "{name}: {took:?}");
    }
    let (watch, _) = watch_one_endpoint().await;
    watch.update_list(&[listed(0, EndpointState::Leaving)]);
    let took = wait_for_first_endpoint(&watch, is_leaving).await;
    assert_eq!(took, Duration::ZERO, "the list");
    watch.update_list(&[]);
    assert!(watch.endpoints().borrow().is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_that_responds_again_becomes_live() {
    let (watch, probe) = watch_one_endpoint().await;
    probe.set_response(0, FakeResponse::Refused);
    wait_for_first_endpoint(&watch, is_leaving).await;
    probe.set_response(0, FakeResponse::Report(report("boot-2", false)));
    wait_for_first_endpoint(&watch, |view| {
        !is_leaving(view) && &*view.boot_id == "boot-2"
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_single_failed_poll_keeps_the_endpoint_live() {
    let (watch, probe) = watch_one_endpoint().await;
    let mut views = watch.endpoints();
    for _ in 0..20 {
        probe.set_response(0, FakeResponse::Refused);
        time::sleep(POLL_INTERVAL).await;
        assert!(!is_leaving(&views.borrow_and_update()[0]));
        probe.set_response(0, FakeResponse::Report(report("boot-1", false)));
        time::sleep(POLL_INTERVAL).await;
        assert!(!is_leaving(&views.borrow_and_update()[0]));
    }
}

#[tokio::test(start_paused = true)]
async fn a_response_reveals_a_restart_and_a_late_one_is_ignored() {
    let (watch, probe) = watch_one_endpoint().await;
    probe.set_response(0, FakeResponse::Report(report("boot-1", true)));
    wait_for_first_endpoint(&watch, is_leaving).await;
    let status = |boot: &str, queued| EndpointNews {
        boot_id: boot.into(),
        endpoint: "e0".into(),
        queued,
        weights_version: 2,
    };
    probe.set_response(0, FakeResponse::Report(report("boot-2", false)));
    watch.apply_endpoint_status(&status("boot-2", 4));
    let view = watch.endpoints().borrow()[0].clone();
    assert_eq!((&*view.boot_id, view.queued), ("boot-2", 4));
    assert!(
        !is_leaving(&view),
        "the new start has not reported that it is leaving"
    );
    // A late response from the earlier start.
    watch.apply_endpoint_status(&status("boot-1", 9));
    let view = watch.endpoints().borrow()[0].clone();
    assert_eq!((&*view.boot_id, view.queued), ("boot-2", 4));
}

#[tokio::test(start_paused = true)]
async fn cache_events_arrive_in_order_with_gaps_marked() {
    let (watch, probe) = watch_one_endpoint().await;
    let mut events = watch.subscribe_cache_events();
    let event = |sequence, kind| CacheEvent {
        blocks: vec![sequence * 10],
        kind,
        sequence,
    };
    *probe.events.lock().expect("a lock") = vec![
        event(1, CacheEventKind::Stored),
        event(2, CacheEventKind::Stored),
        event(3, CacheEventKind::Removed),
        event(6, CacheEventKind::Removed),
    ];
    let mut latest = report("boot-1", false);
    latest.events_next = 7;
    probe.set_response(0, FakeResponse::Report(latest));
    let expected = [
        (CacheEventKind::Stored, vec![10, 20], false),
        (CacheEventKind::Removed, vec![30], false),
        (CacheEventKind::Removed, vec![60], true),
    ];
    for (kind, blocks, gap) in expected {
        let item = events.recv().await.expect("a cache event");
        assert_eq!((item.kind, item.blocks, item.gap), (kind, blocks, gap));
    }
}

#[tokio::test(start_paused = true)]
async fn each_endpoint_is_polled_by_the_intended_number_of_hosts() {
    let probe = FakeProbe::default();
    let list: Vec<ListedEndpoint> = (0..60).map(|i| listed(i, EndpointState::Live)).collect();
    for count in [1, 4, SMALL_SYSTEM_HOSTS, 30] {
        let hosts: Vec<HostView> = (0..count).map(host).collect();
        let mut pollers: HashMap<Box<str>, usize> = HashMap::new();
        for host in &hosts {
            let watch = watch_as(&host.id, &probe);
            watch.update_list(&list);
            watch.update_hosts(&hosts);
            for endpoint in watch.polled_endpoints() {
                *pollers.entry(endpoint).or_default() += 1;
            }
        }
        let expected = match count <= SMALL_SYSTEM_HOSTS {
            true => count,
            false => POLLERS_PER_ENDPOINT,
        };
        assert_eq!(pollers.len(), list.len(), "{count} hosts");
        assert!(
            pollers.values().all(|n| *n == expected),
            "{count} hosts: {pollers:?}"
        );
    }
    // Hosts of other domains poll the endpoints of a failure domain without live hosts.
    let hosts: Vec<HostView> = (0..30).filter(|i| i % 3 != 0).map(host).collect();
    let endpoint = listed(0, EndpointState::Live);
    let polling = hosts.iter().filter(|host| {
        let watch = watch_as(&host.id, &probe);
        watch.update_list(std::slice::from_ref(&endpoint));
        watch.update_hosts(&hosts);
        !watch.polled_endpoints().is_empty()
    });
    assert_eq!(polling.count(), POLLERS_PER_ENDPOINT);
}
