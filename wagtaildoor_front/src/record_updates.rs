//! Applies records of the store's streams to the host's state.

use std::{
    collections::HashSet,
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;

use crate::{
    control_store::{
        ControlPage,
        ControlRecord,
        ControlStream,
        ControlUpdate, //
    },
    crash_reports,
    endpoint::EndpointRecord,
    endpoint_directory::{
        DirectoryChange,
        RELISTING_GRACE, //
    },
    front::Front,
    record_mirror::MirrorChange,
    route_table::RouteTable,
    service_config::ServiceConfig,
    wire_codec::WireCodec,
};

/// Time after process start in which records may predate the process.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);
/// Origin of a page of records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PageSource {
    /// The newest record of every key, from the store.
    Snapshot,
    /// Records from an offset on, from the store.
    Changes,
    /// Records from another host's mirror.
    Peer,
}

/// Applies the records that are newer than those in the mirror.
pub fn apply_records<C: WireCodec>(
    front: &Front,
    stream: ControlStream,
    records: &[ControlRecord],
    source: PageSource,
    relisted_by: Option<BootInstant>,
) {
    let now = BootInstant::now();
    for record in records {
        let update = C::parse_control_record(stream, record);
        let mut mirror = front.mirror.borrow_mut();
        let change = mirror.insert(stream, record, update.rank());
        drop(mirror);
        if change == MirrorChange::Inserted {
            apply_update(front, record, update, source, relisted_by, now);
            if stream == ControlStream::CrashReports && record.value.is_none() {
                // Each crash has a key of its own, so deleted keys would add up.
                front.mirror.borrow_mut().remove(stream, &record.key);
            }
        }
    }
}

/// Applies a page of records. A snapshot of the endpoints also removes endpoints that it does not
/// contain.
pub fn apply_page<C: WireCodec>(
    front: &Front,
    stream: ControlStream,
    page: &ControlPage,
    source: PageSource,
    relisted_by: Option<BootInstant>,
) {
    apply_records::<C>(front, stream, &page.records, source, relisted_by);
    front.mirror.borrow_mut().advance(stream, page.next);
    match stream {
        ControlStream::Operator => {
            if source != PageSource::Peer && !page.has_more {
                front.is_operator_current.set(true);
            }
            return;
        }
        ControlStream::CrashReports => {
            if source == PageSource::Snapshot {
                crash_reports::apply_snapshot(front, page);
            }
            return;
        }
        ControlStream::Endpoints => {}
    }
    if !page.has_more {
        front.is_list_read.set(true);
    }
    front.list_read_at.set(Some(BootInstant::now()));
    if source == PageSource::Snapshot {
        remove_unlisted(front, page, relisted_by);
    }
    if source != PageSource::Changes {
        slog::info!(front.log, "list of endpoints"; "by" => ?source,
            "endpoints" => front.endpoints.borrow().len(), "era" => page.next.era,
            "next" => page.next.offset);
    }
}

/// Removes endpoints that a snapshot does not contain, unless their record is newer than the
/// snapshot.
fn remove_unlisted(front: &Front, snapshot: &ControlPage, relisted_by: Option<BootInstant>) {
    let now = BootInstant::now();
    // Endpoints write again what the copy of a restored store lacks.
    let rewritten_by = (!front.is_era_settled()).then_some(now + RELISTING_GRACE);
    let stream = ControlStream::Endpoints;
    let listed_keys: HashSet<&str> = snapshot.records.iter().map(|r| &*r.key).collect();
    let mut mirror = front.mirror.borrow_mut();
    let is_kept = |key: &str| {
        let newer = mirror.record_position(stream, key);
        listed_keys.contains(key) || newer.is_some_and(|position| position >= snapshot.next)
    };
    let mut endpoints = front.endpoints.borrow_mut();
    let gone = endpoints.retain_listed(is_kept, relisted_by.max(rewritten_by), now);
    for id in gone {
        mirror.mark_deleted(stream, &id);
        slog::info!(front.log, "endpoint gone"; "endpoint" => &*id, "by" => "snapshot");
    }
}

fn apply_update(
    front: &Front,
    record: &ControlRecord,
    update: ControlUpdate,
    source: PageSource,
    relisted_by: Option<BootInstant>,
    now: BootInstant,
) {
    match update {
        ControlUpdate::Config(config) => apply_config(front, record, *config, source),
        ControlUpdate::WantedWeights { model, version } => {
            if front.update_wanted_weights(&model, version, wanted_since(front, now)) {
                slog::info!(front.log, "weights wanted"; "model" => &*model,
                    "version" => version, "offset" => record.position.offset);
            }
        }
        ControlUpdate::Endpoint(description) => {
            apply_endpoint(front, record, description, source, now)
        }
        ControlUpdate::EndpointGone { id, fault } => {
            if let Some(fault) = fault {
                slog::warn!(front.log, "endpoint record cannot be parsed";
                    "endpoint" => &*id, "fault" => &*fault, "offset" => record.position.offset);
            }
            if front
                .endpoints
                .borrow_mut()
                .mark_gone(&id, relisted_by, now)
            {
                slog::info!(front.log, "endpoint gone"; "endpoint" => &*id,
                    "offset" => record.position.offset);
            } else if let Some(until) = relisted_by {
                slog::info!(front.log, "endpoint missing"; "endpoint" => &*id,
                    "offset" => record.position.offset, "by" => ?source,
                    "kept_ms" => until.since(now).as_millis() as u64);
            }
        }
        ControlUpdate::CrashReport(change) => crash_reports::apply_change(front, &change),
        ControlUpdate::Unknown { reason } => {
            slog::warn!(front.log, "record ignored"; "key" => &*record.key,
                "offset" => record.position.offset, "reason" => &*reason);
        }
    }
}

/// Time from which weights found in a page count as wanted.
///
/// Records carry no timestamp, and those read at startup may be old, also those that follow a peer's
/// copy. Until the store has shown the stream's end, weights are therefore backdated, so that older
/// weights are used only briefly after a start.
fn wanted_since(front: &Front, now: BootInstant) -> BootInstant {
    let is_starting = now.since(front.started) < STARTUP_PERIOD;
    if is_starting && !front.is_operator_current.get() {
        return front.started - front.settings.times.initial_weights_age;
    }
    // Records bear no time: one that is read after a pause may have been written as it began.
    front.pauses.recent_pause(now).unwrap_or(now)
}

fn apply_config(front: &Front, record: &ControlRecord, config: ServiceConfig, source: PageSource) {
    let version = config.version;
    let taken = front.install_routes(RouteTable::from(config));
    slog::info!(front.log, "configuration"; "version" => version, "offset" => record.position.offset,
        "bytes" => record.value.as_ref().map(|value| value.len()), "by" => ?source,
        "in_force" => taken);
}

/// Applies an endpoint's record. Endpoints that appear with a whole list are not logged one by one,
/// only as a count.
fn apply_endpoint(
    front: &Front,
    record: &ControlRecord,
    description: EndpointRecord,
    source: PageSource,
    now: BootInstant,
) {
    let id = description.id.clone();
    let weights = description.weights.clone();
    let change = front.endpoints.borrow_mut().apply_record(description, now);
    let change = match change {
        DirectoryChange::None => return,
        DirectoryChange::Appeared if source != PageSource::Changes => return,
        DirectoryChange::Appeared => "appeared",
        DirectoryChange::Leaving => "leaving",
        DirectoryChange::Returned => "returned",
    };
    slog::info!(front.log, "endpoint"; "endpoint" => &*id, "change" => change,
        "offset" => record.position.offset, "weights" => ?weights);
}
