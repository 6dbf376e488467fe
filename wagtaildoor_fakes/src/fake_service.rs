//! Stand-in for a plain service, which counts what really took effect.

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

use crate::pause;

/// Faults that are on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Refuses all calls and says that they did not run.
    pub refuse: bool,
    /// Takes no new calls, and says so in its load report.
    pub leaving: bool,
    /// Does nothing until the switch goes off.
    pub freeze: bool,
    /// Wait before the effect, in milliseconds.
    pub slow_before_ms: u64,
    /// Wait between the effect and the answer, in milliseconds.
    pub slow_after_ms: u64,
    /// Calls that are cut before their effect, counted down.
    pub cut_before_effect: u64,
    /// Calls that are cut between their effect and the answer, counted down.
    pub cut_after_effect: u64,
    /// Calls that get the answer of another request, counted down.
    pub crossed_answers: u64,
    /// Look-ups that fail, counted down.
    pub lookup_failures: u64,
    /// Crashes and comes back, once, when the switch is set; effects last.
    pub crash: bool,
}

/// A call to the service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Path that was called.
    pub path: Box<str>,
    /// Idempotency key; `None` for a call without one.
    pub key: Option<RequestKey>,
    /// Request it belongs to.
    pub request: RequestId,
    /// Attempt it belongs to.
    pub attempt: AttemptId,
    /// Its body.
    pub body: serde_json::Value,
}

/// An answer of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceAnswer {
    /// Request it answers.
    pub request: RequestId,
    /// Attempt it answers.
    pub attempt: AttemptId,
    /// Its body.
    pub body: ServiceReceipt,
}

/// What a call did.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceReceipt {
    /// Path that was called.
    pub path: Box<str>,
    /// Number of the effect over all calls, from 1.
    pub receipt: u64,
    /// Body of the call.
    pub accepted: serde_json::Value,
}

/// What the service did.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCounts {
    /// Calls that came in.
    pub calls: u64,
    /// Calls it refused.
    pub refused: u64,
    /// Calls that were cut before or after their effect.
    pub cut: u64,
    /// Effects over all calls.
    pub effects: u64,
    /// Effects of each key.
    pub effects_by_key: HashMap<RequestKey, u64>,
}

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum ServiceFailure {
    /// The service refused it: it did not run.
    #[display("not run")]
    NotRun,
    /// The connection broke.
    #[display("cut")]
    Cut,
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, ServiceFailure>;

/// A plain service; clones are the same service.
#[derive(Clone, Debug)]
pub struct FakeService {
    /// Runs each key at most once.
    checks_keys: bool,
    /// Whether it stands still.
    frozen: Arc<watch::Sender<bool>>,
    /// What changes.
    state: Arc<Mutex<ServiceState>>,
}

/// What changes in a service.
#[derive(Debug)]
struct ServiceState {
    /// Drawn anew at each start.
    boot_id: BootId,
    /// Faults that are on.
    faults: ServiceFaults,
    /// What it did.
    counts: ServiceCounts,
    /// Calls in work.
    running: u32,
    /// First receipt of each key.
    receipts: HashMap<RequestKey, ServiceReceipt>,
}

/// Counts a call as in work.
struct RunningCall<'a> {
    /// Service it is at.
    service: &'a FakeService,
}

impl FakeService {
    /// A service that checks idempotency keys or ignores them.
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
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Its present start.
    pub fn boot_id(&self) -> BootId {
        self.lock().boot_id.clone()
    }

    /// What really took effect, for oracles.
    pub fn counts(&self) -> ServiceCounts {
        self.lock().counts.clone()
    }

    /// Switches faults; a set `crash` takes effect once.
    pub fn set_faults(&self, mut faults: ServiceFaults) {
        let crash = std::mem::take(&mut faults.crash);
        self.frozen.send_replace(faults.freeze);
        let mut state = self.lock();
        state.faults = faults;
        if crash {
            state.boot_id = new_boot_id();
        }
    }

    /// Runs a call.
    pub async fn call(&self, call: ServiceCall) -> Result<ServiceAnswer> {
        let _running = self.enter()?;
        self.thawed().await;
        let before = Duration::from_millis(self.lock().faults.slow_before_ms);
        pause::pause(before).await;
        self.cut(|faults| &mut faults.cut_before_effect)?;
        let receipt = self.take_effect(&call);
        let after = Duration::from_millis(self.lock().faults.slow_after_ms);
        pause::pause(after).await;
        self.cut(|faults| &mut faults.cut_after_effect)?;
        Ok(self.answer(call, receipt))
    }

    /// The recorded receipt of a key, when it was seen.
    pub async fn lookup(&self, key: &str) -> Result<Option<ServiceReceipt>> {
        self.thawed().await;
        let mut state = self.lock();
        if count_down(&mut state.faults.lookup_failures) {
            return Err(ServiceFailure::Cut);
        }
        Ok(state.receipts.get(key).cloned())
    }

    /// What it says of itself.
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

    /// Waits while the service is told to stand still.
    pub async fn thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        // The sender lives as long as the service, so that waiting cannot fail.
        let _ = frozen.wait_for(|&frozen| !frozen).await;
    }

    /// Takes a call in, or refuses it.
    fn enter(&self) -> Result<RunningCall<'_>> {
        let mut state = self.lock();
        state.counts.calls += 1;
        if state.faults.refuse || state.faults.leaving {
            state.counts.refused += 1;
            return Err(ServiceFailure::NotRun);
        }
        state.running += 1;
        Ok(RunningCall { service: self })
    }

    /// Cuts the call when the fault has strikes left.
    fn cut(&self, strikes: impl FnOnce(&mut ServiceFaults) -> &mut u64) -> Result<()> {
        let mut state = self.lock();
        if !count_down(strikes(&mut state.faults)) {
            return Ok(());
        }
        state.counts.cut += 1;
        Err(ServiceFailure::Cut)
    }

    /// Does what the call asks for, or finds what an earlier one with its key did.
    fn take_effect(&self, call: &ServiceCall) -> ServiceReceipt {
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

    /// The answer, or that of another request.
    fn answer(&self, call: ServiceCall, receipt: ServiceReceipt) -> ServiceAnswer {
        if !count_down(&mut self.lock().faults.crossed_answers) {
            return ServiceAnswer {
                request: call.request,
                attempt: call.attempt,
                body: receipt,
            };
        }
        ServiceAnswer {
            request: format!("{}-other", call.request).into(),
            attempt: format!("{}-other", call.attempt).into(),
            body: ServiceReceipt {
                accepted: serde_json::Value::from("body of another request"),
                ..receipt
            },
        }
    }

    /// The state, also after a panic elsewhere.
    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.service.lock().running -= 1;
    }
}

/// Uses up one strike of a fault.
fn count_down(strikes: &mut u64) -> bool {
    let left = *strikes > 0;
    *strikes = strikes.saturating_sub(1);
    left
}

/// A boot id that no other start has.
fn new_boot_id() -> BootId {
    uuid::Uuid::new_v4().to_string().into()
}
