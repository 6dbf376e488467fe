//! Reads one template from a `[template]` section and its `[level.NAME]` sections, in file order.

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
        Located, //
    },
};

/// Name of the section with the template settings.
pub const TEMPLATE_SECTION: &str = "template";

/// Prefix of the names of level sections.
const LEVEL_PREFIX: &str = "level.";

/// Key of a level's inline text.
const TEXT_KEY: &str = "text";

/// Key of the path of a level's text file.
const TEXT_FILE_KEY: &str = "text_file";

/// Maximum length of the text of a level, in bytes.
const MAX_TEXT_BYTES: usize = 1024 * 1024;

/// Contents of one template file.
#[derive(Debug, Default)]
pub struct TemplateContents {
    /// Template; `None` if its section is missing or does not deserialize.
    pub template: Option<Located<Template>>,
    /// Texts of the template's levels with their hashes, in file order.
    pub texts: Vec<LevelText>,
}

/// Reads the template of a file; paths of text files are relative to `folder`.
pub fn read_template(
    folder: &Path,
    file: &IniFile,
    reader: &SchemaReader,
    faults: &mut FaultList,
) -> TemplateContents {
    let mut contents = TemplateContents::default();
    let mut levels = Vec::new();
    for section in &file.sections {
        if &*section.name == TEMPLATE_SECTION {
            continue;
        }
        let Some(name) = account::parse_section_id(section, LEVEL_PREFIX, faults) else {
            continue;
        };
        if let Some(text) = read_level(folder, section, faults) {
            let text_hash = config_change::text_hash(&text);
            levels.push(Level {
                name: name.into(),
                text_hash: text_hash.clone(),
            });
            contents.texts.push(LevelText {
                hash: text_hash,
                text,
            });
        }
    }
    contents.template = read_template_section(file, levels, reader, faults);
    contents
}

/// Reads the `[template]` section; returns `None` and adds faults if it is missing or invalid.
fn read_template_section(
    file: &IniFile,
    levels: Vec<Level>,
    reader: &SchemaReader,
    faults: &mut FaultList,
) -> Option<Located<Template>> {
    let Some(section) = file.section(TEMPLATE_SECTION) else {
        faults.add_section_fault(
            TEMPLATE_SECTION,
            "is missing",
            "one in each file of a template",
        );
        return None;
    };
    let mut value = reader.read_section("Template", section, &["levels"], faults);
    value["levels"] = json!(levels);
    let is_set = |name: &str| section.keys.iter().any(|key| &*key.name == name);
    let is_service = value["path"].as_str().is_some_and(|path| !path.is_empty());
    if is_service && !is_set("max_tokens") {
        value["max_tokens"] = Value::from(0);
    }
    let template: Located<Template> = Located::new(TEMPLATE_SECTION, value, faults)?;
    check_template(&template.value, faults);
    Some(template)
}

/// Checks the values of a template that depend on each other, and its path.
fn check_template(template: &Template, faults: &mut FaultList) {
    if template.first_token_ms > template.deadline_ms {
        let value = template.first_token_ms.to_string();
        let allowed = format!("up to deadline_ms, which is {}", template.deadline_ms);
        faults.add_value_fault(
            TEMPLATE_SECTION,
            "first_token_ms",
            &value,
            "is after the deadline",
            &allowed,
        );
    }
    if !template.path.is_empty() && !template.path.starts_with('/') {
        faults.add_value_fault(
            TEMPLATE_SECTION,
            "path",
            &template.path,
            "is not a valid path",
            "such as /orders/print",
        );
    }
}

/// Reads the text of a level; `None` if it is missing or invalid.
fn read_level(folder: &Path, section: &IniSection, faults: &mut FaultList) -> Option<Box<str>> {
    let name = &*section.name;
    for key in &section.keys {
        if ![TEXT_KEY, TEXT_FILE_KEY].contains(&&*key.name) {
            faults.add_key_fault(
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
    let (key, text) = match (value(TEXT_KEY), value(TEXT_FILE_KEY)) {
        (Some(text), None) => (TEXT_KEY, text.into()),
        (None, Some(path)) => (TEXT_FILE_KEY, read_text_file(folder, name, path, faults)?),
        (None, None) => {
            faults.add_key_fault(name, TEXT_KEY, "is missing", "text or text_file");
            return None;
        }
        (Some(_), Some(_)) => {
            faults.add_key_fault(
                name,
                TEXT_KEY,
                "is set together with text_file",
                "one of the two",
            );
            return None;
        }
    };
    if text.trim().is_empty() || text.len() > MAX_TEXT_BYTES {
        let problem = format!("gives a text of {} bytes", text.len());
        let allowed = format!("a text that is not blank, of up to {MAX_TEXT_BYTES} bytes");
        faults.add_key_fault(name, key, &problem, &allowed);
        return None;
    }
    Some(text)
}

/// Reads a level's text file, without trailing white space.
fn read_text_file(
    folder: &Path,
    section: &str,
    path: &str,
    faults: &mut FaultList,
) -> Option<Box<str>> {
    let relative = Path::new(path);
    let is_inside_folder = relative
        .components()
        .all(|part| matches!(part, Component::Normal(_) | Component::CurDir));
    if !is_inside_folder {
        let problem = "points outside the folder";
        let allowed = "a path relative to this file, without ..";
        faults.add_value_fault(section, TEXT_FILE_KEY, path, problem, allowed);
        return None;
    }
    match fs::read_to_string(folder.join(relative)) {
        Ok(text) => Some(text.trim_end().into()),
        Err(error) => {
            let problem = format!("cannot be read: {error}");
            faults.add_value_fault(
                section,
                TEXT_FILE_KEY,
                path,
                &problem,
                "a file of UTF-8 text",
            );
            None
        }
    }
}
