//! A host that has read nothing, and a codec for its records.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderValue,
    Method,
    StatusCode, //
};
use slog::Logger;
use wagtaildoor::ids::EndpointId;
use wagtaildoor_front::{
    control_store::{
        ControlRecord,
        ControlStream, //
        ControlUpdate,
    },
    endpoint::{
        EndpointRecord,
        EndpointState, //
    },
    engine_placement::EnginePolicy,
    front::Front,
    front_metrics::FrontMetrics,
    front_settings::{
        FrontSettings,
        FrontTimes,
        RolloutPolicy, //
    },
    overload::request_ranking::RequestRanking,
    plain_placement::PlainPolicy,
    retry_allowance::RetryLimit,
    service_config::{
        CallerLimits,
        ServiceConfig, //
    },
    wire_codec::{
        AnswerHead,
        CallerHead,
        DispatchHead,
        EndpointCall,
        EndpointIdentity,
        EngineReport,
        OrderVerdict,
        WeightsOrder,
        WireCodec, //
    },
};

/// Assumed age of weights that are read at startup.
pub const AGE_AT_START: Duration = Duration::from_millis(2_600);

/// A codec whose records hold one number: the version of the configuration or the weights, or the
/// revision of an endpoint.
pub struct TextCodec;

impl WireCodec for TextCodec {
    const READY_PATH: &'static str = "/ready";

    fn parse_caller_head(_: &HeaderMap) -> CallerHead {
        CallerHead::default()
    }

    fn strip_caller_headers(_: &mut HeaderMap) {}

    fn write_dispatch(_: &mut HeaderMap, _: &DispatchHead<'_>) {}

    fn parse_answer_head(status: StatusCode, headers: &HeaderMap) -> AnswerHead {
        AnswerHead {
            misdirected: status == StatusCode::MISDIRECTED_REQUEST,
            not_run: headers.contains_key("not-run"),
            closing: headers.contains_key("connection"),
            ..AnswerHead::default()
        }
    }

    fn parse_event_weights(_: &[u8]) -> Option<u64> {
        None
    }

    fn parse_control_record(_: ControlStream, record: &ControlRecord) -> ControlUpdate {
        let Some(value) = &record.value else {
            return ControlUpdate::EndpointGone {
                id: record.key.clone(),
                fault: None,
            };
        };
        let text = std::str::from_utf8(value).expect("text");
        let number = text.parse().expect("a number");
        match &*record.key {
            "config" => ControlUpdate::Config(Box::new(ServiceConfig {
                version: number,
                routes: Vec::new(),
                services: Vec::new(),
                accounts: None,
                limits: CallerLimits::default(),
            })),
            "weights" => ControlUpdate::WantedWeights {
                model: "m".into(),
                version: number,
            },
            id => ControlUpdate::Endpoint(EndpointRecord {
                id: id.into(),
                service: "s".into(),
                address: "10.0.0.1:80".parse().expect("an address"),
                domain: "a".into(),
                state: EndpointState::Ready,
                slots: 8,
                warm_up: Duration::ZERO,
                weights: Vec::new(),
                started_ms: 1,
                revision: number,
            }),
        }
    }

    fn build_order_call(_: &EndpointId, _: &WeightsOrder<'_>) -> EndpointCall {
        unreachable!("the test sends no orders")
    }

    fn parse_order_verdict(_: StatusCode) -> OrderVerdict {
        OrderVerdict::Refused
    }

    fn build_report_call(_: &EndpointId) -> EndpointCall {
        unreachable!("the test requests no reports")
    }

    fn build_health_call(_: &EndpointId, path: &str) -> EndpointCall {
        EndpointCall {
            method: Method::GET,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    fn build_stray_call(endpoint: &EndpointId, path: &str) -> EndpointCall {
        let mut call = Self::build_health_call(endpoint, path);
        call.headers.insert("stray", HeaderValue::from_static("1"));
        call
    }

    fn parse_identity(headers: &HeaderMap, _: &[u8]) -> EndpointIdentity {
        let id = headers.get("id").and_then(|id| id.to_str().ok());
        let started = headers
            .get("started")
            .and_then(|started| started.to_str().ok());
        EndpointIdentity {
            id: id.map(Box::from),
            started_ms: started.and_then(|started| started.parse().ok()),
        }
    }

    fn parse_report(_: &[u8]) -> Option<EngineReport> {
        None
    }
}

/// Creates a host that has read no records.
pub fn new_host() -> Rc<Front> {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let settings = FrontSettings {
        host: "host".into(),
        domain: "a".into(),
        callers: any,
        readiness: any,
        peers: any,
        metrics: any,
        seeds: Vec::new(),
        times: FrontTimes {
            grace: Duration::from_secs(8),
            list_poll_interval: Duration::from_millis(840),
            operator_poll_timeout: Duration::from_secs(12),
            initial_weights_age: AGE_AT_START,
            default_deadline: Duration::from_secs(30),
        },
        retries: RetryLimit {
            ratio: 0.2,
            slack: 56.0,
            window: Duration::from_secs(10),
        },
        ranking: RequestRanking::ByArrival,
        quota_window: Duration::from_secs(8),
        engines: EnginePolicy {
            prefill_tokens_per_ms: 90.0,
            pair_tokens_per_million: 20.0,
            queued_request_tokens: 2_000.0,
            running_ms: 0.7,
            over_slots_ms: 40.0,
            fetch_ms_per_1000: 2.0,
            new_copy_ms: 10.0,
            copy_own_share: 1.0,
            away_from_home_ms: 40.0,
            other_domain_ms: 15.0,
            failure_ms: 600.0,
            full_ms: 500.0,
            next_load_ms: 120.0,
            old_weights_free: Duration::from_millis(1_200),
            old_weights_ms: 150.0,
            old_weights_limit: Duration::from_millis(5_100),
        },
        plain: PlainPolicy {
            work_ms: 30.0,
            other_domain_ms: 4.0,
            failure_ms: 600.0,
            full_ms: 500.0,
        },
        rollout: RolloutPolicy {
            max_loading_share: 0.17,
            load_time: Duration::from_millis(300),
            confirm_timeout: Duration::from_millis(2_600),
            lease_expiry: Duration::from_millis(3_000),
            lease_validity: Duration::from_millis(1_200),
            lease_renewal_interval: Duration::from_millis(500),
            handover: Duration::from_millis(3_000),
        },
    };
    let metrics = FrontMetrics::new("test").expect("instruments");
    Front::new(settings, Logger::root(slog::Discard, slog::o!()), metrics)
}
