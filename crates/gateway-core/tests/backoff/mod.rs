//! Callers, routers and back ends that request backoff, on a virtual clock.
//!
//! A back end runs a few requests at once and rejects others with a backoff (Retry-After) that it requests from the
//! router. Callers retry at the time that the router names, within their deadline.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{
    BackEndNotice, Changes, Choice, ChoiceError, Document, EarlierAttempts, InstanceRecord,
    Lifecycle, LoadEntry, Outcome, Pool, PoolName, RequestHead, RequestKind, RequestRate, Route,
    RouterCore, RouterParams, Share, SoftwareVersion,
};
use drumshore_wire::{Blob, List, Text};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const BACK_ENDS: usize = 18;
pub const SLOTS: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Capacity of all back ends together, in requests a second.
pub const CAPACITY: f64 = (BACK_ENDS * SLOTS * 10) as f64;
const ONE_WAY: Duration = Duration::from_millis(2);
const DEADLINE: Duration = Duration::from_secs(5);
/// Callers wait no longer than the time until their deadline, divided by this.
const LONGEST_WAIT_DIVISOR: u32 = 3;
const MAX_RETRIES: u32 = 2;
/// Callers retry after this time when a back end rejected them and the pool as a whole requests no backoff.
const SHORT_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Interval at which routers receive the loads of one another.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two reports about one back end.
const NOTIFY_AGAIN_AFTER: Duration = Duration::from_millis(200);

/// Callers whose first request is sent from here on count as late; the last disturbance ended some seconds before.
const LATE_START: Duration = Duration::from_secs(18);

/// When callers retry after all back ends requested backoff.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryTiming {
    /// All callers at the end of the shortest backoff.
    AfterFirstBackoff,
    /// Spread at random after the end of the shortest backoff, over this fraction of its duration.
    Spread(f64),
    /// After the time that the router returns in `retry_after`.
    AsRouterAsks,
}

/// What is reported to the other routers about a back end that requested backoff from one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    Nothing,
    /// One report for each rejected request; the other routers avoid the back end for a short time.
    Once,
    /// Repeated reports while the backoff lasts.
    WhileBackoffLasts,
}

#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// False for routers that ignore the limits and backoff of back ends.
    pub honors_notices: bool,
    pub routers: usize,
    pub retry_timing: RetryTiming,
    pub sharing: Sharing,
    /// The backoff that back ends request.
    pub requested_backoff: Duration,
}

/// A period in which some back ends reject all requests or announce a limit.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// Requests a second that each back end accepts from all routers together; `None` if they reject all.
    pub limit: Option<f64>,
    pub back_ends: usize,
    pub from: Duration,
    pub to: Duration,
}

/// Outcomes of callers, and requests at back ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Callers, each counted at its first request.
    pub asked: u32,
    pub served: u32,
    pub never_served: u32,
    /// Callers whose first request was sent from [`LATE_START`] on.
    pub late_asked: u32,
    pub late_served: u32,
    /// Total time from the first request to the answer, of callers that were served.
    pub waited: Duration,
    /// Requests that back ends rejected.
    pub rejected: u32,
    /// The largest number of requests that arrived at one back end in 100 ms.
    pub max_arrivals: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Caller {
    first_asked: u64,
    retries: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Requests(Caller),
    Arrives { request: usize },
    Ends { request: usize, was_rejected: bool },
    Exchange,
}

struct Request {
    caller: Caller,
    router: usize,
    back_end: usize,
    choice: Choice,
    sent: Timestamp,
}

pub struct Simulation {
    setting: Setting,
    disturbances: Vec<Disturbance>,
    now: Timestamp,
    routers: Vec<RouterCore>,
    running: Vec<usize>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    requests: Vec<Request>,
    random: ChaCha8Rng,
    /// End of the backoff, by router and back end key.
    active_backoffs: BTreeMap<(usize, u32), Timestamp>,
    /// Backoff requested since the last exchange.
    new_backoffs: Vec<(usize, u32)>,
    notified: BTreeMap<u32, Timestamp>,
    /// By back end, the number of the current window of 100 ms and the arrivals in it.
    windows: Vec<(u64, u32)>,
    tally: Tally,
}

impl Simulation {
    pub fn new(setting: Setting, disturbances: &[Disturbance], seed: u64) -> Self {
        let routers = (0..setting.routers).map(|router| new_router(seed * 1_000 + router as u64));
        let mut simulation = Self {
            setting,
            disturbances: disturbances.to_vec(),
            now: Timestamp(1),
            routers: routers.collect(),
            running: vec![0; BACK_ENDS],
            events: BinaryHeap::new(),
            order: 0,
            requests: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            active_backoffs: BTreeMap::new(),
            new_backoffs: Vec::new(),
            notified: BTreeMap::new(),
            windows: vec![(0, 0); BACK_ENDS],
            tally: Tally::default(),
        };
        simulation.push(Timestamp(1), Event::Exchange);
        simulation
    }

    /// Schedules first requests of new callers at this rate between two times.
    pub fn add_callers(&mut self, per_second: f64, from: Duration, to: Duration) {
        let mut at = from.as_secs_f64();
        loop {
            at += -self.random.random::<f64>().max(1e-12).ln() / per_second;
            if at >= to.as_secs_f64() {
                return;
            }
            let first_request = Timestamp(1).plus(Duration::from_secs_f64(at));
            let caller = Caller {
                first_asked: first_request.0,
                retries: 0,
            };
            self.tally.asked += 1;
            self.tally.late_asked += u32::from(is_late(caller));
            self.push(first_request, Event::Requests(caller));
        }
    }

    /// Processes events until the end time.
    pub fn run(mut self, end: Duration) -> Tally {
        let end = Timestamp(1).plus(end);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = Timestamp(at);
            if self.now >= end {
                break;
            }
            match event {
                Event::Requests(caller) => self.send_request(caller),
                Event::Arrives { request } => self.arrive(request),
                Event::Ends {
                    request,
                    was_rejected,
                } => self.end(request, was_rejected),
                Event::Exchange => self.exchange(),
            }
        }
        self.tally
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at.0, self.order, event)));
    }

    fn send_request(&mut self, caller: Caller) {
        let router = self.random.random_range(0..self.routers.len());
        let now = self.now;
        let routers = self.routers.len() as u16;
        let core = &mut self.routers[router];
        core.on_confirmed(now, 1, routers);
        let admission = core.admit(now, head()).unwrap();
        match core.choose(now, &admission, None, EarlierAttempts::default()) {
            Ok(choice) => {
                let back_end = choice.instance.as_str()[3..].parse().unwrap();
                self.requests.push(Request {
                    caller,
                    router,
                    back_end,
                    choice,
                    sent: now,
                });
                let request = self.requests.len() - 1;
                self.push(now.plus(ONE_WAY), Event::Arrives { request });
            }
            Err(error) => self.schedule_retry(caller, Some(error)),
        }
    }

    /// Schedules a retry of the caller, or gives up after [`MAX_RETRIES`].
    fn schedule_retry(&mut self, caller: Caller, error: Option<ChoiceError>) {
        let sample: f64 = self.random.random();
        let wait = match (error, self.setting.retry_timing) {
            (Some(ChoiceError::BackedOff(backoff)), retry_timing) => match retry_timing {
                RetryTiming::AfterFirstBackoff => backoff.soonest,
                RetryTiming::Spread(fraction) => backoff.soonest.mul_f64(1.0 + fraction * sample),
                RetryTiming::AsRouterAsks => backoff.retry_after,
            },
            _ => SHORT_RETRY_DELAY,
        };
        let elapsed = self.now.since(Timestamp(caller.first_asked));
        let remaining = DEADLINE.saturating_sub(elapsed);
        let wait = wait.min(remaining / LONGEST_WAIT_DIVISOR);
        let retries = caller.retries + 1;
        if retries > MAX_RETRIES {
            self.tally.never_served += 1;
            return;
        }
        let caller = Caller { retries, ..caller };
        self.push(self.now.plus(wait), Event::Requests(caller));
    }

    fn arrive(&mut self, request: usize) {
        let back_end = self.requests[request].back_end;
        self.count_arrival(back_end);
        let elapsed = self.now.since(Timestamp(1));
        let disturbance = self.disturbance_of(back_end, elapsed);
        let rejects_all = disturbance.is_some_and(|disturbance| disturbance.limit.is_none());
        let was_rejected = rejects_all || self.running[back_end] >= SLOTS;
        let service_time = if was_rejected {
            self.tally.rejected += 1;
            Duration::ZERO
        } else {
            self.running[back_end] += 1;
            SERVICE_TIME.mul_f64(0.5 + self.random.random::<f64>())
        };
        let ends = self.now.plus(service_time + ONE_WAY);
        self.push(
            ends,
            Event::Ends {
                request,
                was_rejected,
            },
        );
    }

    fn disturbance_of(&self, back_end: usize, elapsed: Duration) -> Option<Disturbance> {
        let mut disturbances = self.disturbances.iter();
        let disturbance = disturbances.find(|disturbance| {
            back_end < disturbance.back_ends
                && (disturbance.from..disturbance.to).contains(&elapsed)
        });
        disturbance.copied()
    }

    /// Passes the limit in the back end's answer, or the absence of one, to the router.
    fn report_limit(&mut self, request: usize) {
        let Request {
            router,
            back_end,
            ref choice,
            sent,
            ..
        } = self.requests[request];
        let elapsed = self.now.since(Timestamp(1));
        let limit = self
            .disturbance_of(back_end, elapsed)
            .and_then(|disturbance| disturbance.limit);
        let notice = BackEndNotice {
            limit: limit.and_then(RequestRate::per_second),
            ..BackEndNotice::default()
        };
        if self.setting.honors_notices {
            let core = &mut self.routers[router];
            core.on_notice(self.now, &choice.instance, notice, sent);
        }
    }

    fn count_arrival(&mut self, back_end: usize) {
        let window = self.now.0 / 100_000;
        let (current, count) = &mut self.windows[back_end];
        if *current != window {
            (*current, *count) = (window, 0);
        }
        *count += 1;
        self.tally.max_arrivals = self.tally.max_arrivals.max(*count);
    }

    fn end(&mut self, request: usize, was_rejected: bool) {
        let now = self.now;
        self.report_limit(request);
        let Request {
            caller,
            router,
            back_end,
            ref choice,
            sent,
        } = self.requests[request];
        let core = &mut self.routers[router];
        if !was_rejected {
            core.accepted(now, choice);
            core.finished(now, &choice.instance, sent, Outcome::Answered);
            self.running[back_end] -= 1;
            self.tally.served += 1;
            self.tally.late_served += u32::from(is_late(caller));
            self.tally.waited += now.since(Timestamp(caller.first_asked));
            return;
        }
        let notice = BackEndNotice {
            retry_after: Some(self.setting.requested_backoff),
            ..BackEndNotice::default()
        };
        if self.setting.honors_notices {
            core.on_notice(now, &choice.instance, notice, now);
        }
        core.finished(now, &choice.instance, sent, Outcome::Shed);
        let key = LoadEntry::key_of(choice.instance.as_str());
        let until = now.plus(self.setting.requested_backoff);
        self.active_backoffs.insert((router, key), until);
        self.new_backoffs.push((router, key));
        let admission = core.admit(now, head()).unwrap();
        let error = core.pool_backoff(now, &admission, None);
        self.schedule_retry(caller, error);
    }

    /// Sends routers the loads of the others and reports of back ends that reject requests.
    fn exchange(&mut self) {
        let now = self.now;
        self.push(now.plus(EXCHANGE_INTERVAL), Event::Exchange);
        let own: Vec<Vec<LoadEntry>> = self.routers.iter().map(RouterCore::own_loads).collect();
        let mut sums: BTreeMap<u32, LoadEntry> = BTreeMap::new();
        for entry in own.iter().flatten() {
            let sum = sums.entry(entry.key).or_default();
            sum.key = entry.key;
            sum.in_flight += entry.in_flight;
        }
        for (router, own) in self.routers.iter_mut().zip(own) {
            let others = sums.values().map(|sum| {
                let own = own.iter().find(|entry| entry.key == sum.key);
                LoadEntry {
                    in_flight: sum.in_flight - own.map_or(0, |own| own.in_flight),
                    ..*sum
                }
            });
            let others: Vec<LoadEntry> = others.collect();
            router.set_others_loads(true, &others);
        }
        self.share_refusals();
    }

    fn share_refusals(&mut self) {
        let now = self.now;
        self.active_backoffs.retain(|_, until| *until > now);
        let mut reports: Vec<(usize, u32)> = Vec::new();
        for (number, router) in self.routers.iter_mut().enumerate() {
            reports.extend(router.take_refusing().into_iter().map(|key| (number, key)));
        }
        if self.setting.honors_notices {
            reports.clear();
        }
        match self.setting.sharing {
            Sharing::Nothing => return,
            Sharing::Once => {
                let recent = std::mem::take(&mut self.new_backoffs);
                reports.extend(recent);
            }
            Sharing::WhileBackoffLasts => reports.extend(self.active_backoffs.keys().copied()),
        }
        self.notified
            .retain(|_, at| now.since(*at) < NOTIFY_AGAIN_AFTER);
        for (from, key) in reports {
            if self.notified.contains_key(&key) {
                continue;
            }
            self.notified.insert(key, now);
            for (number, router) in self.routers.iter_mut().enumerate() {
                if number != from {
                    router.on_refusing(now, &[key]);
                }
            }
        }
    }
}

fn is_late(caller: Caller) -> bool {
    Timestamp(caller.first_asked).since(Timestamp(1)) >= LATE_START
}

fn head() -> RequestHead<'static> {
    RequestHead {
        host: "host",
        path: "/a/",
        key: None,
        declared_tokens: None,
    }
}

fn new_router(seed: u64) -> RouterCore {
    let params = RouterParams {
        zone: "zone".to_owned(),
        key_lease: Duration::from_secs(4),
        absence_lease: Duration::from_secs(2),
        version_grace: Duration::from_secs(6),
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window: Duration::from_secs(10),
    };
    let mut router = RouterCore::new(params, seed);
    let instances = (0..BACK_ENDS as u64).map(|number| InstanceRecord {
        instance: Text::new(format!("be-{number}")),
        pool: Text::new("apps"),
        address: Text::new(format!("10.0.0.{number}:80")),
        zone: Text::new("zone"),
        slots: SLOTS as u32,
        lifecycle: Lifecycle::Ready,
        models: List::new(Vec::new()),
        registered: number + 1,
        revision: 1,
        software: SoftwareVersion::default(),
        started_ms: 0,
    });
    let changes = Changes {
        since: 0,
        revision: 1,
        configuration: List::new(vec![Blob::new(Vec::new())]),
        instances: List::new(instances.collect()),
        ..Changes::default()
    };
    let document = document();
    router
        .apply(Timestamp(1), changes, |_| Ok(document))
        .unwrap();
    router
}

fn document() -> Document {
    Document {
        version: 1,
        routes: vec![Route {
            name: "route".to_owned(),
            host: "host".to_owned(),
            path_prefix: "/a/".to_owned(),
            kind: RequestKind::Once,
            timeout: DEADLINE,
            target: Duration::from_millis(600),
            gap_target: None,
            priority: 1,
            max_attempts: 1,
            public: true,
            shares: vec![Share {
                pool: PoolName::new("apps"),
                weight: 1,
            }],
        }],
        pools: vec![Pool {
            name: PoolName::new("apps"),
            max_connections: 10_000,
            models: None,
            store: None,
        }],
        ..Document::default()
    }
}
