//! Client accounts: sections `[account.NAME]`.

use serde_json::{
    json,
    Value, //
};

use crate::{
    config_change,
    schema::{
        Account,
        NamedValue, //
    },
    settings::{
        fault::FaultList,
        ini_file::{
            is_id,
            IniFile,
            IniKey,
            IniSection,
            ID_ALLOWED, //
        },
        schema_reader::SchemaReader,
    },
    template_file::Placed,
};

/// What the names of account sections start with.
const SECTION_PREFIX: &str = "account.";

/// What the keys of template parameters start with.
const PARAMETER_PREFIX: &str = "parameter.";

/// What the name of a parameter may be.
const PARAMETER_ALLOWED: &str = "parameter.NAME, with letters, digits, hyphens and underscores";

/// Key with the bearer token, which is hashed on reading.
const TOKEN: &str = "token";

/// Key with the hash of the bearer token.
const TOKEN_HASH: &str = "token_hash";

/// Shortest bearer token, in characters.
const TOKEN_CHARACTERS: usize = 8;

/// Characters of a token's hash.
const HASH_CHARACTERS: usize = 64;

/// Reads all accounts of a file.
pub fn read(file: &IniFile, reader: &SchemaReader, faults: &mut FaultList) -> Vec<Placed<Account>> {
    let sections = file.sections.iter();
    let accounts = sections.filter_map(|section| read_one(section, reader, faults));
    accounts.collect()
}

/// Reads one account; `None` when it has faults.
fn read_one(
    section: &IniSection,
    reader: &SchemaReader,
    faults: &mut FaultList,
) -> Option<Placed<Account>> {
    let id = named(section, SECTION_PREFIX, faults)?;
    let mut keys = section.clone();
    let parameters = take_parameters(&mut keys, faults);
    take_token(&mut keys, faults);
    let set_elsewhere = ["id", "parameters"];
    let mut value = reader.section("Account", &keys, &set_elsewhere, faults);
    value["id"] = Value::String(id.into());
    value["parameters"] = json!(parameters);
    Placed::new(&section.name, value, faults)
}

/// The name in a section's name; a fault when there is none.
pub fn named<'section>(
    section: &'section IniSection,
    prefix: &str,
    faults: &mut FaultList,
) -> Option<&'section str> {
    let Some(name) = section.name.strip_prefix(prefix) else {
        let allowed = format!("[{prefix}NAME]");
        faults.section(&section.name, "is not a section of this file", &allowed);
        return None;
    };
    if !is_id(name) {
        faults.section(&section.name, "has no proper name", ID_ALLOWED);
        return None;
    }
    Some(name)
}

/// Takes the keys of parameters out of a section.
fn take_parameters(section: &mut IniSection, faults: &mut FaultList) -> Vec<NamedValue> {
    let all = std::mem::take(&mut section.keys);
    let mut parameters = Vec::new();
    for key in all {
        match key.name.strip_prefix(PARAMETER_PREFIX) {
            Some(name) if is_parameter(name) => parameters.push(NamedValue {
                name: name.into(),
                value: key.value,
            }),
            Some(_) => faults.key(
                &section.name,
                &key.name,
                "has no proper name",
                PARAMETER_ALLOWED,
            ),
            None => section.keys.push(key),
        }
    }
    parameters
}

/// Puts the hash in the place of a plain token, and checks a hash that is given.
///
/// Faults never show the value: they end up in terminals and logs.
fn take_token(section: &mut IniSection, faults: &mut FaultList) {
    let name = section.name.clone();
    let tokens = section.keys.iter().filter(|key| &*key.name == TOKEN);
    let hashes = section.keys.iter().filter(|key| &*key.name == TOKEN_HASH);
    match (tokens.count(), hashes.count()) {
        (0, 0) => faults.key(&name, TOKEN, "is missing", "token or token_hash"),
        (0, _) | (_, 0) => {}
        _ => faults.key(&name, TOKEN, "comes beside token_hash", "one of the two"),
    }
    let mut hash = "0".repeat(HASH_CHARACTERS);
    for key in &section.keys {
        match &*key.name {
            TOKEN if !is_token(&key.value) => {
                let allowed = "8 or more visible ASCII characters without blanks";
                faults.key(&name, TOKEN, "is no proper token", allowed);
            }
            TOKEN => hash = config_change::text_hash(&key.value).into(),
            TOKEN_HASH if !is_hash(&key.value) => {
                faults.key(&name, TOKEN_HASH, "is no hash", "64 digits of 0-9 and a-f");
            }
            TOKEN_HASH => hash = key.value.to_string(),
            _ => {}
        }
    }
    section
        .keys
        .retain(|key| ![TOKEN, TOKEN_HASH].contains(&&*key.name));
    section.keys.push(IniKey {
        name: TOKEN_HASH.into(),
        value: hash.into(),
    });
}

/// Whether a text can name a parameter: what may stand between braces in a text.
fn is_parameter(name: &str) -> bool {
    is_id(name) && !name.contains('.')
}

/// Whether a text can be a bearer token.
fn is_token(text: &str) -> bool {
    text.len() >= TOKEN_CHARACTERS && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Whether a text can be a token's hash.
fn is_hash(text: &str) -> bool {
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == HASH_CHARACTERS && text.bytes().all(digit)
}
