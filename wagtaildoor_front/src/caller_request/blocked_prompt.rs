//! Keeps prompts with a blocked part away from engines.

use wagtaildoor::{
    boot_clock::BootInstant,
    error::{
        ErrorKind,
        RequestError, //
    },
};

use crate::{
    caller_request::{
        CallerRequest,
        Result, //
    },
    crash_reports,
    wire_codec::WireCodec,
};

impl<C: WireCodec> CallerRequest<C> {
    /// Refuses the request if a part of its prompt is blocked.
    pub(super) fn check_parts(&mut self, now: BootInstant) -> Result<()> {
        let ledger = self.front.crash_ledger.borrow();
        let Some(part) = ledger.blocked_part(&self.parts, now) else {
            return Ok(());
        };
        let crashes = ledger.known_crashes(part);
        self.retry_after = ledger.blocked_for(part, now);
        drop(ledger);
        let position = self.parts.iter().position(|id| *id == part);
        let position = position.map_or(0, |index| index + 1);
        let (kind, outcome) = match self.possible_runs {
            0 => (ErrorKind::PromptBlocked, "the request was not run"),
            _ => (ErrorKind::EndpointFailed, "the request is not tried again"),
        };
        let detail =
            format!("{crashes} engines crashed under part {position} of the prompt; {outcome}");
        Err(RequestError::new(kind, detail))
    }

    /// Waits until a part of the prompt is blocked.
    pub(super) async fn wait_until_blocked(&self) {
        if self.parts.is_empty() {
            return std::future::pending().await;
        }
        loop {
            let added = self.front.crash_added.notified();
            let now = BootInstant::now();
            let blocked = {
                let ledger = self.front.crash_ledger.borrow();
                ledger.blocked_part(&self.parts, now)
            };
            if blocked.is_some() {
                return;
            }
            added.await;
        }
    }

    /// Records that the prompt was answered completely.
    pub(crate) fn record_sound_parts(&self) {
        crash_reports::record_answer(&self.front, &self.parts);
    }
}
