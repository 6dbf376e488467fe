//! Sends non-idempotent requests through faults, and compares reported outcomes with real effects.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use clap::{
    value_parser,
    Arg,
    ArgMatches,
    Command, //
};
use reqwest::Client;
use tokio::{
    task::JoinSet,
    time::{
        self,
        MissedTickBehavior, //
    },
};
use uuid::Uuid;
use wagtaildoor::{
    ids::RequestKey,
    schema::ErrorBody, //
};

use crate::cli::{
    BenchError,
    Result, //
};

/// Name of the subcommand.
pub const NAME: &str = "orders";
/// Time that a caller waits for one response.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before a caller resends the same key to another host.
const RESEND_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of copies that a caller sends of one request.
const MAX_COPIES: usize = 40;

/// Final outcome of an order, as known to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderOutcome {
    /// The caller received the service's response.
    Answered,
    /// The caller was told that the order did not run.
    NotRun,
    /// The caller never received a definite outcome.
    Unknown,
}

#[derive(Clone, Debug)]
struct OrderRecord {
    /// Idempotency key.
    key: RequestKey,
    /// Final outcome.
    outcome: OrderOutcome,
    /// Number of copies sent.
    copies: usize,
}

/// Settings of a run, from the command line.
#[derive(Clone, Debug)]
struct OrderPlan {
    /// Addresses of the entries.
    entries: Vec<SocketAddr>,
    /// Addresses of the services, which count their effects.
    services: Vec<SocketAddr>,
    /// Bearer token of the client account.
    token: Box<str>,
    /// Template to request.
    template: Box<str>,
    /// Total number of orders.
    orders: u32,
    per_second: u32,
    /// Every this many orders, one is sent to two hosts at once; 0 turns this off.
    duplicate_every: u32,
}

/// Builds the subcommand.
pub fn command() -> Command {
    let text = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .help(help)
            .required(true)
    };
    let addresses = |name: &'static str, help: &'static str| {
        text(name, "IP:PORT,...", help)
            .value_delimiter(',')
            .value_parser(value_parser!(SocketAddr))
    };
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        text(name, "N", help)
            .required(false)
            .default_value(default)
            .value_parser(value_parser!(u32))
    };
    Command::new(NAME)
        .about("Orders through faults: what callers were told against what services did")
        .arg(addresses("entries", "Callers' addresses of the entries"))
        .arg(addresses("services", "Addresses of the plain services"))
        .arg(text("token", "TOKEN", "Bearer token of the account"))
        .arg(text("template", "NAME", "Template that runs at most once"))
        .arg(number("orders", "200", "Orders in all"))
        .arg(number("per-second", "20", "Orders a second"))
        .arg(number(
            "twin-every",
            "5",
            "Send each so many orders to two hosts at once; 0 for never",
        ))
}

impl From<&ArgMatches> for OrderPlan {
    fn from(matches: &ArgMatches) -> Self {
        let text = |name: &str| -> Box<str> {
            let value: &String = matches.get_one(name).expect("clap requires it");
            value.as_str().into()
        };
        let addresses = |name: &str| -> Vec<SocketAddr> {
            matches
                .get_many(name)
                .expect("clap requires it")
                .copied()
                .collect()
        };
        let number = |name: &str| -> u32 { *matches.get_one(name).expect("it has a default") };
        Self {
            entries: addresses("entries"),
            services: addresses("services"),
            token: text("token"),
            template: text("template"),
            orders: number("orders"),
            per_second: number("per-second").max(1),
            duplicate_every: number("twin-every"),
        }
    }
}

/// Runs the benchmark; fails when an order ran twice, was lost, or was wrongly reported as not run.
pub async fn run(matches: &ArgMatches) -> Result<()> {
    let plan = OrderPlan::from(matches);
    let client = Client::builder()
        .no_proxy()
        .timeout(ANSWER_TIMEOUT)
        .pool_max_idle_per_host(0)
        .build()
        .map_err(setup_error)?;
    let records = send_all(&plan, &client).await;
    let effects = fetch_effects(&plan, &client).await?;
    print_results(&records, &effects)
}

/// Sends all orders at the configured rate.
async fn send_all(plan: &OrderPlan, client: &Client) -> Vec<OrderRecord> {
    let mut ticks = time::interval(Duration::from_secs(1) / plan.per_second);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tasks = JoinSet::new();
    for number in 0..plan.orders {
        ticks.tick().await;
        tasks.spawn(send_order(plan.clone(), client.clone(), number as usize));
    }
    tasks.join_all().await
}

/// Sends one order until its outcome is definite, each copy to the next host.
async fn send_order(plan: OrderPlan, client: Client, number: usize) -> OrderRecord {
    let key: RequestKey = Uuid::now_v7().to_string().into();
    let body = format!("{{\"order\": {number}}}");
    let is_duplicated = plan.duplicate_every > 0 && number % plan.duplicate_every as usize == 0;
    let mut record = OrderRecord {
        key,
        outcome: OrderOutcome::Unknown,
        copies: 0,
    };
    while record.copies < MAX_COPIES {
        let host = number + record.copies;
        let first = send_copy(&plan, &client, host, &record.key, &body);
        let outcome = if is_duplicated && record.copies == 0 {
            record.copies += 1;
            let second = send_copy(&plan, &client, host + 1, &record.key, &body);
            let outcomes = tokio::join!(first, second);
            combine_outcomes(outcomes.0, outcomes.1)
        } else {
            first.await
        };
        record.copies += 1;
        if outcome != OrderOutcome::Unknown {
            record.outcome = outcome;
            break;
        }
        time::sleep(RESEND_DELAY).await;
    }
    record
}

/// Combines the outcomes of two concurrent copies.
///
/// "Not run" holds only if both copies report it, since the other copy may have run.
fn combine_outcomes(first: OrderOutcome, second: OrderOutcome) -> OrderOutcome {
    match (first, second) {
        (OrderOutcome::Answered, _) | (_, OrderOutcome::Answered) => OrderOutcome::Answered,
        (OrderOutcome::Unknown, _) | (_, OrderOutcome::Unknown) => OrderOutcome::Unknown,
        (OrderOutcome::NotRun, OrderOutcome::NotRun) => OrderOutcome::NotRun,
    }
}

/// Sends one copy to a host's entry, and returns the outcome that the response reports.
async fn send_copy(
    plan: &OrderPlan,
    client: &Client,
    host: usize,
    key: &RequestKey,
    body: &str,
) -> OrderOutcome {
    let entry = plan.entries[host % plan.entries.len()];
    let sent = client
        .post(format!("http://{entry}/v1/services/{}", plan.template))
        .bearer_auth(&plan.token)
        .header("idempotency-key", &**key)
        .header("content-type", "application/json")
        .body(body.to_string())
        .send()
        .await;
    let Ok(response) = sent else {
        return OrderOutcome::Unknown;
    };
    if response.status().is_success() {
        return match response.bytes().await {
            Ok(_) => OrderOutcome::Answered,
            Err(_) => OrderOutcome::Unknown,
        };
    }
    match response.json::<ErrorBody>().await {
        Ok(body) if &*body.error.outcome == "not_run" => OrderOutcome::NotRun,
        Ok(_) | Err(_) => OrderOutcome::Unknown,
    }
}

/// Fetches the number of effects of each key from the services.
async fn fetch_effects(plan: &OrderPlan, client: &Client) -> Result<HashMap<RequestKey, u64>> {
    let mut all: HashMap<RequestKey, u64> = HashMap::new();
    for service in &plan.services {
        let url = format!("http://{service}/counts");
        let response = client.get(url).send().await.map_err(setup_error)?;
        let counts: wagtaildoor_fakes::fake_service::ServiceCounts =
            response.json().await.map_err(setup_error)?;
        for (key, effects) in counts.effects_by_key {
            *all.entry(key).or_default() += effects;
        }
    }
    Ok(all)
}

/// Prints reported outcomes and actual effects; fails when they contradict each other.
fn print_results(records: &[OrderRecord], effects: &HashMap<RequestKey, u64>) -> Result<()> {
    let effect_count = |record: &&OrderRecord| effects.get(&record.key).copied().unwrap_or(0);
    let count = |outcome: OrderOutcome| {
        records
            .iter()
            .filter(|record| record.outcome == outcome)
            .count()
    };
    let duplicates = records
        .iter()
        .filter(|record| effect_count(record) > 1)
        .count();
    let lost = records
        .iter()
        .filter(|record| record.outcome == OrderOutcome::Answered && effect_count(record) == 0)
        .count();
    let wrong_not_run = records
        .iter()
        .filter(|record| record.outcome == OrderOutcome::NotRun && effect_count(record) > 0)
        .count();
    let copies: usize = records.iter().map(|record| record.copies).sum();
    let total_effects: u64 = records.iter().map(|record| effect_count(&record)).sum();
    println!(
        "orders {}, copies sent {copies}, effects {total_effects}",
        records.len()
    );
    println!(
        "answered {}, not run {}, unknown {}",
        count(OrderOutcome::Answered),
        count(OrderOutcome::NotRun),
        count(OrderOutcome::Unknown)
    );
    println!(
        "run twice {duplicates}, answered and not run {lost}, wrong \"not run\" {wrong_not_run}"
    );
    for record in records
        .iter()
        .filter(|record| record.outcome == OrderOutcome::Unknown)
    {
        println!(
            "unknown: key {}, effects {}",
            record.key,
            effect_count(&record)
        );
    }
    if duplicates + lost + wrong_not_run > 0 {
        let text =
            format!("{duplicates} run twice, {lost} lost, {wrong_not_run} wrong \"not run\"");
        return Err(BenchError::Failures(text.into()));
    }
    Ok(())
}

/// Converts a failed HTTP request that the benchmark depends on.
fn setup_error(error: reqwest::Error) -> BenchError {
    BenchError::Setup(error.to_string().into())
}
