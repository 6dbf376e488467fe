//! `wtd publish`: publishes the difference between a folder and the configuration in force.

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
    client::{
        ChangeOutcome,
        OperatorClient, //
    },
    exit::{
        Result,
        ToolError, //
    },
    output::CommandOutput,
    table, verbs,
};

/// Number of characters printed of a hash.
const SHOWN_HASH_LENGTH: usize = 12;

/// Publishes a folder of templates.
///
/// Templates that are not in the folder are removed only with `--remove-absent`.
pub async fn run(client: &OperatorClient, matches: &ArgMatches) -> Result<CommandOutput> {
    let folder = verbs::path_arg(matches, "folder").expect("clap requires the argument");
    let wanted = template_file::read_folder(folder)?;
    let held = client.get_configuration().await?;
    let mut difference = difference::compare(&held.configuration, wanted);
    if matches.get_flag("remove-absent") {
        let absent = std::mem::take(&mut difference.unlisted_templates);
        let removed = absent.into_iter().map(ConfigChange::RemoveTemplate);
        difference.changes.extend(removed);
    }
    let unlisted_templates = std::mem::take(&mut difference.unlisted_templates);
    let mut output = publish_difference(client, matches, held.head, difference).await?;
    for template in unlisted_templates {
        output = output.with_warning(format!(
            "template {template} is in force and not in the folder; it stays \
             (--remove-absent removes it)"
        ));
    }
    Ok(output)
}

/// Publishes a difference, or only prints it with `--dry-run`.
///
/// `seen` is the head that the difference was computed against. Nothing is sent if there are no
/// changes.
pub async fn publish_difference(
    client: &OperatorClient,
    matches: &ArgMatches,
    seen: ConfigHead,
    difference: ConfigDifference,
) -> Result<CommandOutput> {
    let note = verbs::text_arg(matches, "note").unwrap_or_default();
    let mut output = if difference.changes.is_empty() {
        CommandOutput::from_text("Nothing differs from what is in force; nothing was sent.\n")
    } else if matches.get_flag("dry-run") {
        let listed = format_changes(&difference.changes);
        CommandOutput::from_text(format!("Would be sent:\n{listed}"))
    } else {
        publish_changes(client, seen, note, difference.changes).await?
    };
    for pool in difference.newer_weights {
        output = output.with_warning(format!(
            "pool {pool} serves newer weights than the file says; weights never go back"
        ));
    }
    Ok(output)
}

/// Publishes changes that were computed against the head `seen`.
///
/// Fails with [`ToolError::NotAccepted`] if the keeper rejects them, for example because another
/// operator published first.
pub async fn publish_changes(
    client: &OperatorClient,
    seen: ConfigHead,
    note: &str,
    changes: Vec<ConfigChange>,
) -> Result<CommandOutput> {
    let call = PublishCall {
        operator: client.settings.name.clone(),
        note: note.into(),
        changes,
        seen: Some(seen),
    };
    match client.send_change("/publish", &call).await? {
        ChangeOutcome::Accepted(accepted) => Ok(accepted_output(&call, accepted)),
        ChangeOutcome::Refused(refused) => Err(refusal_error(refused)),
    }
}

/// Renders the response to accepted changes, with the hosts that do and do not hold them.
fn accepted_output(call: &PublishCall, accepted: PublishAnswer) -> CommandOutput {
    let PublishAnswer { head, held, behind } = accepted;
    let mut text = format!(
        "Accepted as configuration {} ({}):\n{}Held by {}: {}.\n",
        head.sequence,
        shorten_hash(&head.hash),
        format_changes(&call.changes),
        table::format_count(held.len(), "host"),
        held.join(", "),
    );
    if !behind.is_empty() {
        text.push_str(&format!(
            "Not yet seen to hold it: {}.\n",
            behind.join(", ")
        ));
    }
    CommandOutput::from_text(text)
}

/// Converts a rejection to an error that names the operator who published first, if any.
fn refusal_error(refused: PublishRefusal) -> ToolError {
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
            shorten_hash(&head.hash),
        ));
    }
    ToolError::NotAccepted(text.into())
}

/// Formats changes as indented lines, one per change.
fn format_changes(changes: &[ConfigChange]) -> String {
    changes
        .iter()
        .map(|change| format!("  {}\n", describe_change(change)))
        .collect()
}

fn describe_change(change: &ConfigChange) -> String {
    match change {
        ConfigChange::PutText(text) => {
            let size = table::format_count(text.text.len(), "byte");
            format!("text {} of {size}", shorten_hash(&text.hash))
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

/// Shortens a hash to its first 12 characters for output.
pub fn shorten_hash(hash: &str) -> &str {
    hash.get(..SHOWN_HASH_LENGTH).unwrap_or(hash)
}
