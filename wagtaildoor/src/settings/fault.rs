//! Faults of a settings file, collected so that all are shown at once.

use std::fmt;

use serde::{
    de::DeserializeOwned,
    Serialize, //
};
use serde_json::Value;

/// Longest part of a faulty value that is shown, in characters.
const SHOWN_VALUE_CHARACTERS: usize = 80;

/// One fault of a file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct SettingsFault {
    /// File.
    pub file: Box<str>,
    /// Section, where the fault lies in one.
    pub section: Option<Box<str>>,
    /// Key, where the fault lies in one.
    pub key: Option<Box<str>>,
    /// Value as it stands in the file, where there is one.
    pub value: Option<Box<str>>,
    /// What is wrong.
    pub problem: Box<str>,
    /// What is allowed instead; empty when the problem says it.
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
            write!(formatter, " = {}", shown(value))?;
        }
        write!(formatter, " {}", self.problem)?;
        if !self.allowed.is_empty() {
            write!(formatter, "; allowed: {}", self.allowed)?;
        }
        Ok(())
    }
}

/// A value in quotes, cut to a length that fits a line.
fn shown(value: &str) -> String {
    let mut part: String = value.chars().take(SHOWN_VALUE_CHARACTERS).collect();
    if part.len() < value.len() {
        part.push('…');
    }
    format!("{part:?}")
}

/// Every fault that was found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingsErrors {
    /// Faults, in the order of the file.
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
    /// File the faults are in.
    file: Box<str>,
    /// Faults so far.
    faults: Vec<SettingsFault>,
}

impl FaultList {
    /// No faults yet of a file.
    pub fn new(file: &str) -> Self {
        Self {
            file: file.into(),
            faults: Vec::new(),
        }
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// A fault of the file as a whole.
    pub fn file(&mut self, problem: &str) {
        self.push(None, None, None, problem, "");
    }

    /// A fault of a section as a whole.
    pub fn section(&mut self, section: &str, problem: &str, allowed: &str) {
        self.push(Some(section), None, None, problem, allowed);
    }

    /// A fault of a key that is missing, or whose value does not matter.
    pub fn key(&mut self, section: &str, key: &str, problem: &str, allowed: &str) {
        self.push(Some(section), Some(key), None, problem, allowed);
    }

    /// A fault of a value.
    pub fn value(&mut self, section: &str, key: &str, value: &str, problem: &str, allowed: &str) {
        self.push(Some(section), Some(key), Some(value), problem, allowed);
    }

    /// A fault of a key in another file than the list's own.
    pub fn key_in(&mut self, file: &str, section: &str, key: &str, problem: &str, allowed: &str) {
        self.key(section, key, problem, allowed);
        self.move_last(file);
    }

    /// A fault of a value in another file than the list's own.
    pub fn value_in(
        &mut self,
        file: &str,
        section: &str,
        key: &str,
        value: &str,
        problem: &str,
        allowed: &str,
    ) {
        self.value(section, key, value, problem, allowed);
        self.move_last(file);
    }

    /// Names another file in the fault added last.
    fn move_last(&mut self, file: &str) {
        if let Some(fault) = self.faults.last_mut() {
            fault.file = file.into();
        }
    }

    /// File the faults are in.
    pub fn file_name(&self) -> &str {
        &self.file
    }

    /// Whether a section has a fault.
    pub fn has_in(&self, section: &str) -> bool {
        let mut faults = self.faults.iter();
        faults.any(|fault| fault.section.as_deref() == Some(section))
    }

    /// Adds a fault.
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

    /// The faults as an error.
    pub fn into_errors(self) -> SettingsErrors {
        SettingsErrors {
            faults: self.faults,
        }
    }

    /// The checked value as its type, or every fault.
    pub fn typed<T: DeserializeOwned>(mut self, value: Value) -> Result<T, SettingsErrors> {
        if !self.is_empty() {
            return Err(self.into_errors());
        }
        serde_json::from_value(value).map_err(|error| {
            self.file(&format!("does not fit its type: {error}"));
            self.into_errors()
        })
    }
}
