//! The line of requests under patterns of load: more asked than the engines can do, a lull before a
//! rush, urgent among less urgent ones, and the end of an overload.

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

/// Work of each request, in tokens.
const TOKENS: f64 = 2_000.0;
/// Capacity for 50 such requests a second, in tokens per millisecond.
const CAPACITY: f64 = 100.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Time in milliseconds after boot.
fn at(time: u64) -> BootInstant {
    BootInstant::ZERO + ms(time)
}

/// A fresh request with a target of 600 ms, whose caller waits for 2.4 s.
fn fresh(urgency: u8) -> WaitTerms {
    WaitTerms {
        request: RankedRequest {
            urgency,
            age: Duration::ZERO,
            target: ms(600),
            own_work: Duration::ZERO,
        },
        ranking: RequestRanking::ByArrival,
        left: ms(2_400),
    }
}

/// A request whose caller first came longer ago than the target.
fn late() -> WaitTerms {
    let mut terms = fresh(0);
    terms.request.age = ms(1_500);
    terms.left = ms(1_000);
    terms
}

/// A line before engines that can do [`CAPACITY`].
struct Line {
    queue: Rc<RefCell<AdmissionQueue>>,
    service: ServiceId,
}

impl Line {
    fn new() -> Self {
        let line = Self {
            queue: Rc::default(),
            service: ServiceId::from("engines"),
        };
        line.admit(at(0));
        line.queue
            .borrow_mut()
            .set_capacity(&line.service, CAPACITY);
        line
    }

    fn admit(&self, now: BootInstant) {
        let mut queue = self.queue.borrow_mut();
        queue.record_admission(&self.service, 0, TOKENS, now);
    }

    fn join(&self, terms: &WaitTerms, now: BootInstant) -> Option<WaitTicket> {
        admission_queue::join(&self.queue, &self.service, terms, now)
    }

    fn waiting(&self) -> usize {
        self.queue.borrow().waiting(&self.service)
    }
}

/// Three times as much is asked as can be done. Those that are let in get their turn in half of the
/// target; the others are refused when they come.
#[test]
fn overload_refuses_at_once_and_keeps_the_line_short() {
    let line = Line::new();
    let mut waiting: Vec<(u64, WaitTicket)> = Vec::new();
    let (mut refused, mut longest_wait) = (0, 0);
    for time in (10_000..20_000).step_by(20) {
        for _ in 0..3 {
            match line.join(&fresh(0), at(time)) {
                Some(ticket) => waiting.push((time, ticket)),
                None => refused += 1,
            }
        }
        if let Some(next) = waiting.iter().position(|(_, ticket)| ticket.is_at_head()) {
            let (since, _ticket) = waiting.remove(next);
            longest_wait = longest_wait.max(time - since);
            line.admit(at(time));
        }
        assert!(line.waiting() <= 20, "{} wait at {time} ms", line.waiting());
    }
    assert!((900..1_000).contains(&refused), "{refused} of 1500 refused");
    assert!(longest_wait <= 400, "{longest_wait} ms");
}

/// After a lull few requests were sent, which says nothing about how fast the engines are.
#[test]
fn a_rush_after_a_lull_is_let_in() {
    let line = Line::new();
    let tickets: Vec<_> = (0..12).map(|_| line.join(&fresh(0), at(30_000))).collect();
    assert_eq!(tickets.iter().flatten().count(), 12);
}

#[test]
fn the_line_is_empty_once_the_rush_is_over() {
    let line = Line::new();
    let tickets: Vec<_> = (0..40).map(|_| line.join(&fresh(0), at(30_000))).collect();
    assert!(tickets.iter().any(Option::is_none), "some were refused");
    drop(tickets);
    assert_eq!(line.waiting(), 0);
    let queue = line.queue.borrow();
    assert_eq!(
        queue.time_to_clear(&line.service, at(30_001)),
        Duration::ZERO
    );
}

#[test]
fn urgent_requests_go_first_but_do_not_starve_the_others() {
    let line = Line::new();
    let less_urgent = line.join(&fresh(1), at(1_000)).expect("a place");
    let mut urgent: Vec<WaitTicket> = Vec::new();
    for time in [1_000, 1_050, 1_100, 1_150, 1_200] {
        urgent.push(line.join(&fresh(0), at(time)).expect("a place"));
    }
    assert!(!less_urgent.is_at_head(), "five urgent ones are ahead");
    drop(urgent);
    let later: Vec<_> = (0..8).map(|_| line.join(&fresh(0), at(1_260))).collect();
    assert!(less_urgent.is_at_head(), "it came early enough");
    drop(later);
}

#[test]
fn requests_that_are_late_already_stand_behind_those_that_can_be_on_time() {
    let line = Line::new();
    let late_one = line.join(&late(), at(1_000)).expect("a place");
    let on_time: Vec<_> = (0..8).map(|_| line.join(&fresh(0), at(1_500))).collect();
    assert!(
        on_time.iter().all(Option::is_some),
        "it is not ahead of them"
    );
    assert!(!late_one.is_at_head());
}

#[test]
fn a_caller_that_leaves_gives_up_its_place() {
    let line = Line::new();
    let first: Vec<_> = (0..4).map(|_| line.join(&fresh(0), at(1_000))).collect();
    let next = line.join(&fresh(0), at(1_001)).expect("a place");
    assert!(!next.is_at_head());
    drop(first);
    assert!(next.is_at_head());
}

#[test]
fn work_that_is_less_urgent_does_not_count_as_ahead() {
    let line = Line::new();
    for _ in 0..400 {
        let mut queue = line.queue.borrow_mut();
        queue.record_admission(&line.service, 0, 1_000.0, at(1));
        queue.record_admission(&line.service, 1, 9_000.0, at(1));
    }
    let queue = line.queue.borrow();
    let share = queue.urgent_share(&line.service, 0);
    assert!((0.08..0.12).contains(&share), "{share}");
    assert!(queue.urgent_share(&line.service, 1) > 0.99);
}
