//! Generates Rust types from the JSON schemas in `schema/`; run by `scripts/generate`.

use std::{
    env,
    error::Error,
    fs, //
};

use schemars::schema::{
    InstanceType,
    RootSchema,
    SchemaObject, //
};
use serde_json::{
    json,
    Map,
    Value, //
};
use typify::{
    TypeSpace,
    TypeSpaceImpl,
    TypeSpaceSettings, //
};

/// JSON schema string formats and the Rust type used for each; "" covers strings without a format.
const FORMATS: [(&str, &str); 17] = [
    ("account-id", "crate::ids::AccountId"),
    ("attempt-id", "crate::ids::AttemptId"),
    ("boot-id", "crate::ids::BootId"),
    ("config-hash", "crate::ids::ConfigHash"),
    ("domain-id", "crate::ids::DomainId"),
    ("endpoint-id", "crate::ids::EndpointId"),
    ("host-id", "crate::ids::HostId"),
    ("http-url", "::std::boxed::Box<str>"),
    ("lease-id", "crate::ids::LeaseId"),
    ("pool-id", "crate::ids::PoolId"),
    ("region-id", "crate::ids::RegionId"),
    ("request-id", "crate::ids::RequestId"),
    ("request-key", "crate::ids::RequestKey"),
    ("socket-address", "::std::net::SocketAddr"),
    ("template-id", "crate::ids::TemplateId"),
    ("text-hash", "crate::ids::TextHash"),
    ("", "::std::boxed::Box<str>"),
];

/// Keywords that the settings reader validates; typify would generate a type for each use of them.
const VALIDATED_KEYWORDS: [&str; 3] = ["minLength", "maxLength", "minItems"];

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [schemas, output] = arguments.as_slice() else {
        return Err("usage: codegen SCHEMA_FOLDER OUTPUT_FILE".into());
    };
    let root: RootSchema = serde_json::from_value(merge_definitions(schemas)?)?;
    let mut space = TypeSpace::new(&type_space_settings());
    space.add_root_schema(root)?;
    let file = syn::parse2(space.to_stream())?;
    let text = remove_schema_copies(&prettyplease::unparse(&file));
    fs::write(output, format!("{HEADER}{text}"))?;
    Ok(())
}

/// Header of the generated file.
const HEADER: &str =
    "//! Messages and settings, generated from `schema/` by `scripts/generate`; not edited by hand.

#![expect(
    missing_docs,
    reason = \"the generator documents types, not conversions\"
)]
#![expect(
    clippy::clone_on_copy,
    clippy::derivable_impls,
    reason = \"the generator treats every type alike\"
)]

";

/// Removes the copies of the schema that typify puts into doc comments (`<details>` blocks).
fn remove_schema_copies(code: &str) -> String {
    let mut in_copy = false;
    let mut output = String::new();
    for line in code.lines() {
        let comment = line.trim_start();
        in_copy |= comment.starts_with("/// <details>");
        if !in_copy {
            output.push_str(line);
            output.push('\n');
        }
        in_copy &= !comment.starts_with("/// </details>");
    }
    output.replace("///\n#[", "#[")
}

/// Merges the definitions of all schema files in `folder` into one schema.
fn merge_definitions(folder: &str) -> Result<Value, Box<dyn Error>> {
    let mut paths: Vec<_> = fs::read_dir(folder)?
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "json")
        })
        .collect();
    paths.sort();
    let mut definitions = Map::new();
    for path in paths {
        let mut schema: Value = serde_json::from_str(&fs::read_to_string(path)?)?;
        let Some(Value::Object(part)) = schema.get_mut("definitions").map(Value::take) else {
            continue;
        };
        definitions.extend(part);
    }
    let mut root = json!({
        "$schema": "http://json-schema.org/draft-07/schema#",
        "definitions": definitions,
    });
    strip_constraints(&mut root);
    Ok(root)
}

/// Removes keywords that would make typify generate a separate type for each string or number, and
/// defaults of required fields, which the settings reader fills in.
fn strip_constraints(value: &mut Value) {
    match value {
        Value::Object(map) => {
            strip_defaults(map);
            let is_not_object = map.get("type").is_some_and(|kind| kind != "object");
            if is_not_object {
                for keyword in VALIDATED_KEYWORDS {
                    map.remove(keyword);
                }
                let has_variants = map.contains_key("enum");
                if !has_variants && map.get("type") != Some(&json!("array")) {
                    map.remove("minimum");
                    map.remove("maximum");
                }
            }
            map.values_mut().for_each(strip_constraints);
        }
        Value::Array(items) => items.iter_mut().for_each(strip_constraints),
        _ => {}
    }
}

fn strip_defaults(map: &mut Map<String, Value>) {
    let Some(Value::Array(required)) = map.get("required").cloned() else {
        return;
    };
    let Some(Value::Object(properties)) = map.get_mut("properties") else {
        return;
    };
    for name in required.iter().filter_map(Value::as_str) {
        if let Some(Value::Object(property)) = properties.get_mut(name) {
            property.remove("default");
        }
    }
}

/// Derives and type conversions for the generated types.
fn type_space_settings() -> TypeSpaceSettings {
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_string());
    for (format, name) in FORMATS {
        let schema = SchemaObject {
            instance_type: Some(InstanceType::String.into()),
            format: (!format.is_empty()).then(|| format.to_string()),
            ..Default::default()
        };
        settings.with_conversion(schema, name, [TypeSpaceImpl::Display].into_iter());
    }
    settings
}
