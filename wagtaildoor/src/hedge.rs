//! When a second attempt is started beside a first that has given no token yet.

use std::time::Duration;

use crate::{
    placement::PlacementChoice,
    schema::{
        Template,
        Urgency, //
    },
};

/// Times the expected first token that is waited before a hedge.
const EXPECTED_FACTOR: u32 = 2;

/// Time after which an urgent request may go to a second endpoint; `None` for no hedge.
///
/// Only repeatable and urgent work is hedged, never before the template's target, and never
/// before the wait that was expected, which a busy pool makes long: a hedge there would only
/// add to the queues. Each hedge also takes credit from an `AttemptBudget`.
pub fn delay(template: &Template, choice: &PlacementChoice) -> Option<Duration> {
    if !template.repeatable || template.urgency != Urgency::Urgent {
        return None;
    }
    let target = Duration::from_millis(template.first_token_ms);
    let expected = choice.expected_first_token * EXPECTED_FACTOR;
    Some(target.max(expected))
}
