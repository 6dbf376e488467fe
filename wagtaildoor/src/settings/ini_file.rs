//! Parses INI text into sections and keys and reports syntax errors.

use std::collections::HashSet;

use ini::{
    Ini,
    ParseError,
    ParseOption, //
};

use crate::settings::fault::FaultList;

/// Maximum number of malformed lines reported; beyond it, no section of the file is read.
const MAX_MALFORMED_LINES: usize = 32;

/// Maximum length of an id, in characters.
pub const MAX_ID_LENGTH: usize = 64;

/// Description of a valid id, for error messages.
pub const ID_DESCRIPTION: &str =
    "1 to 64 letters, digits, dots, hyphens and underscores, the first a letter or digit";

/// One line `key = value`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniKey {
    /// Name, without surrounding blanks.
    pub name: Box<str>,
    /// Value, without surrounding quotes and blanks.
    pub value: Box<str>,
}

/// Lines below a `[name]`, in the order of the file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniSection {
    /// Name, without surrounding blanks.
    pub name: Box<str>,
    /// Keys in file order.
    pub keys: Vec<IniKey>,
}

/// A parsed INI file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct IniFile {
    /// Sections in file order.
    pub sections: Vec<IniSection>,
}

impl IniFile {
    /// Parses a text; malformed lines and duplicate names are added to the faults.
    pub fn parse(text: &str, faults: &mut FaultList) -> Self {
        let ini = parse_lines(text, faults);
        let mut file = Self::default();
        for (name, properties) in &ini {
            let keys = properties.iter().map(|(name, value)| IniKey {
                name: name.trim().into(),
                value: value.into(),
            });
            let section = IniSection {
                name: name.unwrap_or_default().trim().into(),
                keys: keys.collect(),
            };
            file.add_section(section, faults);
        }
        file
    }

    /// Returns the section with the given name.
    pub fn section(&self, name: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| &*section.name == name)
    }

    /// Adds a section; duplicate sections and keys become faults.
    fn add_section(&mut self, section: IniSection, faults: &mut FaultList) {
        if section.name.is_empty() {
            for key in &section.keys {
                faults.add_key_fault("", &key.name, "is set before the first section", "");
            }
            return;
        }
        if self.section(&section.name).is_some() {
            faults.add_section_fault(&section.name, "appears more than once", "each section once");
            return;
        }
        let mut names = HashSet::new();
        for key in &section.keys {
            if !names.insert(&key.name) {
                let value = &key.value;
                faults.add_value_fault(
                    &section.name,
                    &key.name,
                    value,
                    "appears more than once",
                    "each key once",
                );
            }
        }
        self.sections.push(section);
    }
}

/// Parses a text; reports each malformed line, blanks it and parses again.
fn parse_lines(text: &str, faults: &mut FaultList) -> Ini {
    let mut lines: Vec<&str> = text.lines().collect();
    for _ in 0..MAX_MALFORMED_LINES {
        let error = match parse_ini(&lines.join("\n")) {
            Ok(ini) => return ini,
            Err(error) => error,
        };
        let found = find_malformed_line(&lines, error.line);
        let Some(line) = found else {
            faults.add_file_fault(&format!("is malformed: {}", error.msg));
            return Ini::new();
        };
        faults.add_file_fault(&format!(
            "line {}: {:?} is malformed; allowed: [section], key = value, or ; comment",
            line + 1,
            lines[line]
        ));
        lines[line] = "";
    }
    Ini::new()
}

/// Parses a text with quotes and escapes enabled.
fn parse_ini(text: &str) -> Result<Ini, ParseError> {
    let option = ParseOption {
        enabled_quote: true,
        enabled_escape: true,
        ..ParseOption::default()
    };
    Ini::load_from_str_opt(text, option)
}

/// Finds the malformed line; the parser reports its line number or a later one.
fn find_malformed_line(lines: &[&str], near: usize) -> Option<usize> {
    let last = near.min(lines.len().checked_sub(1)?);
    (0..=last).rev().find(|&line| {
        let text = lines[line].trim();
        let is_comment = text.starts_with([';', '#']);
        !text.is_empty() && !is_comment && !is_well_formed(text)
    })
}

/// Returns true if the line parses on its own.
fn is_well_formed(line: &str) -> bool {
    parse_ini(line).is_ok()
}

/// Returns true if the text is a valid id.
///
/// The characters are restricted because ids are written into URLs, headers and logs.
pub fn is_valid_id(text: &str) -> bool {
    let is_first_valid = text.starts_with(|first: char| first.is_ascii_alphanumeric());
    let is_valid = |character: char| character.is_ascii_alphanumeric() || ".-_".contains(character);
    is_first_valid && text.len() <= MAX_ID_LENGTH && text.chars().all(is_valid)
}
