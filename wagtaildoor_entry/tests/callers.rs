//! What callers get: answers, and a clear error for each fault of theirs or of an endpoint.

#[path = "support/entry_rig.rs"]
mod entry_rig;
#[path = "support/fake_keeper.rs"]
mod fake_keeper;

use std::time::{
    Duration,
    Instant, //
};

use entry_rig::{
    EntryRig,
    BODY_LIMIT_BYTES,
    BODY_TIMEOUT_MS,
    DESK_TOKEN,
    ENDLESS_DEADLINE_MS,
    GUIDES_TOKEN,
    PATIENCE, //
};
use reqwest::{
    Method,
    Response, //
};
use serde_json::{
    json,
    Value, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpSocket,
        TcpStream, //
    },
    time,
};
use uuid::Uuid;
use wagtaildoor::{
    error::{
        ErrorKind,
        RunOutcome, //
    },
    schema::{
        ClaimOutcome,
        ClaimVerdict,
        ErrorBody, //
    },
};
use wagtaildoor_fakes::{
    fake_engine::engine_faults::EngineFaults,
    fake_service::ServiceFaults, //
};

const CHAT: &str = "/v1/chat/completions";
const COMPLETIONS: &str = "/v1/completions";
const ORDER: &str = "/v1/services/order";

/// A header of an answer.
fn header<'a>(answer: &'a Response, name: &str) -> Option<&'a str> {
    let value = answer.headers().get(name);
    value.map(|value| value.to_str().expect("plain text"))
}

/// Checks that an answer is the refusal of a kind, by the table and in all its parts.
async fn check_refusal(name: &str, answer: Response, kind: ErrorKind) {
    let expected = kind.answer();
    let status = answer.status().as_u16();
    let request = header(&answer, "x-request-id").map(str::to_owned);
    let outcome = header(&answer, "x-wagtaildoor-outcome").map(str::to_owned);
    let retry = header(&answer, "retry-after").map(str::to_owned);
    let media = header(&answer, "content-type").map(str::to_owned);
    let text = answer.text().await.expect("a body");
    assert_eq!(media.as_deref(), Some("application/json"), "{name}: {text}");
    let body: ErrorBody = serde_json::from_str(&text).expect("an error body");
    assert_eq!(&*body.error.kind, kind.to_string(), "{name}: {text}");
    assert_eq!(status, expected.status, "{name}");
    assert_eq!(&*body.error.outcome, expected.outcome.to_string(), "{name}");
    assert_eq!(outcome.as_deref(), Some(&*body.error.outcome), "{name}");
    assert_eq!(request.as_deref(), Some(&*body.error.request), "{name}");
    let wait = expected.retry_after.map(|time| time.as_secs());
    assert_eq!(body.error.retry_after_s, wait, "{name}");
    assert_eq!(retry, wait.map(|seconds| seconds.to_string()), "{name}");
    assert!(body.error.message.len() > 10, "{name}: {text}");
}

/// A fault of a caller, and the kind of its refusal.
struct RefusalCase {
    /// Its name.
    name: &'static str,
    /// Path.
    path: &'static str,
    /// Bearer token.
    token: Option<&'static str>,
    /// Idempotency key.
    key: Option<&'static str>,
    /// Body.
    body: String,
    /// What the caller is told.
    kind: ErrorKind,
}

/// A case with the desk's token and no key.
fn case(
    name: &'static str,
    path: &'static str,
    body: impl ToString,
    kind: ErrorKind,
) -> RefusalCase {
    RefusalCase {
        name,
        path,
        token: Some(DESK_TOKEN),
        key: None,
        body: body.to_string(),
        kind,
    }
}

/// A chat with a template.
fn chat_with(template: &str) -> Value {
    json!({ "model": template, "messages": [{ "role": "user", "content": "Two coffees." }] })
}

/// Faults of bodies, templates and routes.
fn body_cases() -> Vec<RefusalCase> {
    use ErrorKind::{
        BadRequest,
        BodyTooLarge,
        NoEndpoint,
        NotConfigured,
        UnknownRoute,
        UnknownTemplate, //
    };
    let long = "x".repeat(BODY_LIMIT_BYTES + 1);
    let much = "x".repeat(BODY_LIMIT_BYTES * 300);
    let wordless = json!({ "model": "plain", "messages": [{ "role": "user" }] });
    let untyped = json!({ "model": "plain", "prompt": "a", "stream": "yes" });
    let tokenless = json!({ "model": "plain", "prompt": "a", "max_tokens": 0 });
    vec![
        case("body over the limit", CHAT, &long, BodyTooLarge),
        case("body far over the limit", CHAT, &much, BodyTooLarge),
        case("call over the limit", ORDER, &long, BodyTooLarge),
        case("broken JSON", CHAT, "{\"model\": ", BadRequest),
        case("broken JSON of a call", ORDER, "[1", BadRequest),
        case("empty body", COMPLETIONS, "", BadRequest),
        case("no UTF-8 escape", CHAT, "\"\\ud800\"", BadRequest),
        case("field missing", CHAT, &wordless, BadRequest),
        case("field of another type", COMPLETIONS, &untyped, BadRequest),
        case("answer without tokens", COMPLETIONS, &tokenless, BadRequest),
        case("parameter missing", CHAT, chat_with("draft"), BadRequest),
        case("unknown template", CHAT, chat_with("none"), UnknownTemplate),
        case(
            "template of a service",
            CHAT,
            chat_with("lookup"),
            UnknownTemplate,
        ),
        case(
            "unknown service",
            "/v1/services/none",
            "{}",
            UnknownTemplate,
        ),
        case(
            "service of a model",
            "/v1/services/plain",
            "{}",
            UnknownTemplate,
        ),
        case("no endpoint", CHAT, chat_with("nowhere"), NoEndpoint),
        case("no such pool", CHAT, chat_with("poolless"), NotConfigured),
        case("unknown route", "/v1/embeddings", "{}", UnknownRoute),
    ]
}

/// Faults of tokens and keys.
fn head_cases() -> Vec<RefusalCase> {
    use ErrorKind::{
        Forbidden,
        KeyMalformed,
        KeyMissing,
        Unauthorized, //
    };
    let with_token = |case: RefusalCase, token| RefusalCase { token, ..case };
    let with_key = |case: RefusalCase, key| RefusalCase {
        key: Some(key),
        ..case
    };
    let plain = || chat_with("plain");
    vec![
        with_token(case("no token", CHAT, plain(), Unauthorized), None),
        with_token(
            case("wrong token", CHAT, plain(), Unauthorized),
            Some("desk-tokem"),
        ),
        with_token(case("empty token", CHAT, plain(), Unauthorized), Some("")),
        with_token(
            case("wrong token and broken JSON", CHAT, "{", Unauthorized),
            Some("desk-tokem"),
        ),
        with_token(
            case(
                "wrong token and unknown service",
                "/v1/services/none",
                "{}",
                Unauthorized,
            ),
            Some("desk-tokem"),
        ),
        with_token(
            case("foreign account", ORDER, "{}", Forbidden),
            Some(GUIDES_TOKEN),
        ),
        case("key missing", ORDER, "{}", KeyMissing),
        with_key(
            case("key is no UUID", ORDER, "{}", KeyMalformed),
            "order-17",
        ),
        with_key(
            case("key is another UUID", ORDER, "{}", KeyMalformed),
            "1b4e28ba-2fa1-41d2-883f-0016d3cca427",
        ),
        with_key(case("key is empty", ORDER, "{}", KeyMalformed), ""),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn each_fault_of_a_caller_is_refused_clearly_and_did_not_run() {
    let rig = EntryRig::start().await;
    for case in body_cases().into_iter().chain(head_cases()) {
        let mut call = rig.client.post(rig.url(case.path)).body(case.body);
        if let Some(token) = case.token {
            call = call.bearer_auth(token);
        }
        if let Some(key) = case.key {
            call = call.header("idempotency-key", key);
        }
        let answer = call.header("content-type", "application/json").send().await;
        let answer = answer.unwrap_or_else(|error| panic!("{}: {error:?}", case.name));
        check_refusal(case.name, answer, case.kind).await;
        assert_eq!(rig.endpoint_calls(), 0, "{} reached an endpoint", case.name);
    }
    let wrong_method = rig.client.request(Method::PUT, rig.url(CHAT)).send().await;
    let wrong_method = wrong_method.expect("an answer");
    check_refusal("wrong method", wrong_method, ErrorKind::UnknownRoute).await;
}

/// A fault of an endpoint, and what its caller is told.
struct EndpointCase {
    /// Its name.
    name: &'static str,
    /// Switches of the engine.
    engine: EngineFaults,
    /// Switches of the service.
    service: ServiceFaults,
    /// Path.
    path: &'static str,
    /// Body.
    body: Value,
    /// What the caller is told.
    kind: ErrorKind,
}

/// Faults of endpoints.
fn endpoint_cases() -> Vec<EndpointCase> {
    let case = |name, path, body, kind| EndpointCase {
        name,
        engine: EngineFaults::default(),
        service: ServiceFaults::default(),
        path,
        body,
        kind,
    };
    let mut refusing = case(
        "refusing",
        CHAT,
        chat_with("plain"),
        ErrorKind::EndpointRefused,
    );
    refusing.engine.refuse = true;
    let mut cut = case("cut", CHAT, chat_with("plain"), ErrorKind::StreamBroken);
    cut.engine.cut_after_chunks = 3;
    let lookup = "/v1/services/lookup";
    let mut refused = case(
        "refused call",
        lookup,
        json!({}),
        ErrorKind::EndpointRefused,
    );
    refused.service.refuse = true;
    let mut broken = case("cut call", lookup, json!({}), ErrorKind::EndpointFailed);
    broken.service.cut_before_effect = 9;
    let mut crossed = case("crossed", lookup, json!({}), ErrorKind::EndpointFailed);
    crossed.service.crossed_answers = 9;
    vec![refusing, cut, refused, broken, crossed]
}

#[tokio::test(flavor = "multi_thread")]
async fn each_fault_of_an_endpoint_is_told_as_it_is() {
    for case in endpoint_cases() {
        let rig = EntryRig::start().await;
        rig.engine.set_faults(case.engine);
        rig.service.set_faults(case.service);
        let call = rig.post(case.path, DESK_TOKEN).json(&case.body);
        let answer = call.send().await.expect("an answer");
        check_refusal(case.name, answer, case.kind).await;
        if case.kind.answer().outcome == RunOutcome::NotRun {
            let effects = rig.engine.counts().taken + rig.service.counts().effects;
            assert_eq!(effects, 0, "{} ran", case.name);
        }
    }
}

/// A verdict of the log on a key, and what the caller is told.
struct VerdictCase {
    /// The verdict.
    verdict: ClaimVerdict,
    /// What the caller is told.
    kind: ErrorKind,
}

#[tokio::test(flavor = "multi_thread")]
async fn each_verdict_on_a_key_is_told_and_nothing_runs() {
    let cases = [
        VerdictCase {
            verdict: ClaimVerdict::Busy("other".into()),
            kind: ErrorKind::KeyInProgress,
        },
        VerdictCase {
            verdict: ClaimVerdict::Mismatch("other".into()),
            kind: ErrorKind::KeyMismatch,
        },
        VerdictCase {
            verdict: ClaimVerdict::Settled("other".into()),
            kind: ErrorKind::AnswerNotKept,
        },
        VerdictCase {
            verdict: ClaimVerdict::Refused("the log is out of order".into()),
            kind: ErrorKind::PlatformUnavailable,
        },
        VerdictCase {
            verdict: ClaimVerdict::Expired("it is too old".into()),
            kind: ErrorKind::KeyExpired,
        },
    ];
    let rig = EntryRig::start().await;
    for case in cases {
        rig.keeper.set_verdict(case.verdict.clone());
        let call = rig.post(ORDER, DESK_TOKEN).json(&json!({}));
        let call = call.header("idempotency-key", Uuid::now_v7().to_string());
        let answer = call.send().await.expect("an answer");
        check_refusal(&format!("{:?}", case.verdict), answer, case.kind).await;
        assert_eq!(rig.endpoint_calls(), 0, "{:?}", case.verdict);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_has_run_gets_its_recorded_answer() {
    let rig = EntryRig::start().await;
    rig.keeper.set_verdict(ClaimVerdict::Done(ClaimOutcome {
        account: "desk".into(),
        answer: "{\"receipt\":7}".into(),
        attempt: "other".into(),
        content_type: "application/json".into(),
        key: "key".into(),
        status: 200,
    }));
    let call = rig.post(ORDER, DESK_TOKEN).json(&json!({}));
    let call = call.header("idempotency-key", Uuid::now_v7().to_string());
    let answer = call.send().await.expect("an answer");
    assert_eq!(answer.status().as_u16(), 200);
    assert_eq!(header(&answer, "x-wagtaildoor-endpoint"), Some("record"));
    let body: Value = answer.json().await.expect("a body");
    assert_eq!(body, json!({ "receipt": 7 }));
    assert_eq!(rig.endpoint_calls(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answers_and_streams_say_the_same() {
    let rig = EntryRig::start().await;
    let mut chat = chat_with("draft");
    chat["parameters"] = json!({ "dialect": "Johor" });
    let whole = rig.post(CHAT, DESK_TOKEN).json(&chat).send().await;
    let whole = whole.expect("an answer");
    assert_eq!(header(&whole, "x-wagtaildoor-endpoint"), Some("drafter-1"));
    assert!(header(&whole, "x-wagtaildoor-reason").is_some_and(|reason| !reason.is_empty()));
    let whole: Value = whole.json().await.expect("a body");
    assert_eq!(whole["object"], "chat.completion");
    assert_eq!(whole["choices"][0]["finish_reason"], "stop");
    assert_eq!(whole["usage"]["completion_tokens"], 20);
    chat["stream"] = json!(true);
    let stream = rig.post(CHAT, DESK_TOKEN).json(&chat).send().await;
    let stream = stream.expect("an answer").text().await.expect("a body");
    let mut text = String::new();
    let mut pieces = data_of(&stream);
    assert_eq!(pieces.pop().as_deref(), Some("[DONE]"));
    let last: Value = serde_json::from_str(&pieces.pop().expect("a last piece")).expect("JSON");
    assert_eq!(last["chunks"], 20);
    for piece in pieces {
        let piece: Value = serde_json::from_str(&piece).expect("JSON");
        assert_eq!(piece["object"], "chat.completion.chunk");
        text.push_str(
            piece["choices"][0]["delta"]["content"]
                .as_str()
                .expect("text"),
        );
    }
    assert_eq!(whole["choices"][0]["message"]["content"], text);
}

/// Data of the events of a stream.
fn data_of(stream: &str) -> Vec<String> {
    let lines = stream.lines();
    let data = lines.filter_map(|line| line.strip_prefix("data:"));
    data.map(|data| data.trim_start().to_owned()).collect()
}

/// A request that stops in the middle, and what its caller is told.
struct HalfCase {
    /// Its name.
    name: &'static str,
    /// Bearer token.
    token: &'static str,
    /// Start of the answer.
    status: &'static str,
    /// Kind in the answer.
    kind: ErrorKind,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_half_sent_is_refused_in_time() {
    let rig = EntryRig::start().await;
    let cases = [
        HalfCase {
            name: "body stops",
            token: DESK_TOKEN,
            status: "HTTP/1.1 408",
            kind: ErrorKind::BodyTimeout,
        },
        HalfCase {
            name: "body stops and the token is wrong",
            token: "desk-tokem",
            status: "HTTP/1.1 401",
            kind: ErrorKind::Unauthorized,
        },
    ];
    for case in cases {
        let begun = Instant::now();
        let text = send_half(&rig, case.token, "{\"model\": \"plain\",").await;
        assert!(text.starts_with(case.status), "{}: {text}", case.name);
        let kind = format!("\"{}\"", case.kind);
        assert!(text.contains(&kind), "{}: {text}", case.name);
        if case.kind == ErrorKind::BodyTimeout {
            assert!(begun.elapsed() >= Duration::from_millis(BODY_TIMEOUT_MS));
        }
    }
    assert_eq!(rig.endpoint_calls(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_stops_within_its_first_bytes_is_refused_in_time() {
    let rig = EntryRig::start().await;
    let text = send_half(&rig, DESK_TOKEN, "{\"model\"").await;
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
}

/// Sends the start of a body, and reads the refusal.
async fn send_half(rig: &EntryRig, token: &str, part: &str) -> String {
    let mut stream = TcpStream::connect(rig.address).await.expect("a connection");
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {token}\r\n\
         content-length: 500\r\n\r\n{part}"
    );
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    read_until(&mut stream, "}}").await
}

/// Reads until a mark has come, or fails.
async fn read_until(stream: &mut TcpStream, mark: &str) -> String {
    let mut text = String::new();
    let read = async {
        let mut buffer = vec![0; 1 << 20];
        let mut searched = 0;
        while !text[searched..].contains(mark) {
            searched = text.len().saturating_sub(mark.len());
            let count = stream.read(&mut buffer).await.expect("bytes");
            assert!(count > 0, "the connection ended: {text}");
            // What the entry sends here is plain ASCII.
            text.push_str(std::str::from_utf8(&buffer[..count]).expect("ASCII"));
        }
    };
    let waited = time::timeout(PATIENCE, read).await;
    assert!(waited.is_ok(), "no {mark}: {text}");
    text
}

/// Waits until the engine makes no more chunks.
async fn await_stall(rig: &EntryRig) {
    let mut seen = 0;
    while seen == 0 || rig.engine.counts().chunks > seen {
        seen = rig.engine.counts().chunks;
        time::sleep(Duration::from_millis(300)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_that_stops_is_cut_at_the_deadline_and_told_so() {
    let rig = EntryRig::start().await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let mut stream = socket.connect(rig.address).await.expect("a connection");
    let body = json!({ "model": "endless", "prompt": "Go on.", "stream": true }).to_string();
    let head = format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {DESK_TOKEN}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let begun = Instant::now();
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    await_stall(&rig).await;
    assert!(
        begun.elapsed() < Duration::from_millis(ENDLESS_DEADLINE_MS),
        "it never stalled"
    );
    let cancelled = async {
        while rig.engine.counts().cancelled == 0 {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = time::timeout(PATIENCE, cancelled).await;
    assert!(
        waited.is_ok(),
        "the engine still works: {:?}",
        rig.engine.counts()
    );
    assert!(begun.elapsed() >= Duration::from_millis(ENDLESS_DEADLINE_MS));
    println!(
        "engine {:?} after {:?}",
        rig.engine.counts(),
        begun.elapsed()
    );
    let text = read_until(&mut stream, "\"retry_after_s\":1}}").await;
    let error = text.find("event:error").expect("an error event");
    assert!(
        text[error..].contains("\"deadline_passed\""),
        "{}",
        &text[error..]
    );
    let sent = text.matches("\"text\":").count();
    assert!(sent > 0, "the pieces before the error are there");
}
