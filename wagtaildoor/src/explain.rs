//! Explains in plain sentences what happened to a request and whether it ran.

use serde::Serialize;

use crate::{
    error::{
        ErrorKind,
        RunOutcome, //
    },
    ids::{
        AccountId,
        EndpointId,
        HostId,
        RequestId, //
    },
    schema::{
        EventKind,
        TimelineEvent, //
    },
    timeline::wall_time,
};

/// Whether a request ran, according to its events.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunVerdict {
    /// The request ran.
    Ran,
    /// The request did not run again. The client got the response of an earlier copy.
    Replayed,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// No end of the request is recorded.
    UnderWay,
}

/// One step of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ExplainedStep {
    /// Time since the first event of the request, in milliseconds.
    pub after_ms: u64,
    /// Host that recorded the event.
    pub host: HostId,
    /// Program that recorded the event.
    pub process: Box<str>,
    /// Description of the event.
    pub sentence: Box<str>,
}

/// Explanation of what happened to a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Request that all steps belong to.
    pub request: RequestId,
    /// Client account that sent the request; `None` if no event names it.
    pub account: Option<AccountId>,
    /// Time of the first event, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Host that recorded the first event.
    pub host: HostId,
    /// Endpoints that were chosen, each once, in order of their first use.
    pub endpoints: Vec<EndpointId>,
    /// Steps of the request in causal order.
    pub steps: Vec<ExplainedStep>,
    /// Whether the request ran.
    pub verdict: RunVerdict,
    /// Sentences that state whether the request ran and why.
    pub conclusion: Box<str>,
}

/// Explains a request from its events, which must be in causal order; `None` if it has none.
pub fn explain(request: &str, events: &[TimelineEvent]) -> Option<Explanation> {
    let is_of_request = |event: &&TimelineEvent| event.request.as_deref() == Some(request);
    let request_events: Vec<&TimelineEvent> = events.iter().filter(is_of_request).collect();
    let first = request_events.first()?;
    let first_ms = first.stamp.wall_ms;
    let mut facts = RequestFacts::default();
    for event in &request_events {
        facts.apply_event(event);
    }
    Some(Explanation {
        request: request.into(),
        account: request_events
            .iter()
            .find_map(|event| event.account.clone()),
        first_ms,
        host: first.host.clone(),
        endpoints: chosen_endpoints(&request_events),
        steps: request_events
            .iter()
            .map(|event| explain_event(event, first_ms))
            .collect(),
        verdict: facts.verdict(),
        conclusion: facts.conclusion().into(),
    })
}

impl Explanation {
    /// Formats the explanation as text with one line per step.
    pub fn text(&self) -> String {
        let account = self.account.as_deref().unwrap_or("an unknown account");
        let mut text = format!(
            "Request {} of {account} reached host {} on {}.\n",
            self.request,
            self.host,
            wall_time::format_wall_time(self.first_ms),
        );
        let mut last_observer = None;
        for step in &self.steps {
            let observer = (&step.process, &step.host);
            if last_observer != Some(observer) {
                text.push_str(&format!("As {} on {} saw it:\n", step.process, step.host));
                last_observer = Some(observer);
            }
            text.push_str(&format!("{:>8} ms  {}\n", step.after_ms, step.sentence));
        }
        text.push_str(&self.conclusion);
        text.push('\n');
        text
    }
}

/// Endpoints named by the events, each once, in order of their first use.
fn chosen_endpoints(events: &[&TimelineEvent]) -> Vec<EndpointId> {
    let mut chosen: Vec<EndpointId> = Vec::new();
    for event in events {
        if let Some(endpoint) = &event.endpoint {
            if !chosen.contains(endpoint) {
                chosen.push(endpoint.clone());
            }
        }
    }
    chosen
}

/// Converts an event to a step of the explanation.
fn explain_event(event: &TimelineEvent, first_ms: u64) -> ExplainedStep {
    ExplainedStep {
        after_ms: event.stamp.wall_ms.saturating_sub(first_ms),
        host: event.host.clone(),
        process: event.process.clone(),
        sentence: describe_event(event).into(),
    }
}

/// Describes an event in a sentence.
fn describe_event(event: &TimelineEvent) -> String {
    let detail = event.detail.trim().trim_end_matches('.');
    match sentence_prefix(event.kind) {
        _ if detail.is_empty() => {
            format!("{}.", capitalize(&event.kind.to_string().replace('_', " ")))
        }
        "" => format!("{}.", capitalize(detail)),
        sentence_prefix => format!("{sentence_prefix}: {detail}."),
    }
}

/// Start of the sentence for an event kind; empty if the detail is a full sentence.
fn sentence_prefix(kind: EventKind) -> &'static str {
    match kind {
        EventKind::RequestReceived => "The request came in",
        EventKind::RequestPlaced => "An endpoint was chosen",
        EventKind::RequestDispatched => "The request was sent",
        EventKind::FirstToken => "The answer began",
        EventKind::StreamResumed => "The answer broke off and was taken up again elsewhere",
        EventKind::RequestRetried => "That try failed, and another one was made",
        EventKind::AnswerCrossed => "A piece of another answer came and was kept from the caller",
        EventKind::RequestAnswered => "The caller got the whole answer",
        EventKind::CallerGone => "The caller hung up",
        EventKind::RequestRefused => "The request was refused",
        EventKind::ClaimAsked => "It may run only once, so the log was asked first",
        EventKind::ClaimWon => "It may run",
        EventKind::ClaimLost => "It may not run",
        EventKind::ClaimReleased => "The right to run it was given back unused",
        EventKind::ClaimUnknown => "It became uncertain whether it ran",
        EventKind::ClaimSettled => "The uncertainty was settled",
        EventKind::OutcomeRecorded => "It ran",
        EventKind::OutcomeReplayed => "The caller got an answer, and nothing ran twice",
        _ => "",
    }
}

/// Capitalizes the first character.
fn capitalize(text: &str) -> String {
    let mut characters = text.chars();
    match characters.next() {
        Some(first) => first.to_uppercase().chain(characters).collect(),
        None => String::new(),
    }
}

/// Facts about a request that follow from its events.
#[derive(Debug, Default)]
struct RequestFacts {
    /// Whether an endpoint was chosen.
    placed: bool,
    /// Whether the client received the whole response.
    answered: bool,
    /// Whether it is recorded that the request ran.
    recorded: bool,
    /// Whether the client received the response of an earlier copy.
    replayed: bool,
    /// Whether it became unknown if the request ran.
    uncertain: bool,
    /// Whether the claim was released or settled as not run.
    released: bool,
    /// Whether the client disconnected.
    caller_gone: bool,
    /// Error that the client received instead of a response.
    refusal: Option<Refusal>,
}

/// An error that was returned to the client.
#[derive(Debug)]
struct Refusal {
    detail: Box<str>,
    /// Outcome that belongs to the error kind; `None` if this release does not know the kind.
    outcome: Option<RunOutcome>,
}

impl RequestFacts {
    fn apply_event(&mut self, event: &TimelineEvent) {
        match event.kind {
            EventKind::RequestPlaced | EventKind::RequestDispatched => self.placed = true,
            EventKind::RequestAnswered => self.answered = true,
            EventKind::OutcomeRecorded => self.recorded = true,
            EventKind::OutcomeReplayed => self.replayed = true,
            EventKind::ClaimUnknown => self.uncertain = true,
            EventKind::ClaimReleased => self.released = true,
            EventKind::ClaimSettled => self.apply_settlement(&event.detail),
            EventKind::CallerGone => self.caller_gone = true,
            EventKind::RequestRefused => self.refusal = Some(Refusal::parse(&event.detail)),
            _ => {}
        }
    }

    fn apply_settlement(&mut self, detail: &str) {
        self.uncertain = false;
        match is_settled_as_not_run(detail) {
            true => self.released = true,
            false => self.recorded = true,
        }
    }

    /// Whether the request ran. Recorded outcomes take precedence over the response that the client
    /// received.
    fn verdict(&self) -> RunVerdict {
        if self.replayed {
            return RunVerdict::Replayed;
        }
        if self.answered || self.recorded {
            return RunVerdict::Ran;
        }
        if self.released {
            return RunVerdict::NotRun;
        }
        if self.uncertain {
            return RunVerdict::Unknown;
        }
        match &self.refusal {
            Some(refusal) => refusal.verdict(self.placed),
            None if self.caller_gone && self.placed => RunVerdict::Unknown,
            None => RunVerdict::UnderWay,
        }
    }

    /// Verdict with its reasons, in several sentences.
    fn conclusion(&self) -> String {
        let refusal = self.refusal.as_ref();
        let refusal_sentence =
            refusal.map(|refusal| format!(" The caller was told: {}.", refusal.detail));
        let mut text = self.verdict_sentence().to_string();
        text.push_str(&refusal_sentence.unwrap_or_default());
        if self.caller_gone {
            text.push_str(" The caller hung up before the end.");
        }
        text
    }

    /// First sentence of the conclusion.
    fn verdict_sentence(&self) -> &'static str {
        match self.verdict() {
            RunVerdict::Ran if self.refusal.is_some() => {
                "In short: it ran, but the caller did not get the answer."
            }
            RunVerdict::Ran => "In short: it ran, and the caller's answer is whole.",
            RunVerdict::Replayed => {
                "In short: it did not run again. An earlier copy had run, and the caller got the \
                 answer on record."
            }
            RunVerdict::NotRun => "In short: it did not run.",
            RunVerdict::Unknown => {
                "In short: it is not known whether it ran. A request that may not be repeated \
                 stays in `wtd unresolved` until that is settled."
            }
            RunVerdict::UnderWay => {
                "In short: no end is on record. It is under way, its process stopped, or the end \
                 was not found."
            }
        }
    }
}

/// Whether a settlement says "not run". Its format is `NAME settled key KEY as not_run: NOTE`.
///
/// The note is free text of an operator and must not affect the result.
fn is_settled_as_not_run(detail: &str) -> bool {
    let rest = detail.split_once(" settled key ").map(|(_, rest)| rest);
    let head = rest
        .and_then(|rest| rest.split_once(':'))
        .map(|(head, _)| head);
    let suffix = format!(" as {}", RunOutcome::NotRun);
    head.is_some_and(|head| head.ends_with(&suffix))
}

impl Refusal {
    /// Parses the detail of a refusal event: the name of the error kind, then a sentence.
    fn parse(detail: &str) -> Self {
        let is_named = |kind: &&ErrorKind| {
            let rest = detail.strip_prefix(&kind.to_string());
            rest.is_some_and(|rest| rest.starts_with(':') || rest.is_empty())
        };
        let kind = ErrorKind::ALL.iter().find(is_named);
        Self {
            detail: detail.trim_end_matches('.').into(),
            outcome: kind.map(|kind| kind.answer().outcome),
        }
    }

    /// Whether the request ran, according to the error. `placed` decides for unknown kinds.
    fn verdict(&self, placed: bool) -> RunVerdict {
        match self.outcome {
            Some(RunOutcome::Ran) => RunVerdict::Ran,
            Some(RunOutcome::NotRun) => RunVerdict::NotRun,
            Some(RunOutcome::Unknown) => RunVerdict::Unknown,
            None if placed => RunVerdict::Unknown,
            None => RunVerdict::NotRun,
        }
    }
}
