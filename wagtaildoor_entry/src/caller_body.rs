//! Reads and parses request bodies of callers.

use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tokio::time;
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
use wagtaildoor_daemon::request_body::{
    self,
    BodyError, //
};

/// Format of a model's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFormat {
    /// Chat completion, with messages and roles.
    Chat,
    /// Text completion, with text only.
    Completion,
}

/// A parsed chat or text completion request.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// Template to use, taken from the `model` field.
    pub template: TemplateId,
    /// Format of the answer, which follows from the API that the caller used.
    pub format: AnswerFormat,
    /// Text of this request, which follows the shared levels of the prompt.
    pub caller_text: Box<str>,
    /// Values for the template's parameters.
    pub parameters: Vec<NamedValue>,
    /// Whether the answer is sent as a stream.
    pub stream: bool,
    /// Maximum length of the answer in tokens. `None` selects the limit of the template.
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
            format: AnswerFormat::Chat,
            caller_text: lines.join("\n").into(),
            parameters: sort_parameters(request.parameters),
            stream: request.stream,
            max_tokens: request.max_tokens,
        }
    }
}

impl From<CompletionRequest> for ModelRequest {
    fn from(request: CompletionRequest) -> Self {
        Self {
            template: request.model,
            format: AnswerFormat::Completion,
            caller_text: request.prompt,
            parameters: sort_parameters(request.parameters),
            stream: request.stream,
            max_tokens: request.max_tokens,
        }
    }
}

/// Converts parameters to a list sorted by name.
fn sort_parameters(parameters: impl IntoIterator<Item = (String, Box<str>)>) -> Vec<NamedValue> {
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

/// Reads a complete body. The rest of one that is too large is discarded in the background.
///
/// Fails with `BodyTooLarge` or `BodyTimeout` if the body exceeds the limits of the settings.
pub async fn read_body(mut body: Incoming, listen: &ListenSection) -> Result<Bytes> {
    let timeout = Duration::from_millis(listen.body_timeout_ms);
    let max_bytes = usize::try_from(listen.body_limit_bytes).unwrap_or(usize::MAX);
    let result = time::timeout(timeout, request_body::read_limited(&mut body, max_bytes)).await;
    match result {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(BodyError::TooLarge)) => {
            tokio::spawn(request_body::discard(body));
            let detail = format!("the body is larger than {} bytes", listen.body_limit_bytes);
            Err(RequestError::new(ErrorKind::BodyTooLarge, detail))
        }
        Ok(Err(BodyError::Unreadable(error))) => {
            let detail = format!("the body could not be read: {error}");
            Err(RequestError::new(ErrorKind::BadRequest, detail))
        }
        Err(_) => {
            let detail = format!(
                "the body was not complete within {} ms",
                listen.body_timeout_ms
            );
            Err(RequestError::new(ErrorKind::BodyTimeout, detail))
        }
    }
}

/// Parses a JSON body, or returns a `BadRequest` error.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| {
        let detail = format!("the body is not the JSON expected here: {error}");
        RequestError::new(ErrorKind::BadRequest, detail)
    })
}
