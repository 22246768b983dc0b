//! The failures that the fleet is required to survive, each as a scenario with details sampled
//! from the seed.

use drumshore_consensus_harness::{run_schedule, scripts, Violation};
use drumshore_guard::Guard;

use super::cluster::{run, run_script, SimReport};
use super::plan::Plan;
use super::scenario_control_plans::{
    control_restarts, leader_cut_off, lossy_control, one_way_cuts, racing_operators,
    restored_from_copy, second_machine_lost, wiped_disk,
};
use super::scenario_plans::{
    disordered_streams, engine_crash, flaky_streams, hot_shift, late_requests, leaving_engine,
    overload, planned_stop, rollout, rollout_cut_off, router_herd, router_restarts, seconds,
    slow_engine, storm, varying_engines, zone_cut, zone_lost, Sampler,
};

/// A named failure scenario.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// The value of `--scenario` that selects it.
    pub name: &'static str,
    /// One-line description for `--list`.
    pub about: &'static str,
    kind: Kind,
}

/// The system that a scenario exercises.
#[derive(Clone, Copy)]
enum Kind {
    /// A whole fleet, with a plan that is sampled from the seed.
    Fleet(fn(&mut Sampler) -> Plan),
    /// Only the replicated log, with a script that takes the seed.
    Log(fn(u64) -> Result<(), Violation>),
}

impl std::fmt::Debug for Scenario {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.name)
    }
}

impl Scenario {
    /// The plan for a seed; `None` if the scenario exercises only the replicated log.
    pub fn plan(&self, seed: u64) -> Option<Plan> {
        let mut sampler = Sampler::new(seed);
        match self.kind {
            Kind::Fleet(build) => Some(build(&mut sampler)),
            Kind::Log(_) => None,
        }
    }

    /// Runs the scenario with a seed, with the guard `without` disabled if there is one.
    pub fn run(&self, seed: u64, without: Option<Guard>) -> SimReport {
        match self.kind {
            Kind::Fleet(build) => {
                let mut sampler = Sampler::new(seed);
                run(&build(&mut sampler), seed, without)
            }
            Kind::Log(script) => run_script(script, seed, without),
        }
    }

    /// Finds a scenario by its name.
    pub fn from_name(name: &str) -> Option<Self> {
        SCENARIOS.iter().find(|known| known.name == name).copied()
    }
}

/// Number of steps in a random schedule of the replicated log.
const LOG_STEPS: usize = 6_000;

/// All scenarios, in the order in which `all` runs them.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "quiet",
        about: "no faults",
        kind: Kind::Fleet(|_| Plan::quiet(seconds(5))),
    },
    Scenario {
        name: "engine-crash",
        about: "engines crash and restart with empty caches, some sooner and some later",
        kind: Kind::Fleet(engine_crash),
    },
    Scenario {
        name: "late-requests",
        about: "connections to engines are delayed and reach the next start of an engine",
        kind: Kind::Fleet(late_requests),
    },
    Scenario {
        name: "flaky-streams",
        about: "connections to engines break in the middle of answers",
        kind: Kind::Fleet(flaky_streams),
    },
    Scenario {
        name: "disordered-streams",
        about: "events within answers are skipped or arrive twice",
        kind: Kind::Fleet(disordered_streams),
    },
    Scenario {
        name: "router-restarts",
        about: "routers crash one by one",
        kind: Kind::Fleet(router_restarts),
    },
    Scenario {
        name: "router-herd",
        about: "all routers crash at once and restart together, at times without control machines",
        kind: Kind::Fleet(router_herd),
    },
    Scenario {
        name: "planned-stop",
        about: "routers are asked to stop one after the other, each of them twice",
        kind: Kind::Fleet(planned_stop),
    },
    Scenario {
        name: "hot-shift",
        about: "the most requested prefixes change suddenly, with small caches",
        kind: Kind::Fleet(hot_shift),
    },
    Scenario {
        name: "leader-cut-off",
        about: "control machines are isolated from the others for seconds without noticing it",
        kind: Kind::Fleet(leader_cut_off),
    },
    Scenario {
        name: "one-way-cuts",
        about: "messages among control machines are lost in one direction",
        kind: Kind::Fleet(one_way_cuts),
    },
    Scenario {
        name: "lossy-control",
        about: "messages among control machines are lost, duplicated and reordered",
        kind: Kind::Fleet(lossy_control),
    },
    Scenario {
        name: "racing-operators",
        about: "operators change the same resource concurrently and resend changes",
        kind: Kind::Fleet(racing_operators),
    },
    Scenario {
        name: "second-machine-lost",
        about: "a second control machine is lost right after the first one is replaced",
        kind: Kind::Fleet(second_machine_lost),
    },
    Scenario {
        name: "wiped-disk",
        about: "a control machine restarts with an empty disk under its old replica number",
        kind: Kind::Fleet(wiped_disk),
    },
    Scenario {
        name: "restored-from-copy",
        about: "all control machines are restored from older copies of their disks",
        kind: Kind::Fleet(restored_from_copy),
    },
    Scenario {
        name: "control-restarts",
        about: "control machines crash after many changes, finally all of them at once",
        kind: Kind::Fleet(control_restarts),
    },
    Scenario {
        name: "leaving-engine",
        about: "engines leave, one by the platform's lagging list and one by an operator's change",
        kind: Kind::Fleet(leaving_engine),
    },
    Scenario {
        name: "zone-cut",
        about: "a zone is cut off from the others",
        kind: Kind::Fleet(zone_cut),
    },
    Scenario {
        name: "zone-lost",
        about: "all processes of a zone crash at once",
        kind: Kind::Fleet(zone_lost),
    },
    Scenario {
        name: "overload",
        about: "callers send many times more requests than the engines can serve",
        kind: Kind::Fleet(overload),
    },
    Scenario {
        name: "slow-engine",
        about: "an engine becomes slow, and another freezes with its connections open",
        kind: Kind::Fleet(slow_engine),
    },
    Scenario {
        name: "rollout",
        about: "weights are rolled out engine by engine and rolled back, with delayed orders",
        kind: Kind::Fleet(rollout),
    },
    Scenario {
        name: "rollout-cut-off",
        about: "weights are rolled out while routers are cut off from control machines",
        kind: Kind::Fleet(rollout_cut_off),
    },
    Scenario {
        name: "varying-engines",
        about: "engines that generate different tokens crash in the middle of answers",
        kind: Kind::Fleet(varying_engines),
    },
    Scenario {
        name: "log-schedules",
        about: "the replicated log alone, under random messages, crashes and cuts",
        kind: Kind::Log(|seed| run_schedule(3, seed, LOG_STEPS).map(|_| ())),
    },
    Scenario {
        name: "log-lost-disk",
        about: "the replicated log: a replica restarts with an empty disk under its old number",
        kind: Kind::Log(scripts::lost_disk),
    },
    Scenario {
        name: "log-double-vote",
        about: "the replicated log: power is lost right after a vote",
        kind: Kind::Log(scripts::double_vote),
    },
    Scenario {
        name: "log-older-term",
        about: "the replicated log: an entry of an older term is stored on a majority",
        kind: Kind::Log(scripts::old_term_is_counted),
    },
    Scenario {
        name: "storm",
        about: "a random mix of faults",
        kind: Kind::Fleet(storm),
    },
];
