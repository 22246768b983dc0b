//! Callers, routers and back ends that ask for pauses, on a virtual clock.
//!
//! A back end runs a few requests at once and turns others away with a pause that it asks the router for. Callers come
//! back when they are told to, as long as their time suffices.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{
    BackEndNotice, Changes, Choice, ChoiceError, Document, EarlierAttempts, InstanceRecord,
    Lifecycle, LoadEntry, Outcome, Pool, PoolName, RequestHead, RequestKind, RequestRate, Route,
    RouterCore, RouterParams, Share,
};
use drumshore_wire::{Blob, List, Text};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const BACK_ENDS: usize = 18;
pub const SLOTS: usize = 8;
const WORK: Duration = Duration::from_millis(100);
/// Of all back ends, in requests a second.
pub const CAPACITY: f64 = (BACK_ENDS * SLOTS * 10) as f64;
const ONE_WAY: Duration = Duration::from_millis(2);
const DEADLINE: Duration = Duration::from_secs(5);
/// Callers wait for no more than this part of the time that they have left.
const LONGEST_WAIT_PART: u32 = 3;
const MOST_RETURNS: u32 = 2;
/// Callers that were turned away by one back end come back so soon.
const RETRY_SOON: Duration = Duration::from_millis(60);
/// Between two rounds in which routers hear of one another.
const ROUND: Duration = Duration::from_millis(100);
/// Between two notices of one back end.
const NOTIFY_AGAIN_AFTER: Duration = Duration::from_millis(200);

/// Some seconds after the last disturbance of a day.
const LATE: Duration = Duration::from_secs(18);

/// When callers return after all back ends asked for a pause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Return {
    /// All when the first pause ends.
    AtTheEnd,
    /// Spread over this part of the time that was left, after it.
    Spread(f64),
    /// As the router says.
    AsTold,
}

/// What the other routers hear of a back end that asked one of them for a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    Nothing,
    /// Once for each request that it turned away; they avoid it for a moment.
    Once,
    /// Again and again while the pause lasts.
    WhileItLasts,
}

#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// False for routers that do not read what back ends ask for.
    pub is_heeded: bool,
    pub routers: usize,
    pub returning: Return,
    pub sharing: Sharing,
    /// What back ends ask for.
    pub pause: Duration,
}

/// Back ends that turn all requests away for some time, or name a limit.
#[derive(Clone, Copy, Debug)]
pub struct Spell {
    /// Requests a second that each takes from all routers; `None` when they turn all away.
    pub limit: Option<f64>,
    pub back_ends: usize,
    pub from: Duration,
    pub to: Duration,
}

/// What became of callers, and what back ends got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub served: u32,
    pub never_served: u32,
    /// Of those that asked first from [`LATE`] on.
    pub late_asked: u32,
    pub late_served: u32,
    /// Sum over those that were served.
    pub waited: Duration,
    /// Requests that back ends turned away.
    pub turned_away: u32,
    /// The most that arrived at one back end in 100 ms.
    pub most_at_once: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Caller {
    first_asked: u64,
    returns: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Asks(Caller),
    Arrives {
        request: usize,
    },
    Ends {
        request: usize,
        was_turned_away: bool,
    },
    Round,
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
    spells: Vec<Spell>,
    now: Timestamp,
    routers: Vec<RouterCore>,
    running: Vec<usize>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    requests: Vec<Request>,
    random: ChaCha8Rng,
    /// By router and key, until when it was asked for nothing.
    pauses: BTreeMap<(usize, u32), Timestamp>,
    /// Those of the last round.
    fresh_pauses: Vec<(usize, u32)>,
    notified: BTreeMap<u32, Timestamp>,
    /// By back end, its window of 100 ms and arrivals in it.
    windows: Vec<(u64, u32)>,
    tally: Tally,
}

impl Simulation {
    pub fn new(setting: Setting, spells: &[Spell], seed: u64) -> Self {
        let routers = (0..setting.routers).map(|router| new_router(seed * 1_000 + router as u64));
        let mut simulation = Self {
            setting,
            spells: spells.to_vec(),
            now: Timestamp(1),
            routers: routers.collect(),
            running: vec![0; BACK_ENDS],
            events: BinaryHeap::new(),
            order: 0,
            requests: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            pauses: BTreeMap::new(),
            fresh_pauses: Vec::new(),
            notified: BTreeMap::new(),
            windows: vec![(0, 0); BACK_ENDS],
            tally: Tally::default(),
        };
        simulation.push(Timestamp(1), Event::Round);
        simulation
    }

    /// Callers begin to ask at this rate between two times.
    pub fn callers(&mut self, per_second: f64, from: Duration, to: Duration) {
        let mut at = from.as_secs_f64();
        loop {
            at += -self.random.random::<f64>().max(1e-12).ln() / per_second;
            if at >= to.as_secs_f64() {
                return;
            }
            let asks = Timestamp(1).plus(Duration::from_secs_f64(at));
            let caller = Caller {
                first_asked: asks.0,
                returns: 0,
            };
            self.tally.asked += 1;
            self.tally.late_asked += u32::from(is_late(caller));
            self.push(asks, Event::Asks(caller));
        }
    }

    /// Until nobody waits any more.
    pub fn run(mut self, end: Duration) -> Tally {
        let end = Timestamp(1).plus(end);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = Timestamp(at);
            if self.now >= end {
                break;
            }
            match event {
                Event::Asks(caller) => self.ask(caller),
                Event::Arrives { request } => self.arrive(request),
                Event::Ends {
                    request,
                    was_turned_away,
                } => self.end(request, was_turned_away),
                Event::Round => self.round(),
            }
        }
        self.tally
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at.0, self.order, event)));
    }

    fn ask(&mut self, caller: Caller) {
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
            Err(error) => self.refuse(caller, Some(error)),
        }
    }

    /// The caller comes back, or gives up.
    fn refuse(&mut self, caller: Caller, error: Option<ChoiceError>) {
        let draw: f64 = self.random.random();
        let wait = match (error, self.setting.returning) {
            (Some(ChoiceError::BackedOff(backoff)), returning) => match returning {
                Return::AtTheEnd => backoff.soonest,
                Return::Spread(part) => backoff.soonest.mul_f64(1.0 + part * draw),
                Return::AsTold => backoff.retry_after,
            },
            _ => RETRY_SOON,
        };
        let passed = self.now.since(Timestamp(caller.first_asked));
        let left = DEADLINE.saturating_sub(passed);
        let wait = wait.min(left / LONGEST_WAIT_PART);
        let returns = caller.returns + 1;
        if returns > MOST_RETURNS {
            self.tally.never_served += 1;
            return;
        }
        let caller = Caller { returns, ..caller };
        self.push(self.now.plus(wait), Event::Asks(caller));
    }

    fn arrive(&mut self, request: usize) {
        let back_end = self.requests[request].back_end;
        self.note_arrival(back_end);
        let passed = self.now.since(Timestamp(1));
        let spell = self.spell_of(back_end, passed);
        let turns_away = spell.is_some_and(|spell| spell.limit.is_none());
        let was_turned_away = turns_away || self.running[back_end] >= SLOTS;
        let work = if was_turned_away {
            self.tally.turned_away += 1;
            Duration::ZERO
        } else {
            self.running[back_end] += 1;
            WORK.mul_f64(0.5 + self.random.random::<f64>())
        };
        let ends = self.now.plus(work + ONE_WAY);
        self.push(
            ends,
            Event::Ends {
                request,
                was_turned_away,
            },
        );
    }

    fn spell_of(&self, back_end: usize, passed: Duration) -> Option<Spell> {
        let mut spells = self.spells.iter();
        let spell = spells
            .find(|spell| back_end < spell.back_ends && (spell.from..spell.to).contains(&passed));
        spell.copied()
    }

    /// The back end says in its answer what it takes, or that it takes all.
    fn name_limit(&mut self, request: usize) {
        let Request {
            router,
            back_end,
            ref choice,
            sent,
            ..
        } = self.requests[request];
        let passed = self.now.since(Timestamp(1));
        let limit = self
            .spell_of(back_end, passed)
            .and_then(|spell| spell.limit);
        let notice = BackEndNotice {
            limit: limit.and_then(RequestRate::per_second),
            ..BackEndNotice::default()
        };
        if self.setting.is_heeded {
            let core = &mut self.routers[router];
            core.on_notice(self.now, &choice.instance, notice, sent);
        }
    }

    fn note_arrival(&mut self, back_end: usize) {
        let window = self.now.0 / 100_000;
        let (current, count) = &mut self.windows[back_end];
        if *current != window {
            (*current, *count) = (window, 0);
        }
        *count += 1;
        self.tally.most_at_once = self.tally.most_at_once.max(*count);
    }

    fn end(&mut self, request: usize, was_turned_away: bool) {
        let now = self.now;
        self.name_limit(request);
        let Request {
            caller,
            router,
            back_end,
            ref choice,
            sent,
        } = self.requests[request];
        let core = &mut self.routers[router];
        if !was_turned_away {
            core.accepted(now, choice);
            core.finished(now, &choice.instance, sent, Outcome::Answered);
            self.running[back_end] -= 1;
            self.tally.served += 1;
            self.tally.late_served += u32::from(is_late(caller));
            self.tally.waited += now.since(Timestamp(caller.first_asked));
            return;
        }
        let notice = BackEndNotice {
            retry_after: Some(self.setting.pause),
            ..BackEndNotice::default()
        };
        if self.setting.is_heeded {
            core.on_notice(now, &choice.instance, notice, now);
        }
        core.finished(now, &choice.instance, sent, Outcome::Shed);
        let key = LoadEntry::key_of(choice.instance.as_str());
        let until = now.plus(self.setting.pause);
        self.pauses.insert((router, key), until);
        self.fresh_pauses.push((router, key));
        let admission = core.admit(now, head()).unwrap();
        let error = core.pool_backoff(now, &admission, None);
        self.refuse(caller, error);
    }

    /// Routers hear of the others' loads and of back ends that turn requests away.
    fn round(&mut self) {
        let now = self.now;
        self.push(now.plus(ROUND), Event::Round);
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
        self.pauses.retain(|_, until| *until > now);
        let mut told: Vec<(usize, u32)> = Vec::new();
        for (number, router) in self.routers.iter_mut().enumerate() {
            told.extend(router.take_refusing().into_iter().map(|key| (number, key)));
        }
        if self.setting.is_heeded {
            told.clear();
        }
        match self.setting.sharing {
            Sharing::Nothing => return,
            Sharing::Once => {
                let fresh = std::mem::take(&mut self.fresh_pauses);
                told.extend(fresh);
            }
            Sharing::WhileItLasts => told.extend(self.pauses.keys().copied()),
        }
        self.notified
            .retain(|_, at| now.since(*at) < NOTIFY_AGAIN_AFTER);
        for (from, key) in told {
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
    Timestamp(caller.first_asked).since(Timestamp(1)) >= LATE
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
