//! Tests five hosts of real processes: restarts, crashes, frozen processes, network cuts and
//! outages of the platform.

use std::{
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        Arc, Mutex,
    },
    time::{
        Duration,
        Instant, //
    },
};

use reqwest::Client;
use tokio::{
    task::JoinSet,
    time, //
};
use wagtaildoor::schema::KeeperStatus;
use wagtaildoor_fakes::fake_engine::engine_faults::EngineFaults;

use crate::deployment::{
    Deployment,
    ReceivedResponse,
    HOST_DOMAINS,
    POLL_INTERVAL, //
    WAIT_TIMEOUT,
};

#[path = "support/deployment.rs"]
mod deployment;

/// Number of concurrent callers.
const CALLER_COUNT: usize = 4;
/// Longest time until a leaving endpoint gets no more new requests.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(3);
/// Longest time until a published configuration is in force on all hosts.
const MAX_CONFIG_DELAY: Duration = Duration::from_secs(6);

/// Load generator that acts as the load balancer: polls the entries for readiness and sends
/// requests to the ready ones in turn.
struct LoadGenerator {
    ready: Vec<AtomicBool>,
    next: AtomicUsize,
    urls: Vec<[String; 3]>,
    client: Client,
    is_stopped: AtomicBool,
    succeeded: AtomicUsize,
    failures: Mutex<Vec<String>>,
}

impl LoadGenerator {
    fn start(deployment: &Deployment) -> (Arc<Self>, JoinSet<()>) {
        let urls = |index| {
            let paths = ["/ready", "/v1/completions", "/v1/services/order"];
            paths.map(|path| deployment.entry_url(index, path))
        };
        let load = Arc::new(Self {
            ready: HOST_DOMAINS
                .iter()
                .map(|_| AtomicBool::new(false))
                .collect(),
            next: AtomicUsize::new(0),
            urls: (0..HOST_DOMAINS.len()).map(urls).collect(),
            client: deployment.client.clone(),
            is_stopped: AtomicBool::new(false),
            succeeded: AtomicUsize::new(0),
            failures: Mutex::default(),
        });
        let mut tasks = JoinSet::new();
        for index in 0..HOST_DOMAINS.len() {
            tasks.spawn(Arc::clone(&load).poll_readiness(index));
        }
        for caller in 0..CALLER_COUNT {
            tasks.spawn(Arc::clone(&load).send_requests(caller % 2 == 0));
        }
        (load, tasks)
    }

    async fn poll_readiness(self: Arc<Self>, index: usize) {
        while !self.is_stopped.load(Ordering::SeqCst) {
            let response = self.client.get(&self.urls[index][0]).send().await;
            let ready = response.is_ok_and(|response| response.status().is_success());
            self.ready[index].store(ready, Ordering::SeqCst);
            time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn send_requests(self: Arc<Self>, orders: bool) {
        while !self.is_stopped.load(Ordering::SeqCst) {
            let index = self.next.fetch_add(1, Ordering::SeqCst) % HOST_DOMAINS.len();
            if !self.ready[index].load(Ordering::SeqCst) {
                time::sleep(POLL_INTERVAL / 10).await;
                continue;
            }
            let [_, draft, order] = &self.urls[index];
            let response = match orders {
                true => deployment::send_order(&self.client, order).await,
                false => deployment::send_draft(&self.client, draft).await,
            };
            self.record_response(index, orders, response);
        }
    }

    fn record_response(&self, index: usize, orders: bool, response: ReceivedResponse) {
        if response.is_success() {
            self.succeeded.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let mut failures = self.failures.lock().expect("the lock is not poisoned");
        failures.push(format!("entry {index}, order {orders}: {response:?}"));
    }

    async fn finish(&self, mut tasks: JoinSet<()>) -> usize {
        self.is_stopped.store(true, Ordering::SeqCst);
        while let Some(ended) = tasks.join_next().await {
            ended.expect("the task does not panic");
        }
        let failures = self
            .failures
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        let succeeded = self.succeeded.load(Ordering::SeqCst);
        assert!(
            failures.is_empty(),
            "{} of {succeeded} failed: {failures:#?}",
            failures.len()
        );
        succeeded
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rolling_restart_under_load_fails_no_request() {
    let mut deployment = Deployment::start().await;
    let (load, tasks) = LoadGenerator::start(&deployment);
    for index in 0..HOST_DOMAINS.len() {
        let entry = deployment.hosts[index].entry.take();
        assert!(
            deployment::terminate(entry).await.success(),
            "entry {index}"
        );
        let keeper = deployment.hosts[index].keeper.take();
        assert!(
            deployment::terminate(keeper).await.success(),
            "keeper {index}"
        );
        deployment.start_keeper(index);
        deployment.start_entry(index);
        deployment.await_ready(index).await;
    }
    // Restarts the keepers alone, while their entries keep running.
    for index in 0..HOST_DOMAINS.len() {
        let keeper = deployment.hosts[index].keeper.take();
        assert!(
            deployment::terminate(keeper).await.success(),
            "keeper {index}"
        );
        deployment.start_keeper(index);
        deployment.await_keeper(index).await;
    }
    let succeeded = load.finish(tasks).await;
    println!("rolling restart: {succeeded} requests, none failed");
    assert!(succeeded > 100, "only {succeeded} requests");
    let counts = deployment.service.counts();
    assert!(counts.effects_by_key.values().all(|effects| *effects == 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_platform_down_leaves_repeatable_work_and_runs_nothing_else() {
    let mut deployment = Deployment::start().await;
    deployment.set_outage(true);
    for index in 0..HOST_DOMAINS.len() {
        assert!(
            deployment.send_draft(index).await.is_success(),
            "entry {index}"
        );
    }
    // Only the log knows whether an earlier attempt ran, so the order is refused. This copy did not
    // run.
    let refused = deployment.send_order(0).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(
        refused.body.contains("this copy did not run"),
        "{refused:?}"
    );
    assert_eq!(deployment.service.counts().effects, 0);
    // A restarted entry gets its view from its keeper.
    deployment::kill(deployment.hosts[0].entry.take());
    let started = Instant::now();
    deployment.start_entry(0);
    while !deployment.send_draft(0).await.is_success() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "no successful response");
    }
    println!(
        "entry, platform down, to first answer: {:?}",
        started.elapsed()
    );
    // A restarted host gets the configuration from its peers, without the log and the list.
    for host in [1, 4] {
        deployment::kill(deployment.hosts[host].entry.take());
        deployment::kill(deployment.hosts[host].keeper.take());
        let started = Instant::now();
        deployment.start_keeper(host);
        deployment.start_entry(host);
        while !deployment.send_draft(host).await.is_success() {
            assert!(started.elapsed() < WAIT_TIMEOUT, "no successful response");
        }
        println!(
            "host, platform down, to first answer: {:?}",
            started.elapsed()
        );
    }
    deployment.set_outage(false);
    let ordered = async {
        while !deployment.send_order(0).await.is_success() {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    time::timeout(WAIT_TIMEOUT, ordered)
        .await
        .expect("orders run again");
    let counts = deployment.service.counts();
    assert!(counts.effects_by_key.values().all(|effects| *effects == 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_herd_restart_a_frozen_keeper_and_a_crashed_one_stop_no_entry() {
    let mut deployment = Deployment::start().await;
    for index in 0..HOST_DOMAINS.len() {
        deployment::kill(deployment.hosts[index].entry.take());
        deployment::kill(deployment.hosts[index].keeper.take());
    }
    let started = Instant::now();
    for index in 0..HOST_DOMAINS.len() {
        deployment.start_keeper(index);
        deployment.start_entry(index);
    }
    for index in 0..HOST_DOMAINS.len() {
        while !deployment.send_draft(index).await.is_success() {
            assert!(started.elapsed() < WAIT_TIMEOUT, "no successful response");
        }
    }
    println!(
        "herd restart of all, to an answer of each: {:?}",
        started.elapsed()
    );
    for index in 0..HOST_DOMAINS.len() {
        deployment.await_all_known(index).await;
    }
    // While the keeper is frozen, drafts still succeed. Orders succeed again once the entry has
    // switched to the next keeper.
    let frozen = deployment.hosts[0]
        .keeper
        .as_ref()
        .expect("the keeper is running");
    deployment::send_signal(frozen, "STOP");
    assert!(deployment.send_draft(0).await.is_success());
    let ordered = async {
        while !deployment.send_order(0).await.is_success() {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    time::timeout(WAIT_TIMEOUT, ordered)
        .await
        .expect("orders go on");
    deployment::send_signal(frozen, "CONT");
    for index in 0..HOST_DOMAINS.len() {
        deployment.await_all_known(index).await;
    }
    // Host 4 has the only keeper of its failure domain. After its crash the entry keeps using the
    // last view.
    deployment::kill(deployment.hosts[4].keeper.take());
    assert!(deployment.send_draft(4).await.is_success());
    deployment
        .await_status(0, |status| {
            let host = status.hosts.iter().find(|host| &*host.id == "host-4");
            host.is_none_or(|host| !host.alive)
        })
        .await;
    deployment.start_keeper(4);
    for index in 0..HOST_DOMAINS.len() {
        deployment.await_all_known(index).await;
    }
    assert!(deployment.send_order(4).await.is_success());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_domain_cut_from_the_platform_gets_the_configuration_from_its_peers() {
    let mut deployment = Deployment::start().await;
    deployment.disconnect_platform(2);
    assert!(deployment.send_draft(4).await.is_success());
    let changes = serde_json::json!([deployment::template("draft", "drafter", "")]);
    deployment.publish(0, "second", changes).await;
    let published = Instant::now();
    for index in 0..HOST_DOMAINS.len() {
        deployment
            .await_status(index, |status| status.head.sequence == 2)
            .await;
    }
    let took = published.elapsed();
    println!("in force at all, one domain cut from the platform: {took:?}");
    assert!(took < MAX_CONFIG_DELAY, "{took:?}");
    let refused = deployment.send_order(4).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(
        refused.body.contains("this copy did not run"),
        "{refused:?}"
    );
    assert_eq!(deployment.service.counts().effects, 0);
    // The other failure domains still reach the log.
    assert!(deployment.send_order(2).await.is_success());
    deployment.connect_platform(2).await;
    let ordered = async {
        while !deployment.send_order(4).await.is_success() {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    time::timeout(WAIT_TIMEOUT, ordered)
        .await
        .expect("orders run again");
    let status = deployment.status(4).await.expect("the keeper responds");
    assert_eq!(status.head.sequence, 2, "it went back");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_endpoint_gets_no_new_work_after_the_bound_though_the_list_lags() {
    let deployment = Deployment::start().await;
    let (load, tasks) = LoadGenerator::start(&deployment);
    let engine = &deployment.engines[0];
    // The list still contains the engine as live.
    let mut faults = engine.faults();
    faults.leaving = true;
    engine.set_faults(EngineFaults { ..faults });
    time::sleep(MAX_LEAVING_DELAY).await;
    let counts = engine.counts();
    let before = counts.taken + counts.refused;
    let succeeded = load.succeeded.load(Ordering::SeqCst);
    let more = async {
        while load.succeeded.load(Ordering::SeqCst) < succeeded + 100 {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    let more = time::timeout(WAIT_TIMEOUT, more).await;
    assert!(
        more.is_ok(),
        "{:#?}",
        load.failures.lock().expect("the lock is not poisoned")
    );
    let counts = engine.counts();
    assert_eq!(
        counts.taken + counts.refused,
        before,
        "new work after the bound"
    );
    load.finish(tasks).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rollout_fails_no_request_and_takes_no_last_engine() {
    let mut deployment = Deployment::start().await;
    let (load, tasks) = LoadGenerator::start(&deployment);
    let ended = deployment.roll_out(0, 2).await;
    assert!(ended.starts_with("stopped: "), "{ended}");
    let status = deployment.status(0).await.expect("the keeper responds");
    assert_eq!(status.head.sequence, 1, "it raised the weights");
    for domain in 0..3 {
        deployment.add_engine(domain).await;
    }
    let serving = |status: &KeeperStatus, weights| {
        let engines = status
            .endpoints
            .iter()
            .filter(|one| &*one.pool == "drafter");
        engines.filter(|one| one.weights_version == weights).count()
    };
    deployment
        .await_status(1, |status| serving(status, 1) == 6)
        .await;
    let ended = deployment.roll_out(1, 2).await;
    assert_eq!(&*ended, "all replicas have the new weights");
    for index in 0..HOST_DOMAINS.len() {
        let done = |status: &KeeperStatus| status.head.sequence == 2 && serving(status, 2) == 6;
        deployment.await_status(index, done).await;
    }
    let succeeded = load.finish(tasks).await;
    println!("{succeeded} requests over a rollout, none failed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn without_any_peer_or_platform_an_entry_says_what_it_lacks() {
    let mut deployment = Deployment::start().await;
    deployment.set_outage(true);
    for index in 0..HOST_DOMAINS.len() {
        deployment::kill(deployment.hosts[index].entry.take());
        deployment::kill(deployment.hosts[index].keeper.take());
    }
    for index in 0..HOST_DOMAINS.len() {
        deployment.start_keeper(index);
        deployment.start_entry(index);
    }
    for index in 0..HOST_DOMAINS.len() {
        deployment.await_keeper(index).await;
        let mut response = deployment.send_draft(index).await;
        while response.status == 0 {
            time::sleep(POLL_INTERVAL).await;
            response = deployment.send_draft(index).await;
        }
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.body.contains("not_configured"), "{response:?}");
        assert!(response.body.contains("not_run"), "{response:?}");
        assert!(!deployment.is_ready(index).await, "entry {index}");
    }
    deployment.set_outage(false);
    for index in 0..HOST_DOMAINS.len() {
        deployment.await_ready(index).await;
        assert!(
            deployment.send_draft(index).await.is_success(),
            "entry {index}"
        );
    }
}
