//! Real processes on five hosts: restarts, crashes, freezes, cuts, the platform's outages.

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
    Reply,
    DOMAINS,
    PATIENCE,
    PAUSE, //
};

#[path = "support/deployment.rs"]
mod deployment;

/// Callers at a time.
const CALLERS: usize = 4;
/// Longest time in which a leaving endpoint may still get new work.
const LEAVING_BOUND: Duration = Duration::from_secs(3);
/// Longest time until a configuration is in force everywhere.
const CONFIG_BOUND: Duration = Duration::from_secs(6);

/// Stands in for the balancer: looks which entries are ready, and spreads calls over these.
struct LoadRun {
    ready: Vec<AtomicBool>,
    next: AtomicUsize,
    urls: Vec<[String; 3]>,
    client: Client,
    over: AtomicBool,
    good: AtomicUsize,
    bad: Mutex<Vec<String>>,
}

impl LoadRun {
    fn start(deployment: &Deployment) -> (Arc<Self>, JoinSet<()>) {
        let urls = |index| {
            let paths = ["/ready", "/v1/completions", "/v1/services/order"];
            paths.map(|path| deployment.entry_url(index, path))
        };
        let run = Arc::new(Self {
            ready: DOMAINS.iter().map(|_| AtomicBool::new(false)).collect(),
            next: AtomicUsize::new(0),
            urls: (0..DOMAINS.len()).map(urls).collect(),
            client: deployment.client.clone(),
            over: AtomicBool::new(false),
            good: AtomicUsize::new(0),
            bad: Mutex::default(),
        });
        let mut tasks = JoinSet::new();
        for index in 0..DOMAINS.len() {
            tasks.spawn(Arc::clone(&run).look(index));
        }
        for caller in 0..CALLERS {
            tasks.spawn(Arc::clone(&run).call(caller % 2 == 0));
        }
        (run, tasks)
    }

    async fn look(self: Arc<Self>, index: usize) {
        while !self.over.load(Ordering::SeqCst) {
            let answer = self.client.get(&self.urls[index][0]).send().await;
            let ready = answer.is_ok_and(|answer| answer.status().is_success());
            self.ready[index].store(ready, Ordering::SeqCst);
            time::sleep(PAUSE).await;
        }
    }

    async fn call(self: Arc<Self>, orders: bool) {
        while !self.over.load(Ordering::SeqCst) {
            let index = self.next.fetch_add(1, Ordering::SeqCst) % DOMAINS.len();
            if !self.ready[index].load(Ordering::SeqCst) {
                time::sleep(PAUSE / 10).await;
                continue;
            }
            let [_, draft, order] = &self.urls[index];
            let reply = match orders {
                true => deployment::order(&self.client, order).await,
                false => deployment::draft(&self.client, draft).await,
            };
            self.count(index, orders, reply);
        }
    }

    fn count(&self, index: usize, orders: bool, reply: Reply) {
        if reply.is_good() {
            self.good.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let mut bad = self.bad.lock().expect("a lock");
        bad.push(format!("entry {index}, order {orders}: {reply:?}"));
    }

    async fn end(&self, mut tasks: JoinSet<()>) -> usize {
        self.over.store(true, Ordering::SeqCst);
        while let Some(ended) = tasks.join_next().await {
            ended.expect("a task");
        }
        let bad = self.bad.lock().expect("a lock").clone();
        let good = self.good.load(Ordering::SeqCst);
        assert!(bad.is_empty(), "{} of {good} failed: {bad:#?}", bad.len());
        good
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rolling_restart_under_load_fails_no_request() {
    let mut deployment = Deployment::start().await;
    let (run, tasks) = LoadRun::start(&deployment);
    for index in 0..DOMAINS.len() {
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
    // And keepers alone, under entries that go on.
    for index in 0..DOMAINS.len() {
        let keeper = deployment.hosts[index].keeper.take();
        assert!(
            deployment::terminate(keeper).await.success(),
            "keeper {index}"
        );
        deployment.start_keeper(index);
        deployment.await_health(index).await;
    }
    let good = run.end(tasks).await;
    println!("rolling restart: {good} requests, none failed");
    assert!(good > 100, "only {good} requests");
    let counts = deployment.service.counts();
    assert!(counts.effects_by_key.values().all(|effects| *effects == 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_platform_down_leaves_repeatable_work_and_runs_nothing_else() {
    let mut deployment = Deployment::start().await;
    deployment.set_outage(true);
    for index in 0..DOMAINS.len() {
        assert!(deployment.draft(index).await.is_good(), "entry {index}");
    }
    // Whether an earlier copy ran, only the log could say; this one did not.
    let refused = deployment.order(0).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(
        refused.body.contains("this copy did not run"),
        "{refused:?}"
    );
    assert_eq!(deployment.service.counts().effects, 0);
    // An entry restarts into service from its keeper.
    deployment::crash(deployment.hosts[0].entry.take());
    let started = Instant::now();
    deployment.start_entry(0);
    while !deployment.draft(0).await.is_good() {
        assert!(started.elapsed() < PATIENCE, "no good answer");
    }
    println!(
        "entry, platform down, to first answer: {:?}",
        started.elapsed()
    );
    // A whole host restarts into service from its peers, with neither log nor list.
    for host in [1, 4] {
        deployment::crash(deployment.hosts[host].entry.take());
        deployment::crash(deployment.hosts[host].keeper.take());
        let started = Instant::now();
        deployment.start_keeper(host);
        deployment.start_entry(host);
        while !deployment.draft(host).await.is_good() {
            assert!(started.elapsed() < PATIENCE, "no good answer");
        }
        println!(
            "host, platform down, to first answer: {:?}",
            started.elapsed()
        );
    }
    deployment.set_outage(false);
    let ordered = async {
        while !deployment.order(0).await.is_good() {
            time::sleep(PAUSE).await;
        }
    };
    time::timeout(PATIENCE, ordered)
        .await
        .expect("orders run again");
    let counts = deployment.service.counts();
    assert!(counts.effects_by_key.values().all(|effects| *effects == 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_herd_restart_a_frozen_keeper_and_a_crashed_one_stop_no_entry() {
    let mut deployment = Deployment::start().await;
    for index in 0..DOMAINS.len() {
        deployment::crash(deployment.hosts[index].entry.take());
        deployment::crash(deployment.hosts[index].keeper.take());
    }
    let started = Instant::now();
    for index in 0..DOMAINS.len() {
        deployment.start_keeper(index);
        deployment.start_entry(index);
    }
    for index in 0..DOMAINS.len() {
        while !deployment.draft(index).await.is_good() {
            assert!(started.elapsed() < PATIENCE, "no good answer");
        }
    }
    println!(
        "herd restart of all, to an answer of each: {:?}",
        started.elapsed()
    );
    for index in 0..DOMAINS.len() {
        deployment.await_whole(index).await;
    }
    // Frozen: drafts go on; orders go on once the entry has turned to the next keeper.
    let frozen = deployment.hosts[0].keeper.as_ref().expect("a keeper");
    deployment::signal(frozen, "STOP");
    assert!(deployment.draft(0).await.is_good());
    let ordered = async {
        while !deployment.order(0).await.is_good() {
            time::sleep(PAUSE).await;
        }
    };
    time::timeout(PATIENCE, ordered)
        .await
        .expect("orders go on");
    deployment::signal(frozen, "CONT");
    for index in 0..DOMAINS.len() {
        deployment.await_whole(index).await;
    }
    // Crashed, with no other keeper in the failure domain: the last view serves.
    deployment::crash(deployment.hosts[4].keeper.take());
    assert!(deployment.draft(4).await.is_good());
    deployment
        .await_status(0, |status| {
            let host = status.hosts.iter().find(|host| &*host.id == "host-4");
            host.is_none_or(|host| !host.alive)
        })
        .await;
    deployment.start_keeper(4);
    for index in 0..DOMAINS.len() {
        deployment.await_whole(index).await;
    }
    assert!(deployment.order(4).await.is_good());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_domain_cut_from_the_platform_gets_the_configuration_from_its_peers() {
    let mut deployment = Deployment::start().await;
    deployment.shut_door(2);
    assert!(deployment.draft(4).await.is_good());
    let changes = serde_json::json!([deployment::template("draft", "drafter", "")]);
    deployment.publish(0, "second", changes).await;
    let published = Instant::now();
    for index in 0..DOMAINS.len() {
        deployment
            .await_status(index, |status| status.head.sequence == 2)
            .await;
    }
    let took = published.elapsed();
    println!("in force at all, one domain cut from the platform: {took:?}");
    assert!(took < CONFIG_BOUND, "{took:?}");
    let refused = deployment.order(4).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(
        refused.body.contains("this copy did not run"),
        "{refused:?}"
    );
    assert_eq!(deployment.service.counts().effects, 0);
    // The other failure domains still reach the log.
    assert!(deployment.order(2).await.is_good());
    deployment.open_door(2).await;
    let ordered = async {
        while !deployment.order(4).await.is_good() {
            time::sleep(PAUSE).await;
        }
    };
    time::timeout(PATIENCE, ordered)
        .await
        .expect("orders run again");
    let status = deployment.status(4).await.expect("a status");
    assert_eq!(status.head.sequence, 2, "it went back");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leaving_endpoint_gets_no_new_work_after_the_bound_though_the_list_lags() {
    let deployment = Deployment::start().await;
    let (run, tasks) = LoadRun::start(&deployment);
    let engine = &deployment.engines[0];
    // The list lags: it goes on to call the engine live.
    let mut faults = engine.faults();
    faults.leaving = true;
    engine.set_faults(EngineFaults { ..faults });
    time::sleep(LEAVING_BOUND).await;
    let counts = engine.counts();
    let before = counts.taken + counts.refused;
    let good = run.good.load(Ordering::SeqCst);
    let more = async {
        while run.good.load(Ordering::SeqCst) < good + 100 {
            time::sleep(PAUSE).await;
        }
    };
    let more = time::timeout(PATIENCE, more).await;
    assert!(more.is_ok(), "{:#?}", run.bad.lock().expect("a lock"));
    let counts = engine.counts();
    assert_eq!(
        counts.taken + counts.refused,
        before,
        "new work after the bound"
    );
    run.end(tasks).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rollout_fails_no_request_and_takes_no_last_engine() {
    let mut deployment = Deployment::start().await;
    let (run, tasks) = LoadRun::start(&deployment);
    let ended = deployment.roll_out(0, 2).await;
    assert!(ended.starts_with("stopped: "), "{ended}");
    let status = deployment.status(0).await.expect("a status");
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
    for index in 0..DOMAINS.len() {
        let done = |status: &KeeperStatus| status.head.sequence == 2 && serving(status, 2) == 6;
        deployment.await_status(index, done).await;
    }
    let good = run.end(tasks).await;
    println!("{good} requests over a roll-out, none failed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn without_any_peer_or_platform_an_entry_says_what_it_lacks() {
    let mut deployment = Deployment::start().await;
    deployment.set_outage(true);
    for index in 0..DOMAINS.len() {
        deployment::crash(deployment.hosts[index].entry.take());
        deployment::crash(deployment.hosts[index].keeper.take());
    }
    for index in 0..DOMAINS.len() {
        deployment.start_keeper(index);
        deployment.start_entry(index);
    }
    for index in 0..DOMAINS.len() {
        deployment.await_health(index).await;
        let mut reply = deployment.draft(index).await;
        while reply.status == 0 {
            time::sleep(PAUSE).await;
            reply = deployment.draft(index).await;
        }
        assert_eq!(reply.status, 503, "{reply:?}");
        assert!(reply.body.contains("not_configured"), "{reply:?}");
        assert!(reply.body.contains("not_run"), "{reply:?}");
        assert!(!deployment.is_ready(index).await, "entry {index}");
    }
    deployment.set_outage(false);
    for index in 0..DOMAINS.len() {
        deployment.await_ready(index).await;
        assert!(deployment.draft(index).await.is_good(), "entry {index}");
    }
}
