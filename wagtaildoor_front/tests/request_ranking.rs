//! Who is served on time, late or not at all when callers compete for too little room.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use wagtaildoor::{
    boot_clock::BootInstant,
    ids::ServiceId, //
};
use wagtaildoor_front::overload::{
    admission_queue::{
        self,
        AdmissionQueue,
        WaitTerms,
        WaitTicket, //
    },
    request_ranking::{
        RankedRequest,
        RequestRanking, //
    },
};

/// Work that the engines do, in tokens per millisecond.
const CAPACITY: f64 = 100.0;
/// Step of the clock.
const STEP_MS: u64 = 10;

/// A kind of requests that arrive evenly.
#[derive(Clone, Copy)]
struct Kind {
    urgency: u8,
    target_ms: u64,
    patience_ms: u64,
    /// Prompt to read, in tokens.
    tokens: f64,
    /// Work that arrives, in tokens per millisecond.
    load: f64,
}

/// What became of the requests of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    asked: u32,
    on_time: u32,
    late: u32,
    /// Refused when they came.
    refused: u32,
    /// Refused after they had waited.
    gave_up: u32,
}

impl Outcomes {
    fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked)
    }

    fn served_share(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.asked)
    }
}

struct Waiting {
    kind: usize,
    arrived_ms: u64,
    ticket: WaitTicket,
}

/// Plays ten seconds of load before engines that work off one request after the other.
fn play(kinds: &[Kind], ranking: RequestRanking) -> Vec<Outcomes> {
    let service: ServiceId = "engines".into();
    let queue = Rc::new(RefCell::new(AdmissionQueue::default()));
    let mut outcomes = vec![Outcomes::default(); kinds.len()];
    let mut due = vec![0.0; kinds.len()];
    let mut waiting: Vec<Waiting> = Vec::new();
    let mut budget = 0.0_f64;
    for now_ms in (0..10_000).step_by(STEP_MS as usize) {
        let now = BootInstant::ZERO + Duration::from_millis(now_ms);
        queue.borrow_mut().set_capacity(&service, CAPACITY);
        for (index, kind) in kinds.iter().enumerate() {
            due[index] += kind.load * STEP_MS as f64;
            while due[index] >= kind.tokens {
                due[index] -= kind.tokens;
                outcomes[index].asked += 1;
                match admission_queue::join(&queue, &service, &terms(kind, ranking, 0), now) {
                    Some(ticket) => waiting.push(Waiting {
                        kind: index,
                        arrived_ms: now_ms,
                        ticket,
                    }),
                    None => outcomes[index].refused += 1,
                }
            }
        }
        budget = (budget + CAPACITY * STEP_MS as f64).min(CAPACITY * 50.0);
        while let Some(next) = waiting.iter().position(|one| one.ticket.is_at_head()) {
            let tokens = kinds[waiting[next].kind].tokens;
            if budget <= 0.0 {
                break;
            }
            budget -= tokens;
            let sent = waiting.remove(next);
            let kind = &kinds[sent.kind];
            let mut line = queue.borrow_mut();
            line.record_admission(&service, kind.urgency, tokens, now);
            drop(line);
            let read_ms = (tokens / CAPACITY) as u64;
            let is_on_time = now_ms - sent.arrived_ms + read_ms <= kind.target_ms;
            let outcome = &mut outcomes[sent.kind];
            *if is_on_time {
                &mut outcome.on_time
            } else {
                &mut outcome.late
            } += 1;
        }
        waiting.retain(|one| {
            let kind = &kinds[one.kind];
            let left = kind.patience_ms.saturating_sub(now_ms - one.arrived_ms);
            let expected = one.ticket.expected_wait(now);
            let keeps = left > kind.patience_ms * 15 / 100
                && (ranking == RequestRanking::ByArrival
                    || expected <= Duration::from_millis(left));
            outcomes[one.kind].gave_up += u32::from(!keeps);
            keeps
        });
    }
    outcomes
}

fn terms(kind: &Kind, ranking: RequestRanking, age_ms: u64) -> WaitTerms {
    WaitTerms {
        request: RankedRequest {
            urgency: kind.urgency,
            age: Duration::from_millis(age_ms),
            target: Duration::from_millis(kind.target_ms),
            own_work: Duration::from_secs_f64(kind.tokens / CAPACITY / 1_000.0),
        },
        ranking,
        left: Duration::from_millis(kind.patience_ms - age_ms),
    }
}

/// Short prompts with a target of 400 ms beside long ones with one of 1.5 s.
fn short_and_long(load: f64) -> [Kind; 2] {
    let short = Kind {
        urgency: 1,
        target_ms: 400,
        patience_ms: 3_000,
        tokens: 1_800.0,
        load: CAPACITY * load * 0.6,
    };
    let long = Kind {
        target_ms: 1_500,
        patience_ms: 6_000,
        tokens: 6_600.0,
        load: CAPACITY * load * 0.4,
        ..short
    };
    [short, long]
}

/// Pattern: short and long prompts of the same urgency, at 1.3 and 1.7 times the room.
#[test]
fn short_prompts_with_a_near_target_are_not_late_behind_long_ones() {
    for load in [1.3, 1.7] {
        let before = play(&short_and_long(load), RequestRanking::ByArrival);
        let now = play(&short_and_long(load), RequestRanking::ByLoss);
        let all = |found: &[Outcomes]| found.iter().map(|kind| kind.on_time).sum::<u32>();
        assert!(all(&now) >= all(&before), "{load}: {before:?} {now:?}");
        assert!(
            now[0].on_time_share() >= before[0].on_time_share(),
            "{load}: {before:?} {now:?}"
        );
        // The long ones are not starved.
        assert!(
            now[1].served_share() > 0.5 * now[0].served_share(),
            "{load}: {now:?}"
        );
    }
}

/// Pattern: two priorities, 1.7 times the room.
#[test]
fn the_more_urgent_of_two_priorities_is_served_at_least_as_often() {
    let [urgent, _] = short_and_long(1.7);
    let usual = Kind {
        urgency: 3,
        ..urgent
    };
    let found = play(&[urgent, usual], RequestRanking::ByLoss);
    assert!(
        found[0].served_share() >= found[1].served_share(),
        "{found:?}"
    );
    assert!(
        found[0].on_time_share() >= found[1].on_time_share(),
        "{found:?}"
    );
}

/// Pattern: a burst of the long kind before short ones, which displace it.
#[test]
fn nobody_waits_in_line_only_to_be_refused_at_the_end() {
    let found = play(&short_and_long(1.7), RequestRanking::ByLoss);
    let asked: u32 = found.iter().map(|kind| kind.asked).sum();
    let gave_up: u32 = found.iter().map(|kind| kind.gave_up).sum();
    assert!(f64::from(gave_up) < 0.02 * f64::from(asked), "{found:?}");
}

/// Pattern: callers that return as told find others there that can still be on time.
#[test]
fn late_requests_stand_behind_those_that_can_be_on_time_and_small_ones_before_large_ones() {
    let [short, long] = short_and_long(1.0);
    let handicap = |kind: &Kind, age_ms| {
        RequestRanking::ByLoss.handicap(&terms(kind, RequestRanking::ByLoss, age_ms).request)
    };
    assert!(handicap(&short, 0) < handicap(&long, 0));
    assert!(handicap(&long, 0) < handicap(&short, 500));
    assert!(handicap(&short, 500) < handicap(&long, 1_500));
}

/// Pattern: late requests meet others at an engine.
#[test]
fn engines_read_what_can_be_on_time_first() {
    let [short, _] = short_and_long(1.0);
    let urgency = |ranking: RequestRanking, age_ms| {
        ranking.engine_urgency(&terms(&short, ranking, age_ms).request)
    };
    assert_eq!(urgency(RequestRanking::ByLoss, 0), 1);
    assert_eq!(urgency(RequestRanking::ByLoss, 500), 3);
    assert_eq!(urgency(RequestRanking::ByArrival, 500), 1);
}
