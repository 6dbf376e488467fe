//! One timed streaming call, either directly to an engine or through an entry.

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

/// Result of a timed call.
pub type Result<T> = std::result::Result<T, CallFailure>;

/// Reason why a call did not return a complete response.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error)]
pub enum CallFailure {
    /// The request could not be sent, or the connection broke.
    #[display("connection: {_0}")]
    Connection(#[error(not(source))] Box<str>),
    /// The server responded with a status other than success.
    #[display("status {status}: {body}")]
    Status {
        /// HTTP status code.
        status: u16,
        /// Response body.
        body: Box<str>,
    },
    /// The stream closed without its end marker.
    #[display("the stream is not whole")]
    Incomplete,
}

/// Latencies of a call, measured from the start of sending.
#[derive(Clone, Copy, Debug)]
pub struct CallTimes {
    /// Time to the first chunk of the response body.
    pub first_chunk: Duration,
    /// Time to the end of the response body.
    pub whole: Duration,
}

/// Server that a call goes to, with the request it sends.
#[derive(Clone, Debug)]
pub enum CallTarget {
    /// Calls an engine directly.
    Direct {
        /// Base URL of the engine.
        url: Box<str>,
        /// Request to send; its ids are replaced for each call.
        request: Box<EngineRequest>,
    },
    /// Calls through an entry.
    Entry {
        /// Base URL of the entry.
        url: Box<str>,
        /// Bearer token of the client account.
        token: Box<str>,
        /// Template to request.
        template: Box<str>,
        /// The caller's own prompt, without the template's shared text.
        prompt: Box<str>,
        /// Maximum length of the answer, in tokens.
        max_tokens: u32,
    },
}

impl CallTarget {
    /// Sends one request and reads the response to its end; fails when the stream is incomplete.
    pub async fn call(&self, client: &Client) -> Result<CallTimes> {
        let started = Instant::now();
        let mut response = self
            .request(client)
            .send()
            .await
            .map_err(connection_error)?;
        let status = response.status();
        if !status.is_success() {
            let body = response.text().await.map_err(connection_error)?;
            return Err(CallFailure::Status {
                status: status.as_u16(),
                body: body.into(),
            });
        }
        let mut first_chunk = None;
        let mut body_bytes = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(connection_error)? {
            first_chunk.get_or_insert_with(|| started.elapsed());
            body_bytes.extend_from_slice(&chunk);
        }
        let whole = started.elapsed();
        let text = String::from_utf8_lossy(&body_bytes);
        match first_chunk {
            Some(first_chunk) if text.contains(self.end_marker()) => {
                Ok(CallTimes { first_chunk, whole })
            }
            _ => Err(CallFailure::Incomplete),
        }
    }

    /// Builds the request; direct calls get fresh request and attempt ids.
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

    /// Text that occurs only at the end of a complete stream.
    const fn end_marker(&self) -> &'static str {
        match self {
            CallTarget::Direct { .. } => "\"done\":{",
            CallTarget::Entry { .. } => "[DONE]",
        }
    }
}

/// Converts a transport error of the HTTP client.
fn connection_error(error: reqwest::Error) -> CallFailure {
    CallFailure::Connection(error.to_string().into())
}
