//! Settings files: INI, checked against the schema, into typed values.

use std::{
    fs,
    path::Path, //
};

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    schema::{
        EntrySettings,
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

/// Schema of the settings.
const SCHEMA: &str = include_str!("../../schema/settings.json");

/// Result of reading settings; an error holds every fault of the file.
pub type Result<T> = std::result::Result<T, SettingsErrors>;

/// Reads the settings of `wagtaildoor-entry`.
pub fn read_entry(path: &Path) -> Result<EntrySettings> {
    read(path, "EntrySettings")
}

/// Reads the settings of `wagtaildoor-keeper`.
pub fn read_keeper(path: &Path) -> Result<KeeperSettings> {
    read(path, "KeeperSettings")
}

/// Reads the settings of `wtd`.
pub fn read_operator(path: &Path) -> Result<OperatorSettings> {
    read(path, "OperatorSettings")
}

/// Reads a file as one definition of the schema.
fn read<T: DeserializeOwned>(path: &Path, definition: &str) -> Result<T> {
    let name = path.display().to_string();
    let mut faults = FaultList::new(&name);
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            faults.file(&format!("cannot be read: {error}"));
            return Err(faults.into_errors());
        }
    };
    read_text(&name, &text, definition)
}

/// Reads a text as one definition of the schema; `name` stands in the faults.
pub fn read_text<T: DeserializeOwned>(name: &str, text: &str, definition: &str) -> Result<T> {
    let mut faults = FaultList::new(name);
    let file = IniFile::parse(text, &mut faults);
    let value = SchemaReader::new(SCHEMA).file(definition, &file, &mut faults);
    for pair in PAIRS {
        pair.check(&value, &mut faults);
    }
    faults.typed(value)
}

/// Keys of a section that are set together or not at all.
struct KeyPair {
    /// Section.
    section: &'static str,
    /// Both keys.
    keys: [&'static str; 2],
}

/// All such keys.
const PAIRS: [KeyPair; 1] = [KeyPair {
    section: "listen",
    keys: ["tls_certificate", "tls_key"],
}];

impl KeyPair {
    /// Checks what was read.
    fn check(&self, value: &Value, faults: &mut FaultList) {
        let set = |key: &str| value[self.section].get(key).is_some();
        let [first, second] = self.keys;
        let (absent, present) = match (set(first), set(second)) {
            (true, false) => (second, first),
            (false, true) => (first, second),
            _ => return,
        };
        let allowed = format!("both, or neither, of {first} and {second}");
        let problem = format!("is missing beside {present}");
        faults.key(self.section, absent, &problem, &allowed);
    }
}
