//! Plays one case of the review: `standin CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With `TROUBLE=0`, the disruption is left out.

mod desk;
mod ends;
mod engine;
mod fleet;
mod http;
mod pauses;
mod record;
mod store;

use std::{env, io, path::Path, process::ExitCode, sync::Arc};

use record::Record;

/// Configuration with a route for orders, which goes to one of two plain services.
pub fn config(version: u64, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-order","host":"jepu9.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"{service}","attempts":1,"allow_anonymous":false}}],
"services":[
{{"name":"counter","health_path":"/health","connection_limit":110}},
{{"name":"annex","health_path":"/health","connection_limit":110}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"sese880","api_keys":["key-1"]}}]}}"#
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
            "pauses" => pauses::play(&record, has_trouble),
            "ends" => ends::play(&record, has_trouble),
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
