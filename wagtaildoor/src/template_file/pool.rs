//! Pools: sections `[pool.NAME]`.

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
        Placed, //
    },
};

/// What the names of pool sections start with.
const SECTION_PREFIX: &str = "pool.";

/// Place for the idempotency key in a look-up path.
const KEY_PLACE: &str = "{key}";

/// Reads all pools of a file.
pub fn read(file: &IniFile, reader: &SchemaReader, faults: &mut FaultList) -> Vec<Placed<Pool>> {
    let sections = file.sections.iter();
    let pools = sections.filter_map(|section| read_one(section, reader, faults));
    pools.collect()
}

/// Reads one pool; `None` when it has faults.
fn read_one(
    section: &IniSection,
    reader: &SchemaReader,
    faults: &mut FaultList,
) -> Option<Placed<Pool>> {
    let id = account::named(section, SECTION_PREFIX, faults)?;
    let mut value = reader.section("Pool", section, &["id"], faults);
    value["id"] = Value::String(id.into());
    let pool: Placed<Pool> = Placed::new(&section.name, value, faults)?;
    check(&pool, faults);
    Some(pool)
}

/// Checks a pool in itself.
fn check(pool: &Placed<Pool>, faults: &mut FaultList) {
    let Placed { section, value, .. } = pool;
    let path = &*value.lookup_path;
    match value.kind {
        PoolKind::Model => {
            if !path.is_empty() {
                let problem = "does not fit a pool of models";
                faults.value(section, "lookup_path", path, problem, "only at a service");
            }
            if value.weights_version == 0 {
                let problem = "does not fit a pool of models";
                faults.value(section, "weights_version", "0", problem, "1 or more");
            }
        }
        PoolKind::Service => {
            let fits = path.starts_with('/') && path.contains(KEY_PLACE);
            if !path.is_empty() && !fits {
                let problem = "is no look-up path";
                faults.value(section, "lookup_path", path, problem, "such as /keys/{key}");
            }
        }
    }
}
