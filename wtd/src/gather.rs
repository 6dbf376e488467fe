//! Gathers time lines, live or from collected logs.

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
        QueryPart, //
    },
    exit::{
        Result,
        ToolError, //
    },
    table,
};

/// A time line, and what it lacks.
#[derive(Clone, Debug, Default)]
pub struct GatheredTimeline {
    /// Events of all processes that spoke.
    pub timeline: MergedTimeline,
    /// Processes that did not answer, each with the reason.
    pub missing: Vec<String>,
}

/// Asks all keepers and entries of the settings.
pub async fn live(client: &OperatorClient, filter: &EventFilter) -> GatheredTimeline {
    let processes = client.processes();
    let query = query(filter);
    let answers = client.get_all(&processes, "/timeline", &query).await;
    let mut pages: Vec<EventPage> = Vec::new();
    let mut missing = Vec::new();
    for answer in answers {
        match answer.answer {
            Ok(page) => pages.push(page),
            Err(failure) => missing.push(format!("{}: {failure}", answer.address)),
        }
    }
    GatheredTimeline {
        timeline: merge::merge(pages, filter),
        missing,
    }
}

/// Reads collected logs.
pub fn from_logs(files: &[PathBuf], filter: &EventFilter) -> Result<GatheredTimeline> {
    let mut pages = Vec::new();
    let mut missing = Vec::new();
    for file in files {
        let path = file.display().to_string();
        let bytes = fs::read(file).map_err(|error| ToolError::File {
            path: path.clone().into(),
            error,
        })?;
        let reading = log_lines::read_events(&String::from_utf8_lossy(&bytes));
        if reading.malformed > 0 {
            let lines = table::counted(reading.malformed, "malformed line");
            missing.push(format!("{path}: {lines}"));
        }
        pages.push(reading.page);
    }
    Ok(GatheredTimeline {
        timeline: merge::merge(pages, filter),
        missing,
    })
}

/// The part of a filter that processes apply themselves.
fn query(filter: &EventFilter) -> Vec<QueryPart> {
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
        Some(QueryPart { name, value })
    });
    let numbers = numbers.into_iter().filter_map(|(name, value)| {
        let value = value?.to_string();
        Some(QueryPart { name, value })
    });
    texts.chain(numbers).collect()
}
