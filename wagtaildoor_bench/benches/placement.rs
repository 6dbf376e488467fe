//! Latency of a placement decision by number of replicas, with percentiles.

use std::{
    hint,
    time::{
        Duration,
        Instant, //
    },
};

use criterion::{
    BenchmarkId,
    Criterion, //
};
use hdrhistogram::Histogram;
use wagtaildoor::{
    placement::{
        PlacementPolicy,
        PlacementQuery, //
    },
    prefix::{
        self,
        LevelPrefix, //
    },
    routing_table::RoutingTable,
    schema::{
        EndpointState,
        EndpointView,
        EngineDone, //
    },
};

/// Numbers of replicas: one current deployment, one region, and the target size.
const REPLICAS: [usize; 3] = [18, 170, 1_200];
/// Number of client accounts.
const ACCOUNTS: usize = 64;
/// Documents per account.
const DOCUMENTS: usize = 16;
/// Length of each prompt, in tokens.
const PROMPT_TOKENS: u64 = 4_000;
/// Requests placed before the measurement, to fill the routing table.
const WARM_UP_REQUESTS: usize = 20_000;
/// Number of measured placements.
const SAMPLES: usize = 200_000;

/// Routing table that has learned from earlier requests.
struct WarmTable {
    table: RoutingTable,
    /// Prefix levels by prompt.
    prompts: Vec<Vec<LevelPrefix>>,
    /// Current time on the table's clock.
    now: Instant,
}

impl WarmTable {
    /// Creates a table that has placed the warm-up requests on `replicas` replicas.
    fn new(replicas: usize) -> Self {
        let now = Instant::now();
        let table = RoutingTable::with_seed(PlacementPolicy::default(), 1, now);
        let views: Vec<EndpointView> = (0..replicas).map(build_view).collect();
        table.replace_endpoints(&views, now);
        let mut warm_table = Self {
            table,
            prompts: build_prompts(),
            now,
        };
        for number in 0..WARM_UP_REQUESTS {
            warm_table.run_request(number);
        }
        warm_table
    }

    /// Selects the prompt of a request; every second request uses one of a few hot prompts.
    fn levels(&self, number: usize) -> &[LevelPrefix] {
        let index = match number % 2 {
            0 => number % 8,
            _ => number.wrapping_mul(7_919) % self.prompts.len(),
        };
        &self.prompts[index]
    }

    /// Builds the placement query of a request.
    fn query<'a>(&self, levels: &'a [LevelPrefix]) -> PlacementQuery<'a> {
        PlacementQuery {
            pool: "assistant",
            domain: "savannah",
            weights_version: 1,
            levels,
            prompt_tokens: PROMPT_TOKENS,
            deadline: self.now + Duration::from_secs(600),
            exclude: &[],
        }
    }

    /// Places a request and records its dispatch and completion.
    fn run_request(&mut self, number: usize) {
        let levels = self.levels(number).to_vec();
        self.now += Duration::from_millis(1);
        let Ok(choice) = self.table.place(&self.query(&levels), self.now) else {
            return;
        };
        let mut ticket = self.table.record_dispatch(&choice, self.now);
        self.table.record_first_token(&mut ticket, self.now);
        let done = EngineDone {
            boot_id: choice.boot_id.clone(),
            weights_version: 1,
            chunks: 1,
            prompt_tokens: PROMPT_TOKENS,
            cached_tokens: choice.expected_cached_tokens,
            queued: 0,
            level_blocks: Vec::new(),
        };
        self.table
            .record_completion(ticket, &done, &levels, self.now);
    }

    /// Returns the time that `place` takes, without the time to build the query.
    fn measure_placement(&self, number: usize) -> Duration {
        let query = self.query(self.levels(number));
        let before = Instant::now();
        let choice = self.table.place(&query, self.now);
        let elapsed = before.elapsed();
        hint::black_box(choice).expect("an endpoint");
        elapsed
    }
}

/// Builds the view of a live replica.
fn build_view(number: usize) -> EndpointView {
    EndpointView {
        id: format!("assistant-{number}").into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        pool: "assistant".into(),
        domain: ["savannah", "woodford", "st-james", "belmont"][number % 4].into(),
        state: EndpointState::Live,
        boot_id: format!("boot-{number}").into(),
        weights_version: 1,
        running: 4,
        queued: 0,
        report_age_ms: 0,
    }
}

/// Computes the prefix levels of every prompt.
fn build_prompts() -> Vec<Vec<LevelPrefix>> {
    let mut prompts = Vec::with_capacity(ACCOUNTS * DOCUMENTS);
    for account in 0..ACCOUNTS {
        let glossary = format!("glossary {account} ").repeat(600);
        for document in 0..DOCUMENTS {
            let dialect = format!("dialect {document} ").repeat(100);
            let levels = prefix::level_prefixes(
                &format!("account-{account}"),
                "assistant",
                "",
                1,
                &[&*glossary, &*dialect],
            );
            prompts.push(levels);
        }
    }
    prompts
}

/// Measures mean times with criterion.
fn measure_means(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for replicas in REPLICAS {
        let warm_table = WarmTable::new(replicas);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(replicas), |bencher| {
            bencher.iter(|| {
                number += 1;
                let query = warm_table.query(warm_table.levels(number));
                warm_table.table.place(&query, warm_table.now)
            });
        });
    }
    group.finish();
}

/// Measures and prints percentiles, which criterion does not report.
fn print_percentiles() {
    for replicas in REPLICAS {
        let warm_table = WarmTable::new(replicas);
        let mut times =
            Histogram::<u64>::new_with_bounds(1, 1_000_000_000, 3).expect("a histogram");
        for number in 0..SAMPLES {
            let elapsed = warm_table.measure_placement(number);
            times.saturating_record(elapsed.as_nanos() as u64);
        }
        println!(
            "placement/{replicas}: p50 {} ns, p99 {} ns, p99.9 {} ns of {SAMPLES}",
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
            times.value_at_quantile(0.999),
        );
    }
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(30)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2))
        .configure_from_args();
    measure_means(&mut criterion);
    criterion.final_summary();
    print_percentiles();
}
