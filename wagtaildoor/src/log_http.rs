//! HTTP client of the external log.

use std::time::Duration;

use reqwest::{
    redirect,
    retry,
    Client,
    RequestBuilder,
    StatusCode, //
};
use serde::de::DeserializeOwned;

use crate::{
    ids::LogOffset,
    log_store::{
        LogError,
        LogStore,
        Result, //
    },
    schema::{
        LogAppended,
        LogPage, //
    },
};

/// Client of the log service. It never retries a request.
#[derive(Clone)]
pub struct HttpLog {
    /// Base URL without a trailing slash.
    base_url: Box<str>,
    /// Maximum time to wait for a response, in addition to the wait time of a read.
    timeout: Duration,
    client: Client,
}

impl HttpLog {
    /// Creates a client for the log service at a base URL.
    ///
    /// Fails if the HTTP client cannot be set up.
    pub fn new(base_url: &str, timeout: Duration) -> Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .redirect(redirect::Policy::none())
            .retry(retry::never())
            .connect_timeout(timeout)
            .build()
            .map_err(|error| LogError::Unavailable(error.to_string().into()))?;
        Ok(Self {
            base_url: base_url.trim_end_matches('/').into(),
            timeout,
            client,
        })
    }

    fn stream_url(&self, stream: &str) -> String {
        format!("{}/streams/{stream}", self.base_url)
    }
}

impl LogStore for HttpLog {
    async fn append(&self, stream: &str, data: Box<str>) -> Result<LogAppended> {
        let request = self
            .client
            .post(self.stream_url(stream))
            .timeout(self.timeout)
            .body(data.into_string());
        send_request(request).await
    }

    async fn read(
        &self,
        stream: &str,
        from: LogOffset,
        limit: usize,
        wait: Duration,
    ) -> Result<LogPage> {
        let url = format!(
            "{}?from={from}&limit={limit}&wait_ms={}",
            self.stream_url(stream),
            wait.as_millis()
        );
        send_request(self.client.get(url).timeout(self.timeout + wait)).await
    }
}

/// Sends a request and parses the response.
async fn send_request<A: DeserializeOwned>(request: RequestBuilder) -> Result<A> {
    let response = request.send().await.map_err(classify_error)?;
    let status = response.status();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(LogError::Unavailable("the log refused the call".into()));
    }
    if !status.is_success() {
        // The response may come from an intermediary, so an append may still have taken effect.
        return Err(LogError::Uncertain(
            format!("the log answered {status}").into(),
        ));
    }
    let body = response.bytes().await.map_err(classify_error)?;
    serde_json::from_slice(&body).map_err(|error| LogError::Malformed(error.to_string().into()))
}

/// Distinguishes requests that cannot have reached the log from those that may have.
fn classify_error(error: reqwest::Error) -> LogError {
    let text = error.to_string().into();
    if error.is_connect() {
        return LogError::Unavailable(text);
    }
    LogError::Uncertain(text)
}
