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
    ids::{
        AttemptId,
        PartId, //
    },
};

use crate::{
    endpoint::Endpoint,
    front::Front,
    wire_codec::PromptHead, //
};

/// Timeout of the connection attempt to an engine whose answer broke off. One that has ended
/// refuses at once; one behind a cut link stays silent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// An answer that had begun when it broke off.
#[derive(Clone, Copy, Debug)]
pub struct BrokenAnswer<'a> {
    /// Attempt id of the request.
    pub attempt: Option<&'a AttemptId>,
    /// Prompt of the request.
    pub prompt: &'a PromptHead,
    /// When the head of the answer arrived.
    pub begun_at: BootInstant,
}

/// Parts of a prompt that other requests may hold, too: all but the last.
pub fn shared_parts(prompt: &PromptHead) -> impl Iterator<Item = PartId> + '_ {
    let shared = prompt.parts.len().saturating_sub(1);
    prompt.parts[..shared].iter().map(|part| part.id)
}

/// Returns whether the engine of a broken answer has ended, and logs which parts were involved.
pub async fn inspect_engine(front: &Front, endpoint: &Endpoint, answer: &BrokenAnswer<'_>) -> bool {
    let answered_for = answer.begun_at.elapsed();
    let has_ended = refuses_connections(endpoint).await;
    if has_ended {
        endpoint
            .health
            .borrow_mut()
            .mark_unreachable(BootInstant::now());
    }
    let parts: Vec<String> = shared_parts(answer.prompt)
        .map(|part| format!("{part:016x}"))
        .collect();
    slog::info!(front.log, "answer broke off"; "attempt" => answer.attempt.map(|id| &**id),
        "endpoint" => &*endpoint.id, "engine_ended" => has_ended,
        "answered_ms" => answered_for.as_millis() as u64, "parts" => parts.join(","));
    has_ended
}

/// Whether nothing listens at the endpoint's address any more.
async fn refuses_connections(endpoint: &Endpoint) -> bool {
    let attempt = time::timeout(PROBE_TIMEOUT, TcpStream::connect(endpoint.address));
    matches!(attempt.await, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}
