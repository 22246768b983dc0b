//! Plans of the scenarios for control machines: cuts, lost disks, restarts, concurrent changes.

use drumshore_core::Timestamp;

use super::plan::{Fault, Plan, RECOVERY, STEADY_PERIOD, WARM_UP};
use super::scenario_plans::{seconds, Sampler};

pub(super) fn leader_cut_off(sampler: &mut Sampler) -> Plan {
    let mut plan = Plan::quiet(seconds(14));
    // Isolates two machines one after the other, so that one of them is likely to be the leader.
    let first = sampler.control();
    for (number, control) in [first, (first + 1) % 3].into_iter().enumerate() {
        let lasting = sampler.millis(3_000, 5_500);
        let at = seconds(6 * number as u64) + sampler.millis(0, 500);
        plan = plan.with(at, Fault::ControlIsolated { control, lasting });
    }
    plan.changes_per_second = 3.0;
    plan
}

pub(super) fn one_way_cuts(sampler: &mut Sampler) -> Plan {
    let mut plan = Plan::quiet(seconds(12));
    for _ in 0..4 {
        let from = sampler.control();
        let fault = Fault::OneWayCut {
            from,
            to: (from + 1 + sampler.below(2)) % 3,
            lasting: sampler.millis(500, 4_000),
        };
        plan = plan.with(sampler.millis(0, 8_000), fault);
    }
    plan.changes_per_second = 2.0;
    plan
}

pub(super) fn lossy_control(sampler: &mut Sampler) -> Plan {
    let fault = Fault::LossyNetwork {
        chance: 0.1 + sampler.below(20) as f64 / 100.0,
        lasting: seconds(10),
    };
    let mut plan = Plan::quiet(seconds(12)).with(seconds(0), fault);
    plan.changes_per_second = 3.0;
    plan
}

pub(super) fn racing_operators(sampler: &mut Sampler) -> Plan {
    let mut plan = Plan::quiet(seconds(12));
    plan.changes_per_second = 8.0;
    let crash = Fault::ControlCrash {
        control: sampler.control(),
        away: sampler.millis(500, 3_000),
    };
    plan.with(sampler.millis(1_000, 8_000), crash)
}

pub(super) fn second_machine_lost(sampler: &mut Sampler) -> Plan {
    let first = sampler.control();
    let second = (first + 1 + sampler.below(2)) % 3;
    let mut plan = Plan::quiet(seconds(26))
        .with(
            sampler.millis(0, 500),
            Fault::ControlReplaced { control: first },
        )
        .with(seconds(9), Fault::ControlReplaced { control: second });
    plan.changes_per_second = 2.0;
    plan
}

pub(super) fn wiped_disk(sampler: &mut Sampler) -> Plan {
    let first = sampler.control();
    let other = (first + 1 + sampler.below(2)) % 3;
    let lasting = sampler.millis(2_000, 4_000);
    // `other`, which has the committed entries, is isolated while `first` returns with an empty
    // disk.
    let mut plan = Plan::quiet(seconds(14));
    for round in 0..2 {
        let at = seconds(6 * round) + sampler.millis(0, 500);
        let isolated = Fault::ControlIsolated {
            control: other,
            lasting,
        };
        plan = plan
            .with(at, isolated)
            .with(at + seconds(1), Fault::ControlWiped { control: first });
    }
    // A replica number whose disk was lost is never usable again, so the machine is replaced under
    // a new number, as the operating instructions require.
    let mut plan = plan.with(seconds(12), Fault::ControlReplaced { control: first });
    plan.healed_at = Timestamp(0).plus(WARM_UP + seconds(20));
    plan.ends_at = plan.healed_at.plus(RECOVERY + STEADY_PERIOD);
    plan.changes_per_second = 4.0;
    plan
}

pub(super) fn restored_from_copy(sampler: &mut Sampler) -> Plan {
    let mut plan =
        Plan::quiet(seconds(12)).with(sampler.millis(4_000, 7_000), Fault::ControlsRestored);
    plan.changes_per_second = 3.0;
    plan
}

pub(super) fn control_restarts(sampler: &mut Sampler) -> Plan {
    let mut plan = Plan::quiet(seconds(16));
    plan.changes_per_second = 8.0;
    for _ in 0..4 {
        let fault = Fault::ControlCrash {
            control: sampler.control(),
            away: sampler.millis(100, 2_000),
        };
        plan = plan.with(sampler.millis(0, 9_000), fault);
    }
    let at = sampler.millis(10_000, 12_000);
    for control in 0..3 {
        let away = sampler.millis(100, 2_000);
        plan = plan.with(at, Fault::ControlCrash { control, away });
    }
    plan
}
