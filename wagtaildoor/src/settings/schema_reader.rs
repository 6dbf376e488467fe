//! Reads INI sections by the definitions of a JSON Schema.

use std::net::SocketAddr;

use serde_json::{
    Map,
    Number,
    Value, //
};

use crate::settings::{
    fault::FaultList,
    ini_file::{
        is_id,
        IniFile,
        IniSection,
        ID_ALLOWED, //
    },
};

/// Formats whose values are ids.
const ID_FORMATS: [&str; 7] = [
    "account-id",
    "domain-id",
    "endpoint-id",
    "host-id",
    "pool-id",
    "region-id",
    "template-id",
];

/// Reads by the definitions of one schema.
#[derive(Clone, Debug)]
pub struct SchemaReader {
    /// Definitions by name.
    definitions: Value,
}

/// What a reader makes of a text.
type Converted = Result<Value, Box<str>>;

impl SchemaReader {
    /// A reader for a schema of this project.
    pub fn new(schema: &'static str) -> Self {
        let schema: Value = serde_json::from_str(schema).expect("the schema is JSON");
        Self {
            definitions: schema["definitions"].clone(),
        }
    }

    /// Reads a whole file, whose sections are the properties of a definition.
    pub fn file(&self, definition: &str, file: &IniFile, faults: &mut FaultList) -> Value {
        let sections = self.properties(definition);
        for section in &file.sections {
            if !sections.contains_key(&*section.name) {
                let allowed = names(sections.keys(), &[]);
                faults.section(&section.name, "is not a section of this file", &allowed);
            }
        }
        let mut read = Map::new();
        for (name, property) in sections {
            let empty = IniSection {
                name: name.as_str().into(),
                keys: Vec::new(),
            };
            let section = file.section(name).unwrap_or(&empty);
            let value = self.section(definition_of(property), section, &[], faults);
            read.insert(name.clone(), value);
        }
        Value::Object(read)
    }

    /// Reads one section, whose keys are the properties of a definition.
    ///
    /// Properties named in `set_elsewhere` are no keys: the caller adds them.
    pub fn section(
        &self,
        definition: &str,
        section: &IniSection,
        set_elsewhere: &[&str],
        faults: &mut FaultList,
    ) -> Value {
        let properties = self.properties(definition);
        let is_key = |name: &str| properties.contains_key(name) && !set_elsewhere.contains(&name);
        for key in section.keys.iter().filter(|key| !is_key(&key.name)) {
            let allowed = names(properties.keys(), set_elsewhere);
            faults.key(
                &section.name,
                &key.name,
                "is not a key of this section",
                &allowed,
            );
        }
        let mut read = Map::new();
        for (name, property) in properties.iter().filter(|(name, _)| is_key(name)) {
            let required = self.requires(definition, name);
            if let Some(value) = self.key(section, name, property, required, faults) {
                read.insert(name.clone(), value);
            }
        }
        Value::Object(read)
    }

    /// Reads one key, or takes its default.
    fn key(
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
                faults.key(&section.name, name, "is missing", &self.allowed(property));
            }
            return default;
        };
        match self.convert(property, &key.value) {
            Ok(value) => Some(value),
            Err(problem) => {
                let allowed = self.allowed(property);
                faults.value(&section.name, name, &key.value, &problem, &allowed);
                None
            }
        }
    }

    /// Properties of a definition.
    pub fn properties(&self, definition: &str) -> &Map<String, Value> {
        let properties = self.definitions[definition]["properties"].as_object();
        properties.expect("the definition is an object in the schema")
    }

    /// Whether a definition requires a property.
    fn requires(&self, definition: &str, name: &str) -> bool {
        let required = self.definitions[definition]["required"].as_array();
        required.is_some_and(|names| names.iter().any(|required| required == name))
    }

    /// A property's own schema, or the one it refers to.
    fn resolve<'schema>(&'schema self, property: &'schema Value) -> &'schema Value {
        match property.get("$ref") {
            Some(_) => &self.definitions[definition_of(property)],
            None => property,
        }
    }

    /// A text as the value of a property, or what is wrong with it.
    fn convert(&self, property: &Value, text: &str) -> Converted {
        let schema = self.resolve(property);
        match schema["type"].as_str() {
            Some("integer") => integer(schema, text),
            Some("boolean") => boolean(text),
            Some("array") => self.array(schema, text),
            _ => string(schema, text),
        }
    }

    /// A list with commas as an array.
    fn array(&self, schema: &Value, text: &str) -> Converted {
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

    /// What a property allows, in words.
    pub fn allowed(&self, property: &Value) -> String {
        let schema = self.resolve(property);
        match schema["type"].as_str() {
            Some("integer") => {
                let bounds = IntegerBounds::of(schema);
                format!(
                    "a whole number from {} to {}",
                    bounds.minimum, bounds.maximum
                )
            }
            Some("boolean") => "true or false".to_string(),
            Some("array") => {
                let least = schema["minItems"].as_u64().unwrap_or(0);
                let item = self.allowed(&schema["items"]);
                format!("a list with commas of at least {least}, each {item}")
            }
            _ => string_allowed(schema),
        }
    }
}

/// Name of the definition a property refers to.
fn definition_of(property: &Value) -> &str {
    let reference = property["$ref"].as_str().unwrap_or_default();
    reference.rsplit('/').next().unwrap_or_default()
}

/// Names that are allowed, less some.
fn names<'name>(all: impl Iterator<Item = &'name String>, less: &[&str]) -> String {
    let kept: Vec<&str> = all
        .map(String::as_str)
        .filter(|name| !less.contains(name))
        .collect();
    kept.join(", ")
}

/// Least and greatest value of an integer.
struct IntegerBounds {
    /// Least value.
    minimum: u64,
    /// Greatest value.
    maximum: u64,
}

impl IntegerBounds {
    /// Bounds that a schema states, or that its format has.
    fn of(schema: &Value) -> Self {
        let widest = match schema["format"].as_str() {
            Some("uint16") => u64::from(u16::MAX),
            Some("uint32") => u64::from(u32::MAX),
            _ => u64::MAX,
        };
        Self {
            minimum: schema["minimum"].as_u64().unwrap_or(0),
            maximum: schema["maximum"].as_u64().unwrap_or(widest),
        }
    }
}

/// A text as a whole number.
fn integer(schema: &Value, text: &str) -> Converted {
    let bounds = IntegerBounds::of(schema);
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !digits {
        return Err("is not a whole number".into());
    }
    match text.parse::<u64>() {
        Ok(number) if number < bounds.minimum => Err("is too small".into()),
        Ok(number) if number <= bounds.maximum => Ok(Value::Number(Number::from(number))),
        _ => Err("is too large".into()),
    }
}

/// A text as true or false.
fn boolean(text: &str) -> Converted {
    match text {
        "true" => Ok(Value::Bool(true)),
        "false" => Ok(Value::Bool(false)),
        _ => Err("is neither true nor false".into()),
    }
}

/// A text that fits its choices, format and length.
fn string(schema: &Value, text: &str) -> Converted {
    let value = Value::String(text.to_string());
    if let Some(choices) = schema["enum"].as_array() {
        return match choices.contains(&value) {
            true => Ok(value),
            false => Err("is none of the choices".into()),
        };
    }
    let length = text.chars().count() as u64;
    if length < schema["minLength"].as_u64().unwrap_or(0) {
        return Err("is too short".into());
    }
    if length > schema["maxLength"].as_u64().unwrap_or(u64::MAX) {
        return Err("is too long".into());
    }
    let fits = match schema["format"].as_str() {
        Some("socket-address") => text.parse::<SocketAddr>().is_ok(),
        Some("http-url") => is_http_url(text),
        Some(format) if ID_FORMATS.contains(&format) => is_id(text),
        _ => true,
    };
    match fits {
        true => Ok(value),
        false => Err("does not have the right form".into()),
    }
}

/// Whether a text is the URL of an HTTP service.
fn is_http_url(text: &str) -> bool {
    let url = reqwest::Url::parse(text);
    url.is_ok_and(|url| matches!(url.scheme(), "http" | "https") && url.has_host())
}

/// What a text may be, in words.
fn string_allowed(schema: &Value) -> String {
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
        Some(format) if ID_FORMATS.contains(&format) => return ID_ALLOWED.to_string(),
        _ => {}
    }
    let least = schema["minLength"].as_u64();
    match (least, schema["maxLength"].as_u64()) {
        (None, None) => "a text".to_string(),
        (least, None) => format!("a text of at least {} characters", least.unwrap_or(0)),
        (least, Some(most)) => {
            format!("a text of {} to {most} characters", least.unwrap_or(0))
        }
    }
}
