//! Routes of the entry.

use std::sync::Arc;

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
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
        PoolKind,
        Template, //
    },
    timeline::EventDraft,
};
use wagtaildoor_daemon::{
    response_body::ResponseBody,
    timeline_query::TimelineQuery, //
};

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
type Shared = Arc<EntryState>;
/// Result of a route.
type Answer<T> = std::result::Result<T, CallerError>;

/// Path under which plain services stand; the template's name follows.
const SERVICES_PATH: &str = "/v1/services/";
/// Media type of short texts.
const TEXT: &str = "text/plain; charset=utf-8";
/// Media type of JSON.
const JSON: &str = "application/json";

/// Answers a request. A caller that hangs up drops this, and with it what only the caller wants.
pub async fn answer(state: Shared, request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    match (request.method(), &*path) {
        (&Method::POST, "/v1/chat/completions") => {
            either(model::<ChatRequest>(&state, request).await)
        }
        (&Method::POST, "/v1/completions") => {
            either(model::<CompletionRequest>(&state, request).await)
        }
        (&Method::POST, path) if template_of(path).is_some() => {
            let template = template_of(path).unwrap_or_default();
            either(service(&state, &template, request).await)
        }
        (&Method::GET, "/health") => page(StatusCode::OK, "ok\n"),
        (&Method::GET, "/ready") => ready(&state),
        (&Method::GET, "/metrics") => page(StatusCode::OK, state.metrics.text()),
        (&Method::GET, "/timeline") => either(timeline(&state, &request)),
        _ => no_route(&request).into(),
    }
}

/// The template that a service's path names.
fn template_of(path: &str) -> Option<String> {
    let name = path.strip_prefix(SERVICES_PATH)?;
    let name = percent_decode_str(name).decode_utf8().ok()?;
    (!name.is_empty() && !name.contains('/')).then(|| name.into_owned())
}

/// A route's result as an answer.
fn either<T: Into<Response<ResponseBody>>>(result: Answer<T>) -> Response<ResponseBody> {
    match result {
        Ok(answer) => answer.into(),
        Err(error) => error.into(),
    }
}

/// A short text.
fn page(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = caller_answer::typed(TEXT, ResponseBody::full(text));
    *response.status_mut() = status;
    response
}

/// Chat or text completion.
async fn model<T>(state: &Shared, request: Request<Incoming>) -> Answer<ModelReply>
where
    T: serde::de::DeserializeOwned + Into<ModelWish>,
{
    let scope = RequestScope::start(state);
    let id = scope.request.clone();
    let head = CallerHead::from(request.headers());
    let wish = read_wish::<T>(state, &head, request.into_body()).await;
    answer_model(scope, head, wish)
        .await
        .map_err(|error| refuse(state, id, error))
}

/// Call of a plain service.
async fn service(
    state: &Shared,
    template: &str,
    request: Request<Incoming>,
) -> Answer<ServiceResponse> {
    let scope = RequestScope::start(state);
    let id = scope.request.clone();
    let head = CallerHead::from(request.headers());
    let body = read_body(state, &head, request.into_body()).await;
    answer_service(scope, template, head, body)
        .await
        .map_err(|error| refuse(state, id, error))
}

/// Whether the balancer may send requests here.
fn ready(state: &Shared) -> Response<ResponseBody> {
    if state.gate.is_leaving() {
        return page(StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    if state.view.borrow().is_none() {
        return page(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
    }
    page(StatusCode::OK, "ready\n")
}

/// Events of this process.
fn timeline(state: &Shared, request: &Request<Incoming>) -> Answer<Response<ResponseBody>> {
    let query = request.uri().query().unwrap_or_default();
    let query = TimelineQuery::parse(query).map_err(|fault| CallerError {
        request: request_scope::new_request(),
        error: RequestError::new(ErrorKind::BadRequest, fault),
    })?;
    let events = caller_answer::json(&state.recorder.page(&query.into()));
    Ok(caller_answer::typed(JSON, ResponseBody::full(events)))
}

/// No route fits.
fn no_route(request: &Request<Incoming>) -> CallerError {
    let detail = format!(
        "{} {}: no such route",
        request.method(),
        request.uri().path()
    );
    CallerError {
        request: request_scope::new_request(),
        error: RequestError::new(ErrorKind::UnknownRoute, detail),
    }
}

/// Reads a model's request.
async fn read_wish<T>(state: &Shared, head: &CallerHead, body: Incoming) -> Result<ModelWish>
where
    T: serde::de::DeserializeOwned + Into<ModelWish>,
{
    let body = read_body(state, head, body).await?;
    let request: T = caller_body::parse(&body)?;
    let wish: ModelWish = request.into();
    if wish.max_tokens == Some(0) {
        let detail = "\"max_tokens\" is 0; an answer has at least one token";
        return Err(RequestError::new(ErrorKind::BadRequest, detail));
    }
    Ok(wish)
}

/// Reads the body of a caller that has an account.
async fn read_body(state: &Shared, head: &CallerHead, body: Incoming) -> Result<Bytes> {
    let held = state.held_view()?;
    access::account(&held.view.configuration, head.token.as_deref())?;
    caller_body::read(body, &state.settings.listen).await
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
    let work = scope.state.gate.start_work();
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
    body: Result<Bytes>,
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
    body: Result<Bytes>,
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
    let key = claim_key::canonicalize_key(&key).map_err(|_| {
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
