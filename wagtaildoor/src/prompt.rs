//! Renders a template's shared levels and the caller's own words into one prompt.

use std::collections::HashMap;

use crate::{
    error::{
        ErrorKind,
        RequestError,
        Result, //
    },
    schema::{
        Account,
        Configuration,
        LevelText,
        NamedValue,
        Template, //
    },
};

/// Stands between the parts of a prompt.
const SEPARATOR: &str = "\n\n";

/// A prompt, and where its shared levels end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenderedPrompt {
    /// Whole prompt.
    pub text: Box<str>,
    /// Shared levels, from the outside in.
    pub levels: Vec<RenderedLevel>,
}

/// One shared level of a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenderedLevel {
    /// Name of the level.
    pub name: Box<str>,
    /// Text of the level, with its parameters filled in.
    pub text: Box<str>,
    /// Where the level ends in the prompt, in bytes.
    pub end_bytes: usize,
}

/// Renders the levels of `template` for `account`, then `caller_text`, which nobody shares.
///
/// Parameters of the request go before those of the account.
pub fn render(
    configuration: &Configuration,
    template: &Template,
    account: &Account,
    parameters: &[NamedValue],
    caller_text: &str,
) -> Result<RenderedPrompt> {
    let values = parameter_values(account, parameters);
    let mut text = String::new();
    let mut levels = Vec::with_capacity(template.levels.len());
    for level in &template.levels {
        let source = level_text(&configuration.texts, &level.text_hash)?;
        let filled = substitute(source, &values)?;
        text.push_str(&filled);
        text.push_str(SEPARATOR);
        levels.push(RenderedLevel {
            name: level.name.clone(),
            text: filled.into(),
            end_bytes: text.len(),
        });
    }
    text.push_str(caller_text);
    Ok(RenderedPrompt {
        text: text.into(),
        levels,
    })
}

/// Values by name; those of the request cover those of the account.
fn parameter_values<'a>(
    account: &'a Account,
    parameters: &'a [NamedValue],
) -> HashMap<&'a str, &'a str> {
    account
        .parameters
        .iter()
        .chain(parameters)
        .map(|value| (&*value.name, &*value.value))
        .collect()
}

/// The text with this hash.
fn level_text<'a>(texts: &'a [LevelText], hash: &str) -> Result<&'a str> {
    texts
        .iter()
        .find(|text| &*text.hash == hash)
        .map(|text| &*text.text)
        .ok_or_else(|| {
            RequestError::new(
                ErrorKind::NotConfigured,
                "this host does not hold the template's text yet",
            )
        })
}

/// Puts the values into a text's `{name}` places.
///
/// Braces that hold no plain name stay as they are, since texts may quote JSON.
fn substitute(source: &str, values: &HashMap<&str, &str>) -> Result<String> {
    let mut filled = String::with_capacity(source.len());
    let mut rest = source;
    while let Some(open) = rest.find('{') {
        let (before, placeholder) = rest.split_at(open);
        filled.push_str(before);
        let name = placeholder_name(placeholder);
        let Some(name) = name else {
            filled.push('{');
            rest = &placeholder[1..];
            continue;
        };
        let value = values.get(name).ok_or_else(|| missing_parameter(name))?;
        filled.push_str(value);
        rest = &placeholder[name.len() + 2..];
    }
    filled.push_str(rest);
    Ok(filled)
}

/// The name in a text that starts with `{name}`.
fn placeholder_name(placeholder: &str) -> Option<&str> {
    let end = placeholder.find('}')?;
    let name = &placeholder[1..end];
    let plain =
        |character: char| character.is_ascii_alphanumeric() || character == '_' || character == '-';
    (!name.is_empty() && name.chars().all(plain)).then_some(name)
}

/// The error for a parameter that nobody gave.
fn missing_parameter(name: &str) -> RequestError {
    RequestError::new(
        ErrorKind::BadRequest,
        format!(
            "the template needs the parameter \"{name}\", and neither request nor account gives it"
        ),
    )
}
