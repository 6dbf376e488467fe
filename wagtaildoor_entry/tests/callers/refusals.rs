//! Tests that each fault of a caller or an endpoint yields the documented error.

use reqwest::{
    Method,
    Response, //
};
use serde_json::{
    json,
    Value, //
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

use crate::entry_rig::{
    EntryRig,
    BODY_LIMIT_BYTES,
    DESK_TOKEN,
    GUIDES_TOKEN, //
};

const CHAT: &str = "/v1/chat/completions";
const COMPLETIONS: &str = "/v1/completions";
const ORDER: &str = "/v1/services/order";

/// Returns a header of a response as text.
pub fn header<'a>(answer: &'a Response, name: &str) -> Option<&'a str> {
    let value = answer.headers().get(name);
    value.map(|value| value.to_str().expect("plain text"))
}

/// Checks status, headers and body of an error response against the expected kind.
pub async fn check_refusal(name: &str, answer: Response, kind: ErrorKind) {
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

/// A faulty request and the expected kind of error.
struct RefusalCase {
    /// Name for assertion messages.
    name: &'static str,
    path: &'static str,
    token: Option<&'static str>,
    /// Idempotency key.
    key: Option<&'static str>,
    body: String,
    kind: ErrorKind,
}

/// Builds a case with the token of account `desk` and no key.
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

/// Builds a chat request for a template.
pub fn chat_with(template: &str) -> Value {
    json!({ "model": template, "messages": [{ "role": "user", "content": "Two coffees." }] })
}

/// Requests with faulty bodies, templates or routes.
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
    let message_without_content = json!({ "model": "plain", "messages": [{ "role": "user" }] });
    let untyped = json!({ "model": "plain", "prompt": "a", "stream": "yes" });
    let no_tokens_requested = json!({ "model": "plain", "prompt": "a", "max_tokens": 0 });
    vec![
        case("body over the limit", CHAT, &long, BodyTooLarge),
        case("body far over the limit", CHAT, &much, BodyTooLarge),
        case("call over the limit", ORDER, &long, BodyTooLarge),
        case("broken JSON", CHAT, "{\"model\": ", BadRequest),
        case("broken JSON of a call", ORDER, "[1", BadRequest),
        case("empty body", COMPLETIONS, "", BadRequest),
        case("no UTF-8 escape", CHAT, "\"\\ud800\"", BadRequest),
        case("field missing", CHAT, &message_without_content, BadRequest),
        case("field of another type", COMPLETIONS, &untyped, BadRequest),
        case(
            "answer without tokens",
            COMPLETIONS,
            &no_tokens_requested,
            BadRequest,
        ),
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

/// Requests with faulty tokens or idempotency keys.
fn header_cases() -> Vec<RefusalCase> {
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
    for case in body_cases().into_iter().chain(header_cases()) {
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

/// A fault of an endpoint and the expected kind of error.
struct EndpointCase {
    /// Name for assertion messages.
    name: &'static str,
    /// Faults set on the fake engine.
    engine: EngineFaults,
    /// Faults set on the fake service.
    service: ServiceFaults,
    path: &'static str,
    body: Value,
    kind: ErrorKind,
}

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
        rig.engines[0].set_faults(case.engine);
        rig.service.set_faults(case.service);
        let call = rig.post(case.path, DESK_TOKEN).json(&case.body);
        let answer = call.send().await.expect("an answer");
        check_refusal(case.name, answer, case.kind).await;
        if case.kind.answer().outcome == RunOutcome::NotRun {
            let effects = rig.engines[0].counts().taken + rig.service.counts().effects;
            assert_eq!(effects, 0, "{} ran", case.name);
        }
    }
}

/// A verdict on a claim and the expected kind of error.
struct VerdictCase {
    verdict: ClaimVerdict,
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
async fn two_keys_on_one_request_are_refused() {
    let rig = EntryRig::start().await;
    let mut call = rig.post(ORDER, DESK_TOKEN).json(&json!({}));
    for _ in 0..2 {
        call = call.header("idempotency-key", Uuid::now_v7().to_string());
    }
    let answer = call.send().await.expect("an answer");
    check_refusal("two keys", answer, ErrorKind::KeyMalformed).await;
    assert_eq!(rig.endpoint_calls(), 0);
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
