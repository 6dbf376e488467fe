//! Fake plain service that counts the effects of its calls.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::watch;
use wagtaildoor::{
    ids::{
        AttemptId,
        BootId,
        RequestId,
        RequestKey, //
    },
    schema::LoadReport,
};

use crate::{
    connection_state::ConnectionState,
    pause, //
};

/// Active faults. A `u64` without a unit is the number of coming calls that the fault affects.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Refuses all calls and reports that they did not run.
    pub refuse: bool,
    /// Refuses new calls and reports `leaving` in the load report.
    pub leaving: bool,
    /// Blocks calls until the switch is unset.
    pub freeze: bool,
    /// Delay before the effect, in milliseconds.
    pub slow_before_ms: u64,
    /// Delay between the effect and the response, in milliseconds.
    pub slow_after_ms: u64,
    /// Calls whose connection is closed before the effect.
    pub cut_before_effect: u64,
    /// Calls whose connection is closed between the effect and the response.
    pub cut_after_effect: u64,
    /// Calls that get the response to another request.
    pub crossed_answers: u64,
    /// Lookups that fail.
    pub lookup_failures: u64,
    /// Ends each response with its connection, without a content length or chunks.
    pub close_delimited: bool,
    /// Ends answers early: streams inside their last event, others in the middle of the body.
    pub close_early: bool,
    /// Restarts once with a new boot id, when the switch is set; effects are kept.
    pub crash: bool,
}

/// What a caller sent to the service, and on whose behalf.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Requested path.
    pub path: Box<str>,
    /// Idempotency key; `None` for a call without one.
    pub key: Option<RequestKey>,
    /// Request that the call belongs to.
    pub request: RequestId,
    /// Attempt that the call belongs to.
    pub attempt: AttemptId,
    /// Parameters, as JSON.
    pub body: serde_json::Value,
}

/// Receipt for the attempt that asked for it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceResponse {
    /// Request that the response belongs to.
    pub request: RequestId,
    /// Attempt that the response belongs to.
    pub attempt: AttemptId,
    /// Effect of the call.
    pub body: ServiceReceipt,
}

/// Effect of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceReceipt {
    /// Requested path.
    pub path: Box<str>,
    /// Sequence number of the effect over all calls, starting at 1.
    pub receipt: u64,
    /// Body of the call.
    pub accepted: serde_json::Value,
}

/// Calls and effects since the service was created.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCounts {
    /// Calls received.
    pub calls: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls whose connection was closed before or after their effect.
    pub cut: u64,
    /// Effects of all calls.
    pub effects: u64,
    /// Number of effects by idempotency key.
    pub effects_by_key: HashMap<RequestKey, u64>,
}

/// Reason why a call got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum ServiceFailure {
    /// The service refused the call; it did not run.
    #[display("not run")]
    NotRun,
    /// The connection was closed; the call may have run.
    #[display("cut")]
    Cut,
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, ServiceFailure>;

/// A fake plain service; clones share its state.
#[derive(Clone, Debug)]
pub struct FakeService {
    /// Whether each idempotency key runs at most once.
    checks_keys: bool,
    /// Set while the service is frozen.
    frozen: Arc<watch::Sender<bool>>,
    /// State that the service's connections follow.
    connections: Arc<watch::Sender<ConnectionState>>,
    state: Arc<Mutex<ServiceState>>,
}

/// Mutable state of a service.
#[derive(Debug)]
struct ServiceState {
    /// Random id of the current boot.
    boot_id: BootId,
    /// Active faults.
    faults: ServiceFaults,
    counts: ServiceCounts,
    /// Number of calls in progress.
    running: u32,
    /// First receipt of each key.
    receipts: HashMap<RequestKey, ServiceReceipt>,
}

/// Counts a call as in progress until dropped.
struct RunningCall<'a> {
    service: &'a FakeService,
}

impl FakeService {
    /// Creates a service; `checks_keys` makes it run each idempotency key at most once.
    pub fn new(checks_keys: bool) -> Self {
        let state = ServiceState {
            boot_id: new_boot_id(),
            faults: ServiceFaults::default(),
            counts: ServiceCounts::default(),
            running: 0,
            receipts: HashMap::new(),
        };
        Self {
            checks_keys,
            frozen: Arc::new(watch::Sender::new(false)),
            connections: Arc::default(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the id of the current boot.
    pub fn boot_id(&self) -> BootId {
        self.lock().boot_id.clone()
    }

    /// Returns the calls and effects since the service was created.
    pub fn counts(&self) -> ServiceCounts {
        self.lock().counts.clone()
    }

    /// Returns the state that the service's connections follow.
    pub fn connections(&self) -> watch::Receiver<ConnectionState> {
        self.connections.subscribe()
    }

    /// Whether answers end early.
    pub fn closes_early(&self) -> bool {
        self.lock().faults.close_early
    }

    /// Replaces the active faults. If `crash` is set, the service restarts once.
    pub fn set_faults(&self, mut faults: ServiceFaults) {
        let crash = std::mem::take(&mut faults.crash);
        self.frozen.send_replace(faults.freeze);
        self.connections
            .send_modify(|state| state.close_delimited = faults.close_delimited);
        let mut state = self.lock();
        state.faults = faults;
        if crash {
            state.boot_id = new_boot_id();
        }
    }

    /// Runs a call and applies the active faults.
    pub async fn call(&self, call: ServiceCall) -> Result<ServiceResponse> {
        let _running = self.begin_call()?;
        self.wait_until_unfrozen().await;
        let before = Duration::from_millis(self.lock().faults.slow_before_ms);
        pause::sleep_unless_zero(before).await;
        self.check_cut(|faults| &mut faults.cut_before_effect)?;
        let receipt = self.apply_call(&call);
        let after = Duration::from_millis(self.lock().faults.slow_after_ms);
        pause::sleep_unless_zero(after).await;
        self.check_cut(|faults| &mut faults.cut_after_effect)?;
        Ok(self.make_response(call, receipt))
    }

    /// Returns the first receipt of a key; `None` if the key is unknown.
    pub async fn lookup(&self, key: &str) -> Result<Option<ServiceReceipt>> {
        self.wait_until_unfrozen().await;
        let mut state = self.lock();
        if count_down(&mut state.faults.lookup_failures) {
            return Err(ServiceFailure::Cut);
        }
        Ok(state.receipts.get(key).cloned())
    }

    /// Returns the current load. Plain services have no queue and no weights, so these are 0.
    pub fn load_report(&self) -> LoadReport {
        let state = self.lock();
        LoadReport {
            boot_id: state.boot_id.clone(),
            events_next: 1,
            leaving: state.faults.leaving,
            queued: 0,
            running: state.running,
            weights_version: 0,
        }
    }

    /// Waits until the service is not frozen.
    pub async fn wait_until_unfrozen(&self) {
        let mut frozen = self.frozen.subscribe();
        // The sender lives as long as the service, so the wait cannot fail.
        let _ = frozen.wait_for(|&frozen| !frozen).await;
    }

    /// Counts a call as in progress, or refuses it.
    fn begin_call(&self) -> Result<RunningCall<'_>> {
        let mut state = self.lock();
        state.counts.calls += 1;
        if state.faults.refuse || state.faults.leaving {
            state.counts.refused += 1;
            return Err(ServiceFailure::NotRun);
        }
        state.running += 1;
        Ok(RunningCall { service: self })
    }

    /// Returns an error while the selected fault counter is not used up.
    fn check_cut(&self, counter: impl FnOnce(&mut ServiceFaults) -> &mut u64) -> Result<()> {
        let mut state = self.lock();
        if !count_down(counter(&mut state.faults)) {
            return Ok(());
        }
        state.counts.cut += 1;
        Err(ServiceFailure::Cut)
    }

    /// Runs the call, or returns the first receipt of its key if keys are checked.
    fn apply_call(&self, call: &ServiceCall) -> ServiceReceipt {
        let mut state = self.lock();
        let known = call.key.as_ref().and_then(|key| state.receipts.get(key));
        if let (true, Some(receipt)) = (self.checks_keys, known) {
            return receipt.clone();
        }
        state.counts.effects += 1;
        let receipt = ServiceReceipt {
            path: call.path.clone(),
            receipt: state.counts.effects,
            accepted: call.body.clone(),
        };
        if let Some(key) = &call.key {
            *state.counts.effects_by_key.entry(key.clone()).or_default() += 1;
            let first = state.receipts.entry(key.clone());
            first.or_insert_with(|| receipt.clone());
        }
        receipt
    }

    /// Returns the response, or that of another request if the fault applies.
    fn make_response(&self, call: ServiceCall, receipt: ServiceReceipt) -> ServiceResponse {
        if !count_down(&mut self.lock().faults.crossed_answers) {
            return ServiceResponse {
                request: call.request,
                attempt: call.attempt,
                body: receipt,
            };
        }
        ServiceResponse {
            request: format!("{}-other", call.request).into(),
            attempt: format!("{}-other", call.attempt).into(),
            body: ServiceReceipt {
                accepted: serde_json::Value::from("body of another request"),
                ..receipt
            },
        }
    }

    /// Locks the state and ignores poisoning.
    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.service.lock().running -= 1;
    }
}

/// Decrements the counter of a fault. Returns whether the fault applies.
fn count_down(counter: &mut u64) -> bool {
    let applies = *counter > 0;
    *counter = counter.saturating_sub(1);
    applies
}

/// Returns a random boot id.
fn new_boot_id() -> BootId {
    uuid::Uuid::new_v4().to_string().into()
}
