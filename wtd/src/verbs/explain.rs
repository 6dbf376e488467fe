//! `wtd explain`: what happened to a request, and why.

use clap::ArgMatches;
use wagtaildoor::{
    explain,
    timeline::EventFilter, //
};

use crate::{
    answer::VerbAnswer,
    client::OperatorClient,
    exit::{
        Result,
        ToolError, //
    },
    gather::{
        self,
        GatheredTimeline, //
    },
    verbs,
};

/// Explains a request from the live processes.
pub async fn run(client: &OperatorClient, matches: &ArgMatches) -> Result<VerbAnswer> {
    let gathered = gather::live(client, &filter(matches)).await;
    answer(matches, gathered)
}

/// Explains a request from collected logs.
pub fn run_logs(matches: &ArgMatches) -> Result<VerbAnswer> {
    let logs = verbs::paths(matches, "logs");
    answer(matches, gather::from_logs(&logs, &filter(matches))?)
}

/// The request that is asked for.
fn request(matches: &ArgMatches) -> &str {
    verbs::text(matches, "request").expect("clap requires it")
}

/// Only events of the request.
fn filter(matches: &ArgMatches) -> EventFilter {
    EventFilter {
        request: Some(request(matches).into()),
        ..EventFilter::default()
    }
}

/// The explanation, and what it may lack.
fn answer(matches: &ArgMatches, gathered: GatheredTimeline) -> Result<VerbAnswer> {
    let request = request(matches);
    let missing = &gathered.missing;
    let explained = explain::explain(request, &gathered.timeline.events);
    let Some(explained) = explained else {
        let mut text = format!("no event of request {request} was found");
        if !missing.is_empty() {
            text.push_str(&format!("; no answer from {}", missing.join("; ")));
        }
        return Err(ToolError::NotFound(text.into()));
    };
    let json = matches.get_flag("json");
    Ok(VerbAnswer::of(json, &explained, |explained| explained.text()).missing(missing))
}
