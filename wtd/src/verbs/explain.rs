//! `wtd explain`: explains what happened to a request and why.

use clap::ArgMatches;
use wagtaildoor::{
    explain,
    timeline::EventFilter, //
};

use crate::{
    client::OperatorClient,
    exit::{
        Result,
        ToolError, //
    },
    gather::{
        self,
        GatheredTimeline, //
    },
    output::CommandOutput,
    verbs,
};

/// Explains a request from the events of the running processes.
pub async fn run(client: &OperatorClient, matches: &ArgMatches) -> Result<CommandOutput> {
    let gathered = gather::fetch_timeline(client, &request_filter(matches)).await;
    render_output(matches, gathered)
}

/// Explains a request from the events of collected logs.
pub fn run_logs(matches: &ArgMatches) -> Result<CommandOutput> {
    let logs = verbs::path_args(matches, "logs");
    render_output(
        matches,
        gather::read_timeline_logs(&logs, &request_filter(matches))?,
    )
}

fn request_arg(matches: &ArgMatches) -> &str {
    verbs::text_arg(matches, "request").expect("clap requires the argument")
}

/// Returns a filter that matches only the events of the request.
fn request_filter(matches: &ArgMatches) -> EventFilter {
    EventFilter {
        request: Some(request_arg(matches).into()),
        ..EventFilter::default()
    }
}

/// Renders the explanation with a warning for each source that is missing.
///
/// Fails with [`ToolError::NotFound`] if there is no event of the request.
fn render_output(matches: &ArgMatches, gathered: GatheredTimeline) -> Result<CommandOutput> {
    let request = request_arg(matches);
    let missing = &gathered.missing;
    let explanation = explain::explain(request, &gathered.timeline.events);
    let Some(explanation) = explanation else {
        let mut text = format!("no event of request {request} was found");
        if !missing.is_empty() {
            text.push_str(&format!("; no answer from {}", missing.join("; ")));
        }
        return Err(ToolError::NotFound(text.into()));
    };
    let json = matches.get_flag("json");
    Ok(
        CommandOutput::render(json, &explanation, |explanation| explanation.text())
            .with_missing(missing),
    )
}
