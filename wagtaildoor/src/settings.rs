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

/// Reads the settings of `wagtaildoor-front` that the platform does not give.
pub fn read_front(path: &Path) -> Result<FrontTuning> {
    read(path, "FrontTuning")
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
    for need in NEEDS {
        need.check(&value, &mut faults);
    }
    faults.typed(value)
}

/// A key that means nothing without another one.
struct KeyNeed {
    /// Section.
    section: &'static str,
    /// Key.
    key: &'static str,
    /// Key that must be set with it.
    needs: &'static str,
}

/// All such keys.
const NEEDS: [KeyNeed; 3] = [
    KeyNeed {
        section: "listen",
        key: "tls_certificate",
        needs: "tls_key",
    },
    KeyNeed {
        section: "listen",
        key: "tls_key",
        needs: "tls_certificate",
    },
    KeyNeed {
        section: "operator",
        key: "entries_tls_roots",
        needs: "entries_tls_name",
    },
];

impl KeyNeed {
    /// Checks what was read.
    fn check(&self, value: &Value, faults: &mut FaultList) {
        let set = |key: &str| value[self.section].get(key).is_some();
        if set(self.key) && !set(self.needs) {
            let problem = format!("is missing beside {}", self.key);
            let allowed = format!("{} only together with {}", self.key, self.needs);
            faults.key(self.section, self.needs, &problem, &allowed);
        }
    }
}
