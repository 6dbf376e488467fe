//! Reads accounts, pools and templates from INI files into configuration changes to publish.

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

const SCHEMA: &str = include_str!("../../schema/configuration.json");

/// Name of the file with the client accounts.
pub const ACCOUNTS_FILE: &str = "accounts.ini";

/// Name of the file with the pools.
pub const POOLS_FILE: &str = "pools.ini";

/// Result of reading template files; the error lists every fault of all files.
pub type Result<T> = std::result::Result<T, SettingsErrors>;

/// A value with the file and section it was read from.
#[derive(Clone, Debug)]
struct Located<T> {
    file: Box<str>,
    section: Box<str>,
    value: T,
}

impl<T: DeserializeOwned> Located<T> {
    /// Deserializes a section.
    ///
    /// Returns `None` if that fails, and adds a fault unless the section already has one.
    fn new(section: &str, value: Value, faults: &mut FaultList) -> Option<Self> {
        match serde_json::from_value(value) {
            Ok(value) => Some(Self {
                file: faults.file_name().into(),
                section: section.into(),
                value,
            }),
            Err(error) => {
                // A faulty key is missing from the value and was already reported.
                if !faults.has_section_fault(section) {
                    let problem = format!("does not match its type: {error}");
                    faults.add_section_fault(section, &problem, "");
                }
                None
            }
        }
    }
}

/// Contents and faults of a set of files.
#[derive(Debug, Default)]
struct FileSet {
    accounts: Vec<Located<Account>>,
    pools: Vec<Located<Pool>>,
    templates: Vec<Located<Template>>,
    /// Texts of the templates' levels; may contain duplicates.
    texts: Vec<LevelText>,
    errors: SettingsErrors,
}

/// Reads all INI files of a folder, which may refer only to each other.
pub fn read_folder(folder: &Path) -> Result<Vec<ConfigChange>> {
    read_files(&list_ini_files(folder)?, &config_change::empty())
}

/// Reads INI files, which may also refer to accounts and pools of the configuration in force.
pub fn read_files(files: &[PathBuf], in_force: &Configuration) -> Result<Vec<ConfigChange>> {
    let reader = SchemaReader::new(SCHEMA);
    let mut set = FileSet::default();
    for file in files {
        set.read_file(file, &reader);
    }
    cross_check::check_files(&mut set, in_force);
    set.into_changes()
}

/// Lists the INI files of a folder, sorted by name.
fn list_ini_files(folder: &Path) -> Result<Vec<PathBuf>> {
    let folder_fault = |problem: String| {
        let mut faults = FaultList::new(&folder.display().to_string());
        faults.add_file_fault(&problem);
        faults.into_errors()
    };
    let entries =
        fs::read_dir(folder).map_err(|error| folder_fault(format!("cannot be read: {error}")))?;
    let mut files: Vec<PathBuf> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "ini"))
        .collect();
    files.sort();
    if files.is_empty() {
        return Err(folder_fault(
            "contains no file that ends in .ini".to_string(),
        ));
    }
    Ok(files)
}

impl FileSet {
    /// Reads and parses one file.
    fn read_file(&mut self, path: &Path, reader: &SchemaReader) {
        let mut faults = FaultList::new(&path.display().to_string());
        match fs::read_to_string(path) {
            Ok(text) => {
                let file = IniFile::parse(&text, &mut faults);
                self.add_contents(path, &file, reader, &mut faults);
            }
            Err(error) => faults.add_file_fault(&format!("cannot be read: {error}")),
        }
        self.errors.faults.extend(faults.into_errors().faults);
    }

    /// Adds the contents of a parsed file; its name decides what it contains.
    fn add_contents(
        &mut self,
        path: &Path,
        file: &IniFile,
        reader: &SchemaReader,
        faults: &mut FaultList,
    ) {
        match path.file_name().and_then(|name| name.to_str()) {
            Some(ACCOUNTS_FILE) => self
                .accounts
                .extend(account::read_accounts(file, reader, faults)),
            Some(POOLS_FILE) => self.pools.extend(pool::read_pools(file, reader, faults)),
            _ => {
                let folder = path.parent().unwrap_or(Path::new("."));
                let contents = template::read_template(folder, file, reader, faults);
                self.texts.extend(contents.texts);
                self.templates.extend(contents.template);
            }
        }
    }

    /// Returns the changes that publish all contents, or every fault.
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
