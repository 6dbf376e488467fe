//! Sends non-idempotent requests through faults, and compares answers with what the services did.

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
/// Longest wait of a caller for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Wait of a caller before it sends the same key to another host.
const RESEND_PAUSE: Duration = Duration::from_millis(300);
/// Copies of one request that its caller sends at most.
const COPY_LIMIT: usize = 40;

/// What the caller of one order knows at its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderEnd {
    /// It has the answer of the service.
    Answered,
    /// It was told that the order did not run.
    NotRun,
    /// It was never told for certain.
    Unknown,
}

/// An order and its end.
#[derive(Clone, Debug)]
struct OrderStory {
    /// Idempotency key.
    key: RequestKey,
    /// Its end.
    end: OrderEnd,
    /// Copies sent.
    copies: usize,
}

/// What the bench is told.
#[derive(Clone, Debug)]
struct OrderPlan {
    /// Entries.
    entries: Vec<SocketAddr>,
    /// Services that count their effects.
    services: Vec<SocketAddr>,
    /// Bearer token.
    token: Box<str>,
    /// Template.
    template: Box<str>,
    /// Orders in all.
    orders: u32,
    /// Orders a second.
    per_second: u32,
    /// Each so many orders, a copy goes to a second host at the same time; 0 for never.
    twin_every: u32,
}

/// The subcommand.
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
            twin_every: number("twin-every"),
        }
    }
}

/// Runs the bench; fails when a promise was broken.
pub async fn run(matches: &ArgMatches) -> Result<()> {
    let plan = OrderPlan::from(matches);
    let client = Client::builder()
        .no_proxy()
        .timeout(ANSWER_TIMEOUT)
        .pool_max_idle_per_host(0)
        .build()
        .map_err(setup)?;
    let stories = send_all(&plan, &client).await;
    let effects = effects(&plan, &client).await?;
    report(&stories, &effects)
}

/// Sends all orders at their pace.
async fn send_all(plan: &OrderPlan, client: &Client) -> Vec<OrderStory> {
    let mut ticks = time::interval(Duration::from_secs(1) / plan.per_second);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut tasks = JoinSet::new();
    for number in 0..plan.orders {
        ticks.tick().await;
        tasks.spawn(order(plan.clone(), client.clone(), number as usize));
    }
    tasks.join_all().await
}

/// Sends one order until its end is known, each copy to the next host.
async fn order(plan: OrderPlan, client: Client, number: usize) -> OrderStory {
    let key: RequestKey = Uuid::now_v7().to_string().into();
    let body = format!("{{\"order\": {number}}}");
    let twin = plan.twin_every > 0 && number % plan.twin_every as usize == 0;
    let mut story = OrderStory {
        key,
        end: OrderEnd::Unknown,
        copies: 0,
    };
    while story.copies < COPY_LIMIT {
        let host = number + story.copies;
        let first = send(&plan, &client, host, &story.key, &body);
        let end = if twin && story.copies == 0 {
            story.copies += 1;
            let second = send(&plan, &client, host + 1, &story.key, &body);
            let ends = tokio::join!(first, second);
            surest(ends.0, ends.1)
        } else {
            first.await
        };
        story.copies += 1;
        if end != OrderEnd::Unknown {
            story.end = end;
            break;
        }
        time::sleep(RESEND_PAUSE).await;
    }
    story
}

/// What two copies of one order tell together: an answer goes before a word.
fn surest(left: OrderEnd, right: OrderEnd) -> OrderEnd {
    match (left, right) {
        (OrderEnd::Answered, _) | (_, OrderEnd::Answered) => OrderEnd::Answered,
        (OrderEnd::Unknown, _) | (_, OrderEnd::Unknown) => OrderEnd::Unknown,
        (OrderEnd::NotRun, OrderEnd::NotRun) => OrderEnd::NotRun,
    }
}

/// Sends one copy.
async fn send(
    plan: &OrderPlan,
    client: &Client,
    host: usize,
    key: &RequestKey,
    body: &str,
) -> OrderEnd {
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
        return OrderEnd::Unknown;
    };
    if response.status().is_success() {
        return match response.bytes().await {
            Ok(_) => OrderEnd::Answered,
            Err(_) => OrderEnd::Unknown,
        };
    }
    match response.json::<ErrorBody>().await {
        Ok(body) if &*body.error.outcome == "not_run" => OrderEnd::NotRun,
        Ok(_) | Err(_) => OrderEnd::Unknown,
    }
}

/// Effects of each key, counted by the services themselves.
async fn effects(plan: &OrderPlan, client: &Client) -> Result<HashMap<RequestKey, u64>> {
    let mut all: HashMap<RequestKey, u64> = HashMap::new();
    for service in &plan.services {
        let url = format!("http://{service}/counts");
        let response = client.get(url).send().await.map_err(setup)?;
        let counts: wagtaildoor_fakes::fake_service::ServiceCounts =
            response.json().await.map_err(setup)?;
        for (key, effects) in counts.effects_by_key {
            *all.entry(key).or_default() += effects;
        }
    }
    Ok(all)
}

/// Prints what was told against what happened.
fn report(stories: &[OrderStory], effects: &HashMap<RequestKey, u64>) -> Result<()> {
    let done = |story: &&OrderStory| effects.get(&story.key).copied().unwrap_or(0);
    let count = |end: OrderEnd| stories.iter().filter(|story| story.end == end).count();
    let doubled = stories.iter().filter(|story| done(story) > 1).count();
    let lost = stories
        .iter()
        .filter(|story| story.end == OrderEnd::Answered && done(story) == 0)
        .count();
    let wrong = stories
        .iter()
        .filter(|story| story.end == OrderEnd::NotRun && done(story) > 0)
        .count();
    let copies: usize = stories.iter().map(|story| story.copies).sum();
    let ran: u64 = stories.iter().map(|story| done(&story)).sum();
    println!(
        "orders {}, copies sent {copies}, effects {ran}",
        stories.len()
    );
    println!(
        "answered {}, not run {}, unknown {}",
        count(OrderEnd::Answered),
        count(OrderEnd::NotRun),
        count(OrderEnd::Unknown)
    );
    println!("run twice {doubled}, answered and not run {lost}, wrong \"not run\" {wrong}");
    for story in stories
        .iter()
        .filter(|story| story.end == OrderEnd::Unknown)
    {
        println!("unknown: key {}, effects {}", story.key, done(&story));
    }
    if doubled + lost + wrong > 0 {
        let text = format!("{doubled} run twice, {lost} lost, {wrong} wrong \"not run\"");
        return Err(BenchError::Failures(text.into()));
    }
    Ok(())
}

/// The error of a bench that cannot run.
fn setup(error: reqwest::Error) -> BenchError {
    BenchError::Setup(error.to_string().into())
}
