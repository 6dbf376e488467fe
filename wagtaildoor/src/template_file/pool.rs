//! Reads pools from `[pool.NAME]` sections.

use serde_json::Value;

use crate::{
    schema::{
        Pool,
        PoolKind, //
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

/// Prefix of the names of pool sections.
const SECTION_PREFIX: &str = "pool.";

/// Placeholder for the idempotency key in a lookup path.
const KEY_PLACEHOLDER: &str = "{key}";

/// Reads all pools of a file; pools that do not deserialize are left out.
pub fn read_pools(
    file: &IniFile,
    reader: &SchemaReader,
    faults: &mut FaultList,
) -> Vec<Located<Pool>> {
    let sections = file.sections.iter();
    let pools = sections.filter_map(|section| read_pool(section, reader, faults));
    pools.collect()
}

/// Reads one pool; `None` if its id is invalid or it does not deserialize.
fn read_pool(
    section: &IniSection,
    reader: &SchemaReader,
    faults: &mut FaultList,
) -> Option<Located<Pool>> {
    let id = account::parse_section_id(section, SECTION_PREFIX, faults)?;
    let mut value = reader.read_section("Pool", section, &["id"], faults);
    value["id"] = Value::String(id.into());
    let pool: Located<Pool> = Located::new(&section.name, value, faults)?;
    check_pool(&pool, faults);
    Some(pool)
}

/// Checks that the settings of a pool are valid for its kind.
fn check_pool(pool: &Located<Pool>, faults: &mut FaultList) {
    let Located { section, value, .. } = pool;
    let path = &*value.lookup_path;
    match value.kind {
        PoolKind::Model => {
            if !path.is_empty() {
                let problem = "is not allowed for a model pool";
                faults.add_value_fault(section, "lookup_path", path, problem, "only for a service");
            }
            if value.weights_version == 0 {
                let problem = "is not allowed for a model pool";
                faults.add_value_fault(section, "weights_version", "0", problem, "1 or more");
            }
        }
        PoolKind::Service => {
            let is_valid = path.starts_with('/') && path.contains(KEY_PLACEHOLDER);
            if !path.is_empty() && !is_valid {
                let problem = "is not a valid lookup path";
                faults.add_value_fault(
                    section,
                    "lookup_path",
                    path,
                    problem,
                    "such as /keys/{key}",
                );
            }
        }
    }
}
