//! Plays one case of the review: `standin CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With `TROUBLE=0`, the disruption is left out.

mod desk;
mod ends;
mod fleet;
mod http;
mod memory;
mod record;
mod replica;
mod store;
mod turns;

use std::{env, io, path::Path, process::ExitCode, sync::Arc};

use record::Record;

/// Configuration with a streaming route to the engines and routes of both kinds to a plain service.
pub fn config(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-draft","host":"jepu9.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":12000,"target_latency_ms":600,"priority":1,"service":"drafters","attempts":2,"allow_anonymous":false,"session_affinity":true,"resumable":true,"gap_target_ms":250}},
{{"name":"r-order","host":"jepu9.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":10000,"target_latency_ms":150,"priority":2,"service":"counter","attempts":1,"allow_anonymous":false}}],
"services":[
{{"name":"drafters","health_path":"/health","connection_limit":240,"engine":{{"slots":32,"kv_capacity_tokens":228641,"kv_token_bytes":327680,"link_mbps":1500000.0,"models":[{{"name":"{model}"}}]}}}},
{{"name":"counter","health_path":"/health","connection_limit":110}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{tenants}]}}"#,
        model = replica::MODEL
    )
}

fn main() -> ExitCode {
    let mut words = env::args().skip(1);
    let (Some(case), Some(path)) = (words.next(), words.next()) else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = Record::create(Path::new(&path)).and_then(|record| {
        let record = Arc::new(record);
        let held = match &*case {
            "turns" => turns::play(&record, has_trouble),
            "ends" => ends::play(&record, has_trouble),
            "memory" => memory::play(&record, has_trouble),
            _ => Err(io::Error::other("no such case")),
        };
        record.line(&format!("result: {held:?}"));
        held
    });
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("cannot run: {error}");
            ExitCode::from(2)
        }
    }
}
