//! In-process fake of a plain service that records which attempts executed for each key.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use tokio::time;
use wagtaildoor::{
    claim_run::{
        DispatchResult,
        DispatchWindow,
        LookupResult,
        OnceAnswer,
        OnceDispatcher, //
    },
    error::{
        ErrorKind,
        RequestError, //
    },
    ids::{
        AccountId,
        AttemptId,
        RequestKey, //
    },
    schema::ClaimStart,
};

/// How the service handles one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestHandling {
    /// Executes the request at once and responds after this delay.
    Answer(Duration),
    /// Crashes before it executes the request.
    CrashBefore,
    /// Crashes after it executed the request.
    CrashAfter,
    /// Drops the connection and executes the request after this delay.
    Late(Duration),
    /// Refuses the request and reports that it did not run.
    Refuse,
}

/// Capabilities of the service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceTraits {
    /// Executes each idempotency key at most once.
    pub checks_request_keys: bool,
    /// Answers lookups of idempotency keys.
    pub looks_up: bool,
}

/// Idempotency key within a client account.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct EffectKey {
    /// Client account that sent the request.
    pub account: AccountId,
    /// Idempotency key of the request.
    pub key: RequestKey,
}

/// Executed attempts and received writes.
#[derive(Default)]
struct EffectLedger {
    /// Attempts that executed, in order, by key.
    effects: HashMap<EffectKey, Vec<AttemptId>>,
    /// Dispatched requests that reached the service.
    writes: u64,
}

/// A fake service; clones share its state.
#[derive(Clone, Default)]
pub struct EffectService {
    ledger: Arc<Mutex<EffectLedger>>,
    traits: ServiceTraits,
}

impl EffectService {
    /// Creates a service with the given capabilities.
    pub fn new(traits: ServiceTraits) -> Self {
        Self {
            ledger: Arc::default(),
            traits,
        }
    }

    /// Opens a connection on which the service handles every request in the same way.
    pub fn connect(&self, handling: RequestHandling) -> EffectConnection {
        EffectConnection {
            service: self.clone(),
            handling,
        }
    }

    /// Returns the attempts that executed for a key, in order.
    pub fn effects(&self, key: &EffectKey) -> Vec<AttemptId> {
        self.lock().effects.get(key).cloned().unwrap_or_default()
    }

    /// Returns the number of executions per key, in no particular order.
    pub fn effect_counts(&self) -> Vec<u64> {
        let ledger = self.lock();
        ledger.effects.values().map(|e| e.len() as u64).collect()
    }

    /// Returns the number of dispatched requests that reached the service.
    pub fn writes(&self) -> u64 {
        self.lock().writes
    }

    /// Returns the response to an attempt that executed.
    pub fn answer(attempt: &AttemptId) -> OnceAnswer {
        OnceAnswer {
            status: 200,
            content_type: "application/json".into(),
            body: format!("{{\"ran\":\"{attempt}\"}}").into(),
        }
    }

    /// Executes a request. A service that checks keys returns the first response for a known key.
    fn run(&self, start: &ClaimStart) -> OnceAnswer {
        let id = effect_key(start);
        let mut ledger = self.lock();
        let attempts = ledger.effects.entry(id).or_default();
        match attempts.first() {
            Some(first) if self.traits.checks_request_keys => Self::answer(first),
            _ => {
                attempts.push(start.attempt.clone());
                Self::answer(&start.attempt)
            }
        }
    }

    /// Locks the ledger and ignores poisoning.
    fn lock(&self) -> MutexGuard<'_, EffectLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection to the service with a fixed way of handling requests.
#[derive(Clone)]
pub struct EffectConnection {
    service: EffectService,
    /// How requests on this connection are handled.
    handling: RequestHandling,
}

impl OnceDispatcher for EffectConnection {
    fn checks_request_keys(&self) -> bool {
        self.service.traits.checks_request_keys
    }

    async fn dispatch(&self, start: &ClaimStart, window: DispatchWindow) -> DispatchResult {
        if !window.is_open() {
            let error = RequestError::new(ErrorKind::DeadlineUnreachable, "window closed");
            return DispatchResult::NotRun(error);
        }
        self.service.lock().writes += 1;
        match self.handling {
            RequestHandling::Answer(delay) => {
                let answer = self.service.run(start);
                time::sleep(delay).await;
                DispatchResult::Answered(answer)
            }
            RequestHandling::CrashBefore => DispatchResult::Unknown("connection broke".into()),
            RequestHandling::CrashAfter => {
                self.service.run(start);
                DispatchResult::Unknown("connection broke".into())
            }
            RequestHandling::Late(delay) => {
                let (service, start) = (self.service.clone(), start.clone());
                tokio::spawn(async move {
                    time::sleep(delay).await;
                    service.run(&start);
                });
                DispatchResult::Unknown("connection broke".into())
            }
            RequestHandling::Refuse => {
                let error = RequestError::new(ErrorKind::EndpointRefused, "the service is full");
                DispatchResult::NotRun(error)
            }
        }
    }

    async fn look_up(&self, start: &ClaimStart) -> LookupResult {
        if !self.service.traits.looks_up {
            return LookupResult::NoAnswer;
        }
        match self.service.effects(&effect_key(start)).first() {
            Some(attempt) => LookupResult::Ran(EffectService::answer(attempt)),
            None => LookupResult::NotSeen,
        }
    }
}

/// Returns the account and idempotency key of a claim.
pub fn effect_key(start: &ClaimStart) -> EffectKey {
    EffectKey {
        account: start.account.clone(),
        key: start.key.clone(),
    }
}
