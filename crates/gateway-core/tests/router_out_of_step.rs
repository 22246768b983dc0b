//! Streams that callers take up at a router which learns of changes late, in parts and from lagging control machines: they
//! go on at the software version that began them or not at all.

use std::collections::VecDeque;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{
    Admission, Changes, Command, Document, Pool, PoolName, Position, ReplicatedState, RequestHead,
    RequestKind, Route, RouterCore, RouterParams, Share, SoftwareKey, SoftwareVersion,
};
use drumshore_wire::{Blob, List, Text};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const POOL: &str = "pool";
const VERSIONS: [&str; 2] = ["v1", "v2"];
const CONTROL_MACHINES: usize = 3;
/// Back ends that the pool starts with.
const BACK_ENDS: usize = 4;
/// Back ends serve for at least this time.
const SHORTEST_LIFE_MS: u64 = 300;
/// A part holds a few back ends.
const PART_BYTES: usize = 400;
const DURATION_MS: u64 = 4_000;
/// How long a router waits for a confirmation.
const DECISION_MS: u64 = 150;
const STEPS_PER_MS: u64 = 1_000;

/// A message on its way to the router.
enum Message {
    Confirmation { asked_at: Timestamp, revision: u64 },
    Changes(Box<Changes>),
}

/// A question on its way to a control machine.
enum Question {
    /// Whether the view is current; with the number of commands that were accepted when it arrived.
    Ping {
        asked_at: Timestamp,
        accepted: Option<usize>,
    },
    Fetch(Position),
}

/// A control machine, which applies accepted commands late.
#[derive(Default)]
struct Control {
    state: ReplicatedState,
    applied: usize,
    questions: VecDeque<(u64, Question)>,
    answers: VecDeque<(u64, Message)>,
}

/// How the router reaches the control machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Network {
    /// Messages arrive soon, and the router never stands still.
    InTouch,
    /// Messages are late now and then, and the router stands still now and then.
    OutOfStep,
}

/// A back end that serves, as the accepted commands say.
struct BackEnd {
    name: String,
    version: &'static str,
    started_ms: u64,
}

/// A stream that broke, and the request that takes it up.
struct TakeUp {
    began_at: SoftwareKey,
    sent_ms: u64,
    /// When the router read the request.
    received_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct Ends {
    went_on: usize,
    rejected: usize,
    joined: usize,
    /// Streams that would have been joined by the view as it was when the request arrived.
    would_have_joined: usize,
}

struct Simulation {
    random: ChaCha8Rng,
    now_ms: u64,
    commands: Vec<Command>,
    back_ends: Vec<BackEnd>,
    started: usize,
    network: Network,
    joins_second_version: bool,
    controls: Vec<Control>,
    router: RouterCore,
    frozen_until_ms: u64,
    take_ups: Vec<TakeUp>,
    ends: Ends,
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(1 + milliseconds * STEPS_PER_MS)
}

fn document() -> Document {
    let route = Route {
        name: "r".to_owned(),
        host: "host".to_owned(),
        path_prefix: "/".to_owned(),
        kind: RequestKind::ResumableStream,
        timeout: Duration::from_secs(20),
        target: Duration::from_secs(1),
        gap_target: None,
        priority: 1,
        max_attempts: 2,
        public: true,
        shares: vec![Share {
            pool: PoolName::new(POOL),
            weight: 1,
        }],
    };
    let pool = Pool {
        name: PoolName::new(POOL),
        max_connections: 0,
        models: None,
        store: None,
    };
    Document {
        version: 1,
        routes: vec![route],
        pools: vec![pool],
        ..Document::default()
    }
}

fn router() -> RouterCore {
    let forever = Duration::from_secs(3_600);
    let params = RouterParams {
        zone: "zone".to_owned(),
        key_lease: forever,
        absence_lease: forever,
        version_grace: forever,
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window: Duration::from_secs(10),
    };
    RouterCore::new(params, 1)
}

impl Simulation {
    fn new(seed: u64, network: Network, joins_second_version: bool) -> Self {
        let mut simulation = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            commands: vec![Command::Configure {
                version: 1,
                body: Blob::new(Vec::new()),
            }],
            back_ends: Vec::new(),
            started: 0,
            network,
            joins_second_version,
            controls: Vec::new(),
            router: router(),
            frozen_until_ms: 0,
            take_ups: Vec::new(),
            ends: Ends::default(),
        };
        for _ in 0..BACK_ENDS {
            simulation.start_back_end(VERSIONS[0]);
        }
        simulation
            .controls
            .resize_with(CONTROL_MACHINES, Control::default);
        simulation
    }

    fn start_back_end(&mut self, version: &'static str) {
        self.started += 1;
        let name = format!("i-{}", self.started);
        let address = Text::new(format!("10.0.0.1:{}", self.started));
        self.commands.push(Command::Register {
            instance: Text::new(name.as_str()),
            pool: Text::new(POOL),
            address,
            zone: Text::new("zone"),
            slots: 4,
            draining: 0,
            models: List::default(),
        });
        self.commands.push(Command::SetSoftwareVersion {
            instance: Text::new(name.as_str()),
            software: SoftwareVersion::new(version),
            started_ms: self.now_ms,
        });
        self.back_ends.push(BackEnd {
            name,
            version,
            started_ms: self.now_ms,
        });
    }

    /// A back end joins, starts again, leaves, or changes in another way.
    fn change_back_ends(&mut self) {
        let versions = if self.joins_second_version { 2 } else { 1 };
        let version = VERSIONS[self.random.random_range(0..versions)];
        let index = self.random.random_range(0..self.back_ends.len());
        let may_leave = self.now_ms >= self.back_ends[index].started_ms + SHORTEST_LIFE_MS;
        match self.random.random_range(0..3) {
            0 if may_leave && self.back_ends.len() > 1 => {
                let instance = Text::new(self.back_ends.swap_remove(index).name);
                self.commands.push(Command::Deregister { instance });
            }
            1 => self.start_back_end(version),
            _ => {
                let back_end = &self.back_ends[index];
                self.commands.push(Command::SetSoftwareVersion {
                    instance: Text::new(back_end.name.as_str()),
                    software: SoftwareVersion::new(back_end.version),
                    started_ms: self.now_ms,
                });
            }
        }
    }

    /// The time at which a message arrives, behind those before it.
    fn arrival(&mut self, earlier: Option<u64>) -> u64 {
        let longest = match self.network {
            Network::InTouch => 5,
            Network::OutOfStep => [2, 20, 200][self.random.random_range(0..3)],
        };
        let delay = self.random.random_range(1..=longest);
        (self.now_ms + delay).max(earlier.unwrap_or(0))
    }

    fn ask(&mut self, question: Question) {
        let number = self.random.random_range(0..CONTROL_MACHINES);
        let earlier = self.controls[number].questions.back();
        let arrival = self.arrival(earlier.map(|(at, _)| *at));
        let control = &mut self.controls[number];
        control.questions.push_back((arrival, question));
    }

    fn run_control(&mut self, number: usize) {
        let accepted = self.commands.len();
        let control = &mut self.controls[number];
        if self.random.random_bool(0.2) && control.applied < accepted {
            let command = &self.commands[control.applied];
            control.applied += 1;
            control.state.apply(control.applied as u64, command);
        }
        let Some((at_ms, question)) = control.questions.front_mut() else {
            return;
        };
        if *at_ms > self.now_ms {
            return;
        }
        let answer = match question {
            Question::Ping {
                asked_at,
                accepted: needed,
            } => {
                let needed = *needed.get_or_insert(accepted);
                if control.applied < needed {
                    return;
                }
                let revision = control.state.revision();
                Some(Message::Confirmation {
                    asked_at: *asked_at,
                    revision,
                })
            }
            Question::Fetch(position) => {
                let part = control.state.next_chunk(*position, PART_BYTES, |_| 0);
                part.map(|part| Message::Changes(Box::new(part)))
            }
        };
        control.questions.pop_front();
        let earlier = control.answers.back().map(|(at, _)| *at);
        if let Some(answer) = answer {
            let arrival = self.arrival(earlier);
            self.controls[number].answers.push_back((arrival, answer));
        }
    }

    fn receive(&mut self, number: usize) {
        loop {
            let answers = &mut self.controls[number].answers;
            let has_arrived = answers.front().is_some_and(|(at, _)| *at <= self.now_ms);
            if !has_arrived {
                return;
            }
            let Some((_, message)) = answers.pop_front() else {
                return;
            };
            match message {
                Message::Confirmation { asked_at, revision } => {
                    self.router.on_confirmed(asked_at, revision, 1);
                }
                Message::Changes(changes) => {
                    // Changes from a machine that lags lead nowhere.
                    let _ = self
                        .router
                        .apply(at(self.now_ms), *changes, |_| Ok(document()));
                }
            }
        }
    }

    fn admit(&mut self) -> Option<Admission> {
        let head = RequestHead {
            host: "host",
            path: "/",
            key: None,
            declared_tokens: None,
        };
        self.router.admit(at(self.now_ms), head).ok()
    }

    /// A stream begins at a router that is in step, breaks and is taken up at this one.
    fn begin_stream(&mut self) {
        let Some(back_end) = self.back_ends.choose(&mut self.random) else {
            return;
        };
        let version = SoftwareVersion::new(back_end.version);
        self.take_ups.push(TakeUp {
            began_at: SoftwareKey::of(&PoolName::new(POOL), &version),
            sent_ms: self.now_ms + self.random.random_range(1..100),
            received_ms: None,
        });
    }

    fn decide(&mut self) {
        let Some(mut admission) = self.admit() else {
            return;
        };
        let now = at(self.now_ms);
        for mut take_up in std::mem::take(&mut self.take_ups) {
            if take_up.sent_ms > self.now_ms {
                self.take_ups.push(take_up);
                continue;
            }
            if take_up.received_ms.is_none() {
                let in_view = self.router.one_software_in_view(now, &admission);
                let joins = in_view.is_some_and(|in_view| in_view != take_up.began_at);
                self.ends.would_have_joined += usize::from(joins);
            }
            let received_ms = *take_up.received_ms.get_or_insert(self.now_ms);
            let goes_on = self
                .router
                .continue_stream(now, at(received_ms), &mut admission, None);
            match goes_on {
                Ok(software) if software == take_up.began_at => self.ends.went_on += 1,
                Ok(_) => self.ends.joined += 1,
                Err(_) if self.now_ms >= received_ms + DECISION_MS => self.ends.rejected += 1,
                Err(_) => self.take_ups.push(take_up),
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        if self.random.random_bool(0.01) {
            self.change_back_ends();
        }
        for number in 0..CONTROL_MACHINES {
            self.run_control(number);
        }
        if self.random.random_bool(0.05) {
            self.begin_stream();
        }
        if self.now_ms < self.frozen_until_ms {
            return;
        }
        if self.network == Network::OutOfStep && self.random.random_bool(0.002) {
            self.frozen_until_ms = self.now_ms + self.random.random_range(100..600);
        }
        // Requests and messages that have waited are handled in any order.
        let decides_first = self.random.random_bool(0.5);
        if decides_first {
            self.decide();
        }
        for number in 0..CONTROL_MACHINES {
            self.receive(number);
        }
        if !decides_first {
            self.decide();
        }
        if self.random.random_bool(0.1) {
            let asked_at = at(self.now_ms);
            self.ask(Question::Ping {
                asked_at,
                accepted: None,
            });
        }
        if self.random.random_bool(0.1) {
            self.ask(Question::Fetch(self.router.position()));
        }
    }

    fn run(mut self) -> Ends {
        while self.now_ms < DURATION_MS {
            self.step();
        }
        self.ends
    }
}

/// Guards against a version that joined after the view was confirmed.
#[rstest]
fn no_stream_of_unknown_origin_goes_on_at_another_version(#[values(1, 2, 3, 4, 5, 6)] group: u64) {
    let (mut went_on, mut would_have_joined) = (0, 0);
    for seed in 0..50 {
        let ends = Simulation::new(group * 1_000 + seed, Network::OutOfStep, true).run();
        assert_eq!(ends.joined, 0, "{seed}: {ends:?}");
        went_on += ends.went_on;
        would_have_joined += ends.would_have_joined;
    }
    println!("{group}: {went_on} went on, {would_have_joined} would have been joined");
    assert!(went_on > 0 && would_have_joined > 0);
}

/// Guards against a router in touch that turns streams away although there is one version.
#[test]
fn at_a_router_in_touch_most_streams_of_unknown_origin_go_on_while_there_is_one_version() {
    for seed in 0..50 {
        let ends = Simulation::new(seed, Network::InTouch, false).run();
        assert!(ends.went_on >= ends.rejected, "{seed}: {ends:?}");
    }
}
