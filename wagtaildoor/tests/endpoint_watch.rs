//! Endpoints: list, own word, answers, silence, new starts, cache events, and who polls whom.

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

/// Time between two polls.
const POLL: Duration = Duration::from_millis(500);
/// Time a poll of a frozen endpoint takes to fail.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time in which a leaving endpoint may still get new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);

/// What a stand-in endpoint answers.
#[derive(Clone)]
enum FakeWord {
    /// This report.
    Report(LoadReport),
    /// Nothing, at once.
    Refused,
    /// Nothing, after the timeout.
    Frozen,
}

/// Endpoints whose answers are set by the test.
#[derive(Clone, Default)]
struct FakeProbe {
    words: Arc<Mutex<HashMap<SocketAddr, FakeWord>>>,
    events: Arc<Mutex<Vec<CacheEvent>>>,
}

impl FakeProbe {
    fn say(&self, index: u16, word: FakeWord) {
        let mut words = self.words.lock().expect("a lock");
        words.insert(address(index), word);
    }
}

fn failed() -> ProbeError {
    ProbeError {
        reason: "no answer".into(),
    }
}

impl EndpointProbe for FakeProbe {
    async fn load(&self, address: SocketAddr) -> Result<LoadReport> {
        let word = self.words.lock().expect("a lock").get(&address).cloned();
        match word {
            Some(FakeWord::Report(report)) => Ok(report),
            Some(FakeWord::Frozen) => {
                time::sleep(PROBE_TIMEOUT).await;
                Err(failed())
            }
            Some(FakeWord::Refused) | None => Err(failed()),
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
        poll: POLL,
    };
    EndpointWatch::new(settings, probe.clone(), None, CancellationToken::new())
}

/// Waits until the first endpoint is as wanted; gives the time it took.
async fn await_first(
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

/// A watch of one endpoint that was heard.
async fn one_endpoint() -> (EndpointWatch<FakeProbe>, FakeProbe) {
    let probe = FakeProbe::default();
    probe.say(0, FakeWord::Report(report("boot-1", false)));
    let watch = watch_as("host-0", &probe);
    watch.update_list(&[listed(0, EndpointState::Live)]);
    await_first(&watch, |view| &*view.boot_id == "boot-1").await;
    (watch, probe)
}

#[tokio::test(start_paused = true)]
async fn a_leaving_endpoint_is_out_within_the_bound_however_it_shows() {
    let cases = [
        ("its own word", FakeWord::Report(report("boot-1", true))),
        ("refused connections", FakeWord::Refused),
        ("no answer", FakeWord::Frozen),
    ];
    for (name, word) in cases {
        let (watch, probe) = one_endpoint().await;
        // The list lags: it goes on to call the endpoint live.
        watch.update_list(&[listed(0, EndpointState::Live)]);
        probe.say(0, word);
        let took = await_first(&watch, is_leaving).await;
        assert!(took <= LEAVING_BOUND, "{name}: {took:?}");
    }
    let (watch, _) = one_endpoint().await;
    watch.update_list(&[listed(0, EndpointState::Leaving)]);
    let took = await_first(&watch, is_leaving).await;
    assert_eq!(took, Duration::ZERO, "the list");
    watch.update_list(&[]);
    assert!(watch.endpoints().borrow().is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_endpoint_that_answers_again_gets_work_again() {
    let (watch, probe) = one_endpoint().await;
    probe.say(0, FakeWord::Refused);
    await_first(&watch, is_leaving).await;
    probe.say(0, FakeWord::Report(report("boot-2", false)));
    await_first(&watch, |view| {
        !is_leaving(view) && &*view.boot_id == "boot-2"
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn one_lost_poll_takes_nobody_out() {
    let (watch, probe) = one_endpoint().await;
    let mut views = watch.endpoints();
    for _ in 0..20 {
        probe.say(0, FakeWord::Refused);
        time::sleep(POLL).await;
        assert!(!is_leaving(&views.borrow_and_update()[0]));
        probe.say(0, FakeWord::Report(report("boot-1", false)));
        time::sleep(POLL).await;
        assert!(!is_leaving(&views.borrow_and_update()[0]));
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_tells_of_a_new_start_before_any_poll_and_a_late_one_does_not_go_back() {
    let (watch, probe) = one_endpoint().await;
    probe.say(0, FakeWord::Report(report("boot-1", true)));
    await_first(&watch, is_leaving).await;
    let news = |boot: &str, queued| EndpointNews {
        boot_id: boot.into(),
        endpoint: "e0".into(),
        queued,
        weights_version: 2,
    };
    probe.say(0, FakeWord::Report(report("boot-2", false)));
    watch.apply_endpoint_news(&news("boot-2", 4));
    let view = watch.endpoints().borrow()[0].clone();
    assert_eq!((&*view.boot_id, view.queued), ("boot-2", 4));
    assert!(
        !is_leaving(&view),
        "the new start has not said that it leaves"
    );
    // An answer of the old start that comes late.
    watch.apply_endpoint_news(&news("boot-1", 9));
    let view = watch.endpoints().borrow()[0].clone();
    assert_eq!((&*view.boot_id, view.queued), ("boot-2", 4));
}

#[tokio::test(start_paused = true)]
async fn cache_events_come_in_order_and_missing_ones_are_marked() {
    let (watch, probe) = one_endpoint().await;
    let mut news = watch.news();
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
    let mut present = report("boot-1", false);
    present.events_next = 7;
    probe.say(0, FakeWord::Report(present));
    let expected = [
        (CacheEventKind::Stored, vec![10, 20], false),
        (CacheEventKind::Removed, vec![30], false),
        (CacheEventKind::Removed, vec![60], true),
    ];
    for (kind, blocks, gap) in expected {
        let item = news.recv().await.expect("news");
        assert_eq!((item.kind, item.blocks, item.gap), (kind, blocks, gap));
    }
}

#[tokio::test(start_paused = true)]
async fn each_endpoint_is_polled_by_enough_hosts_and_not_by_all() {
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
    // A failure domain without a live host is polled from elsewhere.
    let hosts: Vec<HostView> = (0..30).filter(|i| i % 3 != 0).map(host).collect();
    let far = listed(0, EndpointState::Live);
    let polling = hosts.iter().filter(|host| {
        let watch = watch_as(&host.id, &probe);
        watch.update_list(std::slice::from_ref(&far));
        watch.update_hosts(&hosts);
        !watch.polled_endpoints().is_empty()
    });
    assert_eq!(polling.count(), POLLERS_PER_ENDPOINT);
}
