//! One template: a section `[template]` and, in order, its `[level.NAME]` sections.

use std::{
    fs,
    path::{
        Component,
        Path, //
    },
};

use serde_json::{
    json,
    Value, //
};

use crate::{
    config_change,
    schema::{
        Level,
        LevelText,
        Template, //
    },
    settings::{
        fault::FaultList,
        ini_file::{
            IniFile,
            IniSection, //
        },
        schema_reader::SchemaReader,
    },
    template_file::{
        account,
        Placed, //
    },
};

/// Name of the section with the template itself.
pub const SECTION: &str = "template";

/// What the names of level sections start with.
const LEVEL_PREFIX: &str = "level.";

/// Key with a level's text.
const TEXT: &str = "text";

/// Key with the path of a level's text.
const TEXT_FILE: &str = "text_file";

/// Longest text of a level, in bytes.
const TEXT_LIMIT_BYTES: usize = 1024 * 1024;

/// What one file gives.
#[derive(Debug, Default)]
pub struct TemplateReading {
    /// Template; `None` when it has faults.
    pub template: Option<Placed<Template>>,
    /// Texts of its levels.
    pub texts: Vec<LevelText>,
}

/// Reads the template of a file; text files stand relative to the folder.
pub fn read(
    folder: &Path,
    file: &IniFile,
    reader: &SchemaReader,
    faults: &mut FaultList,
) -> TemplateReading {
    let mut reading = TemplateReading::default();
    let mut levels = Vec::new();
    for section in &file.sections {
        if &*section.name == SECTION {
            continue;
        }
        let Some(name) = account::named(section, LEVEL_PREFIX, faults) else {
            continue;
        };
        if let Some(text) = read_level(folder, section, faults) {
            let text_hash = config_change::text_hash(&text);
            levels.push(Level {
                name: name.into(),
                text_hash: text_hash.clone(),
            });
            reading.texts.push(LevelText {
                hash: text_hash,
                text,
            });
        }
    }
    reading.template = read_head(file, levels, reader, faults);
    reading
}

/// Reads the section of the template itself.
fn read_head(
    file: &IniFile,
    levels: Vec<Level>,
    reader: &SchemaReader,
    faults: &mut FaultList,
) -> Option<Placed<Template>> {
    let Some(section) = file.section(SECTION) else {
        faults.section(SECTION, "is missing", "one in each file of a template");
        return None;
    };
    let mut value = reader.section("Template", section, &["levels"], faults);
    value["levels"] = json!(levels);
    let states = |name: &str| section.keys.iter().any(|key| &*key.name == name);
    let is_service = value["path"].as_str().is_some_and(|path| !path.is_empty());
    if is_service && !states("max_tokens") {
        value["max_tokens"] = Value::from(0);
    }
    let template: Placed<Template> = Placed::new(SECTION, value, faults)?;
    check(&template.value, faults);
    Some(template)
}

/// Checks a template in itself.
fn check(template: &Template, faults: &mut FaultList) {
    if template.first_token_ms > template.deadline_ms {
        let value = template.first_token_ms.to_string();
        let allowed = format!("up to deadline_ms, which is {}", template.deadline_ms);
        faults.value(
            SECTION,
            "first_token_ms",
            &value,
            "is after the deadline",
            &allowed,
        );
    }
    if !template.path.is_empty() && !template.path.starts_with('/') {
        faults.value(
            SECTION,
            "path",
            &template.path,
            "is no path",
            "such as /orders/print",
        );
    }
}

/// The text of a level; `None` when it has faults.
fn read_level(folder: &Path, section: &IniSection, faults: &mut FaultList) -> Option<Box<str>> {
    let name = &*section.name;
    for key in &section.keys {
        if ![TEXT, TEXT_FILE].contains(&&*key.name) {
            faults.key(
                name,
                &key.name,
                "is not a key of this section",
                "text, text_file",
            );
        }
    }
    let value = |wanted: &str| {
        let key = section.keys.iter().find(|key| &*key.name == wanted);
        key.map(|key| &*key.value)
    };
    let (key, text) = match (value(TEXT), value(TEXT_FILE)) {
        (Some(text), None) => (TEXT, text.into()),
        (None, Some(path)) => (TEXT_FILE, read_text(folder, name, path, faults)?),
        (None, None) => {
            faults.key(name, TEXT, "is missing", "text or text_file");
            return None;
        }
        (Some(_), Some(_)) => {
            faults.key(name, TEXT, "comes beside text_file", "one of the two");
            return None;
        }
    };
    if text.trim().is_empty() || text.len() > TEXT_LIMIT_BYTES {
        let problem = format!("gives a text of {} bytes", text.len());
        let allowed = format!("a text that is not blank, of up to {TEXT_LIMIT_BYTES} bytes");
        faults.key(name, key, &problem, &allowed);
        return None;
    }
    Some(text)
}

/// Reads a level's text file, less the blanks at its end.
fn read_text(folder: &Path, section: &str, path: &str, faults: &mut FaultList) -> Option<Box<str>> {
    let relative = Path::new(path);
    let inside = relative
        .components()
        .all(|part| matches!(part, Component::Normal(_) | Component::CurDir));
    if !inside {
        let problem = "leads out of the folder";
        let allowed = "a path relative to this file, without ..";
        faults.value(section, TEXT_FILE, path, problem, allowed);
        return None;
    }
    match fs::read_to_string(folder.join(relative)) {
        Ok(text) => Some(text.trim_end().into()),
        Err(error) => {
            let problem = format!("cannot be read: {error}");
            faults.value(section, TEXT_FILE, path, &problem, "a file of UTF-8 text");
            None
        }
    }
}
