//! `wtd publish`: what differs between a folder and the configuration in force.

use clap::ArgMatches;
use wagtaildoor::{
    schema::{
        ConfigChange,
        ConfigHead,
        PublishAnswer,
        PublishCall,
        PublishRefusal, //
    },
    template_file::{
        self,
        difference::{
            self,
            ConfigDifference, //
        },
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
    table, verbs,
};

/// Characters of a hash that are shown.
const SHOWN_HASH: usize = 12;

/// Publishes a folder.
pub async fn run(client: &OperatorClient, matches: &ArgMatches) -> Result<VerbAnswer> {
    let folder = verbs::path(matches, "folder").expect("clap requires it");
    let wanted = template_file::read_folder(folder)?;
    let held = client.in_force().await?;
    let mut difference = difference::compare(&held.configuration, wanted);
    if matches.get_flag("remove-absent") {
        let absent = std::mem::take(&mut difference.unlisted_templates);
        let removed = absent.into_iter().map(ConfigChange::RemoveTemplate);
        difference.changes.extend(removed);
    }
    let unlisted_templates = std::mem::take(&mut difference.unlisted_templates);
    let mut answer = send(client, matches, held.head, difference).await?;
    for template in unlisted_templates {
        answer = answer.warning(format!(
            "template {template} is in force and not in the folder; it stays \
             (--remove-absent removes it)"
        ));
    }
    Ok(answer)
}

/// Sends what differs, unless it is only to be shown.
pub async fn send(
    client: &OperatorClient,
    matches: &ArgMatches,
    seen: ConfigHead,
    difference: ConfigDifference,
) -> Result<VerbAnswer> {
    let note = verbs::text(matches, "note").unwrap_or_default();
    let mut answer = if difference.changes.is_empty() {
        VerbAnswer::text("Nothing differs from what is in force; nothing was sent.\n")
    } else if matches.get_flag("dry-run") {
        let listed = listed(&difference.changes);
        VerbAnswer::text(format!("Would be sent:\n{listed}"))
    } else {
        publish(client, seen, note, difference.changes).await?
    };
    for pool in difference.newer_weights {
        answer = answer.warning(format!(
            "pool {pool} serves newer weights than the file says; weights never go back"
        ));
    }
    Ok(answer)
}

/// Publishes changes that were compared with a head.
pub async fn publish(
    client: &OperatorClient,
    seen: ConfigHead,
    note: &str,
    changes: Vec<ConfigChange>,
) -> Result<VerbAnswer> {
    let call = PublishCall {
        operator: client.settings.name.clone(),
        note: note.into(),
        changes,
        seen: Some(seen),
    };
    match client.change("/publish", &call).await? {
        ChangeAnswer::Accepted(accepted) => Ok(accepted_text(&call, accepted)),
        ChangeAnswer::Refused(refused) => Err(refusal(refused)),
    }
}

/// What is said of accepted changes.
fn accepted_text(call: &PublishCall, accepted: PublishAnswer) -> VerbAnswer {
    let PublishAnswer { head, held, behind } = accepted;
    let mut text = format!(
        "Accepted as configuration {} ({}):\n{}Held by {}: {}.\n",
        head.sequence,
        shortened(&head.hash),
        listed(&call.changes),
        table::counted(held.len(), "host"),
        held.join(", "),
    );
    if !behind.is_empty() {
        text.push_str(&format!(
            "Not yet seen to hold it: {}.\n",
            behind.join(", ")
        ));
    }
    VerbAnswer::text(text)
}

/// The error of changes that were not accepted.
fn refusal(refused: PublishRefusal) -> ToolError {
    let PublishRefusal {
        head,
        lost_to,
        reason,
    } = refused;
    let mut text = reason.to_string();
    if let Some(operator) = lost_to {
        text.push_str(&format!(
            "; {operator} was first, with configuration {} ({}): look at what changed, and \
             publish again",
            head.sequence,
            shortened(&head.hash),
        ));
    }
    ToolError::NotAccepted(text.into())
}

/// Changes, one a line.
fn listed(changes: &[ConfigChange]) -> String {
    changes
        .iter()
        .map(|change| format!("  {}\n", words(change)))
        .collect()
}

/// A change in words.
fn words(change: &ConfigChange) -> String {
    match change {
        ConfigChange::PutText(text) => {
            let size = table::counted(text.text.len(), "byte");
            format!("text {} of {size}", shortened(&text.hash))
        }
        ConfigChange::PutAccount(account) => format!("account {}", account.id),
        ConfigChange::PutPool(pool) => format!("pool {}", pool.id),
        ConfigChange::PutTemplate(template) => format!("template {}", template.id),
        ConfigChange::RemoveTemplate(id) => format!("template {id}, removed"),
        ConfigChange::RaiseWeights(raise) => {
            format!(
                "weights of pool {} to version {}",
                raise.pool, raise.version
            )
        }
    }
}

/// The start of a hash.
pub fn shortened(hash: &str) -> &str {
    hash.get(..SHOWN_HASH).unwrap_or(hash)
}
