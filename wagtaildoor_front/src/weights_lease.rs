//! The lease under which one host at a time gives orders to engines.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use tokio::time;
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    control_store::{
        ControlStore,
        GroupMember,
        GroupShare, //
    },
    front::Front,
};

/// Part of the expiry that the holder leaves unused.
const MARGIN_PART: u32 = 5;
/// Least pause between two reads of the group's members.
const MEMBERS_PAUSE: Duration = Duration::from_secs(5);

/// A lease that this host holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Number that goes with orders; a later holder has a higher one.
    pub fencing: u64,
    /// Before this, an order of the holder before could still be on its way.
    usable_from: BootInstant,
    /// From then on another host may hold it.
    valid_until: BootInstant,
}

impl HeldLease {
    /// Whether an order may be given; to be asked right before each one.
    pub fn may_order(&self, now: BootInstant) -> bool {
        now >= self.usable_from && now < self.valid_until
    }
}

/// The lease as this host last knew it.
#[derive(Debug, Default)]
pub struct WeightsLease {
    /// The lease, if this host holds it.
    held: Cell<Option<HeldLease>>,
}

/// Times of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTimes {
    /// Time for which the holder keeps it without a word.
    pub expiry: Duration,
    /// Time that must lie between the orders of two holders.
    pub handover: Duration,
}

impl WeightsLease {
    /// The lease, if orders may be given now.
    pub fn usable(&self, now: BootInstant) -> Option<HeldLease> {
        self.held.get().filter(|held| held.may_order(now))
    }

    /// Whether this host holds it, though it may not give orders yet.
    pub fn is_held(&self) -> bool {
        self.held.get().is_some()
    }

    /// Takes the group's answer to a word that was sent at `asked`.
    ///
    /// The group may deal the lease anew at any time without asking its holder. So a new holder
    /// waits until the one before has noticed, and for the handover on top.
    pub fn answered(
        &self,
        share: &GroupShare,
        asked: BootInstant,
        now: BootInstant,
        times: &LeaseTimes,
    ) {
        if !share.holds_lease {
            self.held.set(None);
            return;
        }
        let before = self.held.get().filter(|held| asked < held.valid_until);
        let usable_from = match before {
            Some(held) => held.usable_from,
            None => now + times.expiry + times.handover,
        };
        self.held.set(Some(HeldLease {
            fencing: share.generation,
            usable_from,
            valid_until: asked + times.expiry - times.expiry / MARGIN_PART,
        }));
    }

    /// Gives it up.
    pub fn drop_held(&self) {
        self.held.set(None);
    }
}

/// Keeps this host in the group until the process ends.
pub async fn keep<S: ControlStore>(front: Rc<Front>, store: S, lease: Rc<WeightsLease>) {
    let policy = &front.settings.rollout;
    let times = LeaseTimes {
        expiry: policy.lease_expiry,
        handover: policy.handover,
    };
    let member = GroupMember {
        host: front.settings.host.clone(),
        address: front.settings.peers,
    };
    let mut generation = 0;
    let mut members = MemberReads::default();
    loop {
        let asked = BootInstant::now();
        match store.join(&member, generation, times.expiry).await {
            Ok(share) => {
                let now = BootInstant::now();
                let held = lease.is_held();
                lease.answered(&share, asked, now, &times);
                if held != share.holds_lease {
                    slog::info!(front.log, "lease of orders"; "held" => share.holds_lease,
                        "generation" => share.generation);
                }
                let changed = share.generation != generation;
                generation = share.generation;
                members.refresh(&front, &store, changed, now).await;
            }
            Err(error) => {
                slog::debug!(front.log, "no word to the group"; "error" => %error);
                // After an outage the group may have forgotten its generations.
                generation = 0;
            }
        }
        time::sleep(policy.lease_pause).await;
    }
}

/// When the group's members were read.
#[derive(Debug, Default)]
struct MemberReads {
    /// Last time.
    at: Option<BootInstant>,
    /// The group has changed since.
    is_stale: bool,
}

impl MemberReads {
    /// Reads the members when the group has changed, but not too often.
    async fn refresh<S: ControlStore>(
        &mut self,
        front: &Front,
        store: &S,
        changed: bool,
        now: BootInstant,
    ) {
        self.is_stale |= changed;
        let due = self.at.is_none_or(|at| now.since(at) > MEMBERS_PAUSE);
        if !self.is_stale || !due {
            return;
        }
        match store.members().await {
            Ok(members) => {
                slog::info!(front.log, "hosts of the group"; "count" => members.len());
                *front.members.borrow_mut() = members;
                self.at = Some(now);
                self.is_stale = false;
            }
            Err(error) => slog::debug!(front.log, "members not read"; "error" => %error),
        }
    }
}
