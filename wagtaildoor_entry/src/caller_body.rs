//! Reads and checks the bodies of callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use wagtaildoor::{
    error::{
        ErrorKind,
        RequestError,
        Result, //
    },
    ids::TemplateId,
    schema::{
        ChatRequest,
        CompletionRequest,
        ListenSection,
        NamedValue, //
    },
};

/// The shape of the answer a caller expects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerShape {
    /// Chat completion.
    Chat,
    /// Text completion.
    Completion,
}

/// A caller's wish for a model's answer.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// Template it names.
    pub template: TemplateId,
    /// Shape of the answer.
    pub shape: AnswerShape,
    /// Words nobody shares.
    pub caller_text: Box<str>,
    /// Values for the template's parameters.
    pub parameters: Vec<NamedValue>,
    /// The answer goes as a stream.
    pub stream: bool,
    /// Longest answer, in tokens.
    pub max_tokens: Option<u32>,
}

impl From<ChatRequest> for ModelRequest {
    fn from(request: ChatRequest) -> Self {
        let lines: Vec<String> = request
            .messages
            .iter()
            .map(|message| format!("{}: {}", message.role, message.content))
            .collect();
        Self {
            template: request.model,
            shape: AnswerShape::Chat,
            caller_text: lines.join("\n").into(),
            parameters: named_values(request.parameters),
            stream: request.stream,
            max_tokens: request.max_tokens,
        }
    }
}

impl From<CompletionRequest> for ModelRequest {
    fn from(request: CompletionRequest) -> Self {
        Self {
            template: request.model,
            shape: AnswerShape::Completion,
            caller_text: request.prompt,
            parameters: named_values(request.parameters),
            stream: request.stream,
            max_tokens: request.max_tokens,
        }
    }
}

/// Parameters as a list, in the order of their names.
fn named_values(parameters: impl IntoIterator<Item = (String, Box<str>)>) -> Vec<NamedValue> {
    let mut values: Vec<NamedValue> = parameters
        .into_iter()
        .map(|(name, value)| NamedValue {
            name: name.into(),
            value,
        })
        .collect();
    values.sort_by(|left, right| left.name.cmp(&right.name));
    values
}

/// Reads a whole body within the limits of size and time.
pub async fn read_body(body: Incoming, listen: &ListenSection) -> Result<Bytes> {
    let timeout = Duration::from_millis(listen.body_timeout_ms);
    let max_bytes = usize::try_from(listen.body_limit_bytes).unwrap_or(usize::MAX);
    let collected = Limited::new(body, max_bytes).collect();
    let body = tokio::time::timeout(timeout, collected)
        .await
        .map_err(|_| {
            let detail = format!(
                "the body was not complete within {} ms",
                listen.body_timeout_ms
            );
            RequestError::new(ErrorKind::BodyTimeout, detail)
        })?
        .map_err(|error| {
            if error.is::<LengthLimitError>() {
                let detail = format!("the body is larger than {} bytes", listen.body_limit_bytes);
                return RequestError::new(ErrorKind::BodyTooLarge, detail);
            }
            let detail = format!("the body could not be read: {error}");
            RequestError::new(ErrorKind::BadRequest, detail)
        })?;
    Ok(body.to_bytes())
}

/// Reads a body of JSON.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| {
        let detail = format!("the body is not the JSON expected here: {error}");
        RequestError::new(ErrorKind::BadRequest, detail)
    })
}
