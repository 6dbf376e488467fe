//! Routes of the entry.

use std::sync::Arc;

use rocket::{
    catch,
    catchers,
    data::Data,
    get,
    http::{
        ContentType,
        Status, //
    },
    post,
    routes,
    serde::json::Json,
    Build,
    Catcher,
    Request,
    Rocket,
    Route,
    State, //
};
use tokio::sync::mpsc;
use wagtaildoor::{
    claim_key,
    error::{
        ErrorKind,
        RequestError,
        Result, //
    },
    ids::{
        RequestId,
        RequestKey, //
    },
    prompt,
    schema::{
        ChatRequest,
        CompletionRequest,
        EventKind,
        EventPage,
        PoolKind,
        Template, //
    },
    timeline::EventDraft,
};
use wagtaildoor_daemon::timeline_query::TimelineQuery;

use crate::{
    access,
    caller_answer::{
        self,
        AnswerHead,
        CallerError,
        ModelBody,
        ModelReply,
        ServiceResponse, //
    },
    caller_body::{
        self,
        ModelWish, //
    },
    caller_head::CallerHead,
    model_run::{
        ModelRun,
        RunEvent, //
    },
    request_scope::{
        self,
        RequestScope, //
    },
    service_run::ServiceRun,
    state::EntryState, //
};

/// Room for the last event of a run, beside the pieces that wait for a slow reader.
const LAST_EVENT: usize = 1;

/// State as routes get it.
type Shared = State<Arc<EntryState>>;
/// Result of a route.
type Answer<T> = std::result::Result<T, CallerError>;

/// Adds routes and error answers to a server.
pub fn mount(server: Rocket<Build>) -> Rocket<Build> {
    server.mount("/", all()).register("/", fallbacks())
}

/// All routes.
fn all() -> Vec<Route> {
    routes![chat, completion, service, health, ready, metrics, timeline]
}

/// Answers where no route fits.
fn fallbacks() -> Vec<Catcher> {
    catchers![no_route]
}

/// Chat completion.
#[post("/v1/chat/completions", data = "<data>")]
async fn chat(state: &Shared, head: CallerHead, data: Data<'_>) -> Answer<ModelReply> {
    let scope = RequestScope::start(state);
    let request = scope.request.clone();
    let wish = read_wish::<ChatRequest>(state, &head, data).await;
    answer_model(scope, head, wish)
        .await
        .map_err(|error| refuse(state, request, error))
}

/// Text completion.
#[post("/v1/completions", data = "<data>")]
async fn completion(state: &Shared, head: CallerHead, data: Data<'_>) -> Answer<ModelReply> {
    let scope = RequestScope::start(state);
    let request = scope.request.clone();
    let wish = read_wish::<CompletionRequest>(state, &head, data).await;
    answer_model(scope, head, wish)
        .await
        .map_err(|error| refuse(state, request, error))
}

/// Call of a plain service.
#[post("/v1/services/<template>", data = "<data>")]
async fn service(
    state: &Shared,
    template: &str,
    head: CallerHead,
    data: Data<'_>,
) -> Answer<ServiceResponse> {
    let scope = RequestScope::start(state);
    let request = scope.request.clone();
    let body = read_body(state, &head, data).await;
    answer_service(scope, template, head, body)
        .await
        .map_err(|error| refuse(state, request, error))
}

/// The process runs.
#[get("/health")]
fn health() -> &'static str {
    "ok\n"
}

/// The balancer may send requests here.
#[get("/ready")]
fn ready(state: &Shared) -> (Status, &'static str) {
    if state.gate.is_leaving() {
        return (Status::ServiceUnavailable, "leaving\n");
    }
    if state.view.borrow().is_none() {
        return (Status::ServiceUnavailable, "no configuration yet\n");
    }
    (Status::Ok, "ready\n")
}

/// Metrics, as text.
#[get("/metrics")]
fn metrics(state: &Shared) -> (ContentType, String) {
    (ContentType::Plain, state.metrics.text())
}

/// Events of this process.
#[get("/timeline?<query..>")]
fn timeline(state: &Shared, query: TimelineQuery) -> Json<EventPage> {
    Json(state.recorder.page(&query.into()))
}

/// No route fits, or the server met a fault.
#[catch(default)]
fn no_route(status: Status, request: &Request<'_>) -> CallerError {
    let kind = match status.code {
        404 | 405 => ErrorKind::UnknownRoute,
        400..=499 => ErrorKind::BadRequest,
        _ => ErrorKind::Internal,
    };
    let detail = format!("{} {}: {status}", request.method(), request.uri().path());
    CallerError {
        request: request_scope::new_request(),
        error: RequestError::new(kind, detail),
    }
}

/// Reads a model's request.
async fn read_wish<T>(state: &Shared, head: &CallerHead, data: Data<'_>) -> Result<ModelWish>
where
    T: serde::de::DeserializeOwned + Into<ModelWish>,
{
    let body = read_body(state, head, data).await?;
    let request: T = caller_body::parse(&body)?;
    let wish: ModelWish = request.into();
    if wish.max_tokens == Some(0) {
        let detail = "\"max_tokens\" is 0; an answer has at least one token";
        return Err(RequestError::new(ErrorKind::BadRequest, detail));
    }
    Ok(wish)
}

/// Reads the body of a caller that has an account.
async fn read_body(state: &Shared, head: &CallerHead, data: Data<'_>) -> Result<Vec<u8>> {
    let held = state.held_view()?;
    access::account(&held.view.configuration, head.token.as_deref())?;
    caller_body::read(data, &state.settings.listen).await
}

/// Runs a model's request, and waits until its answer begins or is whole.
async fn answer_model(
    scope: RequestScope,
    head: CallerHead,
    wish: Result<ModelWish>,
) -> Result<ModelReply> {
    let wish = wish?;
    let request = scope.request.clone();
    let stream = wish.stream;
    // A stream is work until its last piece has gone out, which is after the end of its run.
    let work = scope.state.gate.start();
    let head_of_answer = AnswerHead::new(request, wish.template.clone(), wish.shape);
    let mut events = start_model(scope, &head, wish)?;
    let mut start = None;
    let mut text = String::new();
    loop {
        let event = events.recv().await.unwrap_or_else(caller_answer::lost_run);
        match (event, &start) {
            (RunEvent::Failed(error), _) => return Err(error),
            (RunEvent::Begun(begun), _) => start = Some(begun),
            (RunEvent::Chunk(piece), Some(start)) if stream => {
                return Ok(ModelReply {
                    head: head_of_answer,
                    start: start.clone(),
                    body: ModelBody::Stream(RunEvent::Chunk(piece), events, work),
                });
            }
            (RunEvent::Chunk(piece), _) => text.push_str(&piece),
            (RunEvent::Done(done), Some(start)) if stream => {
                return Ok(ModelReply {
                    head: head_of_answer,
                    start: start.clone(),
                    body: ModelBody::Stream(RunEvent::Done(done), events, work),
                });
            }
            (RunEvent::Done(done), Some(start)) => {
                let answer = head_of_answer.whole(&text, &done);
                return Ok(ModelReply {
                    head: head_of_answer,
                    start: start.clone(),
                    body: ModelBody::Whole(answer),
                });
            }
            (RunEvent::Done(_), None) => {
                let detail = "the endpoint gave an empty answer";
                return Err(RequestError::new(ErrorKind::EndpointFailed, detail));
            }
        }
    }
}

/// Checks a model's request and starts its run.
fn start_model(
    scope: RequestScope,
    head: &CallerHead,
    wish: ModelWish,
) -> Result<mpsc::Receiver<RunEvent>> {
    let state = Arc::clone(&scope.state);
    let held = state.held_view()?;
    let configuration = &held.view.configuration;
    let grant = access::grant(
        configuration,
        head.token.as_deref(),
        &wish.template,
        PoolKind::Model,
    )?;
    let prompt = prompt::render(
        configuration,
        grant.template,
        grant.account,
        &wish.parameters,
        &wish.own_words,
    )?;
    scope.note_received(grant);
    let buffer = state.settings.limits.stream_buffer_chunks as usize;
    let (events, receiver) = mpsc::channel(buffer + LAST_EVENT);
    let limit = grant.template.max_tokens;
    let run = ModelRun {
        context: scope.context(grant),
        events,
        max_tokens: wish.max_tokens.map_or(limit, |wanted| wanted.min(limit)),
        prompt,
    };
    state.runs.spawn(async move {
        run.run().await;
        drop(scope);
    });
    Ok(receiver)
}

/// Runs a call of a plain service; the run goes on when the caller has gone.
async fn answer_service(
    scope: RequestScope,
    template: &str,
    head: CallerHead,
    body: Result<Vec<u8>>,
) -> Result<ServiceResponse> {
    let keyed = head.key.is_some();
    let request = scope.request.clone();
    let state = Arc::clone(&scope.state);
    let run =
        service_run(&scope, template, head, body).map_err(|error| before_claim(error, keyed))?;
    let task = state.runs.spawn(async move {
        let result = run.run().await;
        drop(scope);
        result
    });
    let reply = task.await.map_err(|error| {
        let detail = format!("the request's task failed: {error}");
        RequestError::new(ErrorKind::Internal, detail)
    })??;
    Ok(ServiceResponse { request, reply })
}

/// Checks a call of a plain service.
fn service_run(
    scope: &RequestScope,
    template: &str,
    head: CallerHead,
    body: Result<Vec<u8>>,
) -> Result<ServiceRun> {
    let body = body?;
    let state = Arc::clone(&scope.state);
    let held = state.held_view()?;
    let configuration = &held.view.configuration;
    let token = head.token.as_deref();
    let grant = access::grant(configuration, token, template, PoolKind::Service)?;
    let value: serde_json::Value = caller_body::parse(&body)?;
    let key = checked_key(grant.template, head.key)?;
    scope.note_received(grant);
    Ok(ServiceRun {
        body: value.to_string().into(),
        context: scope.context(grant),
        key,
    })
}

/// The one spelling of a request's key; non-idempotent requests must have one.
fn checked_key(template: &Template, key: Option<Box<str>>) -> Result<Option<RequestKey>> {
    if template.repeatable {
        return Ok(key);
    }
    let key = key.ok_or_else(|| {
        let detail = "this request may run only once: it needs an Idempotency-Key header";
        RequestError::new(ErrorKind::KeyMissing, detail)
    })?;
    let key = claim_key::canonical(&key).map_err(|_| {
        let detail = format!("the Idempotency-Key \"{key}\" is not a UUIDv7");
        RequestError::new(ErrorKind::KeyMalformed, detail)
    })?;
    Ok(Some(key))
}

/// The error of a request that was refused before the log was asked about its key.
fn before_claim(error: RequestError, keyed: bool) -> RequestError {
    if !keyed {
        return error;
    }
    RequestError {
        kind: error.kind.before_claim(),
        detail: error.detail,
    }
}

/// Notes an error and turns it into the caller's answer.
fn refuse(state: &Arc<EntryState>, request: RequestId, error: RequestError) -> CallerError {
    state.metrics.refused(error.kind);
    let outcome = error.kind.answer().outcome;
    let detail = format!("{error} (outcome: {outcome})");
    let draft = EventDraft::new(EventKind::RequestRefused, detail).request(request.clone());
    state.recorder.record(draft);
    CallerError { request, error }
}
