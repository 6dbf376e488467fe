//! HTTP routes of the entry.

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
        AnswerMetadata,
        CallerError,
        ModelBody,
        ModelReply,
        ServiceResponse, //
    },
    caller_body::{
        self,
        ModelRequest, //
    },
    caller_headers::CallerHeaders,
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

/// Channel slots for the last event of a run, in addition to the chunks buffered for a slow caller.
const LAST_EVENT_SLOTS: usize = 1;

type SharedState = Arc<EntryState>;
/// Result of a route handler.
type RouteResult<T> = std::result::Result<T, CallerError>;

/// Path prefix of plain services, followed by the name of the template.
const SERVICES_PATH: &str = "/v1/services/";
const TEXT_MEDIA_TYPE: &str = "text/plain; charset=utf-8";
const JSON_MEDIA_TYPE: &str = "application/json";

/// Handles a request.
///
/// The future is dropped when the caller disconnects. This cancels model requests, while calls of
/// plain services continue.
pub async fn handle_request(
    state: SharedState,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    match (request.method(), &*path) {
        (&Method::POST, "/v1/chat/completions") => {
            into_response(handle_completion::<ChatRequest>(&state, request).await)
        }
        (&Method::POST, "/v1/completions") => {
            into_response(handle_completion::<CompletionRequest>(&state, request).await)
        }
        (&Method::POST, path) if parse_service_template(path).is_some() => {
            let template = parse_service_template(path).unwrap_or_default();
            into_response(handle_service_call(&state, &template, request).await)
        }
        (&Method::GET, "/health") => text_response(StatusCode::OK, "ok\n"),
        (&Method::GET, "/ready") => readiness(&state),
        (&Method::GET, "/metrics") => text_response(StatusCode::OK, state.metrics.render()),
        (&Method::GET, "/timeline") => into_response(handle_timeline(&state, &request)),
        _ => unknown_route_error(&request).into(),
    }
}

/// Returns the template name from a service path, or `None` if the path is not one.
fn parse_service_template(path: &str) -> Option<String> {
    let name = path.strip_prefix(SERVICES_PATH)?;
    let name = percent_decode_str(name).decode_utf8().ok()?;
    (!name.is_empty() && !name.contains('/')).then(|| name.into_owned())
}

fn into_response<T: Into<Response<ResponseBody>>>(
    result: RouteResult<T>,
) -> Response<ResponseBody> {
    match result {
        Ok(answer) => answer.into(),
        Err(error) => error.into(),
    }
}

/// Builds a plain text response.
fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = caller_answer::response_with_type(TEXT_MEDIA_TYPE, ResponseBody::full(text));
    *response.status_mut() = status;
    response
}

/// Handles a chat or text completion.
async fn handle_completion<T>(
    state: &SharedState,
    request: Request<Incoming>,
) -> RouteResult<ModelReply>
where
    T: serde::de::DeserializeOwned + Into<ModelRequest>,
{
    let scope = RequestScope::start(state);
    let id = scope.request.clone();
    let headers = CallerHeaders::from(request.headers());
    let model_request = read_model_request::<T>(state, &headers, request.into_body()).await;
    run_model_request(scope, headers, model_request)
        .await
        .map_err(|error| record_refusal(state, id, error))
}

/// Handles a call of a plain service.
async fn handle_service_call(
    state: &SharedState,
    template: &str,
    request: Request<Incoming>,
) -> RouteResult<ServiceResponse> {
    let scope = RequestScope::start(state);
    let id = scope.request.clone();
    let headers = CallerHeaders::from(request.headers());
    let body = read_authenticated_body(state, &headers, request.into_body()).await;
    run_service_request(scope, template, headers, body)
        .await
        .map_err(|error| record_refusal(state, id, error))
}

/// Tells load balancers whether this entry accepts requests.
fn readiness(state: &SharedState) -> Response<ResponseBody> {
    if state.gate.is_leaving() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    if state.view.borrow().is_none() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
    }
    text_response(StatusCode::OK, "ready\n")
}

/// Handles a query for timeline events of this process.
fn handle_timeline(
    state: &SharedState,
    request: &Request<Incoming>,
) -> RouteResult<Response<ResponseBody>> {
    let query = request.uri().query().unwrap_or_default();
    let query = TimelineQuery::parse(query).map_err(|fault| CallerError {
        request: request_scope::new_request_id(),
        error: RequestError::new(ErrorKind::BadRequest, fault),
    })?;
    let events = caller_answer::to_json(&state.recorder.page(&query.into()));
    Ok(caller_answer::response_with_type(
        JSON_MEDIA_TYPE,
        ResponseBody::full(events),
    ))
}

fn unknown_route_error(request: &Request<Incoming>) -> CallerError {
    let detail = format!(
        "{} {}: no such route",
        request.method(),
        request.uri().path()
    );
    CallerError {
        request: request_scope::new_request_id(),
        error: RequestError::new(ErrorKind::UnknownRoute, detail),
    }
}

/// Reads and parses a model request.
async fn read_model_request<T>(
    state: &SharedState,
    headers: &CallerHeaders,
    body: Incoming,
) -> Result<ModelRequest>
where
    T: serde::de::DeserializeOwned + Into<ModelRequest>,
{
    let body = read_authenticated_body(state, headers, body).await?;
    let request: T = caller_body::parse_json(&body)?;
    let model_request: ModelRequest = request.into();
    if model_request.max_tokens == Some(0) {
        let detail = "\"max_tokens\" is 0; an answer has at least one token";
        return Err(RequestError::new(ErrorKind::BadRequest, detail));
    }
    Ok(model_request)
}

/// Reads the body after checking the token, so that bodies of unknown callers are not read.
async fn read_authenticated_body(
    state: &SharedState,
    headers: &CallerHeaders,
    body: Incoming,
) -> Result<Bytes> {
    let cached_view = state.held_view()?;
    access::authenticate(&cached_view.view.configuration, headers.token.as_deref())?;
    caller_body::read_body(body, &state.settings.listen).await
}

/// Runs a model request and waits for the first chunk of a stream, or else for the complete answer.
async fn run_model_request(
    scope: RequestScope,
    headers: CallerHeaders,
    model_request: Result<ModelRequest>,
) -> Result<ModelReply> {
    let model_request = model_request?;
    let request = scope.request.clone();
    let stream = model_request.stream;
    // Shutdown waits until the last chunk of a stream has been sent, which is after the end of its
    // run.
    let work = scope.state.gate.start_work();
    let metadata = AnswerMetadata::new(
        request,
        model_request.template.clone(),
        model_request.format,
    );
    let mut events = start_model_run(scope, &headers, model_request)?;
    let mut source = None;
    let mut text = String::new();
    loop {
        let event = events
            .recv()
            .await
            .unwrap_or_else(caller_answer::missing_end_event);
        match (event, &source) {
            (RunEvent::Failed(error), _) => return Err(error),
            (RunEvent::Begun(begun), _) => source = Some(begun),
            (RunEvent::Chunk(chunk), Some(source)) if stream => {
                return Ok(ModelReply {
                    metadata,
                    source: source.clone(),
                    body: ModelBody::Stream(RunEvent::Chunk(chunk), events, work),
                });
            }
            (RunEvent::Chunk(chunk), _) => text.push_str(&chunk),
            (RunEvent::Done(done), Some(source)) if stream => {
                return Ok(ModelReply {
                    metadata,
                    source: source.clone(),
                    body: ModelBody::Stream(RunEvent::Done(done), events, work),
                });
            }
            (RunEvent::Done(done), Some(source)) => {
                let answer = metadata.whole_answer(&text, &done);
                return Ok(ModelReply {
                    metadata,
                    source: source.clone(),
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

/// Authorizes a model request, renders its prompt and starts its run.
fn start_model_run(
    scope: RequestScope,
    headers: &CallerHeaders,
    model_request: ModelRequest,
) -> Result<mpsc::Receiver<RunEvent>> {
    let state = Arc::clone(&scope.state);
    let cached_view = state.held_view()?;
    let configuration = &cached_view.view.configuration;
    let grant = access::authorize(
        configuration,
        headers.token.as_deref(),
        &model_request.template,
        PoolKind::Model,
    )?;
    let prompt = prompt::render(
        configuration,
        grant.template,
        grant.account,
        &model_request.parameters,
        &model_request.caller_text,
    )?;
    scope.record_received(grant);
    let buffer = state.settings.limits.stream_buffer_chunks as usize;
    let (events, receiver) = mpsc::channel(buffer + LAST_EVENT_SLOTS);
    let limit = grant.template.max_tokens;
    let run = ModelRun {
        context: scope.run_context(grant),
        events,
        max_tokens: model_request
            .max_tokens
            .map_or(limit, |wanted| wanted.min(limit)),
        prompt,
    };
    state.run_tasks.spawn(async move {
        run.run().await;
        drop(scope);
    });
    Ok(receiver)
}

/// Runs a call of a plain service. The run continues if the caller disconnects.
async fn run_service_request(
    scope: RequestScope,
    template: &str,
    headers: CallerHeaders,
    body: Result<Bytes>,
) -> Result<ServiceResponse> {
    let has_key = headers.key.is_some();
    let request = scope.request.clone();
    let state = Arc::clone(&scope.state);
    let run = build_service_run(&scope, template, headers, body)
        .map_err(|error| error_before_claim(error, has_key))?;
    let task = state.run_tasks.spawn(async move {
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

/// Authorizes and checks a call of a plain service.
fn build_service_run(
    scope: &RequestScope,
    template: &str,
    headers: CallerHeaders,
    body: Result<Bytes>,
) -> Result<ServiceRun> {
    let body = body?;
    let state = Arc::clone(&scope.state);
    let cached_view = state.held_view()?;
    let configuration = &cached_view.view.configuration;
    let token = headers.token.as_deref();
    let grant = access::authorize(configuration, token, template, PoolKind::Service)?;
    let value: serde_json::Value = caller_body::parse_json(&body)?;
    let key = check_idempotency_key(grant.template, headers.key)?;
    scope.record_received(grant);
    Ok(ServiceRun {
        body: value.to_string().into(),
        context: scope.run_context(grant),
        key,
    })
}

/// Returns the canonical form of the idempotency key, which non-idempotent requests must have.
///
/// Keys of idempotent requests are not checked.
fn check_idempotency_key(template: &Template, key: Option<Box<str>>) -> Result<Option<RequestKey>> {
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

/// Converts the error of a request that was rejected before its key was claimed in the log.
///
/// An earlier request with the same key may have run, so the error must not say that nothing ran.
fn error_before_claim(error: RequestError, has_key: bool) -> RequestError {
    if !has_key {
        return error;
    }
    RequestError {
        kind: error.kind.before_claim(),
        detail: error.detail,
    }
}

/// Records an error in metrics and timeline and converts it to a response.
fn record_refusal(state: &Arc<EntryState>, request: RequestId, error: RequestError) -> CallerError {
    state.metrics.record_refusal(error.kind);
    let outcome = error.kind.answer().outcome;
    let detail = format!("{error} (outcome: {outcome})");
    let draft = EventDraft::new(EventKind::RequestRefused, detail).request(request.clone());
    state.recorder.record(draft);
    CallerError { request, error }
}
