//! A simulation of 985 routers and 10 control machines: who knows where a stream began when its caller returns at
//! another router, while routers are killed, links are cut and control machines start again.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::{
    FingerprintKey, Message, PoolName, SoftwareKey, SoftwareVersion, StreamKey, StreamOrigin,
    StreamOrigins, StreamPublisher, TenantKey, TenantName,
};
use drumshore_wire::frame::FrameHead;
use drumshore_wire::List;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const ROUTERS: usize = 985;
const CONTROLS: usize = 10;
const TENANTS: u64 = 200;
const STEP: Duration = Duration::from_millis(100);
const STEPS: u64 = 300;
/// Streams that begin in one step, over all routers.
const BEGUN_IN_STEP: usize = 400;
/// Open streams of which one breaks in each step without a fault of a router.
const ONE_BREAKS_OF: usize = 50;
const LIFETIME: Duration = Duration::from_secs(15);
/// Steps until a link that transports nothing is found to be so.
const DETECTION_STEPS: u64 = 10;
/// Take-ups from which on a share counts.
const MIN_TAKE_UPS: usize = 12;
/// Requests per second that one router of the target serves, and bytes per second that control may cost it.
const TARGET_REQUESTS_PER_SECOND: usize = 111;
const TARGET_BYTES_PER_SECOND: usize = 14_000;

/// A part of the mechanism that a run leaves out, to show that the checks see the harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Control machines are told of no stream.
    Publication,
    /// Control machines that become holders are not told of earlier streams.
    Republication,
}

/// What goes wrong during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Faults {
    /// Routers are killed, some in each second.
    RoutersKilled,
    /// Control machines start again one after the other, 0.3 s between them.
    ControlsRestarted,
    /// Links between routers and control machines are cut for some seconds; both sides detect it late.
    LinksCut,
    All,
}

impl Faults {
    fn include(self, other: Self) -> bool {
        self == other || self == Self::All
    }
}

struct Router {
    publisher: StreamPublisher,
    /// The step at which the link to a control machine was cut, by its number; the link transports nothing from then on.
    cut_at: HashMap<usize, u64>,
    open: Vec<usize>,
}

impl Router {
    fn new(seed: u64) -> Self {
        Self {
            publisher: StreamPublisher::new(seed),
            cut_at: HashMap::new(),
            open: Vec::new(),
        }
    }

    /// The control machines that the router takes for linked.
    fn linked(&self, step: u64, down: &BTreeSet<usize>) -> Vec<Ipv4Addr> {
        let is_linked = |control: &usize| {
            let cut_at = self.cut_at.get(control);
            !down.contains(control) && cut_at.is_none_or(|at| step < at + DETECTION_STEPS)
        };
        (0..CONTROLS).filter(is_linked).map(address).collect()
    }
}

struct Stream {
    key: StreamKey,
    software: SoftwareKey,
    origin: StreamOrigin,
}

#[derive(Default)]
struct Counts {
    taken_up: usize,
    known: usize,
    wrong: usize,
}

struct Simulation {
    random: ChaCha8Rng,
    without: Without,
    faults: Faults,
    routers: Vec<Router>,
    controls: Vec<StreamOrigins>,
    /// Control machines that are down in this step.
    down: BTreeSet<usize>,
    streams: Vec<Stream>,
    secret: FingerprintKey,
    /// By the second in which callers returned.
    counts: HashMap<u64, Counts>,
    published_bytes: usize,
}

fn address(control: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, control as u8)
}

fn at(step: u64) -> Timestamp {
    Timestamp(1 + step * STEP.as_micros() as u64)
}

fn frame_bytes(origins: usize, origin: &StreamOrigin) -> usize {
    let message = Message::StreamOrigins(List::new(vec![*origin; origins]));
    FrameHead::BYTES + message.encode().len()
}

impl Simulation {
    fn new(seed: u64, faults: Faults, without: Without) -> Self {
        let routers = (0..ROUTERS as u64).map(|number| Router::new(number ^ seed));
        let controls = (0..CONTROLS).map(|_| StreamOrigins::new(400_000));
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            without,
            faults,
            routers: routers.collect(),
            controls: controls.collect(),
            down: BTreeSet::new(),
            streams: Vec::new(),
            secret: FingerprintKey::generate(seed),
            counts: HashMap::new(),
            published_bytes: 0,
        }
    }

    fn run(mut self) -> Self {
        for step in 0..STEPS {
            self.inject_faults(step);
            self.update_links(step);
            for _ in 0..BEGUN_IN_STEP {
                self.begin_stream(step);
            }
            self.break_streams(step);
        }
        self
    }

    fn inject_faults(&mut self, step: u64) {
        self.down.clear();
        let restarts = step > 0 && step.is_multiple_of(3);
        if self.faults.include(Faults::ControlsRestarted) && restarts {
            let control = (step / 3) as usize % CONTROLS;
            self.controls[control] = StreamOrigins::new(400_000);
            self.down.insert(control);
        }
        if self.faults.include(Faults::RoutersKilled) && step.is_multiple_of(5) {
            for _ in 0..ROUTERS / 100 {
                let killed = self.random.random_range(0..ROUTERS);
                let fresh = Router::new(self.random.random());
                let open = std::mem::replace(&mut self.routers[killed], fresh).open;
                for stream in open {
                    self.take_up(step, stream);
                }
            }
        }
        if self.faults.include(Faults::LinksCut) {
            for router in &mut self.routers {
                router.cut_at.retain(|_, cut_at| step < *cut_at + 40);
            }
            for _ in 0..ROUTERS / 20 {
                let router = self.random.random_range(0..ROUTERS);
                let control = self.random.random_range(0..CONTROLS);
                self.routers[router].cut_at.entry(control).or_insert(step);
            }
        }
    }

    fn update_links(&mut self, step: u64) {
        for number in 0..ROUTERS {
            let linked = self.routers[number].linked(step, &self.down);
            let new_holders = self.routers[number].publisher.set_linked(linked);
            if self.without != Without::Nothing {
                continue;
            }
            let live: Vec<_> = self.routers[number].publisher.live(at(step)).collect();
            for holder in new_holders {
                for origin in &live {
                    self.deliver(step, number, holder, origin);
                }
            }
        }
    }

    /// Delivers an origin, unless the link was cut without the router's knowledge.
    fn deliver(&mut self, step: u64, router: usize, holder: Ipv4Addr, origin: &StreamOrigin) {
        let control = usize::from(holder.octets()[3]);
        let is_cut = self.routers[router].cut_at.contains_key(&control);
        if !is_cut && !self.down.contains(&control) {
            self.controls[control].record(at(step), origin);
        }
    }

    fn begin_stream(&mut self, step: u64) {
        let router = self.random.random_range(0..ROUTERS);
        let tenant = format!("tenant-{}", self.random.random_range(0..TENANTS));
        let version = ["v1", "v2", "v3"][self.random.random_range(0..3)];
        let number = self.streams.len();
        let software = SoftwareKey::of(&PoolName::new("pool"), &SoftwareVersion::new(version));
        let key = StreamKey::of(&self.secret, &tenant, &number.to_string());
        let tenant = TenantKey::of(&TenantName::new(&tenant));
        let origin = StreamOrigin::new(key, tenant, software, LIFETIME);
        self.routers[router].open.push(number);
        let publisher = &mut self.routers[router].publisher;
        let holders = publisher.record(at(step), &origin).to_vec();
        if self.without != Without::Publication {
            for holder in holders {
                self.published_bytes += frame_bytes(1, &origin);
                self.deliver(step, router, holder, &origin);
            }
        }
        self.streams.push(Stream {
            key,
            software,
            origin,
        });
    }

    /// Some streams break on their own; older ones end.
    fn break_streams(&mut self, step: u64) {
        for router in 0..ROUTERS {
            let open = std::mem::take(&mut self.routers[router].open);
            let (mut kept, mut broken) = (Vec::new(), Vec::new());
            for stream in open {
                if self.random.random_range(0..ONE_BREAKS_OF) == 0 {
                    broken.push(stream);
                } else {
                    kept.push(stream);
                }
            }
            self.routers[router].open = kept;
            for stream in broken {
                self.take_up(step, stream);
            }
        }
    }

    /// The caller returns to another router, which asks all control machines that it is linked to.
    fn take_up(&mut self, step: u64, stream: usize) {
        let router = (0..ROUTERS).choose(&mut self.random).expect("a router");
        let key = self.streams[stream].key;
        let asked = self.routers[router].linked(step, &self.down);
        let reached = asked.iter().map(|control| usize::from(control.octets()[3]));
        let reached = reached.filter(|control| !self.routers[router].cut_at.contains_key(control));
        let own = self.routers[router].publisher.find(at(step), key);
        let mut found = reached.filter_map(|control| self.controls[control].find(at(step), key));
        let found = own.or_else(|| found.next());
        let counts = self.counts.entry(step / 10).or_default();
        counts.taken_up += 1;
        counts.known += usize::from(found.is_some());
        let truth = self.streams[stream].software;
        counts.wrong += usize::from(found.is_some_and(|found| found != truth));
    }

    fn wrong(&self) -> usize {
        self.counts.values().map(|counts| counts.wrong).sum()
    }

    /// The lowest share of streams with a known origin, over the seconds.
    fn lowest_share(&self) -> f64 {
        let counts = self.counts.values();
        let counted = counts.filter(|counts| counts.taken_up >= MIN_TAKE_UPS);
        let shares = counted.map(|counts| counts.known as f64 / counts.taken_up as f64);
        shares.fold(1.0, f64::min)
    }
}

#[rstest]
#[case::routers_killed(Faults::RoutersKilled)]
#[case::controls_restarted(Faults::ControlsRestarted)]
#[case::links_cut(Faults::LinksCut)]
#[case::all(Faults::All)]
fn at_985_routers_most_streams_that_are_taken_up_have_a_known_origin(#[case] faults: Faults) {
    for seed in 0..2 {
        let simulated = Simulation::new(seed, faults, Without::Nothing).run();
        assert_eq!(simulated.wrong(), 0, "seed {seed}");
        let share = simulated.lowest_share();
        assert!(share >= 0.5, "seed {seed}: {share:.3}");
    }
}

#[rstest]
#[case::publication(Faults::RoutersKilled, Without::Publication)]
#[case::republication(Faults::ControlsRestarted, Without::Republication)]
fn without_this_part_most_origins_are_unknown(#[case] faults: Faults, #[case] without: Without) {
    let simulated = Simulation::new(0, faults, without).run();
    assert_eq!(simulated.wrong(), 0);
    let share = simulated.lowest_share();
    assert!(share < 0.5, "{share:.3}");
}

#[test]
fn telling_control_machines_of_streams_stays_within_the_budget_of_a_router() {
    let simulated = Simulation::new(0, Faults::All, Without::Nothing).run();
    let bytes_a_stream = simulated.published_bytes / simulated.streams.len();
    let origin = &simulated.streams[0].origin;
    assert!(bytes_a_stream <= 2 * frame_bytes(1, origin));
    let bytes = bytes_a_stream * TARGET_REQUESTS_PER_SECOND;
    assert!(
        bytes < TARGET_BYTES_PER_SECOND,
        "{bytes_a_stream} bytes a stream, {bytes} a second"
    );
}
