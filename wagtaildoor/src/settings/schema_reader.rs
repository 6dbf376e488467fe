//! Reads INI sections according to the definitions of a JSON schema.

use std::net::SocketAddr;

use serde_json::{
    Map,
    Number,
    Value, //
};

use crate::settings::{
    fault::FaultList,
    ini_file::{
        is_valid_id,
        IniFile,
        IniSection,
        ID_DESCRIPTION, //
    },
};

/// Schema formats whose values are ids.
const ID_FORMATS: [&str; 7] = [
    "account-id",
    "domain-id",
    "endpoint-id",
    "host-id",
    "pool-id",
    "region-id",
    "template-id",
];

/// Converts INI sections to JSON values according to one schema.
#[derive(Clone, Debug)]
pub struct SchemaReader {
    /// Definitions of the schema, by name.
    definitions: Value,
}

/// Converted value, or the problem as a phrase for an error message.
type ConversionResult = Result<Value, Box<str>>;

impl SchemaReader {
    /// Creates a reader.
    ///
    /// Panics if the schema is not JSON; the schemas are compiled into the program.
    pub fn new(schema: &'static str) -> Self {
        let schema: Value = serde_json::from_str(schema).expect("the schema is JSON");
        Self {
            definitions: schema["definitions"].clone(),
        }
    }

    /// Reads a file; its sections are the properties of the definition.
    pub fn read_file(&self, definition: &str, file: &IniFile, faults: &mut FaultList) -> Value {
        let sections = self.properties(definition);
        for section in &file.sections {
            if !sections.contains_key(&*section.name) {
                let allowed = join_names(sections.keys(), &[]);
                faults.add_section_fault(&section.name, "is not a section of this file", &allowed);
            }
        }
        let mut values = Map::new();
        for (name, property) in sections {
            let empty = IniSection {
                name: name.as_str().into(),
                keys: Vec::new(),
            };
            let section = file.section(name).unwrap_or(&empty);
            let value = self.read_section(definition_name(property), section, &[], faults);
            values.insert(name.clone(), value);
        }
        Value::Object(values)
    }

    /// Reads a section; its keys are the properties of the definition.
    ///
    /// Properties in `set_by_caller` are not accepted as keys; the caller adds their values.
    pub fn read_section(
        &self,
        definition: &str,
        section: &IniSection,
        set_by_caller: &[&str],
        faults: &mut FaultList,
    ) -> Value {
        let properties = self.properties(definition);
        let is_key = |name: &str| properties.contains_key(name) && !set_by_caller.contains(&name);
        for key in section.keys.iter().filter(|key| !is_key(&key.name)) {
            let allowed = join_names(properties.keys(), set_by_caller);
            faults.add_key_fault(
                &section.name,
                &key.name,
                "is not a key of this section",
                &allowed,
            );
        }
        let mut values = Map::new();
        for (name, property) in properties.iter().filter(|(name, _)| is_key(name)) {
            let required = self.is_required(definition, name);
            if let Some(value) = self.read_key(section, name, property, required, faults) {
                values.insert(name.clone(), value);
            }
        }
        Value::Object(values)
    }

    /// Reads one key, or returns its default; `None` if it has neither or is invalid.
    fn read_key(
        &self,
        section: &IniSection,
        name: &str,
        property: &Value,
        required: bool,
        faults: &mut FaultList,
    ) -> Option<Value> {
        let Some(key) = section.keys.iter().find(|key| &*key.name == name) else {
            let default = property.get("default").cloned();
            if required && default.is_none() {
                faults.add_key_fault(
                    &section.name,
                    name,
                    "is missing",
                    &self.describe_allowed(property),
                );
            }
            return default;
        };
        match self.convert(property, &key.value) {
            Ok(value) => Some(value),
            Err(problem) => {
                let allowed = self.describe_allowed(property);
                faults.add_value_fault(&section.name, name, &key.value, &problem, &allowed);
                None
            }
        }
    }

    /// Returns the properties of a definition.
    ///
    /// Panics if the schema has no object definition of that name.
    pub fn properties(&self, definition: &str) -> &Map<String, Value> {
        let properties = self.definitions[definition]["properties"].as_object();
        properties.expect("the definition is an object in the schema")
    }

    /// Returns true if the definition requires the property.
    fn is_required(&self, definition: &str, name: &str) -> bool {
        let required = self.definitions[definition]["required"].as_array();
        required.is_some_and(|names| names.iter().any(|required| required == name))
    }

    /// Returns the definition that a property refers to, or else the property's own schema.
    fn resolve<'schema>(&'schema self, property: &'schema Value) -> &'schema Value {
        match property.get("$ref") {
            Some(_) => &self.definitions[definition_name(property)],
            None => property,
        }
    }

    /// Converts a text to JSON of the property's type. The error says what is wrong with the text.
    fn convert(&self, property: &Value, text: &str) -> ConversionResult {
        let schema = self.resolve(property);
        match schema["type"].as_str() {
            Some("integer") => parse_integer(schema, text),
            Some("boolean") => parse_boolean(text),
            Some("array") => self.parse_array(schema, text),
            _ => parse_string(schema, text),
        }
    }

    /// Parses a comma-separated list.
    fn parse_array(&self, schema: &Value, text: &str) -> ConversionResult {
        let items: Vec<&str> = match text.trim() {
            "" => Vec::new(),
            list => list.split(',').map(str::trim).collect(),
        };
        if (items.len() as u64) < schema["minItems"].as_u64().unwrap_or(0) {
            return Err("has too few items".into());
        }
        let converted = items.iter().map(|item| {
            let value = self.convert(&schema["items"], item);
            value.map_err(|problem| format!("has an item, {item:?}, that {problem}").into())
        });
        Ok(Value::Array(converted.collect::<Result<_, Box<str>>>()?))
    }

    /// Describes the allowed values of a property, for error messages.
    pub fn describe_allowed(&self, property: &Value) -> String {
        let schema = self.resolve(property);
        match schema["type"].as_str() {
            Some("integer") => {
                let bounds = IntegerBounds::from_schema(schema);
                format!(
                    "a whole number from {} to {}",
                    bounds.minimum, bounds.maximum
                )
            }
            Some("boolean") => "true or false".to_string(),
            Some("array") => {
                let minimum = schema["minItems"].as_u64().unwrap_or(0);
                let item = self.describe_allowed(&schema["items"]);
                format!("a comma-separated list of at least {minimum}, each {item}")
            }
            _ => describe_allowed_string(schema),
        }
    }
}

/// Returns the name of the definition that a property refers to.
fn definition_name(property: &Value) -> &str {
    let reference = property["$ref"].as_str().unwrap_or_default();
    reference.rsplit('/').next().unwrap_or_default()
}

/// Joins the names with commas, without the excluded ones.
fn join_names<'name>(all: impl Iterator<Item = &'name String>, excluded: &[&str]) -> String {
    let kept: Vec<&str> = all
        .map(String::as_str)
        .filter(|name| !excluded.contains(name))
        .collect();
    kept.join(", ")
}

/// Inclusive bounds of an integer.
struct IntegerBounds {
    minimum: u64,
    maximum: u64,
}

impl IntegerBounds {
    /// Reads the bounds from a schema; without a maximum, its integer format sets it.
    fn from_schema(schema: &Value) -> Self {
        let format_maximum = match schema["format"].as_str() {
            Some("uint16") => u64::from(u16::MAX),
            Some("uint32") => u64::from(u32::MAX),
            _ => u64::MAX,
        };
        Self {
            minimum: schema["minimum"].as_u64().unwrap_or(0),
            maximum: schema["maximum"].as_u64().unwrap_or(format_maximum),
        }
    }
}

/// Parses an unsigned integer within the bounds of the schema.
fn parse_integer(schema: &Value, text: &str) -> ConversionResult {
    let bounds = IntegerBounds::from_schema(schema);
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number {
        return Err("is not a whole number".into());
    }
    match text.parse::<u64>() {
        Ok(number) if number < bounds.minimum => Err("is too small".into()),
        Ok(number) if number <= bounds.maximum => Ok(Value::Number(Number::from(number))),
        _ => Err("is too large".into()),
    }
}

fn parse_boolean(text: &str) -> ConversionResult {
    match text {
        "true" => Ok(Value::Bool(true)),
        "false" => Ok(Value::Bool(false)),
        _ => Err("is neither true nor false".into()),
    }
}

/// Checks a text against the choices, length and format of the schema.
fn parse_string(schema: &Value, text: &str) -> ConversionResult {
    let value = Value::String(text.to_string());
    if let Some(choices) = schema["enum"].as_array() {
        return match choices.contains(&value) {
            true => Ok(value),
            false => Err("is not one of the choices".into()),
        };
    }
    let length = text.chars().count() as u64;
    if length < schema["minLength"].as_u64().unwrap_or(0) {
        return Err("is too short".into());
    }
    if length > schema["maxLength"].as_u64().unwrap_or(u64::MAX) {
        return Err("is too long".into());
    }
    let is_valid = match schema["format"].as_str() {
        Some("socket-address") => text.parse::<SocketAddr>().is_ok(),
        Some("http-url") => is_http_url(text),
        Some(format) if ID_FORMATS.contains(&format) => is_valid_id(text),
        _ => true,
    };
    match is_valid {
        true => Ok(value),
        false => Err("has the wrong format".into()),
    }
}

/// Returns true if the text is an http or https URL with a host.
fn is_http_url(text: &str) -> bool {
    let url = reqwest::Url::parse(text);
    url.is_ok_and(|url| matches!(url.scheme(), "http" | "https") && url.has_host())
}

/// Describes the allowed values of a string, for error messages.
fn describe_allowed_string(schema: &Value) -> String {
    if let Some(choices) = schema["enum"].as_array() {
        let choices: Vec<&str> = choices.iter().filter_map(Value::as_str).collect();
        return format!("one of {}", choices.join(", "));
    }
    match schema["format"].as_str() {
        Some("socket-address") => {
            return "an address and port, such as 127.0.0.1:7100".to_string();
        }
        Some("http-url") => {
            return "an http or https URL, such as http://127.0.0.1:7100".to_string();
        }
        Some(format) if ID_FORMATS.contains(&format) => return ID_DESCRIPTION.to_string(),
        _ => {}
    }
    let minimum = schema["minLength"].as_u64();
    match (minimum, schema["maxLength"].as_u64()) {
        (None, None) => "a text".to_string(),
        (minimum, None) => format!("a text of at least {} characters", minimum.unwrap_or(0)),
        (minimum, Some(maximum)) => {
            format!("a text of {} to {maximum} characters", minimum.unwrap_or(0))
        }
    }
}
