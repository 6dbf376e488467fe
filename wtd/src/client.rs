//! HTTP client for keepers and entries.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use futures_util::future;
use reqwest::{
    RequestBuilder,
    Response,
    StatusCode, //
};
use serde::{
    de::DeserializeOwned,
    Serialize, //
};
use wagtaildoor::schema::{
    HeldConfiguration,
    OperatorSection, //
};

use crate::{
    exit::{
        Result,
        ToolError, //
    },
    target::ProcessTarget,
};

/// Timeout for a change. The keeper reads the change back from the log and then waits for other
/// hosts before it responds.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Query parameter of a URL.
#[derive(Clone, Debug)]
pub struct QueryParam {
    /// Unescaped name.
    pub name: &'static str,
    /// Unescaped value.
    pub value: String,
}

/// What a process answered, or why there is no answer.
#[derive(Clone, Debug)]
pub struct ProcessResponse<T> {
    /// Address that was asked.
    pub address: SocketAddr,
    /// Decoded response body, or the reason why the request failed.
    pub result: std::result::Result<T, Box<str>>,
}

/// Response of a keeper to a change.
#[derive(Clone, Debug)]
pub enum ChangeOutcome<T, R> {
    /// The keeper accepted the change (status 200).
    Accepted(T),
    /// The keeper rejected the change and returned a reason (any other status).
    Refused(R),
}

/// Client for the keepers and entries listed in the settings.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// Keepers, in order of preference.
    pub keepers: Vec<ProcessTarget>,
    /// Entries, in the order of the settings.
    pub entries: Vec<ProcessTarget>,
    /// Operator name, addresses, TLS options and timeout.
    pub settings: OperatorSection,
}

impl OperatorClient {
    /// Creates a client from the settings.
    ///
    /// Fails if the root certificates cannot be read or an HTTP client cannot be built.
    pub fn new(settings: OperatorSection) -> Result<Self> {
        Ok(Self {
            keepers: ProcessTarget::keepers(&settings)?,
            entries: ProcessTarget::entries(&settings)?,
            settings,
        })
    }

    /// Returns all keepers, followed by all entries.
    pub fn processes(&self) -> Vec<ProcessTarget> {
        [self.keepers.as_slice(), self.entries.as_slice()].concat()
    }

    /// Sends a GET request to one process and decodes the JSON response.
    ///
    /// The timeout is `timeout_ms` of the settings.
    pub async fn get<T: DeserializeOwned>(
        &self,
        target: &ProcessTarget,
        path: &str,
        query: &[QueryParam],
    ) -> ProcessResponse<T> {
        let timeout = Duration::from_millis(self.settings.timeout_ms);
        let result = match target.url(path, query) {
            Ok(url) => fetch(target.http.get(url).timeout(timeout)).await,
            Err(problem) => Err(problem),
        };
        ProcessResponse {
            address: target.address,
            result,
        }
    }

    /// Sends the same GET request to all targets concurrently.
    ///
    /// The responses are in the order of `targets`.
    pub async fn get_all<T: DeserializeOwned>(
        &self,
        targets: &[ProcessTarget],
        path: &str,
        query: &[QueryParam],
    ) -> Vec<ProcessResponse<T>> {
        let calls = targets.iter().map(|target| self.get(target, path, query));
        future::join_all(calls).await
    }

    /// Sends a GET request to the keepers, one after the other, and returns the first response.
    ///
    /// Fails with [`ToolError::NoAnswer`] if no keeper responds.
    pub async fn get_first<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let mut failures = Vec::new();
        for keeper in &self.keepers {
            match self.get(keeper, path, &[]).await.result {
                Ok(answer) => return Ok(answer),
                Err(failure) => failures.push(format!("{}: {failure}", keeper.address)),
            }
        }
        Err(no_keeper_error(&failures))
    }

    /// Fetches the configuration in force and its head from the first keeper that responds.
    pub async fn get_configuration(&self) -> Result<HeldConfiguration> {
        self.get_first("/held-configuration").await
    }

    /// Sends a change to the first keeper that can be reached.
    ///
    /// The next keeper is tried only if the connection could not be established, because any
    /// other failure may occur after the keeper received the change. Fails with
    /// [`ToolError::NoAnswer`] if no keeper can be reached or the result stays unknown.
    pub async fn send_change<B, T, R>(&self, path: &str, body: &B) -> Result<ChangeOutcome<T, R>>
    where
        B: Serialize,
        T: DeserializeOwned,
        R: DeserializeOwned,
    {
        let mut failures = Vec::new();
        for keeper in &self.keepers {
            let address = keeper.address;
            let url = keeper.url(path, &[]).map_err(ToolError::NoAnswer)?;
            let request = keeper.http.post(url).json(body);
            match request.timeout(CHANGE_TIMEOUT).send().await {
                Ok(response) => return read_change_response(address, response).await,
                Err(error) if error.is_connect() => {
                    failures.push(format!("{address}: {}", describe_error(&error)));
                }
                Err(error) => return Err(unknown_outcome_error(address, &describe_error(&error))),
            }
        }
        Err(no_keeper_error(&failures))
    }
}

/// Sends a request and decodes the JSON response.
async fn fetch<T: DeserializeOwned>(request: RequestBuilder) -> std::result::Result<T, Box<str>> {
    let response = async { request.send().await?.error_for_status()?.json().await };
    response
        .await
        .map_err(|error| describe_error(&error).into())
}

/// Decodes the response to a change.
///
/// The result of the change is unknown if the body cannot be read or decoded.
async fn read_change_response<T, R>(
    address: SocketAddr,
    response: Response,
) -> Result<ChangeOutcome<T, R>>
where
    T: DeserializeOwned,
    R: DeserializeOwned,
{
    let status = response.status();
    let body = response.bytes().await;
    let body = body.map_err(|error| unknown_outcome_error(address, &describe_error(&error)))?;
    let malformed = |error: serde_json::Error| {
        let shown = String::from_utf8_lossy(&body);
        let problem = format!("status {status}, {error}: {}", shown.trim());
        unknown_outcome_error(address, &problem)
    };
    if status == StatusCode::OK {
        let accepted = serde_json::from_slice(&body).map_err(malformed)?;
        return Ok(ChangeOutcome::Accepted(accepted));
    }
    let refused = serde_json::from_slice(&body).map_err(malformed)?;
    Ok(ChangeOutcome::Refused(refused))
}

/// Returns the error for the case that every keeper failed.
fn no_keeper_error(failures: &[String]) -> ToolError {
    let failures = failures.join("; ");
    ToolError::NoAnswer(format!("no keeper answered: {failures}").into())
}

/// Returns the error for a change that was sent without a usable response from the keeper.
fn unknown_outcome_error(address: SocketAddr, problem: &str) -> ToolError {
    let text = format!(
        "the keeper at {address} did not say what came of the change: {problem}; it may yet be \
         accepted: see `wtd status`"
    );
    ToolError::NoAnswer(text.into())
}

/// Describes an error and its root cause. The address is left out since callers print it.
fn describe_error(error: &reqwest::Error) -> String {
    let mut text = match error.status() {
        Some(status) => format!("status {status}"),
        None if error.is_timeout() => "no answer in time".to_string(),
        None if error.is_connect() => "cannot be reached".to_string(),
        None if error.is_decode() => "its answer is malformed".to_string(),
        None => "the call failed".to_string(),
    };
    let mut cause = std::error::Error::source(error);
    let mut root_cause = None;
    while let Some(error) = cause {
        root_cause = Some(error.to_string());
        cause = error.source();
    }
    if let Some(root_cause) = root_cause {
        text.push_str(&format!(" ({root_cause})"));
    }
    text
}
