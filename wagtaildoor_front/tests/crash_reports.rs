//! Calls to the store for crash reports, in a group of 59 hosts of which many learn the same.

#[path = "support/test_host.rs"]
mod test_host;

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    future,
    rc::Rc,
    time::Duration, //
};

use test_host::TextCodec;
use tokio::{
    task::{
        self,
        LocalSet, //
    },
    time,
};
use wagtaildoor::{
    boot_clock::BootInstant,
    crash_ledger::CrashReport, //
};
use wagtaildoor_front::{
    control_follower,
    control_store::{
        ControlPage,
        ControlRecord,
        ControlStore,
        ControlStream,
        GroupMember,
        LeaseRecord,
        RecordChange,
        Result,
        ShardAssignment,
        ShardId,
        ShardOwners,
        SnapshotPart, //
    },
    crash_reports::{
        self,
        ReportChange, //
    },
    front::Front,
    read_progress::ReadProgress,
    stream_position::{
        StoreEra,
        StreamPosition, //
    },
};

/// A store to which other hosts write a record all the time.
#[derive(Clone, Default)]
struct BusyStore {
    /// Time of each append, and its number of records.
    appends: Rc<RefCell<Vec<(time::Instant, usize)>>>,
    /// Number of reads of changes.
    reads: Rc<Cell<u64>>,
}

impl ControlStore for BusyStore {
    async fn read_snapshot(
        &self,
        _: ControlStream,
        _: Option<&str>,
        _: Duration,
        _: &ReadProgress,
    ) -> Result<SnapshotPart> {
        Ok(SnapshotPart {
            end: StreamPosition::new(1, 1),
            ..SnapshotPart::default()
        })
    }

    async fn read_changes(
        &self,
        _: ControlStream,
        from: StreamPosition,
        _: Duration,
        _: &ReadProgress,
    ) -> Result<ControlPage> {
        self.reads.set(self.reads.get() + 1);
        time::sleep(Duration::from_millis(2)).await;
        let record = ControlRecord {
            position: from,
            key: "report".into(),
            value: None,
        };
        Ok(ControlPage {
            records: vec![record],
            next: StreamPosition::new(1, from.offset + 1),
            has_more: false,
        })
    }

    async fn append(&self, _: ControlStream, records: &[RecordChange]) -> Result<()> {
        let call = (time::Instant::now(), records.len());
        self.appends.borrow_mut().push(call);
        Ok(())
    }

    async fn read_settled_era(&self) -> Result<(StoreEra, Option<StoreEra>)> {
        future::pending().await
    }

    async fn write_settled_era(&self, _: StoreEra) -> Result<()> {
        Ok(())
    }

    fn shard_count(&self) -> ShardId {
        1
    }

    async fn join_group(&self, _: &GroupMember, _: u64, _: Duration) -> Result<ShardAssignment> {
        future::pending().await
    }

    async fn read_owners(&self) -> Result<ShardOwners> {
        future::pending().await
    }

    async fn read_lease_records(&self) -> Result<Vec<LeaseRecord>> {
        future::pending().await
    }

    async fn write_lease_records(&self, _: &[LeaseRecord]) -> Result<()> {
        Ok(())
    }
}

/// Runs a test on a host that knows 58 others, with a paused clock.
fn run_on_host<F: future::Future<Output = ()>>(test: impl FnOnce(Rc<Front>, BusyStore) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let front = test_host::new_host();
        let members = (1..60).map(|number| GroupMember {
            host: format!("host-{number}").into(),
            domain: "a".into(),
            address: format!("10.0.0.{number}:7000").parse().expect("an address"),
        });
        let now = BootInstant::now();
        front
            .peers
            .borrow_mut()
            .apply_group_list(members.collect(), now);
        let store = BusyStore::default();
        let publish = crash_reports::publish_reports(front.clone(), store.clone());
        let publisher = task::spawn_local(publish);
        test(front, store).await;
        publisher.abort();
    });
}

fn crash(part: u64) -> CrashReport {
    CrashReport {
        part,
        engine: 7,
        known_crashes: 0,
        in_first_event: true,
    }
}

/// Guards against evidence that reaches the other hosts late, while engines go on crashing.
#[test]
fn crashes_are_written_at_once_even_beside_withdrawals() {
    run_on_host(|front, store| async move {
        let begun = time::Instant::now();
        for change in [
            ReportChange::Withdrawal(1, 7),
            ReportChange::Crash(crash(2)),
        ] {
            front.report_queue.borrow_mut().push(change);
        }
        time::sleep(Duration::from_millis(5)).await;
        let appends = store.appends.borrow();
        assert_eq!(appends.len(), 1, "{appends:?}");
        assert!(appends[0].0 - begun < Duration::from_millis(5));
    });
}

/// Guards against calls that grow with the square of the number of hosts: on a deployment of 59 hosts,
/// each of them wrote the same withdrawals.
#[test]
fn withdrawals_that_another_host_has_written_are_not_written_again() {
    run_on_host(|front, store| async move {
        let withdrawal = ReportChange::Withdrawal(1, 7);
        front.report_queue.borrow_mut().push(withdrawal);
        // Read from the store before this host's turn.
        task::yield_now().await;
        crash_reports::apply_change(&front, &withdrawal);
        time::sleep(Duration::from_secs(2)).await;
        assert_eq!(store.appends.borrow().len(), 0);
    });
}

#[test]
fn withdrawals_are_written_together_once_it_is_this_hosts_turn() {
    run_on_host(|front, store| async move {
        for part in 0..40 {
            let withdrawal = ReportChange::Withdrawal(part, 7);
            front.report_queue.borrow_mut().push(withdrawal);
            time::sleep(Duration::from_millis(1)).await;
        }
        time::sleep(Duration::from_secs(2)).await;
        let appends = store.appends.borrow();
        let records: usize = appends.iter().map(|(_, records)| records).sum();
        assert_eq!(records, 40);
        assert!(appends.len() <= 2, "{appends:?}");
    });
}

/// Guards against reports that end the long polls of all hosts one by one.
#[test]
fn reports_that_come_one_after_the_other_are_read_together() {
    run_on_host(|front, store| async move {
        let stream = ControlStream::CrashReports;
        let follow = control_follower::follow_stream::<TextCodec, _>(front, store.clone(), stream);
        let follower = task::spawn_local(follow);
        time::sleep(Duration::from_secs(3)).await;
        follower.abort();
        assert!(
            (5..=12).contains(&store.reads.get()),
            "{}",
            store.reads.get()
        );
    });
}
