//! `wtd status`: shows the state of keepers, endpoints and hosts.

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

/// Status of one keeper, as JSON prints it.
#[derive(Debug, Serialize)]
struct KeeperReport {
    address: String,
    /// Status, if the keeper responded.
    status: Option<KeeperStatus>,
    /// Reason of the failure, if the keeper did not respond.
    error: Option<Box<str>>,
}

/// Shows the status of all keepers.
///
/// Fails with [`ToolError::NoAnswer`] if no keeper responds.
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

/// Returns a warning for each keeper whose configuration has the same sequence number as that of
/// an earlier keeper but a different hash. This must never happen.
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
    /// Returns the address and the reason if the keeper did not respond.
    fn describe_failure(&self) -> Option<String> {
        let error = self.error.as_ref()?;
        Some(format!("{}: {error}", self.address))
    }
}

/// Renders the keepers, then the endpoints and hosts known to the first keeper that responded.
fn render_text(reports: &[KeeperReport]) -> String {
    let mut text = render_keepers(reports);
    let first_status = reports.iter().find_map(|report| report.status.as_ref());
    if let Some(status) = first_status {
        text.push_str(&format!("\nEndpoints, as {} sees them\n", status.host));
        text.push_str(&render_endpoints(&status.endpoints));
        text.push_str(&format!("\nHosts, as {} sees them\n", status.host));
        text.push_str(&render_hosts(&status.hosts));
    }
    text
}

/// Renders the table of keepers. Keepers that did not respond are shown with the error.
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
