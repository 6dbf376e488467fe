//! The example settings: read without faults, each key explained, defaults as in the schema.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use serde_json::{
    Map,
    Value, //
};
use wagtaildoor::settings;

/// Example files and the definitions they follow.
const EXAMPLES: [(&str, &str); 4] = [
    ("entry.ini", "EntrySettings"),
    ("keeper.ini", "KeeperSettings"),
    ("operator.ini", "OperatorSettings"),
    ("front.ini", "FrontTuning"),
];

/// The path of an example.
fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../settings")
        .join(name)
}

/// The definitions of the settings' schema.
fn definitions() -> Value {
    let schema = include_str!("../../schema/settings.json");
    let schema: Value = serde_json::from_str(schema).expect("the schema is JSON");
    schema["definitions"].clone()
}

/// Properties of a definition.
fn properties(definition: &Value) -> &Map<String, Value> {
    definition["properties"].as_object().expect("an object")
}

#[test]
fn examples_have_no_faults() {
    settings::read_entry(&example("entry.ini")).expect("an entry's settings");
    settings::read_keeper(&example("keeper.ini")).expect("a keeper's settings");
    settings::read_operator(&example("operator.ini")).expect("an operator's settings");
    settings::read_front(&example("front.ini")).expect("a front's settings");
    settings::read_front(&example("../deploy/front.ini")).expect("the deployment's settings");
}

#[test]
fn every_key_is_there_and_explained() {
    let definitions = definitions();
    for (file, name) in EXAMPLES {
        let text = fs::read_to_string(example(file)).expect("an example");
        for (section, reference) in properties(&definitions[name]) {
            let reference = reference["$ref"].as_str().expect("a reference");
            let definition = &definitions[reference.rsplit('/').next().expect("a name")];
            let part = section_text(&text, section);
            for (key, property) in properties(definition) {
                check_key(file, section, part, key, property);
            }
        }
    }
}

/// The part of a file that belongs to a section.
fn section_text<'text>(text: &'text str, section: &str) -> &'text str {
    let head = format!("\n[{section}]\n");
    let (_, rest) = text
        .split_once(&head)
        .unwrap_or_else(|| panic!("no section {section}"));
    rest.split("\n[").next().unwrap_or(rest)
}

/// A key has a line, above it the schema's words, and the default as its value.
fn check_key(file: &str, section: &str, part: &str, key: &str, property: &Value) {
    let place = format!("{file}: [{section}] {key}");
    let lines: Vec<&str> = part.lines().collect();
    let is_key = |line: &&str| {
        line.trim_start_matches("; ")
            .starts_with(&format!("{key} = "))
    };
    let line = lines
        .iter()
        .position(is_key)
        .unwrap_or_else(|| panic!("{place} is not there"));
    let description = property["description"].as_str().expect("a description");
    let above = line.checked_sub(1).map_or("", |above| lines[above]);
    assert!(
        above.contains(description),
        "{place} is not explained: {above:?}"
    );
    if property["type"] == "array" {
        return;
    }
    if let Some(default) = property.get("default") {
        let default = default.to_string();
        let value = lines[line].split_once(" = ").map_or("", |(_, value)| value);
        assert_eq!(
            value,
            default.trim_matches('"'),
            "{place} does not show its default"
        );
    }
}
