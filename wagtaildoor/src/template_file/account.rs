//! Reads client accounts from `[account.NAME]` sections.

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
            is_valid_id,
            IniFile,
            IniKey,
            IniSection,
            ID_DESCRIPTION, //
        },
        schema_reader::SchemaReader,
    },
    template_file::Located,
};

/// Prefix of the names of account sections.
const SECTION_PREFIX: &str = "account.";

/// Prefix of the keys that set template parameters.
const PARAMETER_PREFIX: &str = "parameter.";

/// Description of a valid parameter key, for error messages.
const PARAMETER_DESCRIPTION: &str = "parameter.NAME, with letters, digits, hyphens and underscores";

/// Key of the plain bearer token, which is hashed when it is read.
const TOKEN_KEY: &str = "token";

/// Key of the hash of the bearer token.
const TOKEN_HASH_KEY: &str = "token_hash";

/// Minimum length of a bearer token, in ASCII characters.
const MIN_TOKEN_LENGTH: usize = 8;

/// Length of a token hash, in hexadecimal digits.
const TOKEN_HASH_LENGTH: usize = 64;

/// Reads all accounts of a file; accounts that do not deserialize are left out.
pub fn read_accounts(
    file: &IniFile,
    reader: &SchemaReader,
    faults: &mut FaultList,
) -> Vec<Located<Account>> {
    let sections = file.sections.iter();
    let accounts = sections.filter_map(|section| read_account(section, reader, faults));
    accounts.collect()
}

/// Reads one account; `None` if its id is invalid or it does not deserialize.
fn read_account(
    section: &IniSection,
    reader: &SchemaReader,
    faults: &mut FaultList,
) -> Option<Located<Account>> {
    let id = parse_section_id(section, SECTION_PREFIX, faults)?;
    let mut keys = section.clone();
    let parameters = extract_parameters(&mut keys, faults);
    replace_token(&mut keys, faults);
    let set_by_caller = ["id", "parameters"];
    let mut value = reader.read_section("Account", &keys, &set_by_caller, faults);
    value["id"] = Value::String(id.into());
    value["parameters"] = json!(parameters);
    Located::new(&section.name, value, faults)
}

/// Returns the id after the prefix in a section's name; a missing or invalid id is a fault.
pub fn parse_section_id<'section>(
    section: &'section IniSection,
    prefix: &str,
    faults: &mut FaultList,
) -> Option<&'section str> {
    let Some(name) = section.name.strip_prefix(prefix) else {
        let allowed = format!("[{prefix}NAME]");
        faults.add_section_fault(&section.name, "is not a section of this file", &allowed);
        return None;
    };
    if !is_valid_id(name) {
        faults.add_section_fault(&section.name, "has an invalid name", ID_DESCRIPTION);
        return None;
    }
    Some(name)
}

/// Removes the parameter keys from a section and returns the valid ones.
fn extract_parameters(section: &mut IniSection, faults: &mut FaultList) -> Vec<NamedValue> {
    let all = std::mem::take(&mut section.keys);
    let mut parameters = Vec::new();
    for key in all {
        match key.name.strip_prefix(PARAMETER_PREFIX) {
            Some(name) if is_parameter_name(name) => parameters.push(NamedValue {
                name: name.into(),
                value: key.value,
            }),
            Some(_) => faults.add_key_fault(
                &section.name,
                &key.name,
                "has an invalid name",
                PARAMETER_DESCRIPTION,
            ),
            None => section.keys.push(key),
        }
    }
    parameters
}

/// Replaces the token keys of a section by the token hash, or by zeros if no token is valid.
///
/// Faults never include the token, because they are written to terminals and logs.
fn replace_token(section: &mut IniSection, faults: &mut FaultList) {
    let name = section.name.clone();
    let tokens = section.keys.iter().filter(|key| &*key.name == TOKEN_KEY);
    let hashes = section
        .keys
        .iter()
        .filter(|key| &*key.name == TOKEN_HASH_KEY);
    match (tokens.count(), hashes.count()) {
        (0, 0) => faults.add_key_fault(&name, TOKEN_KEY, "is missing", "token or token_hash"),
        (0, _) | (_, 0) => {}
        _ => faults.add_key_fault(
            &name,
            TOKEN_KEY,
            "is set together with token_hash",
            "one of the two",
        ),
    }
    let mut hash = "0".repeat(TOKEN_HASH_LENGTH);
    for key in &section.keys {
        match &*key.name {
            TOKEN_KEY if !is_token(&key.value) => {
                let allowed = "8 or more visible ASCII characters without spaces";
                faults.add_key_fault(&name, TOKEN_KEY, "is not a valid token", allowed);
            }
            TOKEN_KEY => hash = config_change::text_hash(&key.value).into(),
            TOKEN_HASH_KEY if !is_token_hash(&key.value) => {
                faults.add_key_fault(
                    &name,
                    TOKEN_HASH_KEY,
                    "is not a valid hash",
                    "64 digits of 0-9 and a-f",
                );
            }
            TOKEN_HASH_KEY => hash = key.value.to_string(),
            _ => {}
        }
    }
    section
        .keys
        .retain(|key| ![TOKEN_KEY, TOKEN_HASH_KEY].contains(&&*key.name));
    section.keys.push(IniKey {
        name: TOKEN_HASH_KEY.into(),
        value: hash.into(),
    });
}

/// Returns true if the text can be used as a `{parameter}` placeholder in a level text.
fn is_parameter_name(name: &str) -> bool {
    is_valid_id(name) && !name.contains('.')
}

/// Returns true if the text is a valid bearer token.
fn is_token(text: &str) -> bool {
    text.len() >= MIN_TOKEN_LENGTH && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Returns true if the text has the format of a token hash.
fn is_token_hash(text: &str) -> bool {
    let is_hex_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == TOKEN_HASH_LENGTH && text.bytes().all(is_hex_digit)
}
