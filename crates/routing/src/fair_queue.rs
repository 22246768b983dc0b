//! A bounded queue that is strict between priorities and fair between tenants of one priority.
//!
//! Fairness is deficit round robin (Shreedhar and Varghese, 1996) over tenants, weighted, with
//! the prompt's tokens as cost: a tenant with many long prompts does not starve a small one.

use std::collections::{BTreeMap, VecDeque};

use drumshore_core::{Priority, TenantName, Timestamp};

const QUANTUM_TOKENS: u64 = 4_096;

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedItem<T> {
    /// What waits.
    pub item: T,
    /// Whose it is.
    pub tenant: TenantName,
    /// How urgent it is.
    pub priority: Priority,
    /// What it costs, in prompt tokens.
    pub cost: u64,
    /// When it is of no use any more.
    pub deadline: Timestamp,
}

#[derive(Debug)]
struct TenantQueue<T> {
    items: VecDeque<QueuedItem<T>>,
    weight: u64,
    deficit: u64,
}

#[derive(Debug)]
struct PriorityClass<T> {
    tenants: BTreeMap<TenantName, TenantQueue<T>>,
    rotation: VecDeque<TenantName>,
}

impl<T> Default for PriorityClass<T> {
    fn default() -> Self {
        Self {
            tenants: BTreeMap::new(),
            rotation: VecDeque::new(),
        }
    }
}

/// The queue. Its length is bounded by its owner through [`FairQueue::push`].
#[derive(Debug)]
pub struct FairQueue<T> {
    capacity: usize,
    length: usize,
    classes: BTreeMap<Priority, PriorityClass<T>>,
}

impl<T> FairQueue<T> {
    /// An empty queue for `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            length: 0,
            classes: BTreeMap::new(),
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// True when none waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Queues a request. When the queue is full, the newest request of the lowest priority and
    /// of the tenant with most waiting there has to go, which may be this one; it is returned.
    pub fn push(&mut self, queued: QueuedItem<T>, weight: u32) -> Option<QueuedItem<T>> {
        let class = self.classes.entry(queued.priority).or_default();
        if !class.tenants.contains_key(&queued.tenant) {
            class.rotation.push_back(queued.tenant.clone());
        }
        let tenant = class
            .tenants
            .entry(queued.tenant.clone())
            .or_insert_with(|| TenantQueue {
                items: VecDeque::new(),
                weight: 1,
                deficit: 0,
            });
        tenant.weight = u64::from(weight.max(1));
        tenant.items.push_back(queued);
        self.length += 1;
        if self.length > self.capacity {
            return self.shed();
        }
        None
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<QueuedItem<T>> {
        let item = self.classes.values_mut().find_map(PriorityClass::pop)?;
        self.length -= 1;
        Some(item)
    }

    /// Puts a request back at the head of its tenant's line, with its turn.
    pub fn requeue_front(&mut self, queued: QueuedItem<T>, weight: u32) {
        let class = self.classes.entry(queued.priority).or_default();
        class.rotation.retain(|tenant| *tenant != queued.tenant);
        class.rotation.push_front(queued.tenant.clone());
        let tenant = class
            .tenants
            .entry(queued.tenant.clone())
            .or_insert_with(|| TenantQueue {
                items: VecDeque::new(),
                weight: u64::from(weight.max(1)),
                deficit: 0,
            });
        tenant.deficit += queued.cost;
        tenant.items.push_front(queued);
        self.length += 1;
    }

    /// Takes out every request that `matches` wants, in queue order.
    pub fn drain_where(&mut self, matches: impl Fn(&QueuedItem<T>) -> bool) -> Vec<QueuedItem<T>> {
        let mut removed = Vec::new();
        for class in self.classes.values_mut() {
            for tenant in class.tenants.values_mut() {
                let items = std::mem::take(&mut tenant.items);
                let (out, kept): (Vec<_>, Vec<_>) =
                    items.into_iter().partition(|item| matches(item));
                tenant.items = kept.into();
                removed.extend(out);
            }
            class.remove_empty_tenants();
        }
        self.length -= removed.len();
        removed
    }

    fn shed(&mut self) -> Option<QueuedItem<T>> {
        let class = self
            .classes
            .values_mut()
            .rev()
            .find(|class| !class.tenants.is_empty())?;
        let fullest = class
            .tenants
            .values_mut()
            .max_by_key(|tenant| tenant.items.len() as u64 / tenant.weight)?;
        let item = fullest.items.pop_back()?;
        class.remove_empty_tenants();
        self.length -= 1;
        Some(item)
    }
}

impl<T> PriorityClass<T> {
    fn pop(&mut self) -> Option<QueuedItem<T>> {
        loop {
            let name = self.rotation.front()?.clone();
            let Some(tenant) = self.tenants.get_mut(&name) else {
                self.rotation.pop_front();
                continue;
            };
            let Some(cost) = tenant.items.front().map(|item| item.cost) else {
                self.tenants.remove(&name);
                self.rotation.pop_front();
                continue;
            };
            if tenant.deficit >= cost {
                tenant.deficit -= cost;
                let item = tenant.items.pop_front();
                self.remove_empty_tenants();
                return item;
            }
            tenant.deficit += QUANTUM_TOKENS * tenant.weight;
            self.rotation.rotate_left(1);
        }
    }

    fn remove_empty_tenants(&mut self) {
        self.tenants.retain(|_, tenant| !tenant.items.is_empty());
        let tenants = &self.tenants;
        self.rotation.retain(|name| tenants.contains_key(name));
    }
}
