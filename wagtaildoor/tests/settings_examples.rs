//! Tests that the example settings are valid, document each key and show the schema defaults.

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

/// Example files and their schema definitions.
const EXAMPLES: [(&str, &str); 4] = [
    ("entry.ini", "EntrySettings"),
    ("keeper.ini", "KeeperSettings"),
    ("operator.ini", "OperatorSettings"),
    ("front.ini", "FrontTuning"),
];

fn example_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../settings")
        .join(name)
}

/// Returns the definitions of the settings schema.
fn settings_definitions() -> Value {
    let schema = include_str!("../../schema/settings.json");
    let schema: Value = serde_json::from_str(schema).expect("the schema is JSON");
    schema["definitions"].clone()
}

fn properties(definition: &Value) -> &Map<String, Value> {
    definition["properties"].as_object().expect("an object")
}

#[test]
fn examples_have_no_faults() {
    settings::read_entry(&example_path("entry.ini")).expect("an entry's settings");
    settings::read_keeper(&example_path("keeper.ini")).expect("a keeper's settings");
    settings::read_operator(&example_path("operator.ini")).expect("an operator's settings");
    settings::read_front(&example_path("front.ini")).expect("a front's settings");
    settings::read_front(&example_path("../deploy/front.ini")).expect("the deployment's settings");
}

#[test]
fn every_key_is_present_and_documented() {
    let definitions = settings_definitions();
    for (file, name) in EXAMPLES {
        let text = fs::read_to_string(example_path(file)).expect("an example");
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

/// Returns the lines of a section.
fn section_text<'text>(text: &'text str, section: &str) -> &'text str {
    let header = format!("\n[{section}]\n");
    let (_, rest) = text
        .split_once(&header)
        .unwrap_or_else(|| panic!("no section {section}"));
    rest.split("\n[").next().unwrap_or(rest)
}

/// Checks that a key is set, that the line above has its description, and that it shows its default.
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
        .unwrap_or_else(|| panic!("{place} is missing"));
    let description = property["description"].as_str().expect("a description");
    let previous_line = line.checked_sub(1).map_or("", |index| lines[index]);
    assert!(
        previous_line.contains(description),
        "{place} lacks its description: {previous_line:?}"
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
