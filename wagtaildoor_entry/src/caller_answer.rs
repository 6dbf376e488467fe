//! What callers get: whole answers, streams, and errors from the table.

use std::{
    io::Cursor,
    time::{
        SystemTime,
        UNIX_EPOCH, //
    },
};

use futures_util::{
    stream,
    Stream, //
};
use rocket::{
    http::{
        ContentType,
        Status, //
    },
    request::Request,
    response::{
        self,
        content::RawJson,
        stream::{
            Event,
            EventStream, //
        },
        Responder,
        Response, //
    },
};
use serde::Serialize;
use tokio::sync::mpsc;
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

use crate::{
    caller_body::AnswerShape,
    model_run::{
        RunEvent,
        RunStart, //
    },
    service_run::ServiceReply,
};

/// Data of the last event of a whole stream.
const STREAM_END: &str = "[DONE]";
/// Name of the event that ends a stream which cannot be completed.
const ERROR_EVENT: &str = "error";
/// Role of the answer's message.
const ROLE: &str = "assistant";

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

impl<'r> Responder<'r, 'static> for CallerError {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'static> {
        let answer = self.error.kind.answer();
        let mut response = RawJson(json(&self.body())).respond_to(request)?;
        response.set_status(Status::new(answer.status));
        response.set_raw_header("x-request-id", self.request.to_string());
        response.set_raw_header("x-wagtaildoor-outcome", answer.outcome.to_string());
        if let Some(time) = answer.retry_after {
            response.set_raw_header("retry-after", time.as_secs().to_string());
        }
        Ok(response)
    }
}

/// Names that every piece of a model's answer carries.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// Request.
    pub request: RequestId,
    /// Template.
    pub template: TemplateId,
    /// Shape of the answer.
    pub shape: AnswerShape,
    /// When the request came, in seconds since the Unix epoch.
    pub created_s: u64,
}

impl AnswerHead {
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
    pub fn whole(&self, text: &str, done: &EngineDone) -> ChatAnswer {
        let mut choice = empty_choice();
        match self.shape {
            AnswerShape::Chat => choice.message = Some(message(text)),
            AnswerShape::Completion => choice.text = Some(text.into()),
        }
        choice.finish_reason = Some("stop".into());
        let mut answer = self.answer(choice, "");
        answer.usage = Some(usage(done));
        answer.chunks = Some(done.chunks);
        answer
    }

    /// The next piece of a stream.
    fn piece(&self, text: &str) -> ChatAnswer {
        let mut choice = empty_choice();
        match self.shape {
            AnswerShape::Chat => choice.delta = Some(message(text)),
            AnswerShape::Completion => choice.text = Some(text.into()),
        }
        self.answer(choice, ".chunk")
    }

    /// The last piece of a stream.
    fn last(&self, done: &EngineDone) -> ChatAnswer {
        let mut answer = self.piece("");
        answer.choices[0].finish_reason = Some("stop".into());
        answer.usage = Some(usage(done));
        answer.chunks = Some(done.chunks);
        answer
    }

    /// An answer with one choice; pieces of a chat have an object name of their own.
    fn answer(&self, choice: ChatChoice, piece: &str) -> ChatAnswer {
        let object = match self.shape {
            AnswerShape::Chat => format!("chat.completion{piece}"),
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
    pub head: AnswerHead,
    /// Where the answer comes from.
    pub start: RunStart,
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

impl<'r> Responder<'r, 'r> for ModelReply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'r> {
        let id = self.head.request.to_string();
        let mut response = match self.body {
            ModelBody::Whole(answer) => RawJson(json(&answer)).respond_to(request)?,
            ModelBody::Stream(first, events, work) => {
                let pieces = stream_events(self.head, first, events, work);
                EventStream::from(pieces).respond_to(request)?
            }
        };
        response.set_raw_header("x-request-id", id);
        response.set_raw_header("x-wagtaildoor-endpoint", self.start.endpoint.to_string());
        response.set_raw_header("x-wagtaildoor-reason", header_text(&self.start.reason));
        Ok(response)
    }
}

/// Where a stream to a caller stands.
enum StreamPlace {
    /// An event is at hand.
    Event(RunEvent),
    /// The next event is to come.
    Waiting,
    /// The answer is whole; the end is to be sent.
    Ending,
    /// Everything was sent.
    Over,
}

/// Server-sent events of a run; the last one says how the run ended.
fn stream_events(
    head: AnswerHead,
    first: RunEvent,
    events: mpsc::Receiver<RunEvent>,
    work: WorkGuard,
) -> impl Stream<Item = Event> {
    let start = (head, StreamPlace::Event(first), events, work);
    stream::unfold(start, |(head, place, mut events, work)| async move {
        let event = match place {
            StreamPlace::Event(event) => event,
            StreamPlace::Waiting => events.recv().await.unwrap_or_else(lost_run),
            StreamPlace::Ending => {
                let over = (head, StreamPlace::Over, events, work);
                return Some((Event::data(STREAM_END), over));
            }
            StreamPlace::Over => return None,
        };
        let (sent, place) = sent_event(&head, event);
        Some((sent, (head, place, events, work)))
    })
}

/// The event a caller gets, and where the stream stands after it.
fn sent_event(head: &AnswerHead, event: RunEvent) -> (Event, StreamPlace) {
    match event {
        RunEvent::Begun(_) => (Event::comment("begun"), StreamPlace::Waiting),
        RunEvent::Chunk(text) => {
            let piece = json(&head.piece(&text));
            (Event::data(piece), StreamPlace::Waiting)
        }
        RunEvent::Done(done) => {
            let last = json(&head.last(&done));
            (Event::data(last), StreamPlace::Ending)
        }
        RunEvent::Failed(error) => {
            let error = CallerError {
                request: head.request.clone(),
                error,
            };
            let data = json(&error.body());
            (Event::data(data).event(ERROR_EVENT), StreamPlace::Over)
        }
    }
}

/// The event when a run ended without saying how.
pub fn lost_run() -> RunEvent {
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

impl<'r> Responder<'r, 'static> for ServiceResponse {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        let answer = self.reply.answer;
        let endpoint = self.reply.endpoint.as_deref().unwrap_or("record");
        let media = ContentType::parse_flexible(&answer.content_type).unwrap_or(ContentType::JSON);
        let body = String::from(answer.body);
        Response::build()
            .status(Status::new(answer.status))
            .header(media)
            .raw_header("x-request-id", self.request.to_string())
            .raw_header("x-wagtaildoor-endpoint", endpoint.to_string())
            .raw_header("x-wagtaildoor-reason", header_text(&self.reply.reason))
            .sized_body(body.len(), Cursor::new(body))
            .ok()
    }
}

/// A value as JSON.
fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("generated types have text keys only")
}

/// A sentence as the value of a header, which takes visible ASCII only.
fn header_text(sentence: &str) -> String {
    let visible = |letter: char| letter == ' ' || letter.is_ascii_graphic();
    sentence
        .chars()
        .map(|letter| if visible(letter) { letter } else { '?' })
        .collect()
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
fn message(text: &str) -> ChatMessage {
    ChatMessage {
        content: text.into(),
        role: ROLE.into(),
    }
}

/// Tokens as a caller sees them.
fn usage(done: &EngineDone) -> TokenUsage {
    TokenUsage {
        cached_tokens: done.cached_tokens,
        completion_tokens: done.chunks,
        prompt_tokens: done.prompt_tokens,
        total_tokens: done.prompt_tokens + done.chunks,
    }
}
