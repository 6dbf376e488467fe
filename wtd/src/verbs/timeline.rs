//! `wtd timeline`: shows the events of all processes.

use std::{
    fs,
    path::Path, //
};

use clap::ArgMatches;
use serde::Serialize;
use wagtaildoor::{
    schema::TimelineEvent,
    timeline::{
        html,
        wall_time,
        EventFilter, //
    },
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
    table, verbs,
};

/// Merged timeline, as JSON prints it.
#[derive(Debug, Serialize)]
struct TimelineReport {
    /// Number of older events left out, since they were discarded or exceed the requested number.
    dropped: u64,
    /// Processes that did not respond and logs with malformed lines.
    missing: Vec<String>,
    /// Events in causal order.
    events: Vec<TimelineEvent>,
}

/// Shows the timeline of the running processes.
///
/// Fails with [`ToolError::NoAnswer`] if no process responds.
pub async fn run(client: &OperatorClient, matches: &ArgMatches) -> Result<CommandOutput> {
    let filter = EventFilter {
        newest: matches.get_one("newest").copied(),
        ..event_filter(matches)
    };
    let gathered = gather::fetch_timeline(client, &filter).await;
    if gathered.missing.len() == client.processes().len() {
        let text = format!("no process answered: {}", gathered.missing.join("; "));
        return Err(ToolError::NoAnswer(text.into()));
    }
    render_output(matches, gathered)
}

/// Shows the timeline of collected logs.
pub fn run_logs(matches: &ArgMatches) -> Result<CommandOutput> {
    let logs = verbs::path_args(matches, "logs");
    render_output(
        matches,
        gather::read_timeline_logs(&logs, &event_filter(matches))?,
    )
}

/// Builds the event filter from the command line, without the limit on the newest events.
fn event_filter(matches: &ArgMatches) -> EventFilter {
    let text = |name| verbs::text_arg(matches, name).map(Box::from);
    EventFilter {
        request: text("request"),
        account: text("account"),
        endpoint: text("endpoint"),
        host: text("host"),
        from_ms: matches.get_one("from").copied(),
        to_ms: matches.get_one("to").copied(),
        newest: None,
    }
}

/// Renders the timeline as text or JSON, or writes it to an HTML file.
fn render_output(matches: &ArgMatches, gathered: GatheredTimeline) -> Result<CommandOutput> {
    if let Some(file) = verbs::path_arg(matches, "html") {
        return write_page(file, &gathered);
    }
    let report = TimelineReport {
        dropped: gathered.timeline.dropped,
        missing: gathered.missing,
        events: gathered.timeline.events,
    };
    let output = CommandOutput::render(matches.get_flag("json"), &report, format_events);
    let output = output.with_missing(&report.missing);
    Ok(match report.dropped {
        0 => output,
        dropped => output.with_warning(format!("{dropped} older events are not shown")),
    })
}

/// Writes the timeline to an HTML file.
fn write_page(file: &Path, gathered: &GatheredTimeline) -> Result<CommandOutput> {
    let page = html::render_page(&gathered.timeline, &gathered.missing);
    fs::write(file, page).map_err(|error| ToolError::File {
        path: file.display().to_string().into(),
        error,
    })?;
    let events = table::format_count(gathered.timeline.events.len(), "event");
    let text = format!("Wrote {events} to {}.\n", file.display());
    Ok(CommandOutput::from_text(text).with_missing(&gathered.missing))
}

/// Formats events as text, one line per event.
fn format_events(report: &TimelineReport) -> String {
    report.events.iter().map(format_event).collect()
}

fn format_event(event: &TimelineEvent) -> String {
    let mut line = format!(
        "{} +{} {}/{} {}",
        wall_time::format_wall_time(event.stamp.wall_ms),
        event.stamp.counter,
        event.host,
        event.process,
        event.kind,
    );
    let ids = [
        ("request", &event.request),
        ("account", &event.account),
        ("endpoint", &event.endpoint),
    ];
    for (name, value) in ids {
        if let Some(value) = value {
            line.push_str(&format!(" {name}={value}"));
        }
    }
    // The detail may contain text from an endpoint, where a line break could fake another event.
    let detail = event.detail.replace(char::is_control, " ");
    line.push_str(&format!(": {detail}\n"));
    line
}
