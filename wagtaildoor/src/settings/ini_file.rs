//! INI text into sections and keys, with the faults of its form.

use std::collections::HashSet;

use ini::{
    Ini,
    ParseError,
    ParseOption, //
};

use crate::settings::fault::FaultList;

/// Lines that are reported as malformed before the rest of the file is given up.
const MALFORMED_LINES: usize = 32;

/// Longest name of a section that is the id of something, in characters.
pub const ID_CHARACTERS: usize = 64;

/// What an id may be.
pub const ID_ALLOWED: &str =
    "1 to 64 letters, digits, points, hyphens and underscores, the first a letter or digit";

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniKey {
    /// Name.
    pub name: Box<str>,
    /// Value, without quotes and blanks around it.
    pub value: Box<str>,
}

/// A section with its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IniSection {
    /// Name.
    pub name: Box<str>,
    /// Keys in the order of the file.
    pub keys: Vec<IniKey>,
}

/// A file with its sections.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct IniFile {
    /// Sections in the order of the file.
    pub sections: Vec<IniSection>,
}

impl IniFile {
    /// Reads a text; malformed lines and repeated names go into the faults.
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
            file.take(section, faults);
        }
        file
    }

    /// The section of a name.
    pub fn section(&self, name: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| &*section.name == name)
    }

    /// Adds a section after checking that its names are new.
    fn take(&mut self, section: IniSection, faults: &mut FaultList) {
        if section.name.is_empty() {
            for key in &section.keys {
                faults.key("", &key.name, "stands before the first section", "");
            }
            return;
        }
        if self.section(&section.name).is_some() {
            faults.section(&section.name, "comes twice", "each section once");
            return;
        }
        let mut names = HashSet::new();
        for key in &section.keys {
            if !names.insert(&key.name) {
                let value = &key.value;
                faults.value(
                    &section.name,
                    &key.name,
                    value,
                    "comes twice",
                    "each key once",
                );
            }
        }
        self.sections.push(section);
    }
}

/// Parses a text; a malformed line is reported, left out, and the rest parsed again.
fn parse_lines(text: &str, faults: &mut FaultList) -> Ini {
    let mut lines: Vec<&str> = text.lines().collect();
    for _ in 0..MALFORMED_LINES {
        let error = match load(&lines.join("\n")) {
            Ok(ini) => return ini,
            Err(error) => error,
        };
        let found = faulty_line(&lines, error.line);
        let Some(line) = found else {
            faults.file(&format!("is malformed: {}", error.msg));
            return Ini::new();
        };
        faults.file(&format!(
            "line {}: {:?} is malformed; allowed: [section], key = value, or ; comment",
            line + 1,
            lines[line]
        ));
        lines[line] = "";
    }
    Ini::new()
}

/// Parses a text with quotes and escapes.
fn load(text: &str) -> Result<Ini, ParseError> {
    let option = ParseOption {
        enabled_quote: true,
        enabled_escape: true,
        ..ParseOption::default()
    };
    Ini::load_from_str_opt(text, option)
}

/// The line an error is about: the parser may stand on it, or on one after it.
fn faulty_line(lines: &[&str], near: usize) -> Option<usize> {
    let last = near.min(lines.len().checked_sub(1)?);
    (0..=last).rev().find(|&line| {
        let text = lines[line].trim();
        let comment = text.starts_with([';', '#']);
        !text.is_empty() && !comment && !well_formed(text)
    })
}

/// Whether a line parses on its own.
fn well_formed(line: &str) -> bool {
    load(line).is_ok()
}

/// Whether a text can be the id of something; ids stand in addresses, headers and logs.
pub fn is_id(text: &str) -> bool {
    let first_fits = text.starts_with(|first: char| first.is_ascii_alphanumeric());
    let fits = |letter: char| letter.is_ascii_alphanumeric() || ".-_".contains(letter);
    first_fits && text.len() <= ID_CHARACTERS && text.chars().all(fits)
}
