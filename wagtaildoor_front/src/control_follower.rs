//! Follows the streams of the platform's store, and takes over what their records say.

use std::{
    collections::HashSet,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    task,
    time, //
};
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    control_store::{
        ControlPage,
        ControlRecord,
        ControlStore,
        ControlStream,
        ControlUpdate,
        Result,
        StoreError, //
    },
    endpoint::EndpointRecord,
    endpoint_directory::{
        DirectoryChange,
        RELISTING_GRACE, //
    },
    front::Front,
    peer_link,
    route_table::RouteTable,
    service_config::ServiceConfig,
    snapshot_read::SnapshotReader,
    wire_codec::WireCodec,
};

/// First pause after a call that failed.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(150);
/// Longest pause after a call that failed.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(900);
/// Time after the start of a process in which what it finds may be old.
const START_TIME: Duration = Duration::from_secs(3);
/// Time that the store has for the first answer before other hosts are asked.
const START_PAUSE: Duration = Duration::from_millis(120);
/// Hosts that are asked with this pause after the start.
const START_ASKS: u32 = 6;
/// Pause between later asks: by then store and hosts need seconds, as when all start at once.
const LATE_START_PAUSE: Duration = Duration::from_millis(500);
/// Time without an answer of the store that counts as an outage, for the endpoints' sake.
const OUTAGE_TIME: Duration = Duration::from_millis(2_500);

/// Where a page came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PageSource {
    /// All keys of a stream, from the store.
    Snapshot,
    /// Records after an offset, from the store.
    Changes,
    /// What another host holds.
    Peer,
}

/// Progress in one stream.
struct FollowState {
    /// Stream.
    stream: ControlStream,
    /// Offset from which to read on; `None` asks for a snapshot.
    cursor: Option<u64>,
    /// Snapshot that is being read.
    snapshot: SnapshotReader,
    /// Whether nothing was read so far, so that what another host has read serves as well.
    is_start: bool,
    /// When the store last answered.
    answered_at: Option<BootInstant>,
    /// When the store answered again after an outage.
    returned_at: Option<BootInstant>,
    /// Whether the store is taken as lost.
    is_lost: bool,
    /// Next pause after a failure.
    pause: Duration,
}

/// What one read gave.
enum StreamRead {
    /// Part of a snapshot; more follows.
    Part,
    /// Records to take over, and where they came from.
    Page(ControlPage, PageSource),
}

/// Follows one stream until the process ends.
pub async fn follow_stream<C: WireCodec, S: ControlStore>(
    front: Rc<Front>,
    store: S,
    stream: ControlStream,
) {
    let mut state = FollowState::new(stream);
    task::spawn_local(start_from_peers::<C>(front.clone(), stream));
    loop {
        state.start_from_mirror(&front);
        let trouble = front.store_read_failed.notified();
        let is_waiting = state.is_waiting();
        let result = tokio::select! {
            result = state.read::<C, S>(&front, &store) => result,
            // The store may have dropped a read that waits without a word.
            () = trouble, if is_waiting => {
                Err(StoreError::Unavailable("another read had no answer".into()))
            }
        };
        match result {
            Ok(StreamRead::Part) => state.answered(&front),
            Ok(StreamRead::Page(page, source)) => {
                state.answered(&front);
                state.cursor = Some(page.next);
                state.is_start = false;
                apply_page::<C>(&front, stream, &page, source, state.is_after_outage());
                if stream == ControlStream::Endpoints && !page.has_more {
                    time::sleep(front.settings.times.list_poll_interval).await;
                }
            }
            Err(StoreError::Expired) => {
                slog::info!(front.log, "stream expired, reading a snapshot"; "stream" => ?stream);
                state.cursor = None;
                state.is_start = false;
            }
            Err(error) => {
                state.failed(&front, &error);
                peer_link::fetch_records::<C>(&front, stream).await;
                time::sleep(state.pause).await;
                state.pause = (state.pause * 2).min(RETRY_PAUSE_MAX);
            }
        }
    }
}

/// Asks other hosts for a stream until it is there, while the store gives nothing of it.
async fn start_from_peers<C: WireCodec>(front: Rc<Front>, stream: ControlStream) {
    let mut held = 0;
    for ask in 0.. {
        let pause = if ask < START_ASKS {
            START_PAUSE
        } else {
            LATE_START_PAUSE
        };
        time::sleep(pause).await;
        let now_held = front.mirror.borrow().len(stream);
        if front.mirror.borrow().next_offset(stream) > 0 {
            return;
        }
        if now_held == held {
            peer_link::fetch_records::<C>(&front, stream).await;
        }
        held = now_held;
    }
}

impl FollowState {
    /// Nothing read yet.
    fn new(stream: ControlStream) -> Self {
        Self {
            stream,
            cursor: None,
            snapshot: SnapshotReader::default(),
            is_start: true,
            answered_at: None,
            returned_at: None,
            is_lost: false,
            pause: RETRY_PAUSE_MIN,
        }
    }

    /// Reads on from what another host gave, if that was sooner than the store's snapshot.
    fn start_from_mirror(&mut self, front: &Front) {
        let next = front.mirror.borrow().next_offset(self.stream);
        if self.is_start && next > 0 {
            slog::info!(front.log, "stream taken from a peer"; "stream" => ?self.stream,
                "next" => next);
            self.cursor = Some(next);
            self.snapshot = SnapshotReader::default();
            self.is_start = false;
        }
    }

    /// Reads what is next; waits long for it only while the store is known to answer.
    async fn read<C: WireCodec, S: ControlStore>(
        &mut self,
        front: &Front,
        store: &S,
    ) -> Result<StreamRead> {
        let Some(from) = self.cursor else {
            return self.read_snapshot::<C, S>(front, store).await;
        };
        let wait = match self.is_waiting() {
            true => front.settings.times.operator_poll_timeout,
            false => Duration::ZERO,
        };
        let page = store.read_changes(self.stream, from, wait).await?;
        Ok(StreamRead::Page(page, PageSource::Changes))
    }

    /// Reads the next part of a snapshot; its records are in use before the others are there.
    async fn read_snapshot<C: WireCodec, S: ControlStore>(
        &mut self,
        front: &Front,
        store: &S,
    ) -> Result<StreamRead> {
        let snapshot = &mut self.snapshot;
        let part = store.read_snapshot(self.stream, snapshot.after_key(), snapshot.extra_timeout());
        let part = part.await.inspect_err(|_| snapshot.record_failure())?;
        let after_outage = self.is_after_outage();
        let source = PageSource::Snapshot;
        apply_records::<C>(front, self.stream, &part.records, source, after_outage);
        let whole = self.snapshot.add_part(part);
        Ok(whole.map_or(StreamRead::Part, |page| StreamRead::Page(page, source)))
    }

    /// Whether a read waits until there is something to read.
    fn is_waiting(&self) -> bool {
        self.stream == ControlStream::Operator && self.cursor.is_some() && !self.is_lost
    }

    /// Notes an answer of the store.
    fn answered(&mut self, front: &Front) {
        let now = BootInstant::now();
        let was_away = self
            .answered_at
            .is_some_and(|at| now.since(at) > OUTAGE_TIME);
        if was_away || (self.is_lost && self.answered_at.is_none()) {
            self.returned_at = Some(now);
        }
        if self.is_lost {
            slog::info!(front.log, "store regained"; "stream" => ?self.stream,
                "away_ms" => self.answered_at.map(|at| now.since(at).as_millis() as u64));
        }
        self.answered_at = Some(now);
        self.is_lost = false;
        self.pause = RETRY_PAUSE_MIN;
    }

    /// Notes a failure of the store.
    fn failed(&mut self, front: &Front, error: &StoreError) {
        if !self.is_lost {
            slog::warn!(front.log, "store lost"; "stream" => ?self.stream, "error" => %error);
        }
        self.is_lost = true;
        front.store_read_failed.notify_waiters();
    }

    /// Whether endpoints may still be missing only because the store was away.
    fn is_after_outage(&self) -> bool {
        self.returned_at
            .is_some_and(|at| at.elapsed() < RELISTING_GRACE)
    }
}

/// Takes over records that are newer than those held.
fn apply_records<C: WireCodec>(
    front: &Front,
    stream: ControlStream,
    records: &[ControlRecord],
    source: PageSource,
    after_outage: bool,
) {
    let now = BootInstant::now();
    for record in records {
        if front.mirror.borrow_mut().insert_if_newer(stream, record) {
            let fact = C::parse_control_record(stream, record);
            apply_update(front, record, fact, source, after_outage, now);
        }
    }
}

/// Takes over a page; a snapshot also shows what is gone.
pub fn apply_page<C: WireCodec>(
    front: &Front,
    stream: ControlStream,
    page: &ControlPage,
    source: PageSource,
    after_outage: bool,
) {
    apply_records::<C>(front, stream, &page.records, source, after_outage);
    front.mirror.borrow_mut().advance(stream, page.next);
    if stream != ControlStream::Endpoints {
        return;
    }
    if !page.has_more {
        front.is_list_read.set(true);
    }
    front.list_read_at.set(Some(BootInstant::now()));
    if source == PageSource::Snapshot {
        retain_snapshot(front, page, after_outage);
    }
    if source != PageSource::Changes {
        slog::info!(front.log, "list of endpoints"; "by" => ?source,
            "endpoints" => front.endpoints.borrow().len(), "next" => page.next);
    }
}

/// Takes off endpoints that a snapshot does not name, unless they were described after it.
fn retain_snapshot(front: &Front, snapshot: &ControlPage, after_outage: bool) {
    let stream = ControlStream::Endpoints;
    let named: HashSet<&str> = snapshot.records.iter().map(|r| &*r.key).collect();
    let mut mirror = front.mirror.borrow_mut();
    let is_kept = |key: &str| {
        let newer = mirror.record_offset(stream, key);
        named.contains(key) || newer.is_some_and(|offset| offset >= snapshot.next)
    };
    let mut endpoints = front.endpoints.borrow_mut();
    let gone = endpoints.retain_listed(is_kept, after_outage, BootInstant::now());
    for id in gone {
        mirror.remove(stream, &id);
        slog::info!(front.log, "endpoint gone"; "endpoint" => &*id, "by" => "snapshot");
    }
}

/// Takes over one fact.
fn apply_update(
    front: &Front,
    record: &ControlRecord,
    fact: ControlUpdate,
    source: PageSource,
    after_outage: bool,
    now: BootInstant,
) {
    match fact {
        ControlUpdate::Config(config) => apply_config(front, record, *config),
        ControlUpdate::WantedWeights { model, version } => {
            if front.update_wanted_weights(&model, version, wanted_start(front, source, now)) {
                slog::info!(front.log, "weights wanted"; "model" => &*model,
                    "version" => version, "offset" => record.offset);
            }
        }
        ControlUpdate::Endpoint(described) => apply_endpoint(front, record, described, source, now),
        ControlUpdate::EndpointGone { id, fault } => {
            if let Some(fault) = fault {
                slog::warn!(front.log, "endpoint's description unreadable";
                    "endpoint" => &*id, "fault" => &*fault, "offset" => record.offset);
            }
            if front
                .endpoints
                .borrow_mut()
                .mark_gone(&id, after_outage, now)
            {
                slog::info!(front.log, "endpoint gone"; "endpoint" => &*id,
                    "offset" => record.offset);
            }
        }
        ControlUpdate::Unknown { reason } => {
            slog::warn!(front.log, "record not used"; "key" => &*record.key,
                "offset" => record.offset, "reason" => &*reason);
        }
    }
}

/// Since when weights found in a page are wanted.
///
/// Records bear no time. What a process finds when it starts may be old already, so old weights
/// are only used for as long as the process counts as just started.
fn wanted_start(front: &Front, source: PageSource, now: BootInstant) -> BootInstant {
    let is_start = now.since(front.started) < START_TIME;
    match source {
        PageSource::Snapshot | PageSource::Peer if is_start => {
            front.started - front.settings.times.initial_weights_age
        }
        _ => now,
    }
}

/// Takes a version of the configuration.
fn apply_config(front: &Front, record: &ControlRecord, config: ServiceConfig) {
    let version = config.version;
    let taken = front.install_routes(RouteTable::from(config));
    slog::info!(front.log, "configuration"; "version" => version, "offset" => record.offset,
        "in_force" => taken);
}

/// Takes a description of an endpoint. Those of a whole list are logged by their number.
fn apply_endpoint(
    front: &Front,
    record: &ControlRecord,
    described: EndpointRecord,
    source: PageSource,
    now: BootInstant,
) {
    let id = described.id.clone();
    let weights = described.weights.clone();
    let change = front.endpoints.borrow_mut().apply_record(described, now);
    let change = match change {
        DirectoryChange::None => return,
        DirectoryChange::Appeared if source != PageSource::Changes => return,
        DirectoryChange::Appeared => "appeared",
        DirectoryChange::Leaving => "leaving",
        DirectoryChange::Returned => "returned",
    };
    slog::info!(front.log, "endpoint"; "endpoint" => &*id, "change" => change,
        "offset" => record.offset, "weights" => ?weights);
}
