//! Accounts, pools and templates from INI files, checked, as changes to publish.

use std::{
    collections::HashSet,
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    config_change,
    schema::{
        Account,
        ConfigChange,
        Configuration,
        LevelText,
        Pool,
        Template, //
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

pub mod difference;

mod account;
mod cross_check;
mod pool;
mod template;

/// Schema of the configuration.
const SCHEMA: &str = include_str!("../../schema/configuration.json");

/// File with the client accounts.
pub const ACCOUNTS_FILE: &str = "accounts.ini";

/// File with the pools.
pub const POOLS_FILE: &str = "pools.ini";

/// Result of reading template files; an error holds every fault of all files.
pub type Result<T> = std::result::Result<T, SettingsErrors>;

/// A value and the place it was read from.
#[derive(Clone, Debug)]
struct Placed<T> {
    /// File.
    file: Box<str>,
    /// Section.
    section: Box<str>,
    /// Value.
    value: T,
}

impl<T: DeserializeOwned> Placed<T> {
    /// A checked section as its type; `None` when it has faults.
    fn new(section: &str, value: Value, faults: &mut FaultList) -> Option<Self> {
        match serde_json::from_value(value) {
            Ok(value) => Some(Self {
                file: faults.file_name().into(),
                section: section.into(),
                value,
            }),
            Err(error) => {
                // A faulty key is left out of the value, and was reported where it was found.
                if !faults.has_in(section) {
                    let problem = format!("does not fit its type: {error}");
                    faults.section(section, &problem, "");
                }
                None
            }
        }
    }
}

/// Everything read from a set of files.
#[derive(Debug, Default)]
struct FileSet {
    /// Client accounts.
    accounts: Vec<Placed<Account>>,
    /// Pools.
    pools: Vec<Placed<Pool>>,
    /// Templates.
    templates: Vec<Placed<Template>>,
    /// Texts of the templates' levels.
    texts: Vec<LevelText>,
    /// Faults of all files.
    errors: SettingsErrors,
}

/// Reads all INI files of a folder.
pub fn read_folder(folder: &Path) -> Result<Vec<ConfigChange>> {
    read_files(&ini_files(folder)?, &config_change::empty())
}

/// Reads some INI files, which may name accounts and pools that are in force already.
pub fn read_files(files: &[PathBuf], in_force: &Configuration) -> Result<Vec<ConfigChange>> {
    let reader = SchemaReader::new(SCHEMA);
    let mut set = FileSet::default();
    for file in files {
        set.read(file, &reader);
    }
    cross_check::check(&mut set, in_force);
    set.into_changes()
}

/// The INI files of a folder, in the order of their names.
fn ini_files(folder: &Path) -> Result<Vec<PathBuf>> {
    let fault = |problem: String| {
        let mut faults = FaultList::new(&folder.display().to_string());
        faults.file(&problem);
        faults.into_errors()
    };
    let entries =
        fs::read_dir(folder).map_err(|error| fault(format!("cannot be read: {error}")))?;
    let mut files: Vec<PathBuf> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|ending| ending == "ini"))
        .collect();
    files.sort();
    if files.is_empty() {
        return Err(fault("holds no file that ends in .ini".to_string()));
    }
    Ok(files)
}

impl FileSet {
    /// Reads one file, by its name.
    fn read(&mut self, path: &Path, reader: &SchemaReader) {
        let mut faults = FaultList::new(&path.display().to_string());
        match fs::read_to_string(path) {
            Ok(text) => {
                let file = IniFile::parse(&text, &mut faults);
                self.take(path, &file, reader, &mut faults);
            }
            Err(error) => faults.file(&format!("cannot be read: {error}")),
        }
        self.errors.faults.extend(faults.into_errors().faults);
    }

    /// Takes over what a file holds.
    fn take(&mut self, path: &Path, file: &IniFile, reader: &SchemaReader, faults: &mut FaultList) {
        match path.file_name().and_then(|name| name.to_str()) {
            Some(ACCOUNTS_FILE) => self.accounts.extend(account::read(file, reader, faults)),
            Some(POOLS_FILE) => self.pools.extend(pool::read(file, reader, faults)),
            _ => {
                let folder = path.parent().unwrap_or(Path::new("."));
                let read = template::read(folder, file, reader, faults);
                self.texts.extend(read.texts);
                self.templates.extend(read.template);
            }
        }
    }

    /// The changes that put everything into force, or every fault.
    fn into_changes(self) -> Result<Vec<ConfigChange>> {
        if !self.errors.faults.is_empty() {
            return Err(self.errors);
        }
        let mut hashes = HashSet::new();
        let texts = self.texts.into_iter();
        let texts = texts.filter(|text| hashes.insert(text.hash.clone()));
        let mut changes: Vec<ConfigChange> = texts.map(ConfigChange::PutText).collect();
        let pools = self.pools.into_iter().map(|pool| pool.value);
        changes.extend(pools.map(ConfigChange::PutPool));
        let accounts = self.accounts.into_iter().map(|account| account.value);
        changes.extend(accounts.map(ConfigChange::PutAccount));
        let templates = self.templates.into_iter().map(|template| template.value);
        changes.extend(templates.map(ConfigChange::PutTemplate));
        Ok(changes)
    }
}
