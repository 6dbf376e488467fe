//! Reads INI settings files into typed values, checked against the JSON schema.

use std::{
    fs,
    path::Path, //
};

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    schema::{
        EntrySettings,
        FrontTuning,
        KeeperSettings,
        OperatorSettings, //
    },
    settings::{
        fault::{
            FaultList,
            SettingsErrors, //
        },
        ini_file::IniFile,
        schema_reader::SchemaReader,
    },
};

pub mod fault;
pub mod ini_file;
pub mod schema_reader;

/// JSON schema of all settings files.
const SCHEMA: &str = include_str!("../../schema/settings.json");

/// Result of reading a settings file; the error lists every fault in it.
pub type Result<T> = std::result::Result<T, SettingsErrors>;

/// Reads the settings of `wagtaildoor-entry`.
pub fn read_entry(path: &Path) -> Result<EntrySettings> {
    read_settings(path, "EntrySettings")
}

/// Reads the settings of `wagtaildoor-keeper`.
pub fn read_keeper(path: &Path) -> Result<KeeperSettings> {
    read_settings(path, "KeeperSettings")
}

/// Reads the settings of `wagtaildoor-front` that do not come from the platform.
pub fn read_front(path: &Path) -> Result<FrontTuning> {
    read_settings(path, "FrontTuning")
}

/// Reads the settings of `wtd`.
pub fn read_operator(path: &Path) -> Result<OperatorSettings> {
    read_settings(path, "OperatorSettings")
}

/// Reads a file according to one definition of the schema.
fn read_settings<T: DeserializeOwned>(path: &Path, definition: &str) -> Result<T> {
    let name = path.display().to_string();
    let mut faults = FaultList::new(&name);
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            faults.add_file_fault(&format!("cannot be read: {error}"));
            return Err(faults.into_errors());
        }
    };
    parse_text(&name, &text, definition)
}

/// Parses a text according to one definition of the schema.
///
/// Faults are reported with `name` as the file name.
pub fn parse_text<T: DeserializeOwned>(name: &str, text: &str, definition: &str) -> Result<T> {
    let mut faults = FaultList::new(name);
    let file = IniFile::parse(text, &mut faults);
    let value = SchemaReader::new(SCHEMA).read_file(definition, &file, &mut faults);
    for dependency in KEY_DEPENDENCIES {
        dependency.check(&value, &mut faults);
    }
    faults.into_typed(value)
}

/// A key that requires another key of its section.
struct KeyDependency {
    section: &'static str,
    /// Key that has the requirement.
    key: &'static str,
    /// Key that must be set together with `key`.
    required_key: &'static str,
}

/// All keys that require another key.
const KEY_DEPENDENCIES: [KeyDependency; 3] = [
    KeyDependency {
        section: "listen",
        key: "tls_certificate",
        required_key: "tls_key",
    },
    KeyDependency {
        section: "listen",
        key: "tls_key",
        required_key: "tls_certificate",
    },
    KeyDependency {
        section: "operator",
        key: "entries_tls_roots",
        required_key: "entries_tls_name",
    },
];

impl KeyDependency {
    /// Adds a fault if `key` is set without `required_key`.
    fn check(&self, value: &Value, faults: &mut FaultList) {
        let is_set = |key: &str| value[self.section].get(key).is_some();
        if is_set(self.key) && !is_set(self.required_key) {
            let problem = format!("is required when {} is set", self.key);
            let allowed = format!("{} only together with {}", self.key, self.required_key);
            faults.add_key_fault(self.section, self.required_key, &problem, &allowed);
        }
    }
}
