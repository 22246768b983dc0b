//! A simulation of 985 routers, 10 control machines and 9,998 back ends: which prompt parts are quarantined, and when,
//! while one of them crashes back ends, and while many back ends crash at once for a reason of their own.
//!
//! Requests are a tenth of what such a fleet serves.

mod cluster;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cluster::{address, Cluster};
use drumshore_core::Timestamp;
use drumshore_gateway_core::{
    ConnectionId, EarlierAttempts, Fingerprint, FingerprintInput, FingerprintKey, InstanceId,
    Message, ModelName, Prompt, PromptPart, RequestFingerprints, RouterCore, RouterParams,
};
use drumshore_wire::frame::FrameHead;
use drumshore_wire::List;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const ROUTERS: usize = 985;
const CONTROLS: u8 = 10;
const BACK_ENDS: usize = 9_998;
const STEP: Duration = Duration::from_millis(50);
/// Steps from a change of the replicated state until a router has it.
const FETCH_STEPS: u64 = 5;
const PING_STEPS: u64 = 20;
const SOUND_PER_STEP: usize = 200;
const KINDS: usize = 40;
const SESSION_REQUESTS: usize = 5;
/// Requests in a row among which the long streams share a part with no others.
const LONG_SESSION_REQUESTS: usize = 20;
/// One of so many sound requests is a long stream.
const ONE_LONG_OF: u32 = 5;
/// A run that has gone on for this long is evidence for the parts of its prompt.
const PROVEN_AFTER: Duration = Duration::from_secs(2);
const CALM: Duration = Duration::from_secs(4);
const LASTS: Duration = Duration::from_secs(20);
const TRIES: usize = 3;
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
const CONTACT: Duration = Duration::from_secs(3);
const COUNTED_CRASH: usize = 5;
const MOST_LATE: usize = 3;
const CRASHING: &str = "crashing";
/// Bytes per second that all control traffic may cost a router.
const ROUTER_BYTES_PER_SECOND: usize = 14_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Cause {
    /// Requests with a part, so many a second, each sent up to [`TRIES`] times.
    PromptPart {
        per_second: f64,
        /// Whether its other parts are shared with few requests.
        is_rare: bool,
    },
    /// Two fifths of the back ends crash together, five times.
    PowerFailures,
    PromptPartAndPowerFailures,
}

impl Cause {
    fn crashing_per_second(self) -> f64 {
        match self {
            Self::PromptPart { per_second, .. } => per_second,
            Self::PowerFailures => 0.0,
            Self::PromptPartAndPowerFailures => 6.0,
        }
    }

    fn has_power_failures(self) -> bool {
        matches!(self, Self::PowerFailures | Self::PromptPartAndPowerFailures)
    }
}

struct Run {
    router: usize,
    fingerprints: RequestFingerprints,
    sent_at: Timestamp,
    ends_at: Timestamp,
    is_proven: bool,
    is_sound: bool,
}

struct SoundRequest {
    fingerprints: RequestFingerprints,
    lasts: Duration,
}

/// A request with the crashing part that is to be sent, or that reaches the answer's beginning at a back end.
struct CrashingRequest {
    at: Timestamp,
    number: usize,
    attempt: usize,
    back_end: Option<usize>,
}

struct Router {
    core: RouterCore,
    revision: u64,
    cursors: Vec<u64>,
    to_controls: VecDeque<(u8, Message)>,
    sent_bytes: usize,
    received_bytes: usize,
}

struct Simulation {
    cause: Cause,
    /// Whether back ends that crashed start again under their names.
    keeps_names: bool,
    cluster: Cluster,
    random: ChaCha8Rng,
    key: FingerprintKey,
    routers: Vec<Router>,
    /// The incarnation and the runs of each back end.
    back_ends: Vec<(u64, Vec<Run>)>,
    crashing: Vec<CrashingRequest>,
    repeated: Vec<(Timestamp, SoundRequest)>,
    crashing_sent: usize,
    sound_sent: usize,
    sound_rejected: usize,
    arrivals: Vec<Timestamp>,
    crashes: Vec<Timestamp>,
    step: u64,
}

fn params() -> RouterParams {
    RouterParams {
        zone: "zone".to_owned(),
        key_lease: Duration::from_secs(4),
        absence_lease: Duration::from_secs(2),
        version_grace: Duration::from_secs(6),
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window: Duration::from_secs(10),
    }
}

fn connection(router: usize) -> ConnectionId {
    ConnectionId(router as u64 + 1)
}

fn frame_bytes(message: &Message) -> usize {
    FrameHead::BYTES + message.encode().len()
}

fn prompt(parts: &[String]) -> Prompt {
    let part = |id: &String| PromptPart {
        id: id.clone(),
        tokens: 100,
    };
    Prompt {
        model: ModelName::new("m"),
        parts: parts.iter().map(part).collect(),
        output: 100,
    }
}

impl Simulation {
    fn new(seed: u64, cause: Cause, keeps_names: bool) -> Self {
        let mut cluster = Cluster::new(CONTROLS);
        while cluster.leader().is_none() {
            cluster.run(STEP);
        }
        cluster.run(Duration::from_secs(2));
        let router = |number: usize| Router {
            core: RouterCore::new(params(), number as u64 ^ seed),
            revision: 0,
            cursors: vec![0; usize::from(CONTROLS) + 1],
            to_controls: VecDeque::new(),
            sent_bytes: 0,
            received_bytes: 0,
        };
        let mut simulation = Self {
            cause,
            cluster,
            random: ChaCha8Rng::seed_from_u64(seed),
            key: FingerprintKey::generate(seed),
            routers: (0..ROUTERS).map(router).collect(),
            back_ends: (0..BACK_ENDS).map(|_| (0, Vec::new())).collect(),
            crashing: Vec::new(),
            repeated: Vec::new(),
            crashing_sent: 0,
            sound_sent: 0,
            sound_rejected: 0,
            arrivals: Vec::new(),
            crashes: Vec::new(),
            step: 0,
            keeps_names,
        };
        for number in 0..ROUTERS {
            for control in 1..=CONTROLS {
                let name = format!("10.1.0.{number}:80");
                let (at, connection) = (address(control), connection(number));
                simulation.cluster.link_router(at, connection, &name);
            }
        }
        simulation
    }

    fn now(&self) -> Timestamp {
        self.cluster.now
    }

    fn fingerprints(&self, parts: &[String]) -> RequestFingerprints {
        let body = parts.join(",");
        let input = FingerprintInput {
            body: &[body.as_bytes()],
            ..FingerprintInput::default()
        };
        RequestFingerprints::new(&self.key, &input, Some(&prompt(parts)))
    }

    fn run(mut self) -> Self {
        let start = self.now();
        let mut power_failures = 0;
        while self.now().since(start) < CALM + LASTS {
            let elapsed = self.now().since(start);
            for _ in 0..SOUND_PER_STEP {
                self.send_sound();
            }
            if elapsed >= CALM {
                self.begin_crashing_requests(elapsed - CALM);
                let due = CALM + Duration::from_millis(2_500) * power_failures;
                if self.cause.has_power_failures() && power_failures < 5 && elapsed >= due {
                    power_failures += 1;
                    self.fail_power();
                }
            }
            self.send_repeated();
            self.send_crashing();
            self.end_runs();
            self.exchange_messages();
            self.step += 1;
        }
        self
    }

    fn may_send(&mut self, router: usize, fingerprints: &RequestFingerprints, broken: u32) -> bool {
        let tried = [InstanceId::new("earlier")];
        let earlier = EarlierAttempts {
            fingerprints: Some(fingerprints),
            tried: &tried[..broken as usize],
            broken,
            ..EarlierAttempts::default()
        };
        let now = self.now();
        let core = &mut self.routers[router].core;
        core.check_fingerprints(now, &earlier).is_ok()
    }

    fn send_sound(&mut self) {
        let number = self.sound_sent;
        self.sound_sent += 1;
        let is_long = self.random.random_ratio(1, ONE_LONG_OF);
        let (lasts, session) = if is_long {
            let lasts = self.random.random_range(10_000..20_000);
            (lasts, format!("long-{}", number / LONG_SESSION_REQUESTS))
        } else {
            let lasts = self.random.random_range(300..3_000);
            (lasts, format!("session-{}", number / SESSION_REQUESTS))
        };
        let parts = [
            "everybody".to_owned(),
            format!("kind-{}", self.random.random_range(0..KINDS)),
            session,
            format!("own-{number}"),
        ];
        let request = SoundRequest {
            fingerprints: self.fingerprints(&parts),
            lasts: Duration::from_millis(lasts),
        };
        self.send_sound_request(request);
    }

    fn send_sound_request(&mut self, request: SoundRequest) {
        let router = self.random.random_range(0..ROUTERS);
        if !self.may_send(router, &request.fingerprints, 0) {
            self.sound_rejected += 1;
            return;
        }
        self.run_sound(router, request);
    }

    fn run_sound(&mut self, router: usize, request: SoundRequest) {
        let now = self.now();
        let run = Run {
            router,
            fingerprints: request.fingerprints,
            sent_at: now,
            ends_at: now.plus(request.lasts),
            is_proven: false,
            is_sound: true,
        };
        let back_end = self.random.random_range(0..BACK_ENDS);
        self.back_ends[back_end].1.push(run);
    }

    /// A run was interrupted: it is resumed at another back end if the router allows it, else its caller sends it again.
    fn resume(&mut self, run: Run) {
        let now = self.now();
        let request = SoundRequest {
            lasts: run.ends_at.since(now),
            fingerprints: run.fingerprints,
        };
        if self.may_send(run.router, &request.fingerprints, 1) {
            self.run_sound(run.router, request);
        } else {
            self.repeated.push((now.plus(RETRY_INTERVAL), request));
        }
    }

    fn send_repeated(&mut self) {
        let now = self.now();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.repeated)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.repeated = later;
        for (_, request) in due {
            self.send_sound_request(request);
        }
    }

    fn begin_crashing_requests(&mut self, elapsed: Duration) {
        let due = self.cause.crashing_per_second() * elapsed.as_secs_f64();
        while (self.crashing_sent as f64) < due {
            self.crashing.push(CrashingRequest {
                at: self.now(),
                number: self.crashing_sent,
                attempt: 0,
                back_end: None,
            });
            self.crashing_sent += 1;
        }
    }

    fn send_crashing(&mut self) {
        let now = self.now();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.crashing)
            .into_iter()
            .partition(|request| request.at <= now);
        self.crashing = later;
        for request in due {
            match request.back_end {
                None => self.send_crashing_request(request),
                Some(back_end) => {
                    self.crashes.push(now);
                    self.crash(back_end);
                    self.retry(request);
                }
            }
        }
    }

    fn send_crashing_request(&mut self, request: CrashingRequest) {
        let now = self.now();
        let session = match self.cause {
            Cause::PromptPart { is_rare: true, .. } => format!("session-{}", request.number / 3),
            _ => format!("kind-{}", request.number % KINDS),
        };
        let parts = [
            "everybody".to_owned(),
            session,
            CRASHING.to_owned(),
            format!("own-{}-{}", request.number, request.attempt),
        ];
        let fingerprints = self.fingerprints(&parts);
        let router = self.random.random_range(0..ROUTERS);
        if !self.may_send(router, &fingerprints, 0) {
            self.retry(request);
            return;
        }
        self.arrivals.push(now);
        let back_end = self.random.random_range(0..BACK_ENDS);
        self.back_ends[back_end].1.push(Run {
            router,
            fingerprints,
            sent_at: now,
            ends_at: now.plus(Duration::from_secs(60)),
            is_proven: false,
            is_sound: false,
        });
        self.crashing.push(CrashingRequest {
            at: now.plus(Duration::from_millis(self.random.random_range(60..160))),
            back_end: Some(back_end),
            ..request
        });
    }

    fn retry(&mut self, request: CrashingRequest) {
        if request.attempt + 1 < TRIES {
            self.crashing.push(CrashingRequest {
                at: self.now().plus(RETRY_INTERVAL),
                attempt: request.attempt + 1,
                back_end: None,
                ..request
            });
        }
    }

    fn fail_power(&mut self) {
        for back_end in 0..BACK_ENDS {
            if self.random.random_ratio(2, 5) {
                self.crash(back_end);
            }
        }
    }

    /// A back end crashes; another one starts at its address.
    fn crash(&mut self, back_end: usize) {
        let now = self.now();
        let (incarnation, runs) = std::mem::take(&mut self.back_ends[back_end]);
        self.back_ends[back_end].0 = incarnation + 1;
        let named_by = if self.keeps_names { 0 } else { incarnation };
        let instance = InstanceId::new(&format!("i-{back_end}-{named_by}"));
        let mut by_router: BTreeMap<usize, Vec<(Fingerprint, Timestamp)>> = BTreeMap::new();
        for run in &runs {
            let served = run.fingerprints.iter();
            let served = served.map(|fingerprint| (fingerprint, run.sent_at));
            by_router.entry(run.router).or_default().extend(served);
        }
        for (router, served) in by_router {
            let core = &mut self.routers[router].core;
            core.on_back_end_crashed(now, &instance, &served);
        }
        for run in runs {
            if run.is_sound {
                self.resume(run);
            }
        }
    }

    fn end_runs(&mut self) {
        let now = self.now();
        for (_, runs) in &mut self.back_ends {
            runs.retain_mut(|run| {
                let core = &mut self.routers[run.router].core;
                if run.ends_at <= now {
                    for fingerprint in run.fingerprints.iter() {
                        core.on_fingerprint_completed(now, fingerprint);
                    }
                    return false;
                }
                if !run.is_proven && now.since(run.sent_at) >= PROVEN_AFTER {
                    run.is_proven = true;
                    for part in run.fingerprints.parts() {
                        core.on_fingerprint_completed(now, *part);
                    }
                }
                true
            });
        }
    }

    /// Exchanges messages between routers and control machines; each takes one step.
    fn exchange_messages(&mut self) {
        let now = self.now();
        for number in 0..ROUTERS {
            let router = &mut self.routers[number];
            while let Some((control, message)) = router.to_controls.pop_front() {
                let core = self.cluster.core(address(control));
                core.on_router(now, connection(number), message);
            }
            if self.step.is_multiple_of(PING_STEPS) {
                let sequence = self.step;
                for control in 1..=CONTROLS {
                    let core = self.cluster.core(address(control));
                    core.on_router(now, connection(number), Message::Ping { sequence });
                }
            }
            for control in 1..=CONTROLS {
                let cursor = &mut router.cursors[usize::from(control)];
                let reports = router.core.fingerprint_reports_since(now, cursor);
                if !reports.is_empty() {
                    let message = Message::FingerprintReports(List::new(reports));
                    router.sent_bytes += frame_bytes(&message);
                    router.to_controls.push_back((control, message));
                }
            }
        }
        self.cluster.run(STEP);
        let now = self.now();
        for (_, to, message) in std::mem::take(&mut self.cluster.to_routers) {
            let router = &mut self.routers[to.0 as usize - 1];
            match &message {
                Message::FingerprintSuspicions(suspicions) => {
                    router.received_bytes += frame_bytes(&message);
                    let suspicions = &suspicions.items;
                    router.core.on_fingerprint_suspicions(now, suspicions);
                }
                Message::PermitTrial(fingerprint) => {
                    router.core.on_trial_permitted(now, *fingerprint);
                }
                _ => {}
            }
        }
        self.fetch_changes();
    }

    fn fetch_changes(&mut self) {
        let Some(leader) = self.cluster.leader() else {
            return;
        };
        if !self.step.is_multiple_of(FETCH_STEPS) {
            return;
        }
        let now = self.now();
        let state = self.cluster.core(leader).state();
        for router in &mut self.routers {
            if router.revision < state.revision() {
                let changes = state.changes_since(router.revision, |_| 0);
                router.revision = changes.revision;
                let parse = |_: &[u8]| unreachable!("no configuration is set");
                router.core.apply(now, changes, parse).unwrap();
            }
        }
    }

    fn quarantined(&mut self) -> Vec<Fingerprint> {
        let leader = self.cluster.leader().unwrap();
        self.cluster.core(leader).state().quarantined().collect()
    }

    fn late(&self) -> usize {
        let counted = self.crashes.get(COUNTED_CRASH - 1);
        counted.map_or(0, |counted| {
            let bound = counted.plus(CONTACT);
            self.arrivals.iter().filter(|at| **at > bound).count()
        })
    }

    /// The most bytes per second that any router sent and received for this, over the whole run.
    fn most_bytes_per_second(&self) -> usize {
        let bytes = self.routers.iter();
        let bytes = bytes.map(|router| router.sent_bytes + router.received_bytes);
        bytes.max().unwrap_or_default() / (CALM + LASTS).as_secs() as usize
    }

    fn print(&self) {
        println!(
            "{:?}, names kept: {}: {} crashes within {:?}, {} late, {} of {} sound requests rejected, {} bytes a second at most",
            self.cause,
            self.keeps_names,
            self.crashes.len(),
            self.crashes.iter().max().zip(self.crashes.first()).map(|(last, first)| last.since(*first)),
            self.late(),
            self.sound_rejected,
            self.sound_sent,
            self.most_bytes_per_second()
        );
    }
}

#[rstest]
#[case::often(Cause::PromptPart { per_second: 20.0, is_rare: false })]
#[case::seldom(Cause::PromptPart { per_second: 0.8, is_rare: false })]
#[case::beside_rare_parts(Cause::PromptPart { per_second: 6.0, is_rare: true })]
#[case::beside_power_failures(Cause::PromptPartAndPowerFailures)]
fn at_985_routers_a_prompt_part_that_crashes_back_ends_is_quarantined_and_no_other(
    #[case] cause: Cause,
    #[values(false, true)] keeps_names: bool,
) {
    let mut simulated = Simulation::new(1, cause, keeps_names).run();
    simulated.print();
    let culprit = simulated.key.identify_part(CRASHING);
    let late = simulated.late();
    assert!(late <= MOST_LATE, "{late} late");
    assert_eq!(simulated.quarantined(), [culprit]);
    let (rejected, sent) = (simulated.sound_rejected, simulated.sound_sent);
    assert!(rejected * 1_000 <= sent, "{rejected} of {sent} rejected");
    let bytes = simulated.most_bytes_per_second();
    assert!(bytes < ROUTER_BYTES_PER_SECOND, "{bytes} bytes a second");
}

#[rstest]
fn at_985_routers_power_failures_quarantine_nothing(#[values(false, true)] keeps_names: bool) {
    let mut simulated = Simulation::new(1, Cause::PowerFailures, keeps_names).run();
    simulated.print();
    assert_eq!(simulated.quarantined(), []);
    assert_eq!(simulated.sound_rejected, 0);
    let bytes = simulated.most_bytes_per_second();
    assert!(bytes < ROUTER_BYTES_PER_SECOND, "{bytes} bytes a second");
}
