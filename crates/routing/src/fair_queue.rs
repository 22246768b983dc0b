//! A bounded queue with strict order between priorities and fair order between the tenants of one
//! priority.
//!
//! Tenants are served by weighted deficit round robin (Shreedhar and Varghese, 1996). The cost of a
//! request is its prompt length, so that a tenant with many long prompts does not starve a small
//! one.

use std::collections::{BTreeMap, VecDeque};

use drumshore_core::{Priority, TenantName, Timestamp};

const QUANTUM_TOKENS: u64 = 4_096;

/// A queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedItem<T> {
    /// The owner's handle of the request.
    pub item: T,
    /// The tenant that sent the request.
    pub tenant: TenantName,
    /// Requests of a more urgent priority are always taken first.
    pub priority: Priority,
    /// The cost in prompt tokens.
    pub cost: u64,
    /// The time after which the request is no longer worth serving; the owner removes it then.
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

/// The queue. [`FairQueue::push`] sheds a request when the capacity is exceeded.
#[derive(Debug)]
pub struct FairQueue<T> {
    capacity: usize,
    length: usize,
    classes: BTreeMap<Priority, PriorityClass<T>>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            length: 0,
            classes: BTreeMap::new(),
        }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// True if no request is queued.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Queues a request. If this exceeds the capacity, one request is removed and returned,
    /// possibly the new one: in the lowest queued priority, the newest request of the tenant that
    /// has the most requests relative to its weight.
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

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<QueuedItem<T>> {
        let item = self.classes.values_mut().find_map(PriorityClass::pop)?;
        self.length -= 1;
        Some(item)
    }

    /// Puts a request that [`FairQueue::pop`] returned back to the front of its tenant's queue and
    /// refunds its cost, so that it is the next request of its priority. Does not check the
    /// capacity.
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

    /// Removes and returns all requests for which `matches` returns true: by priority, then by
    /// tenant, and in queue order for each tenant.
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
