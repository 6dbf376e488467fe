//! Processor time of a check of a request against its account's quota.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use criterion::{
    BenchmarkId,
    Criterion, //
};
use wagtaildoor::{
    boot_clock::BootInstant,
    ids::AccountId, //
};
use wagtaildoor_front::{
    account_quota::quota_ledger::QuotaLedger,
    service_config::{
        QuotaRule,
        QuotaUnit, //
    },
};

/// Numbers of client accounts: a current deployment, and the target size.
const ACCOUNTS: [usize; 2] = [16, 1_100];
/// Other hosts that share the quotas.
const HOSTS: u8 = 250;
/// Tokens of each request.
const TOKENS: u64 = 1_800;
/// Window over which quotas are judged.
const WINDOW: Duration = Duration::from_secs(8);

fn measure_checks(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("account_quota");
    for count in ACCOUNTS {
        let accounts: Vec<AccountId> = (0..count).map(|n| format!("account-{n}").into()).collect();
        let rule = QuotaRule {
            unit: QuotaUnit::Tokens { unstated: 200 },
            rate_per_s: 1e6,
            burst: 1e6,
        };
        let start = BootInstant::now();
        let mut ledger = QuotaLedger::new(WINDOW, start);
        ledger.set_rules(accounts.iter().map(|account| (account, rule)), start);
        let others = (0..HOSTS).map(|host| SocketAddr::from(([10, 0, 0, host], 7_000)));
        ledger.set_members(others, start);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                number += 1;
                let account = &accounts[number * 7_919 % count];
                ledger.try_acquire(account, Some(TOKENS), BootInstant::now())
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(30)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2))
        .configure_from_args();
    measure_checks(&mut criterion);
    criterion.final_summary();
}
