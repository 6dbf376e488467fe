//! Finds out whether an engine has ended when one of its answers broke off.

use std::{
    io,
    time::Duration, //
};

use tokio::{
    net::TcpStream,
    time, //
};
use wagtaildoor::{
    boot_clock::BootInstant,
    crash_ledger::CrashReport,
    ids::{
        AttemptId,
        PartId, //
    },
};

use crate::{
    crash_reports,
    endpoint::Endpoint,
    front::Front,
    wire_codec::PromptHead, //
};

/// Timeout of the connection attempt to an engine whose answer broke off. One that has ended
/// refuses at once; one behind a cut link stays silent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after its beginning at which an answer no longer counts as the cause of a crash.
pub const BEGINNING_TIME: Duration = Duration::from_secs(2);

/// A part of a prompt that other prompts may hold, too.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedPart {
    /// The part.
    pub part: PartId,
    /// Number of its crashes that were known when the request was sent.
    pub known_crashes: u32,
}

/// An answer that had begun when it broke off.
#[derive(Clone, Copy, Debug)]
pub struct BrokenAnswer<'a> {
    /// Attempt id of the request.
    pub attempt: Option<&'a AttemptId>,
    /// Shared parts of the prompt.
    pub parts: &'a [SharedPart],
    /// When the head of the answer arrived.
    pub begun_at: BootInstant,
    /// Whether no event of the answer was complete.
    pub in_first_event: bool,
}

/// Parts of a prompt that other prompts may hold, too: all but the last.
pub fn shared_parts(prompt: Option<&PromptHead>) -> Box<[PartId]> {
    let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| part.id).collect()
}

/// Adds to each part the number of its crashes that are known now.
pub fn known_crashes(front: &Front, parts: &[PartId]) -> Box<[SharedPart]> {
    let ledger = front.crash_ledger.borrow();
    let parts = parts.iter().map(|&part| SharedPart {
        part,
        known_crashes: ledger.known_crashes(part),
    });
    parts.collect()
}

/// Finds out whether the engine of a broken answer has ended. If it has and the answer had just begun,
/// its end counts against the answer's parts.
pub async fn inspect_engine(front: &Front, endpoint: &Endpoint, answer: &BrokenAnswer<'_>) {
    let answered_for = answer.begun_at.elapsed();
    // An engine that leaves may end with answers in progress.
    let is_leaving = !endpoint.is_accepting_requests();
    let has_ended = refuses_connections(endpoint).await;
    if has_ended {
        endpoint
            .health
            .borrow_mut()
            .mark_unreachable(BootInstant::now());
    }
    let parts: Vec<String> = answer
        .parts
        .iter()
        .map(|shared| format!("{:016x}", shared.part))
        .collect();
    slog::info!(front.log, "answer broke off"; "attempt" => answer.attempt.map(|id| &**id),
        "endpoint" => &*endpoint.id, "engine_ended" => has_ended,
        "answered_ms" => answered_for.as_millis() as u64,
        "in_first_event" => answer.in_first_event, "parts" => parts.join(","));
    let has_just_begun = answer.in_first_event || answered_for < BEGINNING_TIME;
    if has_ended && has_just_begun && !is_leaving {
        for shared in answer.parts {
            let report = CrashReport {
                part: shared.part,
                engine: endpoint.key,
                known_crashes: shared.known_crashes,
                in_first_event: answer.in_first_event,
            };
            crash_reports::report_crash(front, report);
        }
    }
}

/// Whether nothing listens at the endpoint's address any more.
async fn refuses_connections(endpoint: &Endpoint) -> bool {
    let attempt = time::timeout(PROBE_TIMEOUT, TcpStream::connect(endpoint.address));
    matches!(attempt.await, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}
