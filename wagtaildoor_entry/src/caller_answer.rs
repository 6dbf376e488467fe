//! Builds HTTP responses for callers: complete answers, event streams and errors.

use std::{
    fmt::Display,
    time::{
        SystemTime,
        UNIX_EPOCH, //
    },
};

use bytes::Bytes;
use http::{
    header,
    HeaderName,
    HeaderValue,
    Response,
    StatusCode, //
};
use serde::Serialize;
use tokio::sync::mpsc::{
    self,
    Sender, //
};
use wagtaildoor::{
    drain_gate::WorkGuard,
    error::{
        ErrorKind,
        RequestError, //
    },
    ids::{
        RequestId,
        TemplateId, //
    },
    schema::{
        ChatAnswer,
        ChatChoice,
        ChatMessage,
        EngineDone,
        ErrorBody,
        ErrorReport,
        TokenUsage, //
    },
};

use wagtaildoor_daemon::response_body::{
    self,
    ResponseBody, //
};

use crate::{
    caller_body::AnswerFormat,
    model_run::{
        AnswerSource, //
        RunEvent,
    },
    service_run::ServiceReply,
};

/// Data of the event that ends a complete stream.
const STREAM_END_DATA: &str = "[DONE]";
/// Name of the event that ends an incomplete stream.
const ERROR_EVENT_NAME: &str = "error";
/// Stream parts buffered for a slow caller, in addition to the events buffered by the run.
const BUFFERED_PARTS: usize = 1;
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Header that tells whether a failed request ran.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-wagtaildoor-outcome");
/// Header with the id of the endpoint that answered.
const ENDPOINT_HEADER: HeaderName = HeaderName::from_static("x-wagtaildoor-endpoint");
/// Header with the reason why this endpoint was chosen.
const REASON_HEADER: HeaderName = HeaderName::from_static("x-wagtaildoor-reason");
const JSON_MEDIA_TYPE: &str = "application/json";
const EVENT_STREAM_MEDIA_TYPE: &str = "text/event-stream";
const ASSISTANT_ROLE: &str = "assistant";

/// An error response to a caller.
#[derive(Clone, Debug)]
pub struct CallerError {
    /// Id of the failed request.
    pub request: RequestId,
    /// Kind and detail of the error.
    pub error: RequestError,
}

impl CallerError {
    /// Builds the JSON body. Status, outcome and retry delay follow from the kind of the error.
    pub fn body(&self) -> ErrorBody {
        let answer = self.error.kind.answer();
        ErrorBody {
            error: ErrorReport {
                kind: self.error.kind.to_string().into(),
                message: self.error.detail.clone(),
                outcome: answer.outcome.to_string().into(),
                request: self.request.clone(),
                retry_after_s: answer.retry_after.map(|time| time.as_secs()),
            },
        }
    }
}

impl From<CallerError> for Response<ResponseBody> {
    fn from(error: CallerError) -> Self {
        let answer = error.error.kind.answer();
        let mut response =
            response_with_type(JSON_MEDIA_TYPE, ResponseBody::full(to_json(&error.body())));
        *response.status_mut() =
            StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        set_header(&mut response, REQUEST_ID_HEADER, &error.request);
        set_header(&mut response, OUTCOME_HEADER, answer.outcome);
        if let Some(time) = answer.retry_after {
            set_header(&mut response, header::RETRY_AFTER, time.as_secs());
        }
        response
    }
}

/// Builds a `200 OK` response with the given `Content-Type`.
pub fn response_with_type(
    content_type: &'static str,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Sets a header. Characters other than visible ASCII and space become question marks.
fn set_header(response: &mut Response<ResponseBody>, name: HeaderName, value: impl Display) {
    let is_visible = |character: char| character == ' ' || character.is_ascii_graphic();
    let text = value.to_string();
    let text: String = text
        .chars()
        .map(|character| {
            if is_visible(character) {
                character
            } else {
                '?'
            }
        })
        .collect();
    let value = HeaderValue::from_str(&text).expect("visible ASCII is a header's value");
    response.headers_mut().insert(name, value);
}

/// Fields that every chunk of a model's answer repeats.
#[derive(Clone, Debug)]
pub struct AnswerMetadata {
    /// Id of the request, sent as the id of the answer.
    pub request: RequestId,
    /// Template, sent as the model name.
    pub template: TemplateId,
    /// Format in which the text is sent.
    pub format: AnswerFormat,
    /// Creation time in seconds since the Unix epoch.
    pub created_s: u64,
}

impl AnswerMetadata {
    /// Creates the fields for an answer created now.
    pub fn new(request: RequestId, template: TemplateId, format: AnswerFormat) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            request,
            template,
            format,
            created_s: since_epoch.map_or(0, |time| time.as_secs()),
        }
    }

    /// Builds a complete, non-streamed answer.
    pub fn whole_answer(&self, text: &str, done: &EngineDone) -> ChatAnswer {
        let mut choice = empty_choice();
        match self.format {
            AnswerFormat::Chat => choice.message = Some(assistant_message(text)),
            AnswerFormat::Completion => choice.text = Some(text.into()),
        }
        choice.finish_reason = Some("stop".into());
        let mut answer = self.build_answer(choice, "");
        answer.usage = Some(token_usage(done));
        answer.chunks = Some(done.chunks);
        answer
    }

    /// Builds a stream chunk.
    fn chunk(&self, text: &str) -> ChatAnswer {
        let mut choice = empty_choice();
        match self.format {
            AnswerFormat::Chat => choice.delta = Some(assistant_message(text)),
            AnswerFormat::Completion => choice.text = Some(text.into()),
        }
        self.build_answer(choice, ".chunk")
    }

    /// Builds the last chunk, which carries the finish reason and the token usage.
    fn final_chunk(&self, done: &EngineDone) -> ChatAnswer {
        let mut answer = self.chunk("");
        answer.choices[0].finish_reason = Some("stop".into());
        answer.usage = Some(token_usage(done));
        answer.chunks = Some(done.chunks);
        answer
    }

    /// Builds an answer with one choice. The suffix is appended to the object name of chats, where
    /// complete answers and chunks differ.
    fn build_answer(&self, choice: ChatChoice, object_suffix: &str) -> ChatAnswer {
        let object = match self.format {
            AnswerFormat::Chat => format!("chat.completion{object_suffix}"),
            AnswerFormat::Completion => "text_completion".to_string(),
        };
        ChatAnswer {
            choices: vec![choice],
            chunks: None,
            created: self.created_s,
            id: self.request.clone(),
            model: self.template.clone(),
            object: object.into(),
            usage: None,
        }
    }
}

/// Response of a model to a caller.
pub struct ModelReply {
    /// Fields repeated in every chunk.
    pub metadata: AnswerMetadata,
    /// Endpoint that answers, and why it was chosen.
    pub source: AnswerSource,
    /// Complete answer or event stream.
    pub body: ModelBody,
}

/// Body of a model's response.
pub enum ModelBody {
    /// Complete answer, sent as JSON.
    Whole(ChatAnswer),
    /// First event of the stream, receiver of the events after it, and a guard that delays shutdown
    /// until the stream has been sent.
    Stream(RunEvent, mpsc::Receiver<RunEvent>, WorkGuard),
}

impl From<ModelReply> for Response<ResponseBody> {
    fn from(reply: ModelReply) -> Self {
        let request = reply.metadata.request.clone();
        let mut response = match reply.body {
            ModelBody::Whole(answer) => {
                response_with_type(JSON_MEDIA_TYPE, ResponseBody::full(to_json(&answer)))
            }
            ModelBody::Stream(first, events, work) => {
                let (parts, body) = ResponseBody::streamed(BUFFERED_PARTS);
                tokio::spawn(send_events(reply.metadata, first, events, work, parts));
                response_with_type(EVENT_STREAM_MEDIA_TYPE, body)
            }
        };
        set_header(&mut response, REQUEST_ID_HEADER, request);
        set_header(&mut response, ENDPOINT_HEADER, reply.source.endpoint);
        set_header(&mut response, REASON_HEADER, reply.source.reason);
        response
    }
}

/// Sends the events of a run as server-sent events, up to the one that ends the run.
///
/// When the caller disconnects, the receiver is dropped, which cancels the run.
async fn send_events(
    metadata: AnswerMetadata,
    first: RunEvent,
    mut events: mpsc::Receiver<RunEvent>,
    work: WorkGuard,
    parts: Sender<response_body::Result<Bytes>>,
) {
    let mut next = Some(first);
    loop {
        let event = match next.take() {
            Some(event) => event,
            None => tokio::select! {
                event = events.recv() => event.unwrap_or_else(missing_end_event),
                () = parts.closed() => break,
            },
        };
        let is_last = matches!(event, RunEvent::Done(_) | RunEvent::Failed(_));
        let sent = parts.send(Ok(format_event(&metadata, event).into())).await;
        if sent.is_err() || is_last {
            break;
        }
    }
    drop(work);
}

/// Formats an event as server-sent events.
fn format_event(metadata: &AnswerMetadata, event: RunEvent) -> String {
    match event {
        RunEvent::Begun(_) => ":begun\n\n".into(),
        RunEvent::Chunk(text) => format!("data:{}\n\n", to_json(&metadata.chunk(&text))),
        RunEvent::Done(done) => {
            let final_chunk = to_json(&metadata.final_chunk(&done));
            format!("data:{final_chunk}\n\ndata:{STREAM_END_DATA}\n\n")
        }
        RunEvent::Failed(error) => {
            let error = CallerError {
                request: metadata.request.clone(),
                error,
            };
            format!(
                "event:{ERROR_EVENT_NAME}\ndata:{}\n\n",
                to_json(&error.body())
            )
        }
    }
}

/// Event used when a run closes its channel without sending an end event.
pub fn missing_end_event() -> RunEvent {
    let detail = "the request ended without its answer";
    RunEvent::Failed(RequestError::new(ErrorKind::Internal, detail))
}

/// Response of a plain service to a caller.
pub struct ServiceResponse {
    /// Id that is sent to the caller in the `x-request-id` header.
    pub request: RequestId,
    /// Answer of the service and the endpoint that gave it.
    pub reply: ServiceReply,
}

impl From<ServiceResponse> for Response<ResponseBody> {
    fn from(response: ServiceResponse) -> Self {
        let answer = response.reply.answer;
        let endpoint = response.reply.endpoint.as_deref().unwrap_or("record");
        let mut built = response_with_type(
            JSON_MEDIA_TYPE,
            ResponseBody::full(String::from(answer.body)),
        );
        *built.status_mut() =
            StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        if let Ok(content_type) = HeaderValue::from_str(&answer.content_type) {
            built
                .headers_mut()
                .insert(header::CONTENT_TYPE, content_type);
        }
        set_header(&mut built, REQUEST_ID_HEADER, response.request);
        set_header(&mut built, ENDPOINT_HEADER, endpoint);
        set_header(&mut built, REASON_HEADER, response.reply.reason);
        built
    }
}

/// Serializes a value as JSON.
///
/// Panics if the value has a map whose keys are not strings.
pub fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("generated types have text keys only")
}

fn empty_choice() -> ChatChoice {
    ChatChoice {
        delta: None,
        finish_reason: None,
        index: 0,
        message: None,
        text: None,
    }
}

fn assistant_message(text: &str) -> ChatMessage {
    ChatMessage {
        content: text.into(),
        role: ASSISTANT_ROLE.into(),
    }
}

/// Converts the engine's token counts to the usage that callers get.
fn token_usage(done: &EngineDone) -> TokenUsage {
    TokenUsage {
        cached_tokens: done.cached_tokens,
        completion_tokens: done.chunks,
        prompt_tokens: done.prompt_tokens,
        total_tokens: done.prompt_tokens + done.chunks,
    }
}
