//! `wtd rollout`: which weights are served, and newer ones.

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
    answer::VerbAnswer,
    client::{
        ChangeAnswer,
        OperatorClient, //
    },
    exit::{
        Result,
        ToolError, //
    },
    table::TextTable,
    verbs,
};

/// How far one pool is in one failure domain.
#[derive(Debug, Serialize)]
struct RolloutReport {
    /// Pool.
    pool: PoolId,
    /// Failure domain.
    domain: DomainId,
    /// Weights version in force.
    in_force: WeightsVersion,
    /// Endpoints of the pool there.
    endpoints: usize,
    /// Endpoints that serve the version in force.
    served: usize,
    /// Endpoints by the version they serve.
    versions: BTreeMap<WeightsVersion, usize>,
}

/// Shows how far roll-outs are, or starts one.
pub async fn run(client: &OperatorClient, matches: &ArgMatches) -> Result<VerbAnswer> {
    let held = client.in_force().await?;
    let in_force = held.configuration;
    let wanted = verbs::text(matches, "pool");
    if let (Some(pool), Some(&version)) = (wanted, matches.get_one("to")) {
        let note = verbs::text(matches, "note").unwrap_or_default();
        return start(client, pool, version, note).await;
    }
    let models = in_force
        .pools
        .iter()
        .filter(|pool| pool.kind == PoolKind::Model);
    let pools: Vec<&Pool> = models
        .filter(|pool| wanted.is_none_or(|wanted| &*pool.id == wanted))
        .collect();
    if let (Some(wanted), true) = (wanted, pools.is_empty()) {
        let text = format!("no pool of models {wanted} is in force");
        return Err(ToolError::NotFound(text.into()));
    }
    let status: KeeperStatus = client.get_first("/status").await?;
    let reports: Vec<RolloutReport> = pools
        .into_iter()
        .flat_map(|pool| reports(pool, &status.endpoints))
        .collect();
    let json = matches.get_flag("json");
    Ok(VerbAnswer::of(json, &reports, |reports| text(reports)))
}

/// Asks a keeper to drive a roll-out.
async fn start(
    client: &OperatorClient,
    pool: &str,
    version: WeightsVersion,
    note: &str,
) -> Result<VerbAnswer> {
    let call = RolloutCall {
        note: note.into(),
        operator: client.settings.name.clone(),
        pool: pool.into(),
        version,
    };
    match client
        .change::<_, RolloutAnswer, RolloutAnswer>("/rollout", &call)
        .await?
    {
        ChangeAnswer::Accepted(answer) => {
            let reason = answer.reason;
            let text = format!(
                "The roll-out of pool {pool} to weights {version} is under way: {reason}.\n\
                 `wtd rollout {pool}` shows how far it is.\n"
            );
            Ok(VerbAnswer::text(text))
        }
        ChangeAnswer::Refused(answer) => Err(ToolError::NotAccepted(answer.reason)),
    }
}

/// How far a pool is in each failure domain.
fn reports(pool: &Pool, endpoints: &[EndpointView]) -> Vec<RolloutReport> {
    let mut domains: BTreeMap<DomainId, BTreeMap<WeightsVersion, usize>> = BTreeMap::new();
    for endpoint in endpoints.iter().filter(|one| one.pool == pool.id) {
        let versions = domains.entry(endpoint.domain.clone()).or_default();
        *versions.entry(endpoint.weights_version).or_default() += 1;
    }
    let report = |(domain, versions): (DomainId, BTreeMap<WeightsVersion, usize>)| RolloutReport {
        pool: pool.id.clone(),
        domain,
        in_force: pool.weights_version,
        endpoints: versions.values().sum(),
        served: versions.get(&pool.weights_version).copied().unwrap_or(0),
        versions,
    };
    domains.into_iter().map(report).collect()
}

/// Reports as a table.
fn text(reports: &[RolloutReport]) -> String {
    let mut table = TextTable::new(&["POOL", "DOMAIN", "IN FORCE", "SERVED BY", "VERSIONS"]);
    for report in reports {
        let versions = report.versions.iter();
        let versions: Vec<String> = versions
            .map(|(version, count)| match version {
                0 => format!("{count} not known"),
                version => format!("{count} at {version}"),
            })
            .collect();
        table.row([
            report.pool.to_string(),
            report.domain.to_string(),
            report.in_force.to_string(),
            format!("{} of {}", report.served, report.endpoints),
            versions.join(", "),
        ]);
    }
    table.text()
}
