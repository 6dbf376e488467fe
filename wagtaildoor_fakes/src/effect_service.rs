//! Stand-in for a plain service in process: counts what really took effect for each key.

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

/// What becomes of one request at the service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestHandling {
    /// It runs, and the answer comes after this time.
    Answer(Duration),
    /// The service crashes before it runs it.
    CrashBefore,
    /// The service crashes after it ran it.
    CrashAfter,
    /// It runs after this time, long after the connection broke.
    Late(Duration),
    /// The service refuses it, and says that it did not run.
    Refuse,
}

/// What kind of service it is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceTraits {
    /// It runs each key at most once.
    pub checks_request_keys: bool,
    /// It tells what it knows of a key.
    pub looks_up: bool,
}

/// A client account's key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct EffectKey {
    /// Client account.
    pub account: AccountId,
    /// Idempotency key.
    pub key: RequestKey,
}

/// What took effect, in its order.
#[derive(Default)]
struct EffectLedger {
    /// Attempts that took effect, by key.
    effects: HashMap<EffectKey, Vec<AttemptId>>,
    /// Writes that reached the service.
    writes: u64,
}

/// The service; clones share it.
#[derive(Clone, Default)]
pub struct EffectService {
    /// What took effect.
    ledger: Arc<Mutex<EffectLedger>>,
    /// What kind of service it is.
    traits: ServiceTraits,
}

impl EffectService {
    /// A service of a kind.
    pub fn new(traits: ServiceTraits) -> Self {
        Self {
            ledger: Arc::default(),
            traits,
        }
    }

    /// A connection on which requests have a fate.
    pub fn connect(&self, fate: RequestHandling) -> EffectConnection {
        EffectConnection {
            service: self.clone(),
            fate,
        }
    }

    /// Attempts that took effect for a key.
    pub fn effects(&self, key: &EffectKey) -> Vec<AttemptId> {
        self.lock().effects.get(key).cloned().unwrap_or_default()
    }

    /// How often each key took effect.
    pub fn effect_counts(&self) -> Vec<u64> {
        let ledger = self.lock();
        ledger.effects.values().map(|e| e.len() as u64).collect()
    }

    /// Writes that reached the service.
    pub fn writes(&self) -> u64 {
        self.lock().writes
    }

    /// Answer that the service gives for an attempt that ran.
    pub fn answer(attempt: &AttemptId) -> OnceAnswer {
        OnceAnswer {
            status: 200,
            content_type: "application/json".into(),
            body: format!("{{\"ran\":\"{attempt}\"}}").into(),
        }
    }

    /// Lets a request take effect; a service that checks keys gives a known key's answer again.
    fn run(&self, start: &ClaimStart) -> OnceAnswer {
        let id = effect_key(start);
        let mut ledger = self.lock();
        let known = ledger.effects.entry(id).or_default();
        match known.first() {
            Some(first) if self.traits.checks_request_keys => Self::answer(first),
            _ => {
                known.push(start.attempt.clone());
                Self::answer(&start.attempt)
            }
        }
    }

    /// Locks the ledger, also after a panic elsewhere.
    fn lock(&self) -> MutexGuard<'_, EffectLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection to the service on which requests have a fate.
#[derive(Clone)]
pub struct EffectConnection {
    /// The service.
    service: EffectService,
    /// What becomes of requests.
    fate: RequestHandling,
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
        match self.fate {
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

/// Key of a claim.
pub fn effect_key(start: &ClaimStart) -> EffectKey {
    EffectKey {
        account: start.account.clone(),
        key: start.key.clone(),
    }
}
