//! Where an engine's program gets the time that a load takes.

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

/// A load that is begun at the weight store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadBegin {
    /// Time it takes when nobody else loads, in milliseconds.
    pub alone_ms: u64,
}

/// The weight store's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadDelay {
    /// Time it takes now, in milliseconds.
    pub delay_ms: u64,
}

/// The platform's weight store over HTTP, or none.
#[derive(Clone, Debug)]
pub struct WeightSource {
    /// Base URL of the platform; `None` loads at full speed.
    url: Option<Box<str>>,
    /// HTTP client.
    client: Client,
}

impl WeightSource {
    /// A source at the platform's base URL, or none.
    pub fn new(url: Option<Box<str>>, client: Client) -> Self {
        let url = url.map(|url| url.trim_end_matches('/').into());
        Self { url, client }
    }

    /// Time that the load of an order takes.
    pub async fn delay(&self, engine: &FakeEngine, order: &EngineOrder) -> Duration {
        let alone = engine.profile().load_time;
        let state = engine.state();
        let version = order.weights_version;
        let known = [state.weights_version, state.loading].contains(&version);
        if order.kind != OrderKind::LoadWeights || known {
            return alone;
        }
        let delay = self.begin(alone).await;
        delay.map_or(alone, |delay| Duration::from_millis(delay.delay_ms))
    }

    /// Begins a load at the store; `None` when there is none or it does not answer.
    async fn begin(&self, alone: Duration) -> Option<LoadDelay> {
        let url = self.url.as_ref()?;
        let alone_ms = u64::try_from(alone.as_millis()).unwrap_or(u64::MAX);
        let call = self.client.post(format!("{url}/weights/loads"));
        let response = call.json(&LoadBegin { alone_ms }).send().await.ok()?;
        response.json().await.ok()
    }
}
