//! What callers get: whole answers, streams, and errors from the table.

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
    caller_body::AnswerShape,
    model_run::{
        AnswerSource, //
        RunEvent,
    },
    service_run::ServiceReply,
};

/// Data of the last event of a whole stream.
const STREAM_END_DATA: &str = "[DONE]";
/// Name of the event that ends a stream which cannot be completed.
const ERROR_EVENT_NAME: &str = "error";
/// Parts of a stream held for a slow caller, beside those that the run holds.
const BUFFERED_PARTS: usize = 1;
/// Header with the request's id.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the outcome of a refusal.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-wagtaildoor-outcome");
/// Header with the endpoint that answers.
const ENDPOINT_HEADER: HeaderName = HeaderName::from_static("x-wagtaildoor-endpoint");
/// Header with the reason for the endpoint.
const REASON_HEADER: HeaderName = HeaderName::from_static("x-wagtaildoor-reason");
/// Media type of JSON.
const JSON_MEDIA_TYPE: &str = "application/json";
/// Media type of server-sent events.
const EVENT_STREAM_MEDIA_TYPE: &str = "text/event-stream";
/// Role of the answer's message.
const ASSISTANT_ROLE: &str = "assistant";

/// An error with the request it belongs to.
#[derive(Clone, Debug)]
pub struct CallerError {
    /// Request.
    pub request: RequestId,
    /// What went wrong.
    pub error: RequestError,
}

impl CallerError {
    /// The body a caller gets.
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

/// An answer of a media type.
pub fn response_with_type(media: &'static str, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    let media = HeaderValue::from_static(media);
    response.headers_mut().insert(header::CONTENT_TYPE, media);
    response
}

/// Sets a header; other letters than visible ASCII become question marks.
fn set_header(response: &mut Response<ResponseBody>, name: HeaderName, value: impl Display) {
    let visible = |character: char| character == ' ' || character.is_ascii_graphic();
    let text = value.to_string();
    let text: String = text
        .chars()
        .map(|character| if visible(character) { character } else { '?' })
        .collect();
    let value = HeaderValue::from_str(&text).expect("visible ASCII is a header's value");
    response.headers_mut().insert(name, value);
}

/// Names that every piece of a model's answer carries.
#[derive(Clone, Debug)]
pub struct AnswerMetadata {
    /// Request.
    pub request: RequestId,
    /// Template.
    pub template: TemplateId,
    /// Shape of the answer.
    pub shape: AnswerShape,
    /// When the request came, in seconds since the Unix epoch.
    pub created_s: u64,
}

impl AnswerMetadata {
    /// The head of an answer that begins now.
    pub fn new(request: RequestId, template: TemplateId, shape: AnswerShape) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            request,
            template,
            shape,
            created_s: since_epoch.map_or(0, |time| time.as_secs()),
        }
    }

    /// A whole answer.
    pub fn whole_answer(&self, text: &str, done: &EngineDone) -> ChatAnswer {
        let mut choice = empty_choice();
        match self.shape {
            AnswerShape::Chat => choice.message = Some(assistant_message(text)),
            AnswerShape::Completion => choice.text = Some(text.into()),
        }
        choice.finish_reason = Some("stop".into());
        let mut answer = self.build_answer(choice, "");
        answer.usage = Some(token_usage(done));
        answer.chunks = Some(done.chunks);
        answer
    }

    /// The next piece of a stream.
    fn chunk(&self, text: &str) -> ChatAnswer {
        let mut choice = empty_choice();
        match self.shape {
            AnswerShape::Chat => choice.delta = Some(assistant_message(text)),
            AnswerShape::Completion => choice.text = Some(text.into()),
        }
        self.build_answer(choice, ".chunk")
    }

    /// The last piece of a stream.
    fn final_chunk(&self, done: &EngineDone) -> ChatAnswer {
        let mut answer = self.chunk("");
        answer.choices[0].finish_reason = Some("stop".into());
        answer.usage = Some(token_usage(done));
        answer.chunks = Some(done.chunks);
        answer
    }

    /// An answer with one choice; pieces of a chat have an object name of their own.
    fn build_answer(&self, choice: ChatChoice, object_suffix: &str) -> ChatAnswer {
        let object = match self.shape {
            AnswerShape::Chat => format!("chat.completion{object_suffix}"),
            AnswerShape::Completion => "text_completion".to_string(),
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

/// A model's answer on its way to the caller.
pub struct ModelReply {
    /// Names on every piece.
    pub metadata: AnswerMetadata,
    /// Where the answer comes from.
    pub source: AnswerSource,
    /// The answer.
    pub body: ModelBody,
}

/// A whole answer, or a stream of pieces.
pub enum ModelBody {
    /// Whole answer, in JSON.
    Whole(ChatAnswer),
    /// First event of the stream, the events after it, and what holds a shutdown off.
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

/// Sends the events of a run; the last one says how the run ended. A caller that has gone drops
/// the events, which ends the run.
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

/// The text of an event as a caller gets it.
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

/// The event when a run ended without saying how.
pub fn missing_end_event() -> RunEvent {
    let detail = "the request ended without its answer";
    RunEvent::Failed(RequestError::new(ErrorKind::Internal, detail))
}

/// A plain service's answer on its way to the caller.
pub struct ServiceResponse {
    /// Request.
    pub request: RequestId,
    /// Answer.
    pub reply: ServiceReply,
}

impl From<ServiceResponse> for Response<ResponseBody> {
    fn from(response: ServiceResponse) -> Self {
        let answer = response.reply.answer;
        let endpoint = response.reply.endpoint.as_deref().unwrap_or("record");
        let mut built = response_with_type(
            JSON_MEDIA_TYPE, ResponseBody::full(String::from(answer.body)),
        );
        *built.status_mut() =
            StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        if let Ok(media) = HeaderValue::from_str(&answer.content_type) {
            built.headers_mut().insert(header::CONTENT_TYPE, media);
        }
        set_header(&mut built, REQUEST_ID_HEADER, response.request);
        set_header(&mut built, ENDPOINT_HEADER, endpoint);
        set_header(&mut built, REASON_HEADER, response.reply.reason);
        built
    }
}

/// A value as JSON.
pub fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("generated types have text keys only")
}

/// A choice without content.
fn empty_choice() -> ChatChoice {
    ChatChoice {
        delta: None,
        finish_reason: None,
        index: 0,
        message: None,
        text: None,
    }
}

/// A message of the model.
fn assistant_message(text: &str) -> ChatMessage {
    ChatMessage {
        content: text.into(),
        role: ASSISTANT_ROLE.into(),
    }
}

/// Tokens as a caller sees them.
fn token_usage(done: &EngineDone) -> TokenUsage {
    TokenUsage {
        cached_tokens: done.cached_tokens,
        completion_tokens: done.chunks,
        prompt_tokens: done.prompt_tokens,
        total_tokens: done.prompt_tokens + done.chunks,
    }
}
