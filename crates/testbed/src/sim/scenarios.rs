//! The failures of the brief, each as a scenario whose details follow from the seed.

use std::time::Duration;

use drumshore_consensus_harness::{run_schedule, scripts, Violation};
use drumshore_core::Timestamp;
use drumshore_guard::Guard;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::plan::{Fault, Plan, TimedFault, CALM, RECOVERY, WARM_UP};
use super::world::{run, run_script, SimReport};

/// A failure of the brief.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// Its name on the command line.
    pub name: &'static str,
    /// What happens.
    pub about: &'static str,
    kind: Kind,
}

/// What a scenario exercises.
#[derive(Clone, Copy)]
enum Kind {
    /// A whole fleet, under a plan.
    Fleet(fn(&mut Draw) -> Plan),
    /// The replicated log alone.
    Log(fn(u64) -> Result<(), Violation>),
}

impl std::fmt::Debug for Scenario {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.name)
    }
}

impl Scenario {
    /// The plan of a seed; none when only the replicated log is exercised.
    pub fn plan(&self, seed: u64) -> Option<Plan> {
        let mut draw = Draw {
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        match self.kind {
            Kind::Fleet(build) => Some(build(&mut draw)),
            Kind::Log(_) => None,
        }
    }

    /// Runs a seed with one guard taken out, or none.
    pub fn run(&self, seed: u64, without: Option<Guard>) -> SimReport {
        match self.kind {
            Kind::Fleet(build) => {
                let mut draw = Draw {
                    random: ChaCha8Rng::seed_from_u64(seed),
                };
                run(&build(&mut draw), seed, without)
            }
            Kind::Log(script) => run_script(script, seed, without),
        }
    }

    /// A scenario by name.
    pub fn from_name(name: &str) -> Option<Self> {
        SCENARIOS.iter().find(|known| known.name == name).copied()
    }
}

/// Draws the details of a plan.
struct Draw {
    random: ChaCha8Rng,
}

impl Draw {
    fn below(&mut self, limit: usize) -> usize {
        self.random.random_range(0..limit)
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..=to))
    }

    fn engine(&mut self) -> usize {
        self.below(6)
    }

    fn router(&mut self) -> usize {
        self.below(3)
    }

    fn control(&mut self) -> usize {
        self.below(3)
    }
}

/// Steps of a random schedule.
const LOG_STEPS: usize = 6_000;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// All scenarios.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "quiet",
        about: "nothing goes wrong",
        kind: Kind::Fleet(|_| Plan::quiet(seconds(5))),
    },
    Scenario {
        name: "engine-crash",
        about: "engines crash and come back empty, some at once and some later",
        kind: Kind::Fleet(engine_crash),
    },
    Scenario {
        name: "late-requests",
        about: "connections to engines are held up and meet the next start of an engine",
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
        about: "all routers crash at once and return together, while control is cut off or gone",
        kind: Kind::Fleet(router_herd),
    },
    Scenario {
        name: "planned-stop",
        about: "routers are told to stop, one after the other, and told again",
        kind: Kind::Fleet(planned_stop),
    },
    Scenario {
        name: "hot-shift",
        about: "other prefixes are hot from one moment to the next, in a small cache",
        kind: Kind::Fleet(hot_shift),
    },
    Scenario {
        name: "leader-cut-off",
        about: "a control machine is cut off from the others for long and does not know",
        kind: Kind::Fleet(leader_cut_off),
    },
    Scenario {
        name: "one-way-cuts",
        about: "messages among control machines are lost in one direction",
        kind: Kind::Fleet(one_way_cuts),
    },
    Scenario {
        name: "lossy-control",
        about: "messages among control machines are lost, doubled and reordered",
        kind: Kind::Fleet(lossy_control),
    },
    Scenario {
        name: "racing-operators",
        about: "operators change the same thing at the same time and resend",
        kind: Kind::Fleet(racing_operators),
    },
    Scenario {
        name: "second-machine-lost",
        about: "a second control machine is lost right after the first one's repair",
        kind: Kind::Fleet(second_machine_lost),
    },
    Scenario {
        name: "wiped-disk",
        about: "a control machine returns with an empty disk under its old number",
        kind: Kind::Fleet(wiped_disk),
    },
    Scenario {
        name: "restored-from-copy",
        about: "all control machines are taken back to older copies of their disks",
        kind: Kind::Fleet(restored_from_copy),
    },
    Scenario {
        name: "control-restarts",
        about: "control machines crash after many changes, also all at once",
        kind: Kind::Fleet(control_restarts),
    },
    Scenario {
        name: "leaving-engine",
        about: "an engine leaves, by the platform's lagging list or by an operator's order",
        kind: Kind::Fleet(leaving_engine),
    },
    Scenario {
        name: "zone-cut",
        about: "a zone is cut off from the others",
        kind: Kind::Fleet(zone_cut),
    },
    Scenario {
        name: "zone-lost",
        about: "everything in a zone crashes at once",
        kind: Kind::Fleet(zone_lost),
    },
    Scenario {
        name: "overload",
        about: "callers ask many times more than the engines can do",
        kind: Kind::Fleet(overload),
    },
    Scenario {
        name: "slow-engine",
        about: "engines become slow, or stand still with connections open",
        kind: Kind::Fleet(slow_engine),
    },
    Scenario {
        name: "rollout",
        about: "weights change engine by engine, and back, with orders that arrive late",
        kind: Kind::Fleet(rollout),
    },
    Scenario {
        name: "rollout-cut-off",
        about: "weights change while routers hear nothing of it",
        kind: Kind::Fleet(rollout_cut_off),
    },
    Scenario {
        name: "varying-engines",
        about: "engines whose arithmetic differs crash in the middle of answers",
        kind: Kind::Fleet(varying_engines),
    },
    Scenario {
        name: "log-schedules",
        about: "the replicated log alone, under random messages, crashes and cuts",
        kind: Kind::Log(|seed| run_schedule(3, seed, LOG_STEPS).map(|_| ())),
    },
    Scenario {
        name: "log-lost-disk",
        about: "the replicated log: a replica returns with an empty disk under its old number",
        kind: Kind::Log(scripts::lost_disk),
    },
    Scenario {
        name: "log-double-vote",
        about: "the replicated log: power is lost right after a vote",
        kind: Kind::Log(scripts::double_vote),
    },
    Scenario {
        name: "log-older-term",
        about: "the replicated log: an entry of an older term is found on a majority",
        kind: Kind::Log(scripts::old_term_is_counted),
    },
    Scenario {
        name: "storm",
        about: "a random mix of everything",
        kind: Kind::Fleet(storm),
    },
];

fn engine_crash(draw: &mut Draw) -> Plan {
    let mut plan = Plan::quiet(seconds(12));
    for _ in 0..4 {
        let fault = Fault::EngineCrash {
            engine: draw.engine(),
            away: draw.millis(50, 3_000),
        };
        plan = plan.with(draw.millis(0, 9_000), fault);
    }
    plan
}

fn late_requests(draw: &mut Draw) -> Plan {
    let by = draw.millis(400, 1_500);
    let lasting = seconds(9);
    let mut plan = Plan::quiet(seconds(13)).with(seconds(0), Fault::LateRequests { by, lasting });
    for engine in 0..6 {
        let fault = Fault::EngineCrash {
            engine,
            away: draw.millis(50, 300),
        };
        plan = plan.with(draw.millis(0, 8_000), fault);
    }
    plan
}

fn flaky_streams(draw: &mut Draw) -> Plan {
    let flaky = Fault::FlakyStreams {
        chance: 0.08,
        lasting: seconds(9),
    };
    let crash = Fault::EngineCrash {
        engine: draw.engine(),
        away: draw.millis(200, 2_000),
    };
    let rollout_at = draw.millis(500, 3_000);
    Plan::quiet(seconds(14))
        .with(seconds(0), flaky)
        .with(rollout_at, Fault::RolloutStarts)
        .with(draw.millis(3_000, 8_000), crash)
}

fn disordered_streams(draw: &mut Draw) -> Plan {
    let fault = Fault::DisorderedStreams {
        chance: 0.05 + draw.below(10) as f64 / 100.0,
        lasting: seconds(8),
    };
    Plan::quiet(seconds(10)).with(seconds(0), fault)
}

fn router_restarts(draw: &mut Draw) -> Plan {
    let mut plan = Plan::quiet(seconds(12));
    for number in 0..6 {
        let fault = Fault::RouterCrash {
            router: draw.router(),
            away: draw.millis(20, 800),
        };
        plan = plan.with(seconds(2 * number) + draw.millis(0, 900), fault);
    }
    plan
}

fn router_herd(draw: &mut Draw) -> Plan {
    let mut plan = Plan::quiet(seconds(14));
    let at = draw.millis(3_000, 5_000);
    for router in 0..3 {
        let away = draw.millis(20, 500);
        plan = plan.with(at, Fault::RouterCrash { router, away });
    }
    // Sometimes there is nobody to ask when they return.
    if draw.below(2) == 0 {
        for control in 0..3 {
            let away = draw.millis(3_000, 5_000);
            plan = plan.with(at, Fault::ControlCrash { control, away });
        }
    }
    plan
}

fn planned_stop(draw: &mut Draw) -> Plan {
    let mut plan = Plan::quiet(seconds(12));
    for router in 0..3 {
        let at = seconds(3 * router as u64) + draw.millis(0, 2_000);
        let again = at + draw.millis(0, 100);
        plan = plan
            .with(at, Fault::RouterStop { router })
            .with(again, Fault::RouterStop { router });
    }
    plan
}

fn hot_shift(draw: &mut Draw) -> Plan {
    let mut plan = Plan::quiet(seconds(10));
    plan.cache_blocks = 12;
    for number in 0..4 {
        let at = seconds(2 * number) + draw.millis(0, 1_000);
        plan = plan.with(at, Fault::HotShift);
    }
    plan
}

fn leader_cut_off(draw: &mut Draw) -> Plan {
    let mut plan = Plan::quiet(seconds(14));
    // Two machines in turn, so that a leader is among them most of the time.
    let first = draw.control();
    for (number, control) in [first, (first + 1) % 3].into_iter().enumerate() {
        let lasting = draw.millis(3_000, 5_500);
        let at = seconds(6 * number as u64) + draw.millis(0, 500);
        plan = plan.with(at, Fault::ControlIsolated { control, lasting });
    }
    plan.changes_per_second = 3.0;
    plan
}

fn one_way_cuts(draw: &mut Draw) -> Plan {
    let mut plan = Plan::quiet(seconds(12));
    for _ in 0..4 {
        let from = draw.control();
        let fault = Fault::OneWayCut {
            from,
            to: (from + 1 + draw.below(2)) % 3,
            lasting: draw.millis(500, 4_000),
        };
        plan = plan.with(draw.millis(0, 8_000), fault);
    }
    plan.changes_per_second = 2.0;
    plan
}

fn lossy_control(draw: &mut Draw) -> Plan {
    let fault = Fault::LossyNetwork {
        chance: 0.1 + draw.below(20) as f64 / 100.0,
        lasting: seconds(10),
    };
    let mut plan = Plan::quiet(seconds(12)).with(seconds(0), fault);
    plan.changes_per_second = 3.0;
    plan
}

fn racing_operators(draw: &mut Draw) -> Plan {
    let mut plan = Plan::quiet(seconds(12));
    plan.changes_per_second = 8.0;
    let crash = Fault::ControlCrash {
        control: draw.control(),
        away: draw.millis(500, 3_000),
    };
    plan.with(draw.millis(1_000, 8_000), crash)
}

fn second_machine_lost(draw: &mut Draw) -> Plan {
    let first = draw.control();
    let second = (first + 1 + draw.below(2)) % 3;
    let mut plan = Plan::quiet(seconds(26))
        .with(
            draw.millis(0, 500),
            Fault::ControlReplaced { control: first },
        )
        .with(seconds(9), Fault::ControlReplaced { control: second });
    plan.changes_per_second = 2.0;
    plan
}

fn wiped_disk(draw: &mut Draw) -> Plan {
    let first = draw.control();
    let other = (first + 1 + draw.below(2)) % 3;
    let lasting = draw.millis(2_000, 4_000);
    // The machine that knows what was committed is cut off when the forgetful one returns.
    let mut plan = Plan::quiet(seconds(14));
    for round in 0..2 {
        let at = seconds(6 * round) + draw.millis(0, 500);
        let isolated = Fault::ControlIsolated {
            control: other,
            lasting,
        };
        plan = plan
            .with(at, isolated)
            .with(at + seconds(1), Fault::ControlWiped { control: first });
    }
    // Nothing brings the forgotten number back, so its machine is replaced as the page says.
    let mut plan = plan.with(seconds(12), Fault::ControlReplaced { control: first });
    plan.healed_at = Timestamp(0).plus(WARM_UP + seconds(20));
    plan.ends_at = plan.healed_at.plus(RECOVERY + CALM);
    plan.changes_per_second = 4.0;
    plan
}

fn restored_from_copy(draw: &mut Draw) -> Plan {
    let mut plan =
        Plan::quiet(seconds(12)).with(draw.millis(4_000, 7_000), Fault::ControlsRestored);
    plan.changes_per_second = 3.0;
    plan
}

fn control_restarts(draw: &mut Draw) -> Plan {
    let mut plan = Plan::quiet(seconds(16));
    plan.changes_per_second = 8.0;
    for _ in 0..4 {
        let fault = Fault::ControlCrash {
            control: draw.control(),
            away: draw.millis(100, 2_000),
        };
        plan = plan.with(draw.millis(0, 9_000), fault);
    }
    let at = draw.millis(10_000, 12_000);
    for control in 0..3 {
        let away = draw.millis(100, 2_000);
        plan = plan.with(at, Fault::ControlCrash { control, away });
    }
    plan
}

fn leaving_engine(draw: &mut Draw) -> Plan {
    let engine = draw.engine();
    let other = (engine + 1 + draw.below(5)) % 6;
    Plan::quiet(seconds(14))
        .with(draw.millis(0, 2_000), Fault::EngineLeaves { engine })
        .with(
            draw.millis(0, 4_000),
            Fault::EngineDrained { engine: other },
        )
}

fn zone_cut(draw: &mut Draw) -> Plan {
    let fault = Fault::ZoneCut {
        zone: draw.below(3),
        lasting: draw.millis(2_000, 8_000),
    };
    Plan::quiet(seconds(12)).with(draw.millis(0, 2_000), fault)
}

fn zone_lost(draw: &mut Draw) -> Plan {
    let zone = draw.below(3);
    let at = draw.millis(0, 2_000);
    let away = draw.millis(3_000, 6_000);
    Plan::quiet(seconds(12))
        .with(at, Fault::RouterCrash { router: zone, away })
        .with(
            at,
            Fault::ControlCrash {
                control: zone,
                away,
            },
        )
        .with(at, Fault::EngineCrash { engine: zone, away })
        .with(
            at,
            Fault::EngineCrash {
                engine: zone + 3,
                away,
            },
        )
}

fn overload(draw: &mut Draw) -> Plan {
    let fault = Fault::Surge {
        factor: 15.0 + draw.below(20) as f64,
        lasting: seconds(6),
    };
    Plan::quiet(seconds(8)).with(draw.millis(0, 1_000), fault)
}

fn slow_engine(draw: &mut Draw) -> Plan {
    let engine = draw.engine();
    let slow = Fault::EngineSlow {
        engine,
        factor: 4.0 + draw.below(8) as f64,
    };
    let healed = Fault::EngineSlow {
        engine,
        factor: 1.0,
    };
    let frozen = Fault::EngineFreeze {
        engine: (engine + 1) % 6,
        lasting: draw.millis(1_000, 8_000),
    };
    Plan::quiet(seconds(12))
        .with(draw.millis(0, 1_000), slow)
        .with(seconds(9), healed)
        .with(draw.millis(0, 3_000), frozen)
}

fn rollout(draw: &mut Draw) -> Plan {
    let held = Fault::LateOrders {
        by: draw.millis(2_000, 6_000),
        lasting: draw.millis(2_000, 5_000),
    };
    let isolated = Fault::ControlIsolated {
        control: draw.control(),
        lasting: draw.millis(1_500, 3_000),
    };
    Plan::quiet(seconds(26))
        .with(seconds(0), Fault::RolloutStarts)
        .with(draw.millis(0, 4_000), held)
        .with(draw.millis(2_000, 6_000), isolated)
        .with(draw.millis(6_000, 9_000), Fault::RolloutRollsBack)
}

fn rollout_cut_off(draw: &mut Draw) -> Plan {
    let mut plan = Plan::quiet(seconds(18)).with(seconds(1), Fault::RolloutStarts);
    for router in 0..2 {
        let lasting = draw.millis(4_000, 9_000);
        let at = draw.millis(500, 1_500);
        plan = plan.with(at, Fault::RouterIsolated { router, lasting });
    }
    plan
}

fn varying_engines(draw: &mut Draw) -> Plan {
    let mut plan = Plan::quiet(seconds(12));
    for engine in 0..3 {
        // Before anybody asks: an engine does not change in the middle of an answer.
        let at = Timestamp(0).plus(seconds(1));
        let fault = Fault::EngineVaries { engine };
        plan.faults.push(TimedFault { at, fault });
    }
    for _ in 0..8 {
        let fault = Fault::EngineCrash {
            engine: draw.engine(),
            away: draw.millis(50, 500),
        };
        plan = plan.with(draw.millis(0, 10_000), fault);
    }
    plan
}

fn storm(draw: &mut Draw) -> Plan {
    let mut plan = Plan::quiet(seconds(20));
    plan.changes_per_second = 2.0;
    for _ in 0..12 {
        let fault = any_fault(draw);
        plan = plan.with(draw.millis(0, 12_000), fault);
    }
    plan
}

fn any_fault(draw: &mut Draw) -> Fault {
    let control = draw.control();
    let engine = draw.engine();
    match draw.below(13) {
        0 | 1 => Fault::EngineCrash {
            engine,
            away: draw.millis(50, 3_000),
        },
        2 => Fault::EngineFreeze {
            engine,
            lasting: draw.millis(500, 4_000),
        },
        3 | 4 => Fault::RouterCrash {
            router: draw.router(),
            away: draw.millis(20, 800),
        },
        5 => Fault::RouterStop {
            router: draw.router(),
        },
        6 => Fault::ControlCrash {
            control,
            away: draw.millis(100, 2_000),
        },
        7 => Fault::ControlIsolated {
            control,
            lasting: draw.millis(500, 5_000),
        },
        8 => Fault::ZoneCut {
            zone: draw.below(3),
            lasting: draw.millis(500, 4_000),
        },
        9 => Fault::LossyNetwork {
            chance: 0.2,
            lasting: draw.millis(1_000, 5_000),
        },
        10 => Fault::FlakyStreams {
            chance: 0.05,
            lasting: draw.millis(1_000, 5_000),
        },
        11 => Fault::Surge {
            factor: 6.0,
            lasting: draw.millis(500, 2_000),
        },
        _ => Fault::HotShift,
    }
}
