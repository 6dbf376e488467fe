//! `wtd status`: what each keeper sees.

use std::collections::BTreeMap;

use clap::ArgMatches;
use serde::Serialize;
use wagtaildoor::schema::{
    EndpointView,
    HostView,
    KeeperStatus, //
};

use crate::{
    answer::VerbAnswer,
    client::{
        OperatorClient,
        ProcessAnswer, //
    },
    exit::{
        Result,
        ToolError, //
    },
    table::{
        self,
        TextTable, //
    },
    verbs::publish,
};

/// What one keeper said.
#[derive(Debug, Serialize)]
struct KeeperReport {
    /// Address of the keeper.
    address: String,
    /// What it sees.
    status: Option<KeeperStatus>,
    /// Why it did not say.
    error: Option<Box<str>>,
}

/// Shows what the keepers see.
pub async fn run(client: &OperatorClient, matches: &ArgMatches) -> Result<VerbAnswer> {
    let answers = client.get_all(&client.keepers, "/status", &[]).await;
    let reports: Vec<KeeperReport> = answers.into_iter().map(KeeperReport::from).collect();
    let missing: Vec<String> = reports.iter().filter_map(KeeperReport::missing).collect();
    if missing.len() == reports.len() {
        let text = format!("no keeper answered: {}", missing.join("; "));
        return Err(ToolError::NoAnswer(text.into()));
    }
    let answer = VerbAnswer::of(matches.get_flag("json"), &reports, |all| text(all));
    let answer = answer.missing(&missing);
    Ok(forks(&reports)
        .into_iter()
        .fold(answer, VerbAnswer::warning))
}

/// Keepers that hold different configurations of the same sequence; there must be none.
fn forks(reports: &[KeeperReport]) -> Vec<String> {
    let mut first: BTreeMap<u64, &KeeperStatus> = BTreeMap::new();
    let mut forks = Vec::new();
    for status in reports.iter().filter_map(|report| report.status.as_ref()) {
        let one = *first.entry(status.head.sequence).or_insert(status);
        if one.head.hash != status.head.hash {
            forks.push(format!(
                "{} and {} hold different configurations {}: keep their logs and report it",
                one.host, status.host, status.head.sequence
            ));
        }
    }
    forks
}

impl From<ProcessAnswer<KeeperStatus>> for KeeperReport {
    fn from(answer: ProcessAnswer<KeeperStatus>) -> Self {
        let (status, error) = match answer.answer {
            Ok(status) => (Some(status), None),
            Err(error) => (None, Some(error)),
        };
        Self {
            address: answer.address.to_string(),
            status,
            error,
        }
    }
}

impl KeeperReport {
    /// The keeper and the reason, when it did not answer.
    fn missing(&self) -> Option<String> {
        let error = self.error.as_ref()?;
        Some(format!("{}: {error}", self.address))
    }
}

/// All reports as text.
fn text(reports: &[KeeperReport]) -> String {
    let mut text = keepers(reports);
    let first = reports.iter().find_map(|report| report.status.as_ref());
    if let Some(status) = first {
        text.push_str(&format!("\nEndpoints, as {} sees them\n", status.host));
        text.push_str(&endpoints(&status.endpoints));
        text.push_str(&format!("\nHosts, as {} sees them\n", status.host));
        text.push_str(&hosts(&status.hosts));
    }
    text
}

/// One line for each keeper.
fn keepers(reports: &[KeeperReport]) -> String {
    let mut table = TextTable::new(&[
        "KEEPER",
        "HOST",
        "DOMAIN",
        "CONFIGURATION",
        "HASH",
        "KNOWN NEWEST",
        "LOG ANSWERED",
        "ENDPOINTS",
        "HOSTS",
    ]);
    for report in reports {
        let Some(status) = &report.status else {
            let error = report.error.as_deref().unwrap_or_default();
            table.row([report.address.clone(), error.to_string()]);
            continue;
        };
        let alive = status.hosts.iter().filter(|host| host.alive).count();
        table.row([
            report.address.clone(),
            status.host.to_string(),
            status.domain.to_string(),
            status.head.sequence.to_string(),
            publish::shortened(&status.head.hash).to_string(),
            format!("{} ago", table::age(status.config_age_ms)),
            format!("{} ago", table::age(status.platform_age_ms)),
            status.endpoints.len().to_string(),
            format!("{alive} of {} alive", status.hosts.len()),
        ]);
    }
    table.text()
}

/// One line for each endpoint.
fn endpoints(endpoints: &[EndpointView]) -> String {
    let mut table = TextTable::new(&[
        "ENDPOINT", "POOL", "DOMAIN", "STATE", "WEIGHTS", "RUNNING", "QUEUED", "REPORT",
    ]);
    for endpoint in endpoints {
        table.row([
            endpoint.id.to_string(),
            endpoint.pool.to_string(),
            endpoint.domain.to_string(),
            endpoint.state.to_string(),
            endpoint.weights_version.to_string(),
            endpoint.running.to_string(),
            endpoint.queued.to_string(),
            format!("{} ago", table::age(endpoint.report_age_ms)),
        ]);
    }
    table.text()
}

/// One line for each host.
fn hosts(hosts: &[HostView]) -> String {
    let mut table = TextTable::new(&["HOST", "DOMAIN", "ALIVE", "CONFIGURATION", "OPERATORS"]);
    for host in hosts {
        let alive = if host.alive { "yes" } else { "no" };
        table.row([
            host.id.to_string(),
            host.domain.to_string(),
            alive.to_string(),
            host.head.sequence.to_string(),
            host.operators.to_string(),
        ]);
    }
    table.text()
}
