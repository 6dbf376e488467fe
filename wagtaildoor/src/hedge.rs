//! Decides when to hedge: start a second attempt while the first has not produced a token.

use std::time::Duration;

use crate::{
    placement::PlacementChoice,
    schema::{
        Template,
        Urgency, //
    },
};

/// Multiple of the expected time to first token before a hedge starts.
const EXPECTED_FACTOR: u32 = 2;

/// Returns the delay after which a request is hedged at a second endpoint; `None` means never.
///
/// Only repeatable, urgent requests are hedged. The delay is at least the template's first-token
/// target and twice the expected time to first token: that time is long in a busy pool, where an
/// early hedge would only lengthen the queues. Each hedge also costs credit of an `AttemptBudget`.
pub fn delay(template: &Template, choice: &PlacementChoice) -> Option<Duration> {
    if !template.repeatable || template.urgency != Urgency::Urgent {
        return None;
    }
    let target = Duration::from_millis(template.first_token_ms);
    let expected = choice.expected_first_token * EXPECTED_FACTOR;
    Some(target.max(expected))
}
