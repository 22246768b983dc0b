//! What a simulated run consists of.

use std::fmt;
use std::time::Duration;

use drumshore_core::Timestamp;

use crate::workload::{Level, WorkloadParams};

/// Something that goes wrong, or that somebody does.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// An engine crashes and comes back empty after a while.
    EngineCrash {
        /// Which.
        engine: usize,
        /// For how long it is away.
        away: Duration,
    },
    /// An engine does everything this many times slower, until it is healed.
    EngineSlow {
        /// Which.
        engine: usize,
        /// How much slower.
        factor: f64,
    },
    /// An engine stands still, connections open, for a while.
    EngineFreeze {
        /// Which.
        engine: usize,
        /// For how long.
        lasting: Duration,
    },
    /// The platform will take an engine away; the list shows it with its lag.
    EngineLeaves {
        /// Which.
        engine: usize,
    },
    /// From now on an engine's arithmetic gives other tokens than that of the others, as other
    /// hardware may.
    EngineVaries {
        /// Which.
        engine: usize,
    },
    /// A router hears and reaches no control machine.
    RouterIsolated {
        /// Which.
        router: usize,
        /// For how long.
        lasting: Duration,
    },
    /// An operator drains an engine.
    EngineDrained {
        /// Which.
        engine: usize,
    },
    /// A router crashes and restarts.
    RouterCrash {
        /// Which.
        router: usize,
        /// For how long it is away.
        away: Duration,
    },
    /// A router is told to stop, and is started again once it has.
    RouterStop {
        /// Which.
        router: usize,
    },
    /// A control machine crashes, losing what was not synced, and restarts.
    ControlCrash {
        /// Which.
        control: usize,
        /// For how long it is away.
        away: Duration,
    },
    /// A control machine loses its disk and is replaced under a new number, step by step.
    ControlReplaced {
        /// Which.
        control: usize,
    },
    /// A control machine loses its disk and comes back with an empty one under its old number,
    /// as nobody should do.
    ControlWiped {
        /// Which.
        control: usize,
    },
    /// All control machines come back from copies of their disks that were taken at the start of
    /// the run's faults.
    ControlsRestored,
    /// A control machine hears and reaches no other control machine; routers and engines still
    /// reach it.
    ControlIsolated {
        /// Which.
        control: usize,
        /// For how long.
        lasting: Duration,
    },
    /// A zone is cut off from the others.
    ZoneCut {
        /// Which.
        zone: usize,
        /// For how long.
        lasting: Duration,
    },
    /// One direction between a control machine and another fails.
    OneWayCut {
        /// The sender whose messages are lost.
        from: usize,
        /// The receiver.
        to: usize,
        /// For how long.
        lasting: Duration,
    },
    /// Messages among control machines are lost, doubled and reordered this often.
    LossyNetwork {
        /// The chance.
        chance: f64,
        /// For how long.
        lasting: Duration,
    },
    /// Connections between routers and engines break this often at each event.
    FlakyStreams {
        /// The chance.
        chance: f64,
        /// For how long.
        lasting: Duration,
    },
    /// Events within streams are skipped or arrive twice this often.
    DisorderedStreams {
        /// The chance.
        chance: f64,
        /// For how long.
        lasting: Duration,
    },
    /// Requests on their way to an engine are held and arrive late.
    LateRequests {
        /// How late.
        by: Duration,
        /// For how long this goes on.
        lasting: Duration,
    },
    /// Orders on their way to engines are held and arrive late.
    LateOrders {
        /// How late.
        by: Duration,
        /// For how long this goes on.
        lasting: Duration,
    },
    /// Callers ask this many times more often.
    Surge {
        /// How much.
        factor: f64,
        /// For how long.
        lasting: Duration,
    },
    /// Other prefixes are hot from now on.
    HotShift,
    /// An operator starts a rollout to the next version.
    RolloutStarts,
    /// An operator rolls it back.
    RolloutRollsBack,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedFault {
    /// When, since the start of the run.
    pub at: Timestamp,
    /// What.
    pub fault: Fault,
}

/// A simulated run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Control machines.
    pub controls: usize,
    /// Routers.
    pub routers: usize,
    /// Engines.
    pub engines: usize,
    /// Zones; everything is spread over them in turn.
    pub zones: usize,
    /// Requests a second.
    pub requests_per_second: f64,
    /// What callers ask.
    pub workload: WorkloadParams,
    /// Changes of configuration a second that operators race for.
    pub changes_per_second: f64,
    /// Blocks an engine holds.
    pub cache_blocks: usize,
    /// What goes wrong.
    pub faults: Vec<TimedFault>,
    /// When the last fault has healed.
    pub healed_at: Timestamp,
    /// When the run ends. From some seconds after the last fault on, the fleet has to serve.
    pub ends_at: Timestamp,
}

/// Seconds of the run before anything goes wrong.
pub const WARM_UP: Duration = Duration::from_secs(4);

/// The fleet has to serve normally this long after the last fault has healed.
pub const RECOVERY: Duration = Duration::from_secs(20);

/// Seconds of the run in which it must.
pub const STEADY_PERIOD: Duration = Duration::from_secs(8);

impl Plan {
    /// A fleet to which nothing happens for `fault_period`.
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

    /// Adds a fault.
    pub fn with(mut self, after_warm_up: Duration, fault: Fault) -> Self {
        let at = Timestamp(0).plus(WARM_UP + after_warm_up);
        self.faults.push(TimedFault { at, fault });
        self.faults.sort_by_key(|timed| timed.at);
        self
    }
}
