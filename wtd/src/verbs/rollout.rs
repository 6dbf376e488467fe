//! `wtd rollout`: shows the served weights versions and starts rollouts.

use std::collections::BTreeMap;

use clap::ArgMatches;
use serde::Serialize;
use wagtaildoor::{
    ids::{
        DomainId,
        PoolId,
        WeightsVersion, //
    },
    schema::{
        EndpointView,
        KeeperStatus,
        Pool,
        PoolKind,
        RolloutAnswer,
        RolloutCall, //
    },
};

use crate::{
    client::{
        ChangeOutcome,
        OperatorClient, //
    },
    exit::{
        Result,
        ToolError, //
    },
    output::CommandOutput,
    table::TextTable,
    verbs,
};

/// Rollout progress of one pool in one failure domain.
#[derive(Debug, Serialize)]
struct RolloutReport {
    pool: PoolId,
    domain: DomainId,
    in_force: WeightsVersion,
    /// Number of endpoints of the pool in the failure domain.
    endpoints: usize,
    /// Number of those endpoints that serve the version in force.
    served: usize,
    /// Number of endpoints by served version; 0 means that the version is unknown.
    versions: BTreeMap<WeightsVersion, usize>,
}

/// Shows the rollout progress of all model pools or one, or starts a rollout with `--to`.
pub async fn run(client: &OperatorClient, matches: &ArgMatches) -> Result<CommandOutput> {
    let held = client.get_configuration().await?;
    let in_force = held.configuration;
    let wanted = verbs::text_arg(matches, "pool");
    if let (Some(pool), Some(&version)) = (wanted, matches.get_one("to")) {
        let note = verbs::text_arg(matches, "note").unwrap_or_default();
        return start_rollout(client, pool, version, note).await;
    }
    let model_pools = in_force
        .pools
        .iter()
        .filter(|pool| pool.kind == PoolKind::Model);
    let pools: Vec<&Pool> = model_pools
        .filter(|pool| wanted.is_none_or(|wanted| &*pool.id == wanted))
        .collect();
    if let (Some(wanted), true) = (wanted, pools.is_empty()) {
        let text = format!("no pool of models {wanted} is in force");
        return Err(ToolError::NotFound(text.into()));
    }
    let status: KeeperStatus = client.get_first("/status").await?;
    let reports: Vec<RolloutReport> = pools
        .into_iter()
        .flat_map(|pool| build_reports(pool, &status.endpoints))
        .collect();
    let json = matches.get_flag("json");
    Ok(CommandOutput::render(json, &reports, |reports| {
        render_table(reports)
    }))
}

/// Asks a keeper to start a rollout.
async fn start_rollout(
    client: &OperatorClient,
    pool: &str,
    version: WeightsVersion,
    note: &str,
) -> Result<CommandOutput> {
    let call = RolloutCall {
        note: note.into(),
        operator: client.settings.name.clone(),
        pool: pool.into(),
        version,
    };
    match client
        .send_change::<_, RolloutAnswer, RolloutAnswer>("/rollout", &call)
        .await?
    {
        ChangeOutcome::Accepted(answer) => {
            let reason = answer.reason;
            let text = format!(
                "The roll-out of pool {pool} to weights {version} is under way: {reason}.\n\
                 `wtd rollout {pool}` shows how far it is.\n"
            );
            Ok(CommandOutput::from_text(text))
        }
        ChangeOutcome::Refused(answer) => Err(ToolError::NotAccepted(answer.reason)),
    }
}

/// Builds the report of a pool for each failure domain that has endpoints of it.
fn build_reports(pool: &Pool, endpoints: &[EndpointView]) -> Vec<RolloutReport> {
    let mut domains: BTreeMap<DomainId, BTreeMap<WeightsVersion, usize>> = BTreeMap::new();
    for endpoint in endpoints.iter().filter(|endpoint| endpoint.pool == pool.id) {
        let versions = domains.entry(endpoint.domain.clone()).or_default();
        *versions.entry(endpoint.weights_version).or_default() += 1;
    }
    let build_report =
        |(domain, versions): (DomainId, BTreeMap<WeightsVersion, usize>)| RolloutReport {
            pool: pool.id.clone(),
            domain,
            in_force: pool.weights_version,
            endpoints: versions.values().sum(),
            served: versions.get(&pool.weights_version).copied().unwrap_or(0),
            versions,
        };
    domains.into_iter().map(build_report).collect()
}

fn render_table(reports: &[RolloutReport]) -> String {
    let mut table = TextTable::new(&["POOL", "DOMAIN", "IN FORCE", "SERVED BY", "VERSIONS"]);
    for report in reports {
        let versions = report.versions.iter();
        let versions: Vec<String> = versions
            .map(|(version, count)| match version {
                0 => format!("{count} not known"),
                version => format!("{count} at {version}"),
            })
            .collect();
        table.add_row([
            report.pool.to_string(),
            report.domain.to_string(),
            report.in_force.to_string(),
            format!("{} of {}", report.served, report.endpoints),
            versions.join(", "),
        ]);
    }
    table.render()
}
