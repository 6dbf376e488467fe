//! Renders a timeline as a self-contained HTML page with a column for each process.

use std::fmt::Write;

use crate::{
    schema::{
        EventKind,
        TimelineEvent, //
    },
    timeline::{
        merge::{
            self,
            MergedTimeline,
            ProcessLane, //
        },
        wall_time,
    },
};

/// Start of the page. It has no scripts or external resources, so it can be opened from any file.
const PAGE_HEAD: &str = "<!doctype html>
<html lang=\"en\">
<head>
<meta charset=\"utf-8\">
<meta http-equiv=\"Content-Security-Policy\" content=\"default-src 'none'; style-src 'unsafe-inline'\">
<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">
<title>wagtaildoor time line</title>
<style>
body { font: 14px/1.4 system-ui, sans-serif; margin: 1rem; color: #1b1b1b; background: #fff; }
h1 { font-size: 1.3rem; margin: 0 0 .3rem; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #f2f2f2; text-align: left; }
th, td { padding: .25rem .5rem; vertical-align: top; border-left: 1px solid #d8d8d8; }
tr { border-top: 1px solid #eee; }
td.time { white-space: nowrap; font-variant-numeric: tabular-nums; color: #555; border-left: 0; }
div.event { border-left: 4px solid #777; padding: .1rem .4rem; min-width: 14rem; max-width: 26rem; }
div.event b { display: block; }
div.event small { color: #555; overflow-wrap: anywhere; }
div.done { border-color: #1a7f37; background: #effaf1; }
div.trouble { border-color: #b3261e; background: #fdf0ef; }
div.once { border-color: #6f42c1; background: #f6f1fd; }
div.config { border-color: #0b61a4; background: #eef6fd; }
p.missing { color: #b3261e; }
</style>
</head>
<body>
";

/// Renders the page for a timeline. `missing` lists the processes that did not respond.
pub fn render_page(timeline: &MergedTimeline, missing: &[String]) -> String {
    let lanes = merge::lanes(&timeline.events);
    let mut page = String::from(PAGE_HEAD);
    page.push_str("<h1>Time line</h1>\n");
    push_summary(&mut page, timeline, &lanes, missing);
    page.push_str("<table>\n<thead><tr><th>Time</th>");
    for lane in &lanes {
        let (host, process) = (escape_html(&lane.host), escape_html(&lane.process));
        push_format(&mut page, format_args!("<th>{host}<br>{process}</th>"));
    }
    page.push_str("</tr></thead>\n<tbody>\n");
    for event in &timeline.events {
        push_row(&mut page, event, &lanes);
    }
    page.push_str("</tbody>\n</table>\n</body>\n</html>\n");
    page
}

/// Appends formatted text.
fn push_format(page: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    let _ = page.write_fmt(text);
}

/// Appends the number of events, and what is missing from the page.
fn push_summary(
    page: &mut String,
    timeline: &MergedTimeline,
    lanes: &[ProcessLane],
    missing: &[String],
) {
    let (events, processes) = (timeline.events.len(), lanes.len());
    push_format(
        page,
        format_args!(
            "<p>{events} events of {processes} processes, causes before effects. Times are UTC.</p>\n"
        ),
    );
    if timeline.dropped > 0 {
        let dropped = timeline.dropped;
        push_format(
            page,
            format_args!("<p class=\"missing\">{dropped} older events are not in this page.</p>\n"),
        );
    }
    for process in missing {
        let process = escape_html(process);
        push_format(
            page,
            format_args!("<p class=\"missing\">Not in this page: {process}</p>\n"),
        );
    }
}

/// Appends one event in the column of its process.
fn push_row(page: &mut String, event: &TimelineEvent, lanes: &[ProcessLane]) {
    let time = wall_time::format_wall_time(event.stamp.wall_ms);
    let counter = event.stamp.counter;
    push_format(
        page,
        format_args!("<tr><td class=\"time\">{time} +{counter}</td>"),
    );
    let event_lane = ProcessLane::from_event(event);
    for lane in lanes {
        page.push_str("<td>");
        if *lane == event_lane {
            push_event(page, event);
        }
        page.push_str("</td>");
    }
    page.push_str("</tr>\n");
}

fn push_event(page: &mut String, event: &TimelineEvent) {
    let css_class = css_class(event.kind);
    let kind = escape_html(&event.kind.to_string().replace('_', " "));
    let detail = escape_html(&event.detail);
    push_format(
        page,
        format_args!("<div class=\"event {css_class}\"><b>{kind}</b>{detail}"),
    );
    let fields = [
        ("request", &event.request),
        ("account", &event.account),
        ("endpoint", &event.endpoint),
    ];
    for (name, value) in fields {
        if let Some(value) = value {
            let value = escape_html(value);
            push_format(page, format_args!("<br><small>{name} {value}</small>"));
        }
    }
    page.push_str("</div>");
}

fn css_class(kind: EventKind) -> &'static str {
    match kind {
        EventKind::RequestAnswered | EventKind::OutcomeReplayed => "done",
        EventKind::RequestRefused
        | EventKind::RequestRetried
        | EventKind::StreamResumed
        | EventKind::AnswerCrossed
        | EventKind::CallerGone
        | EventKind::ClaimUnknown
        | EventKind::ConfigRefused
        | EventKind::ViewLost
        | EventKind::PlatformLost
        | EventKind::EndpointGone
        | EventKind::PeerSuspected
        | EventKind::PeerGone
        | EventKind::LeaseLost
        | EventKind::OrderRefused
        | EventKind::RolloutStopped => "trouble",
        EventKind::ClaimAsked
        | EventKind::ClaimWon
        | EventKind::ClaimLost
        | EventKind::ClaimReleased
        | EventKind::ClaimSettled
        | EventKind::OutcomeRecorded => "once",
        EventKind::ConfigPublished | EventKind::ConfigInForce => "config",
        _ => "plain",
    }
}

/// Replaces the characters that have a meaning in HTML.
pub fn escape_html(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            character => escaped.push(character),
        }
    }
    escaped
}
