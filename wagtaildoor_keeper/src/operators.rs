//! Routes for operators, and for peers that catch up.

use std::{
    sync::Arc,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use rocket::{
    catch,
    catchers,
    get,
    http::{
        ContentType,
        Status, //
    },
    post,
    routes,
    serde::json::Json,
    Build,
    Request,
    Rocket,
    State, //
};
use tokio::time::{
    self,
    Instant, //
};
use wagtaildoor::{
    config_publisher::{
        self,
        PublishOutcome, //
    },
    ids::HostId,
    schema::{
        ClaimRecord,
        ClaimSettlement,
        ConfigHead,
        Configuration,
        EventKind,
        EventPage,
        HeldConfiguration,
        HostView,
        KeeperStatus,
        PublishAnswer,
        PublishCall,
        PublishRefusal,
        RolloutAnswer,
        RolloutCall,
        RolloutPage,
        SettleAnswer,
        UnresolvedOrder,
        UnresolvedPage, //
    },
    timeline::EventDraft,
};
use wagtaildoor_daemon::timeline_query::TimelineQuery;

use crate::{
    metrics::MetricReadings,
    rollouts::RolloutRefusal,
    state::KeeperState, //
};

/// State as routes get it.
type Shared = State<Arc<KeeperState>>;
/// Result of a route, with its status.
type Answer<T, E> = std::result::Result<Json<T>, (Status, Json<E>)>;

/// Longest wait for the log to decide on a publication.
const PUBLISH_WAIT: Duration = Duration::from_secs(4);
/// Longest wait for other hosts to hold a publication.
const SPREAD_WAIT: Duration = Duration::from_secs(2);
/// Time between two looks at the other hosts.
const SPREAD_STEP: Duration = Duration::from_millis(20);
/// Hosts of each failure domain that must hold a publication.
const HOLDERS_PER_DOMAIN: usize = 2;
/// Longest wait for a settlement to be on record.
const SETTLE_WAIT: Duration = Duration::from_secs(4);

/// Adds routes and error answers to a server.
pub fn mount(server: Rocket<Build>) -> Rocket<Build> {
    let all = routes![
        health,
        status,
        configuration,
        held_configuration,
        unresolved,
        publish,
        settle,
        rollout,
        rollouts,
        metrics,
        timeline
    ];
    server.mount("/", all).register("/", catchers![no_route])
}

/// The process runs.
#[get("/health")]
fn health() -> &'static str {
    "ok\n"
}

/// What this keeper sees.
#[get("/status")]
fn status(state: &Shared) -> Json<KeeperStatus> {
    let head = state.config.watch().borrow().head.clone();
    Json(KeeperStatus {
        config_age_ms: state.platform_age_ms(),
        domain: state.settings.host.domain.clone(),
        endpoints: state.endpoints.borrow().clone(),
        head,
        host: state.settings.host.name.clone(),
        hosts: state.hosts.borrow().clone(),
        platform_age_ms: state.platform_age_ms(),
    })
}

/// Configuration in force.
#[get("/configuration")]
fn configuration(state: &Shared) -> Json<Configuration> {
    let config = state.config.watch().borrow().clone();
    Json((*config.configuration).clone())
}

/// Configuration in force with its head, for peers that are behind.
#[get("/held-configuration")]
fn held_configuration(state: &Shared) -> Json<HeldConfiguration> {
    let config = state.config.watch().borrow().clone();
    Json(HeldConfiguration {
        configuration: (*config.configuration).clone(),
        head: config.head,
    })
}

/// Requests whose outcome is not on record.
#[get("/unresolved")]
fn unresolved(state: &Shared) -> Json<UnresolvedPage> {
    let orders = state
        .claims
        .unresolved()
        .into_iter()
        .map(|claim| UnresolvedOrder {
            account: claim.account,
            age_ms: age_ms(claim.claimed_ms),
            attempt: claim.attempt,
            host: claim.host,
            key: claim.key,
            request: claim.request,
            template: claim.template,
        })
        .collect();
    Json(UnresolvedPage { orders })
}

/// Time since a moment of the log, by this host's clock, in milliseconds.
fn age_ms(moment_ms: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now.map_or(0, |time| time.as_millis() as u64);
    now_ms.saturating_sub(moment_ms)
}

/// Publishes changes.
#[post("/publish", data = "<call>")]
async fn publish(state: &Shared, call: Json<PublishCall>) -> Answer<PublishAnswer, PublishRefusal> {
    let call = call.into_inner();
    let chain = state.config.chain();
    let seen = call.seen.unwrap_or_else(|| chain.head().clone());
    let outcome = config_publisher::publish_if_current(
        state.store.clone(),
        chain,
        &seen,
        &call.operator,
        &call.note,
        call.changes,
        Instant::now() + PUBLISH_WAIT,
    )
    .await;
    let head = match outcome {
        PublishOutcome::Published(head) => head,
        outcome => return Err(refusal(state, outcome)),
    };
    let detail = format!(
        "{} published configuration {}: {}",
        call.operator, head.sequence, call.note
    );
    state.note(EventKind::ConfigPublished, detail);
    Ok(Json(spread(state, head).await))
}

/// Waits until enough hosts hold a publication, and tells which do.
async fn spread(state: &KeeperState, head: ConfigHead) -> PublishAnswer {
    let limit = Instant::now() + SPREAD_WAIT;
    loop {
        let own = state.config.watch().borrow().head.sequence;
        let hosts = state.hosts.borrow().clone();
        let enough = own >= head.sequence && held_widely(&hosts, &head);
        if enough || Instant::now() >= limit {
            return publish_answer(state, hosts, head);
        }
        time::sleep(SPREAD_STEP).await;
    }
}

/// Whether enough hosts of each failure domain in reach hold a head.
fn held_widely(hosts: &[HostView], head: &ConfigHead) -> bool {
    let alive = || hosts.iter().filter(|host| host.alive);
    alive().all(|host| {
        let domain = || alive().filter(|other| other.domain == host.domain);
        let holders = domain().filter(|other| holds(other, head)).count();
        holders >= domain().count().min(HOLDERS_PER_DOMAIN)
    })
}

/// Whether a host holds a head or a newer one.
fn holds(host: &HostView, head: &ConfigHead) -> bool {
    host.head.sequence >= head.sequence
}

/// The answer to an accepted publication.
fn publish_answer(state: &KeeperState, hosts: Vec<HostView>, head: ConfigHead) -> PublishAnswer {
    let own = &state.settings.host.name;
    let (held, behind): (Vec<HostView>, Vec<HostView>) = hosts
        .into_iter()
        .filter(|host| host.id != *own)
        .partition(|host| holds(host, &head));
    let name = |host: HostView| host.id;
    let mut held: Vec<HostId> = held.into_iter().map(name).collect();
    held.insert(0, own.clone());
    PublishAnswer {
        behind: behind.into_iter().map(name).collect(),
        head,
        held,
    }
}

/// The answer to a publication that was not accepted.
fn refusal(state: &KeeperState, outcome: PublishOutcome) -> (Status, Json<PublishRefusal>) {
    let current = state.config.watch().borrow().head.clone();
    let (status, lost_to, head, reason) = match outcome {
        PublishOutcome::LostTo { operator, head } => {
            let reason = format!("{operator} published configuration {} first", head.sequence);
            (Status::Conflict, Some(operator), head, reason.into())
        }
        PublishOutcome::Refused(reason) => (Status::UnprocessableEntity, None, current, reason),
        PublishOutcome::Unavailable(reason) => {
            let reason = format!("nothing was published: {reason}").into();
            (Status::ServiceUnavailable, None, current, reason)
        }
        PublishOutcome::Uncertain(reason) => {
            let reason = format!("it may yet come in force; look at the status: {reason}").into();
            (Status::ServiceUnavailable, None, current, reason)
        }
        PublishOutcome::Published(head) => (Status::Ok, None, head, "published".into()),
    };
    state.note(
        EventKind::ConfigRefused,
        format!("a publication was not accepted: {reason}"),
    );
    let refusal = PublishRefusal {
        head,
        lost_to,
        reason,
    };
    (status, Json(refusal))
}

/// Settles a request whose outcome is not on record.
#[post("/settle", data = "<settlement>")]
async fn settle(
    state: &Shared,
    settlement: Json<ClaimSettlement>,
) -> Answer<SettleAnswer, SettleAnswer> {
    let settlement = settlement.into_inner();
    let detail = format!(
        "{} settled key {} as {}: {}",
        settlement.by, settlement.key, settlement.settled, settlement.note
    );
    // Looked up before the record: afterwards the claim is no longer open.
    let mut open = state.claims.unresolved().into_iter();
    let open = open.find(|claim| claim.attempt == settlement.attempt);
    let mut draft =
        EventDraft::new(EventKind::ClaimSettled, detail).account(settlement.account.clone());
    draft.request = open.map(|claim| claim.request);
    let record = ClaimRecord::Settlement(settlement);
    if state.claims.record(record, SETTLE_WAIT).await {
        state.recorder.record(draft);
        let reason = "the settlement is on record".into();
        return Ok(Json(SettleAnswer {
            reason,
            settled: true,
        }));
    }
    let reason = "the settlement does not count: the log did not answer, the key has an outcome, \
                  or the claim is too young to rule out that its host still sends it";
    let answer = SettleAnswer {
        reason: reason.into(),
        settled: false,
    };
    Err((Status::Conflict, Json(answer)))
}

/// Starts a roll-out of weights.
#[post("/rollout", data = "<call>")]
fn rollout(state: &Shared, call: Json<RolloutCall>) -> Answer<RolloutAnswer, RolloutAnswer> {
    let call = call.into_inner();
    let detail = format!(
        "{} asked for weights {} of pool {}: {}",
        call.operator, call.version, call.pool, call.note
    );
    match state.rollouts.start(state, call, state.token.child_token()) {
        Ok(()) => {
            state.note(EventKind::RolloutStep, detail);
            Ok(Json(RolloutAnswer {
                reason: "this keeper drives it once it has the pool's lease".into(),
                started: true,
            }))
        }
        Err(refusal) => {
            let status = match refusal {
                RolloutRefusal::UnderWay(_) => Status::Conflict,
                RolloutRefusal::NoPool(_) | RolloutRefusal::Older { .. } => {
                    Status::UnprocessableEntity
                }
            };
            let answer = RolloutAnswer {
                reason: refusal.to_string().into(),
                started: false,
            };
            Err((status, Json(answer)))
        }
    }
}

/// Roll-outs that this keeper was asked for.
#[get("/rollouts")]
fn rollouts(state: &Shared) -> Json<RolloutPage> {
    let rollouts = state.rollouts.stories();
    Json(RolloutPage { rollouts })
}

/// Metrics, as text.
#[get("/metrics")]
fn metrics(state: &Shared) -> (ContentType, String) {
    let readings = MetricReadings {
        config_sequence: state.config.watch().borrow().head.sequence,
        platform_age_ms: state.platform_age_ms(),
        endpoints: state.endpoints.borrow().len(),
    };
    (ContentType::Plain, state.metrics.text(readings))
}

/// Events of this process.
#[get("/timeline?<query..>")]
fn timeline(state: &Shared, query: TimelineQuery) -> Json<EventPage> {
    Json(state.recorder.page(&query.into()))
}

/// No route fits, or the body is not what the route expects.
#[catch(default)]
fn no_route(status: Status, request: &Request<'_>) -> (Status, String) {
    let line = format!("{} {}: {status}\n", request.method(), request.uri().path());
    (status, line)
}
