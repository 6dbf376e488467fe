//! Collects all faults of a settings file, so that they are reported together.

use std::fmt;

use serde::{
    de::DeserializeOwned,
    Serialize, //
};
use serde_json::Value;

/// Longest prefix of a faulty value that is shown, in characters.
const MAX_SHOWN_VALUE_CHARACTERS: usize = 80;

/// One fault in a settings file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct SettingsFault {
    /// Path of the settings file.
    pub file: Box<str>,
    /// Section; `None` if the fault is in the file as a whole.
    pub section: Option<Box<str>>,
    /// Key; `None` if the fault is not in a single key.
    pub key: Option<Box<str>>,
    /// Value as written in the file; `None` if there is none, or if it must not be shown.
    pub value: Option<Box<str>>,
    /// Description of the fault.
    pub problem: Box<str>,
    /// What is allowed instead; empty if `problem` already says so.
    pub allowed: Box<str>,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:", self.file)?;
        if let Some(section) = &self.section {
            write!(formatter, " [{section}]")?;
        }
        if let Some(key) = &self.key {
            write!(formatter, " {key}")?;
        }
        if let Some(value) = &self.value {
            write!(formatter, " = {}", quote_value(value))?;
        }
        write!(formatter, " {}", self.problem)?;
        if !self.allowed.is_empty() {
            write!(formatter, "; allowed: {}", self.allowed)?;
        }
        Ok(())
    }
}

/// Quotes a value and truncates it to `MAX_SHOWN_VALUE_CHARACTERS`.
fn quote_value(value: &str) -> String {
    let mut part: String = value.chars().take(MAX_SHOWN_VALUE_CHARACTERS).collect();
    if part.len() < value.len() {
        part.push('…');
    }
    format!("{part:?}")
}

/// Error with every fault that was found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingsErrors {
    /// Faults in the order in which the checks found them.
    pub faults: Vec<SettingsFault>,
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let noun = if self.faults.len() == 1 {
            "fault"
        } else {
            "faults"
        };
        write!(formatter, "{} {noun}:", self.faults.len())?;
        for fault in &self.faults {
            write!(formatter, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

/// Collects the faults of one file.
#[derive(Debug)]
pub struct FaultList {
    /// File name that is reported with the faults.
    file: Box<str>,
    faults: Vec<SettingsFault>,
}

impl FaultList {
    /// Creates an empty list for a file.
    pub fn new(file: &str) -> Self {
        Self {
            file: file.into(),
            faults: Vec::new(),
        }
    }

    /// Returns true if no fault was found.
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// Adds a fault of the file as a whole.
    pub fn add_file_fault(&mut self, problem: &str) {
        self.push(None, None, None, problem, "");
    }

    /// Adds a fault of a section as a whole.
    pub fn add_section_fault(&mut self, section: &str, problem: &str, allowed: &str) {
        self.push(Some(section), None, None, problem, allowed);
    }

    /// Adds a fault of a key without its value, which is missing, irrelevant or secret.
    pub fn add_key_fault(&mut self, section: &str, key: &str, problem: &str, allowed: &str) {
        self.push(Some(section), Some(key), None, problem, allowed);
    }

    /// Adds a fault of a key whose value is shown in the error; must not be used for secrets.
    pub fn add_value_fault(
        &mut self,
        section: &str,
        key: &str,
        value: &str,
        problem: &str,
        allowed: &str,
    ) {
        self.push(Some(section), Some(key), Some(value), problem, allowed);
    }

    /// Adds a fault of a key in another file than the one the list was created for.
    pub fn add_key_fault_in(
        &mut self,
        file: &str,
        section: &str,
        key: &str,
        problem: &str,
        allowed: &str,
    ) {
        self.add_key_fault(section, key, problem, allowed);
        self.set_last_file(file);
    }

    /// Adds a fault of a value in another file than the one the list was created for.
    pub fn add_value_fault_in(
        &mut self,
        file: &str,
        section: &str,
        key: &str,
        value: &str,
        problem: &str,
        allowed: &str,
    ) {
        self.add_value_fault(section, key, value, problem, allowed);
        self.set_last_file(file);
    }

    /// Sets the file of the fault that was added last.
    fn set_last_file(&mut self, file: &str) {
        if let Some(fault) = self.faults.last_mut() {
            fault.file = file.into();
        }
    }

    /// File name that is reported with the faults.
    pub fn file_name(&self) -> &str {
        &self.file
    }

    /// Returns true if any fault is in the section.
    pub fn has_section_fault(&self, section: &str) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|fault| fault.section.as_deref() == Some(section))
    }

    fn push(
        &mut self,
        section: Option<&str>,
        key: Option<&str>,
        value: Option<&str>,
        problem: &str,
        allowed: &str,
    ) {
        self.faults.push(SettingsFault {
            file: self.file.clone(),
            section: section.map(Into::into),
            key: key.map(Into::into),
            value: value.map(Into::into),
            problem: problem.into(),
            allowed: allowed.into(),
        });
    }

    /// Converts the list into an error.
    pub fn into_errors(self) -> SettingsErrors {
        SettingsErrors {
            faults: self.faults,
        }
    }

    /// Deserializes the checked value, or returns every fault.
    pub fn into_typed<T: DeserializeOwned>(mut self, value: Value) -> Result<T, SettingsErrors> {
        if !self.is_empty() {
            return Err(self.into_errors());
        }
        serde_json::from_value(value).map_err(|error| {
            self.add_file_fault(&format!("does not match its type: {error}"));
            self.into_errors()
        })
    }
}
