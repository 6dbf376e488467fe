//! Priority queue with weighted fair queueing between the accounts of each urgency class.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    ids::AccountId,
    schema::Urgency, //
};

/// Number of urgency classes.
const CLASSES: usize = 3;
/// Every 16th pop serves the least urgent class that has items, so that no class starves.
const LOW_PRIORITY_INTERVAL: u64 = 16;

/// Scheduling parameters of a queued item.
#[derive(Clone, Debug)]
pub struct SchedulingParams {
    /// Account that the item belongs to.
    pub account: AccountId,
    /// Share of the account relative to other accounts; 0 counts as 1.
    pub weight: u32,
    /// Urgency class.
    pub urgency: Urgency,
    /// Time at which the item is no longer of use; the earliest deadline of an account goes first.
    pub deadline: Instant,
    /// Cost in prompt tokens; 0 counts as 1.
    pub cost: u64,
}

/// Handle of a queued item, for its removal.
#[derive(Clone, Debug)]
pub struct QueueHandle {
    class: usize,
    account: AccountId,
    position: QueuePosition,
}

/// Position among the items of one account: earliest deadline first, then first come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePosition {
    deadline: Instant,
    /// Number of pushes up to and including this item.
    arrival: u64,
}

/// Queue of all urgency classes.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Classes, most urgent first.
    classes: [ClassQueue<T>; CLASSES],
    /// Number of pushes so far.
    arrivals: u64,
    /// Number of pops so far.
    pops: u64,
}

/// Queue of one urgency class.
#[derive(Debug)]
struct ClassQueue<T> {
    accounts: HashMap<AccountId, AccountQueue<T>>,
    /// Virtual time of the account that was served last.
    virtual_time: f64,
    /// Queued items of all accounts.
    len: usize,
}

#[derive(Debug)]
struct AccountQueue<T> {
    /// Share relative to other accounts, at least 1.
    weight: f64,
    /// Sum of the served costs, each divided by the weight.
    virtual_time: f64,
    items: BTreeMap<QueuePosition, QueuedItem<T>>,
}

#[derive(Debug)]
struct QueuedItem<T> {
    cost: u64,
    value: T,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            classes: std::array::from_fn(|_| ClassQueue::default()),
            arrivals: 0,
            pops: 0,
        }
    }
}

impl<T> Default for ClassQueue<T> {
    fn default() -> Self {
        Self {
            accounts: HashMap::new(),
            virtual_time: 0.0,
            len: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.len).sum()
    }

    /// Whether the queue has no items.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Queues an item and returns a handle for its removal.
    pub fn push(&mut self, params: &SchedulingParams, value: T) -> QueueHandle {
        self.arrivals += 1;
        let position = QueuePosition {
            deadline: params.deadline,
            arrival: self.arrivals,
        };
        let class = class_index(params.urgency);
        self.classes[class].push(params, position, value);
        QueueHandle {
            class,
            account: params.account.clone(),
            position,
        }
    }

    /// Removes and returns the next item.
    pub fn pop(&mut self) -> Option<T> {
        self.pops += 1;
        let mut nonempty = (0..CLASSES).filter(|&class| self.classes[class].len > 0);
        let class = match self.pops % LOW_PRIORITY_INTERVAL {
            0 => nonempty.next_back()?,
            _ => nonempty.next()?,
        };
        self.classes[class].pop()
    }

    /// Removes a given item; `None` if it was already popped, evicted or removed.
    pub fn remove(&mut self, handle: &QueueHandle) -> Option<T> {
        self.classes[handle.class].remove(&handle.account, handle.position)
    }

    /// Evicts an item to make room for `newcomer`, if there is one with a weaker claim.
    ///
    /// The candidates are the items of the least urgent class that is not more urgent than the
    /// newcomer. Of its account with the most items per weight, the latest deadline is evicted.
    pub fn evict_for(&mut self, newcomer: &SchedulingParams) -> Option<T> {
        let victim_class = (class_index(newcomer.urgency)..CLASSES)
            .rev()
            .find(|&class| self.classes[class].len > 0)?;
        let same_class = victim_class == class_index(newcomer.urgency);
        let class = &mut self.classes[victim_class];
        let most_backlogged = class.most_backlogged()?;
        if same_class && class.backlog_with(newcomer) >= class.backlog(&most_backlogged) {
            return None;
        }
        let position = *class
            .accounts
            .get(&most_backlogged)?
            .items
            .last_key_value()?
            .0;
        class.remove(&most_backlogged, position)
    }

    /// Estimates how many items would be served before `newcomer`, given the accounts' shares.
    pub fn count_ahead_of(&self, newcomer: &SchedulingParams) -> usize {
        let own_class = class_index(newcomer.urgency);
        let more_urgent: usize = self.classes[..own_class]
            .iter()
            .map(|class| class.len)
            .sum();
        more_urgent + self.classes[own_class].count_ahead_of(newcomer)
    }
}

impl<T> ClassQueue<T> {
    /// Queues an item in its account.
    fn push(&mut self, params: &SchedulingParams, position: QueuePosition, value: T) {
        self.len += 1;
        let now = self.virtual_time;
        let account = self.accounts.entry(params.account.clone());
        let account = account.or_insert_with(|| AccountQueue::new(now));
        account.weight = f64::from(params.weight.max(1));
        let cost = params.cost.max(1);
        account.items.insert(position, QueuedItem { cost, value });
    }

    /// Removes the earliest deadline of the account with the lowest virtual time.
    fn pop(&mut self) -> Option<T> {
        let accounts = self.accounts.iter_mut();
        let (_, account) = accounts
            .filter(|(_, account)| !account.items.is_empty())
            .min_by(|(left_id, left), (right_id, right)| {
                let by_time = left.virtual_time.total_cmp(&right.virtual_time);
                by_time.then_with(|| left_id.cmp(right_id))
            })?;
        let (_, item) = account.items.pop_first()?;
        self.len -= 1;
        self.virtual_time = account.virtual_time;
        account.virtual_time += item.cost as f64 / account.weight;
        self.evict_idle();
        Some(item.value)
    }

    /// Removes one item.
    fn remove(&mut self, account: &AccountId, position: QueuePosition) -> Option<T> {
        let queue = self.accounts.get_mut(account)?;
        let item = queue.items.remove(&position)?;
        self.len -= 1;
        self.evict_idle();
        Some(item.value)
    }

    /// Drops accounts without items, unless their virtual time is ahead of the class.
    fn evict_idle(&mut self) {
        let now = self.virtual_time;
        self.accounts
            .retain(|_, account| !account.items.is_empty() || account.virtual_time > now);
    }

    /// Returns the account with the most queued items per weight.
    fn most_backlogged(&self) -> Option<AccountId> {
        let accounts = self.accounts.iter();
        let (id, _) = accounts
            .filter(|(_, account)| !account.items.is_empty())
            .max_by(|(left_id, left), (right_id, right)| {
                let by_backlog = left.backlog().total_cmp(&right.backlog());
                by_backlog.then_with(|| left_id.cmp(right_id))
            })?;
        Some(id.clone())
    }

    /// Returns the queued items of an account per weight; 0 for an unknown account.
    fn backlog(&self, account: &AccountId) -> f64 {
        self.accounts
            .get(account)
            .map_or(0.0, AccountQueue::backlog)
    }

    /// Returns the backlog of a newcomer's account, including the newcomer.
    fn backlog_with(&self, newcomer: &SchedulingParams) -> f64 {
        let weight = f64::from(newcomer.weight.max(1));
        self.backlog(&newcomer.account) + 1.0 / weight
    }

    /// Estimates how many items of this class would be served before `newcomer`.
    fn count_ahead_of(&self, newcomer: &SchedulingParams) -> usize {
        let own = self.accounts.get(&newcomer.account);
        let own_ahead = own.map_or(0, |account| account.count_due_by(newcomer.deadline));
        let share = f64::from(newcomer.weight.max(1));
        let others = self
            .accounts
            .iter()
            .filter(|(id, _)| **id != newcomer.account);
        let rounds = (own_ahead + 1) as f64 / share;
        let others_ahead: f64 = others
            .map(|(_, account)| (rounds * account.weight).min(account.items.len() as f64))
            .sum();
        own_ahead + others_ahead as usize
    }
}

impl<T> AccountQueue<T> {
    /// Creates an empty queue. It starts at the virtual time of its class, since an account earns
    /// no credit while it is idle.
    fn new(virtual_time: f64) -> Self {
        Self {
            weight: 1.0,
            virtual_time,
            items: BTreeMap::new(),
        }
    }

    /// Returns the queued items per weight.
    fn backlog(&self) -> f64 {
        self.items.len() as f64 / self.weight
    }

    /// Counts the items whose deadline is not later than `deadline`.
    fn count_due_by(&self, deadline: Instant) -> usize {
        let end = QueuePosition {
            deadline: deadline + Duration::from_nanos(1),
            arrival: 0,
        };
        self.items.range(..end).count()
    }
}

/// Returns the index of a class; the most urgent is 0.
fn class_index(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Batch => 2,
    }
}
