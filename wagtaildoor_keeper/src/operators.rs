//! HTTP routes for operators, and for peers that need a newer configuration.

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

/// Keeper state as Rocket passes it to a route.
type SharedState = State<Arc<KeeperState>>;
/// Result of a route: a JSON body, or a status with a JSON body.
type RouteResult<T, E> = std::result::Result<Json<T>, (Status, Json<E>)>;

/// Timeout for the log to accept or reject a publication.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout for other hosts to receive a published configuration.
const REPLICATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the heads of other hosts are checked.
const REPLICATION_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of hosts in each failure domain that should hold a published configuration. A smaller
/// domain needs all of its hosts.
const HOLDERS_PER_DOMAIN: usize = 2;
/// Timeout for a settlement to be recorded in the log.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Mounts the routes and the error catcher.
pub fn mount(server: Rocket<Build>) -> Rocket<Build> {
    let routes = routes![
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
    server
        .mount("/", routes)
        .register("/", catchers![status_text])
}

/// Reports that the process is running.
#[get("/health")]
fn health() -> &'static str {
    "ok\n"
}

/// Returns what this keeper knows of hosts, endpoints and the configuration.
#[get("/status")]
fn status(state: &SharedState) -> Json<KeeperStatus> {
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

/// Returns the configuration in force.
#[get("/configuration")]
fn configuration(state: &SharedState) -> Json<Configuration> {
    let config = state.config.watch().borrow().clone();
    Json((*config.configuration).clone())
}

/// Returns the configuration in force and its head. Peers with an older one read it.
#[get("/held-configuration")]
fn held_configuration(state: &SharedState) -> Json<HeldConfiguration> {
    let config = state.config.watch().borrow().clone();
    Json(HeldConfiguration {
        configuration: (*config.configuration).clone(),
        head: config.head,
    })
}

/// Lists requests without a recorded outcome.
#[get("/unresolved")]
fn unresolved(state: &SharedState) -> Json<UnresolvedPage> {
    let orders = state
        .claims
        .unresolved()
        .into_iter()
        .map(|claim| UnresolvedOrder {
            account: claim.account,
            age_ms: elapsed_since_ms(claim.claimed_ms),
            attempt: claim.attempt,
            host: claim.host,
            key: claim.key,
            request: claim.request,
            template: claim.template,
        })
        .collect();
    Json(UnresolvedPage { orders })
}

/// Milliseconds since a timestamp of the log, by this host's clock.
fn elapsed_since_ms(timestamp_ms: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now.map_or(0, |time| time.as_millis() as u64);
    now_ms.saturating_sub(timestamp_ms)
}

/// Publishes configuration changes and waits until other hosts hold them.
#[post("/publish", data = "<call>")]
async fn publish(
    state: &SharedState,
    call: Json<PublishCall>,
) -> RouteResult<PublishAnswer, PublishRefusal> {
    let call = call.into_inner();
    let chain = state.config.chain();
    let base_head = call.seen.unwrap_or_else(|| chain.head().clone());
    let outcome = config_publisher::publish_if_current(
        state.store.clone(),
        chain,
        &base_head,
        &call.operator,
        &call.note,
        call.changes,
        Instant::now() + PUBLISH_TIMEOUT,
    )
    .await;
    let head = match outcome {
        PublishOutcome::Published(head) => head,
        outcome => return Err(build_refusal(state, outcome)),
    };
    let detail = format!(
        "{} published configuration {}: {}",
        call.operator, head.sequence, call.note
    );
    state.record_event(EventKind::ConfigPublished, detail);
    Ok(Json(await_replication(state, head).await))
}

/// Waits until enough hosts hold the configuration, or until the timeout, and lists those that do.
async fn await_replication(state: &KeeperState, head: ConfigHead) -> PublishAnswer {
    let deadline = Instant::now() + REPLICATION_TIMEOUT;
    loop {
        let own_sequence = state.config.watch().borrow().head.sequence;
        let hosts = state.hosts.borrow().clone();
        let is_held_widely = own_sequence >= head.sequence && is_replicated(&hosts, &head);
        if is_held_widely || Instant::now() >= deadline {
            return build_publish_answer(state, hosts, head);
        }
        time::sleep(REPLICATION_POLL_INTERVAL).await;
    }
}

/// Whether enough live hosts of each failure domain hold this configuration or a newer one.
fn is_replicated(hosts: &[HostView], head: &ConfigHead) -> bool {
    let alive = || hosts.iter().filter(|host| host.alive);
    alive().all(|host| {
        let domain = || alive().filter(|other| other.domain == host.domain);
        let holders = domain().filter(|other| holds_config(other, head)).count();
        holders >= domain().count().min(HOLDERS_PER_DOMAIN)
    })
}

/// Whether a host holds this configuration or a newer one.
fn holds_config(host: &HostView, head: &ConfigHead) -> bool {
    host.head.sequence >= head.sequence
}

/// Builds the response to an accepted publication.
fn build_publish_answer(
    state: &KeeperState,
    hosts: Vec<HostView>,
    head: ConfigHead,
) -> PublishAnswer {
    let own_id = &state.settings.host.name;
    let (held, behind): (Vec<HostView>, Vec<HostView>) = hosts
        .into_iter()
        .filter(|host| host.id != *own_id)
        .partition(|host| holds_config(host, &head));
    let id = |host: HostView| host.id;
    let mut held: Vec<HostId> = held.into_iter().map(id).collect();
    held.insert(0, own_id.clone());
    PublishAnswer {
        behind: behind.into_iter().map(id).collect(),
        head,
        held,
    }
}

/// Builds the response to a publication that was not accepted, and records it in the timeline.
fn build_refusal(state: &KeeperState, outcome: PublishOutcome) -> (Status, Json<PublishRefusal>) {
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
    state.record_event(
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

/// Records an operator's decision on a request without a recorded outcome.
#[post("/settle", data = "<settlement>")]
async fn settle(
    state: &SharedState,
    settlement: Json<ClaimSettlement>,
) -> RouteResult<SettleAnswer, SettleAnswer> {
    let settlement = settlement.into_inner();
    let detail = format!(
        "{} settled key {} as {}: {}",
        settlement.by, settlement.key, settlement.settled, settlement.note
    );
    // The claim has to be looked up first, since it is no longer unresolved once recorded.
    let mut unresolved = state.claims.unresolved().into_iter();
    let claim = unresolved.find(|claim| claim.attempt == settlement.attempt);
    let mut draft =
        EventDraft::new(EventKind::ClaimSettled, detail).account(settlement.account.clone());
    draft.request = claim.map(|claim| claim.request);
    let record = ClaimRecord::Settlement(settlement);
    if state.claims.record(record, SETTLE_TIMEOUT).await {
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

/// Starts a weights rollout.
#[post("/rollout", data = "<call>")]
fn rollout(
    state: &SharedState,
    call: Json<RolloutCall>,
) -> RouteResult<RolloutAnswer, RolloutAnswer> {
    let call = call.into_inner();
    let detail = format!(
        "{} asked for weights {} of pool {}: {}",
        call.operator, call.version, call.pool, call.note
    );
    match state.rollouts.start(state, call, state.token.child_token()) {
        Ok(()) => {
            state.record_event(EventKind::RolloutStep, detail);
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

/// Lists the rollouts that operators requested from this keeper.
#[get("/rollouts")]
fn rollouts(state: &SharedState) -> Json<RolloutPage> {
    let rollouts = state.rollouts.list();
    Json(RolloutPage { rollouts })
}

/// Returns the metrics in the Prometheus text format.
#[get("/metrics")]
fn metrics(state: &SharedState) -> (ContentType, String) {
    let readings = MetricReadings {
        config_sequence: state.config.watch().borrow().head.sequence,
        platform_age_ms: state.platform_age_ms(),
        endpoints: state.endpoints.borrow().len(),
    };
    (ContentType::Plain, state.metrics.encode_text(readings))
}

/// Returns timeline events of this process.
#[get("/timeline?<query..>")]
fn timeline(state: &SharedState, query: TimelineQuery) -> Json<EventPage> {
    Json(state.recorder.page(&query.into()))
}

/// Returns the status as text if no route matches or the request body is not valid.
#[catch(default)]
fn status_text(status: Status, request: &Request<'_>) -> (Status, String) {
    let line = format!("{} {}: {status}\n", request.method(), request.uri().path());
    (status, line)
}
