//! Merges timelines from running processes or from collected logs.

use std::{
    fs,
    path::PathBuf, //
};

use wagtaildoor::{
    schema::EventPage,
    timeline::{
        log_lines,
        merge::{
            self,
            MergedTimeline, //
        },
        EventFilter,
    },
};

use crate::{
    client::{
        OperatorClient,
        QueryParam, //
    },
    exit::{
        Result,
        ToolError, //
    },
    table,
};

/// Merged timeline and the sources that are missing from it.
#[derive(Clone, Debug, Default)]
pub struct GatheredTimeline {
    /// Events of all sources that could be read.
    pub timeline: MergedTimeline,
    /// Processes that did not respond and logs with malformed lines, each with the reason.
    pub missing: Vec<String>,
}

/// Fetches events from all keepers and entries of the settings.
///
/// Processes that fail to respond are listed in `missing`.
pub async fn fetch_timeline(client: &OperatorClient, filter: &EventFilter) -> GatheredTimeline {
    let processes = client.processes();
    let query = query_params(filter);
    let responses = client.get_all(&processes, "/timeline", &query).await;
    let mut pages: Vec<EventPage> = Vec::new();
    let mut missing = Vec::new();
    for response in responses {
        match response.result {
            Ok(page) => pages.push(page),
            Err(failure) => missing.push(format!("{}: {failure}", response.address)),
        }
    }
    GatheredTimeline {
        timeline: merge::merge(pages, filter),
        missing,
    }
}

/// Reads events from collected JSON logs.
///
/// Fails if a file cannot be read. Malformed lines are counted in `missing`.
pub fn read_timeline_logs(files: &[PathBuf], filter: &EventFilter) -> Result<GatheredTimeline> {
    let mut pages = Vec::new();
    let mut missing = Vec::new();
    for file in files {
        let path = file.display().to_string();
        let bytes = fs::read(file).map_err(|error| ToolError::File {
            path: path.clone().into(),
            error,
        })?;
        let parsed = log_lines::read_events(&String::from_utf8_lossy(&bytes));
        if parsed.malformed > 0 {
            let lines = table::format_count(parsed.malformed, "malformed line");
            missing.push(format!("{path}: {lines}"));
        }
        pages.push(parsed.page);
    }
    Ok(GatheredTimeline {
        timeline: merge::merge(pages, filter),
        missing,
    })
}

/// Returns the query parameters for the fields that the processes filter by; all but the host.
fn query_params(filter: &EventFilter) -> Vec<QueryParam> {
    let texts = [
        ("request", &filter.request),
        ("account", &filter.account),
        ("endpoint", &filter.endpoint),
    ];
    let newest = filter.newest.map(|newest| newest as u64);
    let numbers = [
        ("from_ms", filter.from_ms),
        ("to_ms", filter.to_ms),
        ("newest", newest),
    ];
    let texts = texts.into_iter().filter_map(|(name, value)| {
        let value = value.as_deref()?.to_string();
        Some(QueryParam { name, value })
    });
    let numbers = numbers.into_iter().filter_map(|(name, value)| {
        let value = value?.to_string();
        Some(QueryParam { name, value })
    });
    texts.chain(numbers).collect()
}
