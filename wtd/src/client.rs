//! Calls to keepers and entries.

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

/// Longest wait for a keeper to take a change: it reads back from the log, and then waits for
/// other hosts.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Name and value of a query's parameter.
#[derive(Clone, Debug)]
pub struct QueryParam {
    /// Name.
    pub name: &'static str,
    /// Value.
    pub value: String,
}

/// What one process answered.
#[derive(Clone, Debug)]
pub struct ProcessResponse<T> {
    /// Address of the process.
    pub address: SocketAddr,
    /// Its answer, or why there is none.
    pub result: std::result::Result<T, Box<str>>,
}

/// What came of a change.
#[derive(Clone, Debug)]
pub enum ChangeOutcome<T, R> {
    /// The keeper accepted it.
    Accepted(T),
    /// The keeper did not accept it, and says why.
    Refused(R),
}

/// Calls to the processes that the settings name.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    /// Keepers, in order of preference.
    pub keepers: Vec<ProcessTarget>,
    /// Entries.
    pub entries: Vec<ProcessTarget>,
    /// Who calls, and where the processes are.
    pub settings: OperatorSection,
}

impl OperatorClient {
    /// A client by the settings.
    pub fn new(settings: OperatorSection) -> Result<Self> {
        Ok(Self {
            keepers: ProcessTarget::keepers(&settings)?,
            entries: ProcessTarget::entries(&settings)?,
            settings,
        })
    }

    /// All keepers, then all entries.
    pub fn processes(&self) -> Vec<ProcessTarget> {
        [self.keepers.as_slice(), self.entries.as_slice()].concat()
    }

    /// Asks one process.
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

    /// Asks all processes at once.
    pub async fn get_all<T: DeserializeOwned>(
        &self,
        targets: &[ProcessTarget],
        path: &str,
        query: &[QueryParam],
    ) -> Vec<ProcessResponse<T>> {
        let calls = targets.iter().map(|target| self.get(target, path, query));
        future::join_all(calls).await
    }

    /// Asks the keepers in their order until one answers.
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

    /// The configuration in force with its head, as the first keeper that answers holds it.
    pub async fn get_configuration(&self) -> Result<HeldConfiguration> {
        self.get_first("/held-configuration").await
    }

    /// Sends a change to the first keeper that can be reached.
    ///
    /// Another keeper is tried only when the first certainly did not get the change.
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

/// Sends a request and reads its answer.
async fn fetch<T: DeserializeOwned>(request: RequestBuilder) -> std::result::Result<T, Box<str>> {
    let response = async { request.send().await?.error_for_status()?.json().await };
    response
        .await
        .map_err(|error| describe_error(&error).into())
}

/// Reads the answer to a change.
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

/// The error when no keeper could be reached.
fn no_keeper_error(failures: &[String]) -> ToolError {
    let failures = failures.join("; ");
    ToolError::NoAnswer(format!("no keeper answered: {failures}").into())
}

/// The error when a keeper has a change and did not say what came of it.
fn unknown_outcome_error(address: SocketAddr, problem: &str) -> ToolError {
    let text = format!(
        "the keeper at {address} did not say what came of the change: {problem}; it may yet be \
         accepted: see `wtd status`"
    );
    ToolError::NoAnswer(text.into())
}

/// An error with the causes below it, without the address, which is shown beside it.
fn describe_error(error: &reqwest::Error) -> String {
    let mut text = match error.status() {
        Some(status) => format!("status {status}"),
        None if error.is_timeout() => "no answer in time".to_string(),
        None if error.is_connect() => "cannot be reached".to_string(),
        None if error.is_decode() => "its answer is malformed".to_string(),
        None => "the call failed".to_string(),
    };
    let mut cause = std::error::Error::source(error);
    let mut deepest = None;
    while let Some(error) = cause {
        deepest = Some(error.to_string());
        cause = error.source();
    }
    if let Some(deepest) = deepest {
        text.push_str(&format!(" ({deepest})"));
    }
    text
}
