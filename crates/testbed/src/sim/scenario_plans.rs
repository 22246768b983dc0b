//! Plans of the scenarios, with details sampled from the seed.

use std::time::Duration;

use drumshore_core::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::plan::{Fault, Plan, TimedFault};

/// Samples the details of a plan.
pub(super) struct Sampler {
    random: ChaCha8Rng,
}

impl Sampler {
    /// Creates a sampler whose values are determined by the seed.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// A number from 0 to below `limit`.
    pub fn below(&mut self, limit: usize) -> usize {
        self.random.random_range(0..limit)
    }

    /// A duration in milliseconds, both bounds included.
    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..=to))
    }

    /// Index of one of the 6 engines of [`Plan::quiet`].
    pub fn engine(&mut self) -> usize {
        self.below(6)
    }

    /// Index of one of its 3 routers.
    pub fn router(&mut self) -> usize {
        self.below(3)
    }

    /// Index of one of its 3 control machines.
    pub fn control(&mut self) -> usize {
        self.below(3)
    }
}

pub(super) fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub(super) fn engine_crash(sampler: &mut Sampler) -> Plan {
    let mut plan = Plan::quiet(seconds(12));
    for _ in 0..4 {
        let fault = Fault::EngineCrash {
            engine: sampler.engine(),
            away: sampler.millis(50, 3_000),
        };
        plan = plan.with(sampler.millis(0, 9_000), fault);
    }
    plan
}

pub(super) fn late_requests(sampler: &mut Sampler) -> Plan {
    let by = sampler.millis(400, 1_500);
    let lasting = seconds(9);
    let mut plan = Plan::quiet(seconds(13)).with(seconds(0), Fault::LateRequests { by, lasting });
    for engine in 0..6 {
        let fault = Fault::EngineCrash {
            engine,
            away: sampler.millis(50, 300),
        };
        plan = plan.with(sampler.millis(0, 8_000), fault);
    }
    plan
}

pub(super) fn flaky_streams(sampler: &mut Sampler) -> Plan {
    let flaky = Fault::FlakyStreams {
        chance: 0.08,
        lasting: seconds(9),
    };
    let crash = Fault::EngineCrash {
        engine: sampler.engine(),
        away: sampler.millis(200, 2_000),
    };
    let rollout_at = sampler.millis(500, 3_000);
    Plan::quiet(seconds(14))
        .with(seconds(0), flaky)
        .with(rollout_at, Fault::RolloutStarts)
        .with(sampler.millis(3_000, 8_000), crash)
}

pub(super) fn disordered_streams(sampler: &mut Sampler) -> Plan {
    let fault = Fault::DisorderedStreams {
        chance: 0.05 + sampler.below(10) as f64 / 100.0,
        lasting: seconds(8),
    };
    Plan::quiet(seconds(10)).with(seconds(0), fault)
}

pub(super) fn router_restarts(sampler: &mut Sampler) -> Plan {
    let mut plan = Plan::quiet(seconds(12));
    for number in 0..6 {
        let fault = Fault::RouterCrash {
            router: sampler.router(),
            away: sampler.millis(20, 800),
        };
        plan = plan.with(seconds(2 * number) + sampler.millis(0, 900), fault);
    }
    plan
}

pub(super) fn router_herd(sampler: &mut Sampler) -> Plan {
    let mut plan = Plan::quiet(seconds(14));
    let at = sampler.millis(3_000, 5_000);
    for router in 0..3 {
        let away = sampler.millis(20, 500);
        plan = plan.with(at, Fault::RouterCrash { router, away });
    }
    // In half of the seeds no control machine is running when the routers restart.
    if sampler.below(2) == 0 {
        for control in 0..3 {
            let away = sampler.millis(3_000, 5_000);
            plan = plan.with(at, Fault::ControlCrash { control, away });
        }
    }
    plan
}

pub(super) fn planned_stop(sampler: &mut Sampler) -> Plan {
    let mut plan = Plan::quiet(seconds(12));
    for router in 0..3 {
        let at = seconds(3 * router as u64) + sampler.millis(0, 2_000);
        let again = at + sampler.millis(0, 100);
        plan = plan
            .with(at, Fault::RouterStop { router })
            .with(again, Fault::RouterStop { router });
    }
    plan
}

pub(super) fn hot_shift(sampler: &mut Sampler) -> Plan {
    let mut plan = Plan::quiet(seconds(10));
    plan.cache_blocks = 12;
    for number in 0..4 {
        let at = seconds(2 * number) + sampler.millis(0, 1_000);
        plan = plan.with(at, Fault::HotShift);
    }
    plan
}

pub(super) fn leaving_engine(sampler: &mut Sampler) -> Plan {
    let engine = sampler.engine();
    let other = (engine + 1 + sampler.below(5)) % 6;
    Plan::quiet(seconds(14))
        .with(sampler.millis(0, 2_000), Fault::EngineLeaves { engine })
        .with(
            sampler.millis(0, 4_000),
            Fault::EngineDrained { engine: other },
        )
}

pub(super) fn zone_cut(sampler: &mut Sampler) -> Plan {
    let fault = Fault::ZoneCut {
        zone: sampler.below(3),
        lasting: sampler.millis(2_000, 8_000),
    };
    Plan::quiet(seconds(12)).with(sampler.millis(0, 2_000), fault)
}

pub(super) fn zone_lost(sampler: &mut Sampler) -> Plan {
    let zone = sampler.below(3);
    let at = sampler.millis(0, 2_000);
    let away = sampler.millis(3_000, 6_000);
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

pub(super) fn overload(sampler: &mut Sampler) -> Plan {
    let fault = Fault::Surge {
        factor: 15.0 + sampler.below(20) as f64,
        lasting: seconds(6),
    };
    Plan::quiet(seconds(8)).with(sampler.millis(0, 1_000), fault)
}

pub(super) fn slow_engine(sampler: &mut Sampler) -> Plan {
    let engine = sampler.engine();
    let slow = Fault::EngineSlow {
        engine,
        factor: 4.0 + sampler.below(8) as f64,
    };
    let healed = Fault::EngineSlow {
        engine,
        factor: 1.0,
    };
    let frozen = Fault::EngineFreeze {
        engine: (engine + 1) % 6,
        lasting: sampler.millis(1_000, 8_000),
    };
    Plan::quiet(seconds(12))
        .with(sampler.millis(0, 1_000), slow)
        .with(seconds(9), healed)
        .with(sampler.millis(0, 3_000), frozen)
}

pub(super) fn rollout(sampler: &mut Sampler) -> Plan {
    let held = Fault::LateOrders {
        by: sampler.millis(2_000, 6_000),
        lasting: sampler.millis(2_000, 5_000),
    };
    let isolated = Fault::ControlIsolated {
        control: sampler.control(),
        lasting: sampler.millis(1_500, 3_000),
    };
    Plan::quiet(seconds(26))
        .with(seconds(0), Fault::RolloutStarts)
        .with(sampler.millis(0, 4_000), held)
        .with(sampler.millis(2_000, 6_000), isolated)
        .with(sampler.millis(6_000, 9_000), Fault::RolloutRollsBack)
}

pub(super) fn rollout_cut_off(sampler: &mut Sampler) -> Plan {
    let mut plan = Plan::quiet(seconds(18)).with(seconds(1), Fault::RolloutStarts);
    for router in 0..2 {
        let lasting = sampler.millis(4_000, 9_000);
        let at = sampler.millis(500, 1_500);
        plan = plan.with(at, Fault::RouterIsolated { router, lasting });
    }
    plan
}

pub(super) fn varying_engines(sampler: &mut Sampler) -> Plan {
    let mut plan = Plan::quiet(seconds(12));
    for engine in 0..3 {
        // Before callers start, because a real engine does not change in the middle of an answer.
        let at = Timestamp(0).plus(seconds(1));
        let fault = Fault::EngineVaries { engine };
        plan.faults.push(TimedFault { at, fault });
    }
    for _ in 0..8 {
        let fault = Fault::EngineCrash {
            engine: sampler.engine(),
            away: sampler.millis(50, 500),
        };
        plan = plan.with(sampler.millis(0, 10_000), fault);
    }
    plan
}

pub(super) fn storm(sampler: &mut Sampler) -> Plan {
    let mut plan = Plan::quiet(seconds(20));
    plan.changes_per_second = 2.0;
    for _ in 0..12 {
        let fault = any_fault(sampler);
        plan = plan.with(sampler.millis(0, 12_000), fault);
    }
    plan
}

fn any_fault(sampler: &mut Sampler) -> Fault {
    let control = sampler.control();
    let engine = sampler.engine();
    match sampler.below(13) {
        0 | 1 => Fault::EngineCrash {
            engine,
            away: sampler.millis(50, 3_000),
        },
        2 => Fault::EngineFreeze {
            engine,
            lasting: sampler.millis(500, 4_000),
        },
        3 | 4 => Fault::RouterCrash {
            router: sampler.router(),
            away: sampler.millis(20, 800),
        },
        5 => Fault::RouterStop {
            router: sampler.router(),
        },
        6 => Fault::ControlCrash {
            control,
            away: sampler.millis(100, 2_000),
        },
        7 => Fault::ControlIsolated {
            control,
            lasting: sampler.millis(500, 5_000),
        },
        8 => Fault::ZoneCut {
            zone: sampler.below(3),
            lasting: sampler.millis(500, 4_000),
        },
        9 => Fault::LossyNetwork {
            chance: 0.2,
            lasting: sampler.millis(1_000, 5_000),
        },
        10 => Fault::FlakyStreams {
            chance: 0.05,
            lasting: sampler.millis(1_000, 5_000),
        },
        11 => Fault::Surge {
            factor: 6.0,
            lasting: sampler.millis(500, 2_000),
        },
        _ => Fault::HotShift,
    }
}
