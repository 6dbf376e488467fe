//! Choice of the engines that are sent orders next.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::weights_rollout::{
    OrderState,
    OrderTracker,
    RolloutEngine, //
};

/// Time in milliseconds after boot.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

/// Creates engines with keys from 0 on, from their weights and whether this host owns them.
fn engines(states: &[(u64, bool)]) -> Vec<RolloutEngine> {
    let engines = states.iter().enumerate();
    engines
        .map(|(key, &(weights, is_own))| RolloutEngine {
            key: key as u64,
            weights,
            published_weights: weights,
            is_loading: false,
            is_load_due: false,
            is_own,
        })
        .collect()
}

/// State of an engine that loads for 300 ms from a given time on.
fn loading(version: u64, from_ms: u64) -> OrderState {
    OrderState::Loading {
        version,
        done: at(from_ms + 300),
        confirm_by: at(from_ms + 2_900),
    }
}

/// Simulates several hosts that share 18 engines, each of which loads in 300 ms. The `silent` host
/// sends no orders. Returns the highest number of concurrent loads, and the time in milliseconds
/// until all engines of the other hosts have loaded.
fn simulate_rollout(hosts: u64, silent: Option<u64>) -> (usize, u64) {
    let mut trackers: Vec<OrderTracker> = (0..hosts).map(|_| OrderTracker::default()).collect();
    let mut done_at: [Option<u64>; 18] = [None; 18];
    let mut most = 0;
    for ms in (0..60_000).step_by(40) {
        let before = done_at;
        let has = |key: u64| before[key as usize].is_some_and(|at| ms >= at);
        let owns = |host: u64, key: u64| key % hosts == host;
        for host in 0..hosts {
            let states: Vec<(u64, bool)> = (0..18)
                .map(|key| (1 + u64::from(has(key)), owns(host, key)))
                .collect();
            for key in trackers[host as usize].next_orders(&engines(&states), 2, 3, at(ms)) {
                if Some(host) != silent {
                    trackers[host as usize].set_state(key, loading(2, ms));
                    done_at[key as usize].get_or_insert(ms + 300);
                }
            }
        }
        let loading = |at: &Option<u64>| at.is_some_and(|at| ms < at);
        most = most.max(done_at.iter().filter(|at| loading(at)).count());
        let all = (0..18).all(|key| has(key) || Some(key % hosts) == silent);
        if all {
            return (most, ms);
        }
    }
    panic!("not all engines were loaded: {done_at:?}");
}

#[test]
fn concurrent_loads_are_limited_for_any_number_of_hosts() {
    for hosts in [1, 2, 5, 18] {
        let (most, took_ms) = simulate_rollout(hosts, None);
        assert!(most <= 3, "{hosts} hosts: {most} concurrent loads");
        assert!(took_ms <= 2_200, "{hosts} hosts: {took_ms} ms");
    }
}

#[test]
fn a_host_that_sends_no_orders_does_not_block_the_others() {
    let (_, took_ms) = simulate_rollout(5, Some(1));
    assert!(took_ms <= 5_000, "{took_ms} ms");
}

#[test]
fn an_engine_gets_no_second_order_while_it_loads() {
    let mut tracker = OrderTracker::default();
    let engines = engines(&[(1, true)]);
    tracker.set_state(0, OrderState::Calling);
    assert!(tracker.next_orders(&engines, 2, 4, at(0)).is_empty());
    tracker.set_state(0, loading(2, 0));
    assert!(
        tracker.next_orders(&engines, 2, 4, at(400)).is_empty(),
        "it is not confirmed yet"
    );
}

#[test]
fn engines_load_only_the_newest_of_several_versions() {
    let mut tracker = OrderTracker::default();
    let engines = engines(&[(1, true), (1, true)]);
    tracker.set_state(0, loading(2, 0));
    assert_eq!(
        tracker.next_orders(&engines, 4, 4, at(100)),
        [1],
        "the first engine is still loading"
    );
    let mut both = tracker.next_orders(&engines, 4, 4, at(300));
    both.sort_unstable();
    assert_eq!(both, [0, 1]);
}

#[test]
fn an_unconfirmed_order_is_sent_again() {
    let mut tracker = OrderTracker::default();
    let mut engines = engines(&[(2, true), (2, true)]);
    engines[0].published_weights = 1;
    tracker.set_state(0, loading(2, 0));
    tracker.set_state(1, loading(2, 0));
    assert!(tracker.take_unconfirmed(&engines, at(2_899)).is_empty());
    assert_eq!(tracker.take_unconfirmed(&engines, at(2_900)), [0]);
    engines[0].weights = 1;
    assert_eq!(tracker.next_orders(&engines, 2, 4, at(2_900)), [0]);
}

#[test]
fn an_engine_that_did_not_respond_is_contacted_again_later() {
    let mut tracker = OrderTracker::default();
    let engines = engines(&[(1, true)]);
    tracker.set_state(0, OrderState::Waiting(at(200)));
    assert!(tracker.next_orders(&engines, 2, 4, at(199)).is_empty());
    assert_eq!(tracker.next_orders(&engines, 2, 4, at(200)), [0]);
}

/// Engines of one host, by the time in milliseconds at which their load ends, if they load.
struct SlowLoads {
    tracker: OrderTracker,
    /// Weights of each engine.
    weights: Vec<u64>,
    /// Start and version of the load of each engine.
    loads: Vec<Option<(u64, u64)>>,
    load_ms: u64,
    expected_ms: u64,
}

impl SlowLoads {
    fn new(engines: usize, load_ms: u64) -> Self {
        Self {
            tracker: OrderTracker::default(),
            weights: vec![1; engines],
            loads: vec![None; engines],
            load_ms,
            expected_ms: load_ms,
        }
    }

    /// Ends the loads that are over, and starts those that the tracker wants.
    fn step(&mut self, wanted: u64, ms: u64) {
        let is_over = |load: &(u64, u64)| ms >= load.0 + self.load_ms;
        for (engine, load) in self.loads.iter_mut().enumerate() {
            if let Some((_, version)) = load.take_if(|load| is_over(load)) {
                self.weights[engine] = version;
                let done = OrderState::Loading {
                    version,
                    done: at(ms),
                    confirm_by: at(ms + 2_600),
                };
                self.tracker.set_state(engine as u64, done);
            }
        }
        let states = self.weights.iter().zip(&self.loads).enumerate();
        let engines: Vec<RolloutEngine> = states
            .map(|(key, (&weights, load))| RolloutEngine {
                key: key as u64,
                weights,
                published_weights: weights,
                is_loading: load.is_some(),
                is_load_due: load.is_some_and(|load| ms >= load.0 + self.expected_ms),
                is_own: true,
            })
            .collect();
        for key in self.tracker.next_orders(&engines, wanted, 2, at(ms)) {
            assert!(
                self.loads[key as usize].is_none(),
                "engine {key} is loading"
            );
            self.loads[key as usize] = Some((ms, wanted));
            self.tracker.set_state(key, OrderState::Calling);
        }
    }

    fn loading(&self) -> usize {
        self.loads.iter().flatten().count()
    }
}

#[test]
fn slow_loads_keep_their_turn_until_they_end() {
    let mut loads = SlowLoads::new(12, 1_500);
    let mut ms = 0;
    while loads.weights.contains(&1) {
        loads.step(2, ms);
        assert!(loads.loading() <= 2, "{} loads at {ms} ms", loads.loading());
        ms += 40;
    }
    assert!(ms <= 9_500, "{ms} ms");
}

#[test]
fn the_next_load_begins_when_one_is_due_though_nobody_saw_its_end() {
    let mut loads = SlowLoads::new(4, 900);
    loads.expected_ms = 700;
    loads.step(2, 0);
    loads.step(2, 699);
    assert_eq!(loads.loading(), 2);
    loads.step(2, 700);
    assert_eq!(loads.loading(), 4);
}

/// Versions are named every two seconds, faster than the fleet can load them. Without an order by
/// age, an engine that is last each time never loads at all.
#[test]
fn the_engines_with_the_oldest_weights_load_first() {
    let mut loads = SlowLoads::new(12, 900);
    for ms in (0..7_000).step_by(40) {
        loads.step(2 + ms / 2_000, ms);
    }
    let oldest = loads.weights.iter().filter(|&&weights| weights == 1);
    assert_eq!(oldest.count(), 0, "{:?}", loads.weights);
}

#[test]
fn a_newer_version_waits_until_the_load_in_progress_has_ended() {
    let mut loads = SlowLoads::new(2, 600);
    loads.step(2, 0);
    loads.step(3, 200);
    assert_eq!(loads.loads, [Some((0, 2)), Some((0, 2))]);
    loads.step(3, 600);
    assert_eq!(loads.loads, [Some((600, 3)), Some((600, 3))]);
}

#[test]
fn engines_that_were_not_reached_in_their_turn_are_not_ordered_all_at_once() {
    let mut tracker = OrderTracker::default();
    let mut engines = engines(&[(1, false); 12]);
    for ms in (0..9_000).step_by(40) {
        assert!(tracker.next_orders(&engines, 2, 2, at(ms)).is_empty());
    }
    for engine in &mut engines {
        engine.is_own = true;
    }
    assert_eq!(tracker.next_orders(&engines, 2, 2, at(9_000)).len(), 2);
}
