//! One streamed call, direct to an engine or through an entry, with its times.

use std::time::{
    Duration,
    Instant, //
};

use reqwest::{
    Client,
    RequestBuilder, //
};
use serde_json::json;
use uuid::Uuid;
use wagtaildoor::schema::EngineRequest;

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallFailure>;

/// Why a call did not give a whole answer.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error)]
pub enum CallFailure {
    /// The connection failed.
    #[display("connection: {_0}")]
    Connection(#[error(not(source))] Box<str>),
    /// The answer is a refusal.
    #[display("status {status}: {body}")]
    Status {
        /// HTTP status.
        status: u16,
        /// What it says.
        body: Box<str>,
    },
    /// The stream ended before its end.
    #[display("the stream is not whole")]
    NotWhole,
}

/// Times of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallTimes {
    /// Until the first piece of the answer.
    pub first: Duration,
    /// Until the end of the answer.
    pub whole: Duration,
}

/// Where calls go.
#[derive(Clone, Debug)]
pub enum CallTarget {
    /// To an engine.
    Direct {
        /// URL of the engine.
        url: Box<str>,
        /// What is sent, but for its ids.
        request: Box<EngineRequest>,
    },
    /// Through an entry.
    Entry {
        /// URL of the entry.
        url: Box<str>,
        /// Bearer token of the account.
        token: Box<str>,
        /// Template.
        template: Box<str>,
        /// The caller's own words.
        prompt: Box<str>,
        /// Longest answer, in tokens.
        max_tokens: u32,
    },
}

impl CallTarget {
    /// Makes one call and reads its answer to the end.
    pub async fn call(&self, client: &Client) -> Result<CallTimes> {
        let begun = Instant::now();
        let mut response = self.request(client).send().await.map_err(broken)?;
        let status = response.status();
        if !status.is_success() {
            let body = response.text().await.map_err(broken)?;
            return Err(CallFailure::Status {
                status: status.as_u16(),
                body: body.into(),
            });
        }
        let mut first = None;
        let mut tail = Vec::new();
        while let Some(piece) = response.chunk().await.map_err(broken)? {
            first.get_or_insert_with(|| begun.elapsed());
            tail.extend_from_slice(&piece);
        }
        let whole = begun.elapsed();
        let text = String::from_utf8_lossy(&tail);
        match first {
            Some(first) if text.contains(self.end_mark()) => Ok(CallTimes { first, whole }),
            _ => Err(CallFailure::NotWhole),
        }
    }

    /// The call with ids of its own.
    fn request(&self, client: &Client) -> RequestBuilder {
        match self {
            CallTarget::Direct { url, request } => {
                let request = EngineRequest {
                    request_id: Uuid::now_v7().to_string().into(),
                    attempt_id: Uuid::now_v7().to_string().into(),
                    ..EngineRequest::clone(request)
                };
                client.post(format!("{url}/generate")).json(&request)
            }
            CallTarget::Entry {
                url,
                token,
                template,
                prompt,
                max_tokens,
            } => client
                .post(format!("{url}/v1/completions"))
                .bearer_auth(token)
                .json(&json!({
                    "model": template,
                    "prompt": prompt,
                    "max_tokens": max_tokens,
                    "stream": true,
                })),
        }
    }

    /// What only a whole stream contains.
    const fn end_mark(&self) -> &'static str {
        match self {
            CallTarget::Direct { .. } => "\"done\":{",
            CallTarget::Entry { .. } => "[DONE]",
        }
    }
}

/// Words for an error of the client.
fn broken(error: reqwest::Error) -> CallFailure {
    CallFailure::Connection(error.to_string().into())
}
