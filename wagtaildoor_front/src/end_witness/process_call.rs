//! Calls that show which process serves an endpoint.

use std::io;

use bytes::Bytes;
use http::{
    HeaderMap,
    StatusCode, //
};
use wagtaildoor::boot_clock::BootInstant;

use super::end_check::{
    CheckProgress,
    CheckStep, //
};
use crate::{
    endpoint::Endpoint,
    endpoint_call,
    endpoint_connection::EndpointConnection,
    service_config::{
        ServiceKind,
        ServiceRule, //
    },
    wire_codec::{
        EndpointCall,
        EndpointIdentity,
        WireCodec, //
    },
};

/// Which process answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AnsweringProcess {
    /// The start of the endpoint that is known.
    SameStart,
    /// An endpoint of the same id, which does not tell when it started.
    SameId,
    /// Another endpoint or another start.
    Other,
    /// The answer does not tell.
    Unknown,
}

/// Whom a call is addressed to. An endpoint turns away at once what is addressed to another one, and
/// treats what is addressed to itself like any request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Addressee {
    /// The endpoint.
    Endpoint,
    /// None.
    Nobody,
}

/// Connection on which an endpoint is asked.
#[derive(Debug)]
pub(super) struct WitnessConnection {
    connection: EndpointConnection,
    opened_at: BootInstant,
    /// Whether an answer has shown that the endpoint's id serves this connection.
    is_identified: bool,
    /// Whether the endpoint closes the connection after its last answer.
    is_closing: bool,
}

/// How an endpoint answered a call.
struct CallAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl WitnessConnection {
    /// Opens a connection to the endpoint.
    pub(super) async fn open(endpoint: &Endpoint) -> io::Result<Self> {
        let connection = endpoint.connections.connect().await?;
        Ok(Self {
            connection,
            opened_at: BootInstant::now(),
            is_identified: false,
            is_closing: false,
        })
    }

    /// Since when the process of the connection is known to run.
    pub(super) fn opened_at(&self) -> BootInstant {
        self.opened_at
    }

    /// Whether a further call can be made.
    pub(super) fn is_usable(&self) -> bool {
        !self.is_closing
    }

    pub(super) fn into_connection(self) -> EndpointConnection {
        self.connection
    }

    /// Finds out which process serves the connection; `None` if it broke.
    ///
    /// An engine's report needs no slot. A plain endpoint is first asked with a call to nobody, which needs none
    /// either; if the answer does not name its sender, a health check follows.
    pub(super) async fn identify<C: WireCodec>(
        &mut self,
        endpoint: &Endpoint,
        rule: &ServiceRule,
        progress: &CheckProgress,
    ) -> Option<AnsweringProcess> {
        if !matches!(rule.kind, ServiceKind::Engine(_)) {
            let call = C::build_stray_call(&endpoint.id, &rule.health_path);
            let addressee = Addressee::Nobody;
            let process = self.ask::<C>(endpoint, call, addressee, progress).await?;
            match process {
                AnsweringProcess::Unknown if self.is_identified => {
                    return Some(AnsweringProcess::SameId);
                }
                AnsweringProcess::Unknown => {}
                _ => return Some(process),
            }
        }
        let call = match rule.kind {
            ServiceKind::Engine(_) => C::build_report_call(&endpoint.id),
            _ => C::build_health_call(&endpoint.id, &rule.health_path),
        };
        let addressee = Addressee::Endpoint;
        self.ask::<C>(endpoint, call, addressee, progress).await
    }

    /// Makes a call and judges which process has answered it; `None` if the connection broke.
    async fn ask<C: WireCodec>(
        &mut self,
        endpoint: &Endpoint,
        call: EndpointCall,
        addressee: Addressee,
        progress: &CheckProgress,
    ) -> Option<AnsweringProcess> {
        if self.is_closing {
            *self = Self::open(endpoint).await.ok()?;
        }
        progress.step.set(CheckStep::Asked);
        let answer = endpoint_call::exchange(endpoint, &mut self.connection, call).await;
        let Ok((status, headers, body)) = answer else {
            progress.step.set(CheckStep::Lost);
            return None;
        };
        progress.step.set(CheckStep::Answered(status.as_u16()));
        let answer = CallAnswer {
            status,
            headers,
            body,
        };
        self.is_closing = C::parse_answer_head(status, &answer.headers).closing;
        let process = identify_process::<C>(endpoint, addressee, &answer);
        if matches!(
            process,
            AnsweringProcess::SameStart | AnsweringProcess::SameId
        ) {
            self.is_identified = true;
        }
        Some(process)
    }
}

fn identify_process<C: WireCodec>(
    endpoint: &Endpoint,
    addressee: Addressee,
    answer: &CallAnswer,
) -> AnsweringProcess {
    let EndpointIdentity { id, started_ms } = C::parse_identity(&answer.headers, &answer.body);
    let head = C::parse_answer_head(answer.status, &answer.headers);
    let is_to_endpoint = addressee == Addressee::Endpoint;
    match (started_ms, id) {
        (_, Some(id)) if id != endpoint.id => AnsweringProcess::Other,
        (Some(started_ms), _) if started_ms == endpoint.started_ms => AnsweringProcess::SameStart,
        (Some(_), _) => AnsweringProcess::Other,
        // Also an endpoint that is unwell or about to leave, whose health check fails.
        (None, Some(_)) => AnsweringProcess::SameId,
        // Only another endpoint finds that the call is not for it.
        (None, _) if is_to_endpoint && head.misdirected => AnsweringProcess::Other,
        // A full endpoint turns away what is addressed to it without its name.
        (None, _) if is_to_endpoint && head.not_run => AnsweringProcess::SameId,
        (None, _) => AnsweringProcess::Unknown,
    }
}
