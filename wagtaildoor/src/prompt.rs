//! Renders the shared levels of a template and the caller's text into one prompt.

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

/// Separator between the parts of a prompt.
const SEPARATOR: &str = "\n\n";

/// A rendered prompt with the ends of its shared levels.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenderedPrompt {
    /// Text of the whole prompt.
    pub text: Box<str>,
    /// Shared levels, outermost first.
    pub levels: Vec<RenderedLevel>,
}

/// One shared level of a rendered prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenderedLevel {
    /// Name from the template.
    pub name: Box<str>,
    /// Text of the level with its parameters substituted.
    pub text: Box<str>,
    /// Byte offset in the prompt at which the level and its separator end.
    pub end_bytes: usize,
}

/// Renders the levels of `template` for `account`, followed by the unshared `caller_text`.
///
/// Parameters of the request override those of the account. Errors are `NotConfigured` if a text
/// is missing on this host, and `BadRequest` if a parameter has no value.
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

/// Collects the parameter values by name; those of the request override those of the account.
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

/// Finds a level's text by its hash.
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

/// Substitutes the `{name}` placeholders of a text.
///
/// Braces around anything but a plain name are kept, since texts may quote JSON.
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

/// Parses the name of a placeholder at the start of a text that begins with `{`.
fn placeholder_name(placeholder: &str) -> Option<&str> {
    let end = placeholder.find('}')?;
    let name = &placeholder[1..end];
    let plain =
        |character: char| character.is_ascii_alphanumeric() || character == '_' || character == '-';
    (!name.is_empty() && name.chars().all(plain)).then_some(name)
}

/// Builds the error for a parameter without a value.
fn missing_parameter(name: &str) -> RequestError {
    RequestError::new(
        ErrorKind::BadRequest,
        format!(
            "the template needs the parameter \"{name}\", and neither request nor account gives it"
        ),
    )
}
