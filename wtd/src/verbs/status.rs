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
    client::{
        OperatorClient,
        ProcessResponse, //
    },
    exit::{
        Result,
        ToolError, //
    },
    output::CommandOutput,
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
pub async fn run(client: &OperatorClient, matches: &ArgMatches) -> Result<CommandOutput> {
    let responses = client.get_all(&client.keepers, "/status", &[]).await;
    let reports: Vec<KeeperReport> = responses.into_iter().map(KeeperReport::from).collect();
    let missing: Vec<String> = reports
        .iter()
        .filter_map(KeeperReport::describe_failure)
        .collect();
    if missing.len() == reports.len() {
        let text = format!("no keeper answered: {}", missing.join("; "));
        return Err(ToolError::NoAnswer(text.into()));
    }
    let output = CommandOutput::render(matches.get_flag("json"), &reports, |reports| {
        render_text(reports)
    });
    let output = output.with_missing(&missing);
    Ok(find_forks(&reports)
        .into_iter()
        .fold(output, CommandOutput::with_warning))
}

/// Keepers that hold different configurations of the same sequence; there must be none.
fn find_forks(reports: &[KeeperReport]) -> Vec<String> {
    let mut first_by_sequence: BTreeMap<u64, &KeeperStatus> = BTreeMap::new();
    let mut forks = Vec::new();
    for status in reports.iter().filter_map(|report| report.status.as_ref()) {
        let first = *first_by_sequence
            .entry(status.head.sequence)
            .or_insert(status);
        if first.head.hash != status.head.hash {
            forks.push(format!(
                "{} and {} hold different configurations {}: keep their logs and report it",
                first.host, status.host, status.head.sequence
            ));
        }
    }
    forks
}

impl From<ProcessResponse<KeeperStatus>> for KeeperReport {
    fn from(response: ProcessResponse<KeeperStatus>) -> Self {
        let (status, error) = match response.result {
            Ok(status) => (Some(status), None),
            Err(error) => (None, Some(error)),
        };
        Self {
            address: response.address.to_string(),
            status,
            error,
        }
    }
}

impl KeeperReport {
    /// The keeper and the reason, when it did not answer.
    fn describe_failure(&self) -> Option<String> {
        let error = self.error.as_ref()?;
        Some(format!("{}: {error}", self.address))
    }
}

/// All reports as text.
fn render_text(reports: &[KeeperReport]) -> String {
    let mut text = render_keepers(reports);
    let reporting = reports.iter().find_map(|report| report.status.as_ref());
    if let Some(status) = reporting {
        text.push_str(&format!("\nEndpoints, as {} sees them\n", status.host));
        text.push_str(&render_endpoints(&status.endpoints));
        text.push_str(&format!("\nHosts, as {} sees them\n", status.host));
        text.push_str(&render_hosts(&status.hosts));
    }
    text
}

/// One line for each keeper.
fn render_keepers(reports: &[KeeperReport]) -> String {
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
            table.add_row([report.address.clone(), error.to_string()]);
            continue;
        };
        let alive = status.hosts.iter().filter(|host| host.alive).count();
        table.add_row([
            report.address.clone(),
            status.host.to_string(),
            status.domain.to_string(),
            status.head.sequence.to_string(),
            publish::shorten_hash(&status.head.hash).to_string(),
            format!("{} ago", table::format_duration(status.config_age_ms)),
            format!("{} ago", table::format_duration(status.platform_age_ms)),
            status.endpoints.len().to_string(),
            format!("{alive} of {} alive", status.hosts.len()),
        ]);
    }
    table.render()
}

/// One line for each endpoint.
fn render_endpoints(endpoints: &[EndpointView]) -> String {
    let mut table = TextTable::new(&[
        "ENDPOINT", "POOL", "DOMAIN", "STATE", "WEIGHTS", "RUNNING", "QUEUED", "REPORT",
    ]);
    for endpoint in endpoints {
        table.add_row([
            endpoint.id.to_string(),
            endpoint.pool.to_string(),
            endpoint.domain.to_string(),
            endpoint.state.to_string(),
            endpoint.weights_version.to_string(),
            endpoint.running.to_string(),
            endpoint.queued.to_string(),
            format!("{} ago", table::format_duration(endpoint.report_age_ms)),
        ]);
    }
    table.render()
}

/// One line for each host.
fn render_hosts(hosts: &[HostView]) -> String {
    let mut table = TextTable::new(&["HOST", "DOMAIN", "ALIVE", "CONFIGURATION", "OPERATORS"]);
    for host in hosts {
        let alive = if host.alive { "yes" } else { "no" };
        table.add_row([
            host.id.to_string(),
            host.domain.to_string(),
            alive.to_string(),
            host.head.sequence.to_string(),
            host.operators.to_string(),
        ]);
    }
    table.render()
}
