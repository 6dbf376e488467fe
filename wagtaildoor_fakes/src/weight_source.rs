//! Determines how long an engine process takes to load weights.

use std::time::Duration;

use reqwest::Client;
use serde::{
    Deserialize,
    Serialize, //
};
use wagtaildoor::schema::{
    EngineOrder,
    OrderKind, //
};

use crate::fake_engine::FakeEngine;

/// Request to start a load at the weight store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadRequest {
    /// Duration of the load at full speed, in milliseconds.
    pub alone_ms: u64,
}

/// Response of the weight store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadDelay {
    /// Duration of the load at the current number of concurrent loads, in milliseconds.
    pub delay_ms: u64,
}

/// HTTP client of the platform's weight store.
#[derive(Clone, Debug)]
pub struct WeightSource {
    /// Base URL of the platform; with `None`, loads run at full speed.
    url: Option<Box<str>>,
    client: Client,
}

impl WeightSource {
    /// Creates a client for the platform at a base URL, or one without a weight store.
    pub fn new(url: Option<Box<str>>, client: Client) -> Self {
        let url = url.map(|url| url.trim_end_matches('/').into());
        Self { url, client }
    }

    /// Returns the duration of the load that an order requires. Asks the store only if weights must
    /// be loaded.
    pub async fn load_delay(&self, engine: &FakeEngine, order: &EngineOrder) -> Duration {
        let alone = engine.profile().load_time;
        let state = engine.state();
        let version = order.weights_version;
        let known = [state.weights_version, state.loading].contains(&version);
        if order.kind != OrderKind::LoadWeights || known {
            return alone;
        }
        let delay = self.start_load(alone).await;
        delay.map_or(alone, |delay| Duration::from_millis(delay.delay_ms))
    }

    /// Starts a load at the store; `None` if there is no store or it does not respond.
    async fn start_load(&self, alone: Duration) -> Option<LoadDelay> {
        let url = self.url.as_ref()?;
        let alone_ms = u64::try_from(alone.as_millis()).unwrap_or(u64::MAX);
        let request = self.client.post(format!("{url}/weights/loads"));
        let response = request.json(&LoadRequest { alone_ms }).send().await.ok()?;
        response.json().await.ok()
    }
}
