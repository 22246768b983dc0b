//! The plan of a simulated run: fleet size, workload and faults.

use std::fmt;
use std::time::Duration;

use drumshore_core::Timestamp;

use crate::workload::{Level, WorkloadParams};

/// A failure, or an action of an operator or the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// An engine crashes and restarts with an empty cache.
    EngineCrash {
        /// Index of the engine.
        engine: usize,
        /// Time until it restarts.
        away: Duration,
    },
    /// All operations of an engine take `factor` times as long until another fault of this kind
    /// resets the factor.
    EngineSlow {
        /// Index of the engine.
        engine: usize,
        /// Multiplier of all its times; 1 is normal speed.
        factor: f64,
    },
    /// An engine makes no progress while its connections stay open.
    EngineFreeze {
        /// Index of the engine.
        engine: usize,
        /// Duration of the fault.
        lasting: Duration,
    },
    /// The platform announces that it will remove an engine; its list shows this with its
    /// usual lag.
    EngineLeaves {
        /// Index of the engine.
        engine: usize,
    },
    /// From now on an engine generates other tokens than the others for the same prompt, as
    /// different hardware may.
    EngineVaries {
        /// Index of the engine.
        engine: usize,
    },
    /// A router is cut off from all control machines in both directions.
    RouterIsolated {
        /// Index of the router.
        router: usize,
        /// Duration of the fault.
        lasting: Duration,
    },
    /// An operator drains an engine.
    EngineDrained {
        /// Index of the engine.
        engine: usize,
    },
    /// A router crashes and restarts.
    RouterCrash {
        /// Index of the router.
        router: usize,
        /// Time until it restarts.
        away: Duration,
    },
    /// A router is asked to stop gracefully and is started again after it has stopped.
    RouterStop {
        /// Index of the router.
        router: usize,
    },
    /// A control machine crashes, loses writes that were not synced, and restarts.
    ControlCrash {
        /// Index of the control machine.
        control: usize,
        /// Time until it restarts.
        away: Duration,
    },
    /// A control machine loses its disk and is replaced under a new replica number by a sequence of
    /// membership changes.
    ControlReplaced {
        /// Index of the control machine.
        control: usize,
    },
    /// A control machine loses its disk and restarts with an empty one under its old replica
    /// number, an operating error.
    ControlWiped {
        /// Index of the control machine.
        control: usize,
    },
    /// All control machines restart from copies of their disks that were taken at the end of
    /// the warm-up.
    ControlsRestored,
    /// A control machine is cut off from the other control machines in both directions; routers and
    /// engines can still reach it.
    ControlIsolated {
        /// Index of the control machine.
        control: usize,
        /// Duration of the fault.
        lasting: Duration,
    },
    /// All nodes of a zone are cut off from the nodes of other zones.
    ZoneCut {
        /// Index of the zone.
        zone: usize,
        /// Duration of the fault.
        lasting: Duration,
    },
    /// Messages from one control machine to another are lost; the other direction works.
    OneWayCut {
        /// The sender whose messages are lost.
        from: usize,
        /// The receiver.
        to: usize,
        /// Duration of the fault.
        lasting: Duration,
    },
    /// Messages between control machines are lost, duplicated and delayed, each with this
    /// probability.
    LossyNetwork {
        /// Probability, from 0 to 1.
        chance: f64,
        /// Duration of the fault.
        lasting: Duration,
    },
    /// A connection between a router and an engine breaks with this probability at each stream
    /// event.
    FlakyStreams {
        /// Probability, from 0 to 1.
        chance: f64,
        /// Duration of the fault.
        lasting: Duration,
    },
    /// A stream event is skipped with this probability, and duplicated with the same.
    DisorderedStreams {
        /// Probability, from 0 to 1.
        chance: f64,
        /// Duration of the fault.
        lasting: Duration,
    },
    /// Some requests are delayed on their way to an engine.
    LateRequests {
        /// Additional delay.
        by: Duration,
        /// Duration of the fault.
        lasting: Duration,
    },
    /// Control machines' orders are delayed on their way to engines.
    LateOrders {
        /// Additional delay.
        by: Duration,
        /// Duration of the fault.
        lasting: Duration,
    },
    /// Callers send requests at `factor` times the normal rate.
    Surge {
        /// Multiplier of the request rate.
        factor: f64,
        /// Duration of the fault.
        lasting: Duration,
    },
    /// From now on other prompt prefixes are the most requested ones.
    HotShift,
    /// An operator starts a rollout to the next weights version.
    RolloutStarts,
    /// An operator rolls the rollout back.
    RolloutRollsBack,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// A fault scheduled at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault {
    /// Time since the start of the run.
    pub at: Timestamp,
    /// The fault to apply.
    pub fault: Fault,
}

/// Parameters of a simulated run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of control machines.
    pub controls: usize,
    /// Number of routers.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of zones; nodes of each kind are assigned to them round-robin.
    pub zones: usize,
    /// Mean rate of requests from callers.
    pub requests_per_second: f64,
    /// Tenants, prompts and lengths of the callers' requests.
    pub workload: WorkloadParams,
    /// Rate of configuration changes that pairs of operators submit concurrently.
    pub changes_per_second: f64,
    /// Cache capacity of an engine, in blocks.
    pub cache_blocks: usize,
    /// Faults by time.
    pub faults: Vec<TimedFault>,
    /// Time by which the last fault has ended.
    pub healed_at: Timestamp,
    /// Time at which the run ends. The fleet has to serve normally from 20 s after
    /// `healed_at` on (`RECOVERY`).
    pub ends_at: Timestamp,
}

/// Start of the run, without faults.
pub const WARM_UP: Duration = Duration::from_secs(4);

/// Time after the end of the last fault by which the fleet has to serve normally again.
pub const RECOVERY: Duration = Duration::from_secs(20);

/// Final part of the run, in which the fleet has to serve normally.
pub const STEADY_PERIOD: Duration = Duration::from_secs(8);

impl Plan {
    /// A plan without faults that reserves `fault_period` after the warm-up for faults to be added.
    pub fn quiet(fault_period: Duration) -> Self {
        let healed_at = Timestamp(0).plus(WARM_UP + fault_period);
        let level = |children, blocks| Level { children, blocks };
        Self {
            controls: 3,
            routers: 3,
            engines: 6,
            zones: 3,
            requests_per_second: 8.0,
            workload: WorkloadParams {
                tenants: 4,
                large_share: 0.5,
                levels: vec![level(2, 2), level(4, 2), level(6, 2)],
                hot_share: 0.5,
                hot_shift_seconds: 20.0,
                tail_tokens: (4, 20),
                output_tokens: (3, 14),
                interactive_share: 0.5,
                batch_share: 0.2,
                once_share: 0.35,
            },
            changes_per_second: 1.0,
            cache_blocks: 80,
            faults: Vec::new(),
            healed_at,
            ends_at: healed_at.plus(RECOVERY + STEADY_PERIOD),
        }
    }

    /// Adds a fault at a time after the warm-up.
    pub fn with(mut self, after_warm_up: Duration, fault: Fault) -> Self {
        let at = Timestamp(0).plus(WARM_UP + after_warm_up);
        self.faults.push(TimedFault { at, fault });
        self.faults.sort_by_key(|timed| timed.at);
        self
    }
}
