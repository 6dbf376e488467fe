//! `wtd amend`: publishes single files, removes templates and raises weights versions.

use clap::ArgMatches;
use wagtaildoor::{
    schema::{
        ConfigChange,
        Configuration,
        WeightsChange, //
    },
    template_file::{
        self,
        difference, //
    },
};

use crate::{
    client::OperatorClient,
    exit::{
        Result,
        ToolError, //
    },
    output::CommandOutput,
    verbs::{
        self,
        publish, //
    },
};

/// Publishes the given files, removals and weights versions as one publication.
pub async fn run(client: &OperatorClient, matches: &ArgMatches) -> Result<CommandOutput> {
    let held = client.get_configuration().await?;
    let in_force = held.configuration;
    let mut wanted = template_file::read_files(&verbs::path_args(matches, "files"), &in_force)?;
    for template in matches.get_many::<String>("remove").unwrap_or_default() {
        wanted.push(removal_change(&in_force, template)?);
    }
    for raise in matches.get_many::<String>("raise").unwrap_or_default() {
        let raise = parse_raise(raise)?;
        wanted.push(validate_raise(&in_force, raise)?);
    }
    let difference = difference::compare(&in_force, wanted);
    publish::publish_difference(client, matches, held.head, difference).await
}

/// Returns the change that removes a template. Fails if the template is not in force.
fn removal_change(in_force: &Configuration, template: &str) -> Result<ConfigChange> {
    let mut templates = in_force.templates.iter();
    if templates.any(|known| &*known.id == template) {
        return Ok(ConfigChange::RemoveTemplate(template.into()));
    }
    let text = format!("no template {template} is in force");
    Err(ToolError::NotFound(text.into()))
}

/// Parses `POOL=VERSION`.
fn parse_raise(text: &str) -> Result<WeightsChange> {
    let parts = text.split_once('=');
    let parsed = parts.and_then(|(pool, version)| {
        Some(WeightsChange {
            pool: pool.into(),
            version: version.parse().ok()?,
        })
    });
    let problem = || {
        let text = format!("--raise {text:?} is malformed; allowed: POOL=VERSION, as drafter=3");
        ToolError::NotAccepted(text.into())
    };
    parsed.ok_or_else(problem)
}

/// Checks a new weights version of a pool and converts it to a change.
///
/// Fails if the pool is not in force or the version is lower than the pool's, since weights
/// versions never go back.
pub fn validate_raise(in_force: &Configuration, raise: WeightsChange) -> Result<ConfigChange> {
    let pool = in_force.pools.iter().find(|pool| pool.id == raise.pool);
    let Some(pool) = pool else {
        let text = format!("no pool {} is in force", raise.pool);
        return Err(ToolError::NotFound(text.into()));
    };
    if raise.version < pool.weights_version {
        let text = format!(
            "pool {} is at weights version {}, and weights never go back",
            pool.id, pool.weights_version
        );
        return Err(ToolError::NotAccepted(text.into()));
    }
    Ok(ConfigChange::RaiseWeights(raise))
}
