//! A queue that is fair between client accounts within classes of urgency.

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

/// Classes of urgency, the most urgent first.
const CLASSES: usize = 3;
/// One of so many turns goes to the least urgent class that waits, so that none starves.
const LOW_PRIORITY_INTERVAL: u64 = 16;

/// What is known of something that waits.
#[derive(Clone, Debug)]
pub struct SchedulingParams {
    /// Account it belongs to.
    pub account: AccountId,
    /// Share of the account against others.
    pub weight: u32,
    /// Class.
    pub urgency: Urgency,
    /// When it is of no more use.
    pub deadline: Instant,
    /// What it costs, in prompt tokens.
    pub cost: u64,
}

/// Place of a waiter in the queue.
#[derive(Clone, Debug)]
pub struct QueueHandle {
    /// Class.
    class: usize,
    /// Account.
    account: AccountId,
    /// Order within the account.
    position: QueuePosition,
}

/// Order of waiters of one account: the earliest deadline first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePosition {
    /// When it is of no more use.
    deadline: Instant,
    /// Number of its arrival.
    arrival: u64,
}

/// Queue of all classes.
#[derive(Debug)]
pub struct FairQueue<T> {
    /// Classes, the most urgent first.
    classes: [ClassQueue<T>; CLASSES],
    /// Arrivals so far.
    arrivals: u64,
    /// Turns given so far.
    pops: u64,
}

/// Queue of one class.
#[derive(Debug)]
struct ClassQueue<T> {
    /// Queues by account.
    accounts: HashMap<AccountId, AccountQueue<T>>,
    /// Cost over weight of what was served, as the account served last has it.
    virtual_time: f64,
    /// Waiters.
    len: usize,
}

/// Queue of one account in one class.
#[derive(Debug)]
struct AccountQueue<T> {
    /// Share against other accounts.
    weight: f64,
    /// Cost over weight of what was served.
    virtual_time: f64,
    /// Waiters.
    waiting: BTreeMap<QueuePosition, QueuedItem<T>>,
}

/// One waiter.
#[derive(Debug)]
struct QueuedItem<T> {
    /// What it costs.
    cost: u64,
    /// What waits.
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
    /// Waiters.
    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.len).sum()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Lets something wait.
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

    /// Takes the next.
    pub fn pop(&mut self) -> Option<T> {
        self.pops += 1;
        let mut waiting = (0..CLASSES).filter(|&class| self.classes[class].len > 0);
        let class = match self.pops % LOW_PRIORITY_INTERVAL {
            0 => waiting.next_back()?,
            _ => waiting.next()?,
        };
        self.classes[class].pop()
    }

    /// Takes one out that waits no longer.
    pub fn remove(&mut self, place: &QueueHandle) -> Option<T> {
        self.classes[place.class].remove(&place.account, place.position)
    }

    /// Takes one out to make room for a newcomer, when there is one that is less entitled.
    ///
    /// It is the one with the latest deadline of the account that waits with most for its
    /// weight, in the least urgent class that is no more urgent than the newcomer's.
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
            .waiting
            .last_key_value()?
            .0;
        class.remove(&most_backlogged, position)
    }

    /// Waiters that would be served before a newcomer, by the shares of the accounts.
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
    /// Lets something wait.
    fn push(&mut self, params: &SchedulingParams, position: QueuePosition, value: T) {
        self.len += 1;
        let now = self.virtual_time;
        let account = self.accounts.entry(params.account.clone());
        let account = account.or_insert_with(|| AccountQueue::new(now));
        account.weight = f64::from(params.weight.max(1));
        let cost = params.cost.max(1);
        account.waiting.insert(position, QueuedItem { cost, value });
    }

    /// Takes the earliest deadline of the account that was served least for its weight.
    fn pop(&mut self) -> Option<T> {
        let waiting = self.accounts.iter_mut();
        let (_, account) = waiting
            .filter(|(_, account)| !account.waiting.is_empty())
            .min_by(|(left_id, left), (right_id, right)| {
                let by_time = left.virtual_time.total_cmp(&right.virtual_time);
                by_time.then_with(|| left_id.cmp(right_id))
            })?;
        let (_, waiter) = account.waiting.pop_first()?;
        self.len -= 1;
        self.virtual_time = account.virtual_time;
        account.virtual_time += waiter.cost as f64 / account.weight;
        self.evict_idle();
        Some(waiter.value)
    }

    /// Takes one waiter out.
    fn remove(&mut self, account: &AccountId, position: QueuePosition) -> Option<T> {
        let queue = self.accounts.get_mut(account)?;
        let waiter = queue.waiting.remove(&position)?;
        self.len -= 1;
        self.evict_idle();
        Some(waiter.value)
    }

    /// Forgets accounts that wait for nothing and are owed nothing.
    fn evict_idle(&mut self) {
        let now = self.virtual_time;
        self.accounts
            .retain(|_, account| !account.waiting.is_empty() || account.virtual_time > now);
    }

    /// The account that waits with most for its weight.
    fn most_backlogged(&self) -> Option<AccountId> {
        let waiting = self.accounts.iter();
        let (id, _) = waiting
            .filter(|(_, account)| !account.waiting.is_empty())
            .max_by(|(left_id, left), (right_id, right)| {
                let by_backlog = left.backlog().total_cmp(&right.backlog());
                by_backlog.then_with(|| left_id.cmp(right_id))
            })?;
        Some(id.clone())
    }

    /// Waiters of an account for its weight.
    fn backlog(&self, account: &AccountId) -> f64 {
        self.accounts
            .get(account)
            .map_or(0.0, AccountQueue::backlog)
    }

    /// Waiters of a newcomer's account for its weight, with the newcomer.
    fn backlog_with(&self, newcomer: &SchedulingParams) -> f64 {
        let weight = f64::from(newcomer.weight.max(1));
        self.backlog(&newcomer.account) + 1.0 / weight
    }

    /// Waiters of this class that would be served before a newcomer.
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
            .map(|(_, account)| (rounds * account.weight).min(account.waiting.len() as f64))
            .sum();
        own_ahead + others_ahead as usize
    }
}

impl<T> AccountQueue<T> {
    /// A queue that starts level with the others.
    fn new(virtual_time: f64) -> Self {
        Self {
            weight: 1.0,
            virtual_time,
            waiting: BTreeMap::new(),
        }
    }

    /// Waiters for the weight.
    fn backlog(&self) -> f64 {
        self.waiting.len() as f64 / self.weight
    }

    /// Waiters with an earlier deadline.
    fn count_due_by(&self, deadline: Instant) -> usize {
        let end = QueuePosition {
            deadline: deadline + Duration::from_nanos(1),
            arrival: 0,
        };
        self.waiting.range(..end).count()
    }
}

/// Place of a class, the most urgent first.
fn class_index(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Batch => 2,
    }
}
