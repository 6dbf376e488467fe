//! Says in plain sentences what happened to a request, and whether it ran.

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

/// Whether a request ran, as far as its events tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunVerdict {
    /// It ran.
    Ran,
    /// It did not run again: an earlier copy had run, and its answer was given.
    Replayed,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// No end is on record.
    UnderWay,
}

/// One step of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ExplainedStep {
    /// Time since the request's first event, in milliseconds.
    pub after_ms: u64,
    /// Host that saw it.
    pub host: HostId,
    /// Program that saw it.
    pub process: Box<str>,
    /// What happened.
    pub sentence: Box<str>,
}

/// What happened to a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Request.
    pub request: RequestId,
    /// Client account that asked.
    pub account: Option<AccountId>,
    /// When it was first seen, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Host that first saw it.
    pub host: HostId,
    /// Endpoints that were chosen, in order.
    pub endpoints: Vec<EndpointId>,
    /// Steps, causes before effects.
    pub steps: Vec<ExplainedStep>,
    /// Whether it ran.
    pub verdict: RunVerdict,
    /// Whether it ran and why, as sentences.
    pub conclusion: Box<str>,
}

/// Explains a request from its events, which are in causal order; `None` without any.
pub fn explain(request: &str, events: &[TimelineEvent]) -> Option<Explanation> {
    let belongs = |event: &&TimelineEvent| event.request.as_deref() == Some(request);
    let request_events: Vec<&TimelineEvent> = events.iter().filter(belongs).collect();
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
    /// The explanation as text, a sentence a line.
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

/// The endpoints chosen, each once.
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

/// One event as a step.
fn explain_event(event: &TimelineEvent, first_ms: u64) -> ExplainedStep {
    ExplainedStep {
        after_ms: event.stamp.wall_ms.saturating_sub(first_ms),
        host: event.host.clone(),
        process: event.process.clone(),
        sentence: describe_event(event).into(),
    }
}

/// An event as a sentence.
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

/// What a sentence of this kind opens with; nothing where the detail says it all.
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

/// A text with a capital at its start.
fn capitalize(text: &str) -> String {
    let mut characters = text.chars();
    match characters.next() {
        Some(first) => first.to_uppercase().chain(characters).collect(),
        None => String::new(),
    }
}

/// What the events so far say of a request's run.
#[derive(Debug, Default)]
struct RequestFacts {
    /// An endpoint was chosen.
    placed: bool,
    /// A whole answer came.
    answered: bool,
    /// It is on record that it ran.
    recorded: bool,
    /// The answer of an earlier copy was given.
    replayed: bool,
    /// It is uncertain whether it ran.
    uncertain: bool,
    /// The claim was given back.
    released: bool,
    /// The caller hung up.
    caller_gone: bool,
    /// What the caller was told instead of an answer.
    refusal: Option<Refusal>,
}

/// A refusal that a caller got.
#[derive(Debug)]
struct Refusal {
    /// Its sentence.
    detail: Box<str>,
    /// What it said of the run; `None` when its kind is not of this release.
    outcome: Option<RunOutcome>,
}

impl RequestFacts {
    /// Takes over one event.
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

    /// Takes over a settlement.
    fn apply_settlement(&mut self, detail: &str) {
        self.uncertain = false;
        match is_settled_as_not_run(detail) {
            true => self.released = true,
            false => self.recorded = true,
        }
    }

    /// Whether the request ran. What is on record goes before what a caller was told.
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

    /// The verdict in sentences.
    fn conclusion(&self) -> String {
        let told = self.refusal.as_ref();
        let told = told.map(|refusal| format!(" The caller was told: {}.", refusal.detail));
        let mut text = self.verdict_sentence().to_string();
        text.push_str(&told.unwrap_or_default());
        if self.caller_gone {
            text.push_str(" The caller hung up before the end.");
        }
        text
    }

    /// The verdict in one sentence.
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

/// Whether a settlement says "not run": `NAME settled key KEY as not_run: NOTE`.
///
/// The note is an operator's own words and decides nothing.
fn is_settled_as_not_run(detail: &str) -> bool {
    let rest = detail.split_once(" settled key ").map(|(_, rest)| rest);
    let head = rest
        .and_then(|rest| rest.split_once(':'))
        .map(|(head, _)| head);
    let suffix = format!(" as {}", RunOutcome::NotRun);
    head.is_some_and(|head| head.ends_with(&suffix))
}

impl Refusal {
    /// The refusal that an event tells of: the kind's name, then its sentence.
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

    /// Whether the request ran, by what the caller was told.
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
