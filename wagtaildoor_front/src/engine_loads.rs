//! Records when engines begin and finish loading weights, and tells the other hosts.

use std::time::Duration;

use wagtaildoor::{
    boot_clock::BootInstant,
    ids::{
        ModelId,
        WeightsVersion, //
    },
};

use crate::{
    endpoint::Endpoint,
    front::Front,
    load_times::LoadBacklog, //
};

/// How this host knows that an engine has loaded weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadEvidence {
    /// A response or stream event of the engine.
    Response,
    /// The engine's report, or its answer to an order.
    Report,
    /// A hint of another host.
    Hint,
}

/// Records that an engine is about to load weights, and queues a hint.
pub fn begin_load(front: &Front, endpoint: &Endpoint, model: &ModelId, version: WeightsVersion) {
    note_load(front, endpoint, model, version, BootInstant::now());
    let mut hints = front.hints.borrow_mut();
    hints.push_weights(endpoint.key, model, version, true);
}

/// Records a load of which another host told.
pub fn note_load(
    front: &Front,
    endpoint: &Endpoint,
    model: &ModelId,
    version: WeightsVersion,
    now: BootInstant,
) {
    if endpoint.weights(model) < version {
        let overdue_after = front.load_times.borrow().overdue_after(model);
        endpoint.begin_load(model, version, now, overdue_after);
    }
}

/// Records that a load did not take place, and queues a hint.
pub fn cancel_load(front: &Front, endpoint: &Endpoint, model: &ModelId) {
    endpoint.cancel_load();
    let mut hints = front.hints.borrow_mut();
    hints.push_weights(endpoint.key, model, endpoint.weights(model), false);
}

/// Records the weights that an engine was seen with. If they are news, other hosts are told, and
/// the time of the load is learned.
pub fn record_weights(
    front: &Front,
    endpoint: &Endpoint,
    model: &ModelId,
    version: WeightsVersion,
    evidence: LoadEvidence,
) {
    let now = BootInstant::now();
    let is_newer = endpoint.weights(model) < version;
    let took = endpoint.finish_load(model, version, now);
    if !is_newer && took.is_none() {
        return;
    }
    endpoint.record_weights(model, version);
    if let Some(took) = took {
        front.load_times.borrow_mut().record(model, took);
        front.metrics.record_load(took);
        let expected = front.load_times.borrow().expected(model);
        slog::info!(front.log, "weights loaded"; "endpoint" => &*endpoint.id,
            "version" => version, "by" => ?evidence, "took_ms" => took.as_millis() as u64,
            "expected_ms" => expected.as_millis() as u64);
    }
    if evidence != LoadEvidence::Hint {
        let mut hints = front.hints.borrow_mut();
        hints.push_weights(endpoint.key, model, version, false);
    }
}

/// Number of a model's engines that may load at the same time. All hosts come to the same number if
/// they know of the same engines. `outdated` has an entry for each engine that is behind: how long
/// its weights have been outdated.
pub fn concurrent_loads(
    front: &Front,
    model: &str,
    engines: usize,
    outdated: impl Iterator<Item = Duration>,
) -> usize {
    let limit = front.settings.engines.old_weights_limit;
    let backlog = LoadBacklog {
        engines,
        time_left: outdated.map(|age| limit.saturating_sub(age)).collect(),
        load_time: front.load_times.borrow().expected(model),
    };
    backlog.concurrent_loads(front.settings.rollout.max_loading_share)
}
