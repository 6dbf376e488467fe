//! Places a request using only the library, and explains which endpoint was chosen and why.

use std::{
    error::Error,
    path::Path,
    time::{
        Duration,
        Instant, //
    },
};

use slog::Logger;
use wagtaildoor::{
    config_change, explain,
    placement::{
        PlacementChoice,
        PlacementQuery, //
    },
    prefix, prompt,
    routing_table::RoutingTable,
    schema::{
        Configuration,
        EndpointState,
        EndpointView,
        EventKind, //
    },
    template_file,
    timeline::{
        EventDraft,
        EventFilter,
        EventRecorder, //
    },
};

/// Id of the example request.
const REQUEST: &str = "example-1";

/// Client account of the example request.
const ACCOUNT: &str = "tour-guides";

fn main() -> Result<(), Box<dyn Error>> {
    let in_force = configuration()?;
    let table = RoutingTable::new();
    table.update_endpoints(&endpoints()?);
    let recorder = EventRecorder::new("example-host", "example", 100, discard_logger());
    let choice = place(&in_force, &table)?;
    let detail = format!("sent to {}: {}", choice.endpoint, choice.reason);
    let draft = EventDraft::new(EventKind::RequestPlaced, detail);
    let draft = draft.request(REQUEST).account(ACCOUNT);
    recorder.record(draft.endpoint(choice.endpoint.clone()));
    let page = recorder.page(&EventFilter::default());
    if let Some(explained) = explain::explain(REQUEST, &page.events) {
        print!("{}", explained.text());
    }
    Ok(())
}

/// Loads the templates of the publisher as a configuration.
fn configuration() -> Result<Configuration, Box<dyn Error>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../templates/publisher");
    let changes = template_file::read_folder(&folder)?;
    Ok(config_change::apply(&config_change::empty(), &changes)?)
}

/// Three engines, as an endpoint list might report them.
fn endpoints() -> Result<Vec<EndpointView>, Box<dyn Error>> {
    let view = |number: u16| -> Result<EndpointView, Box<dyn Error>> {
        Ok(EndpointView {
            id: format!("drafter-{number}").into(),
            address: format!("127.0.0.1:{}", 9000 + number).parse()?,
            pool: "drafter".into(),
            domain: "north".into(),
            state: EndpointState::Live,
            boot_id: format!("boot-{number}").into(),
            weights_version: 1,
            running: 0,
            queued: 0,
            report_age_ms: 0,
        })
    };
    (1..=3).map(view).collect()
}

/// Chooses an endpoint for a request of the template ` draft`.
fn place(
    in_force: &Configuration,
    table: &RoutingTable,
) -> Result<PlacementChoice, Box<dyn Error>> {
    let mut templates = in_force.templates.iter();
    let template = templates.find(|known| &*known.id == "draft");
    let template = template.ok_or("no template")?;
    let mut accounts = in_force.accounts.iter();
    let account = accounts.find(|known| &*known.id == ACCOUNT);
    let account = account.ok_or("no account")?;
    let rendered = prompt::render(in_force, template, account, &[], "Two coffees, please.")?;
    let texts: Vec<&str> = rendered.levels.iter().map(|level| &*level.text).collect();
    let levels = prefix::level_prefixes(ACCOUNT, &template.pool, &template.adapter, 1, &texts);
    let now = Instant::now();
    let query = PlacementQuery {
        pool: &template.pool,
        domain: "north",
        weights_version: 1,
        levels: &levels,
        prompt_tokens: prefix::estimate_tokens(&rendered.text),
        deadline: now + Duration::from_millis(template.deadline_ms),
        exclude: &[],
    };
    table
        .place(&query, now)
        .map_err(|kind| kind.to_string().into())
}

/// A logger that discards all lines.
fn discard_logger() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}
