//! Logs and metrics of the estimated speeds of back ends.

use std::cmp::Reverse;

use drumshore_consensus::Role;
use drumshore_gateway_core::back_end_speed::{BackEndEstimate, SpeedChange};
use drumshore_gateway_core::InstanceId;

use super::Control;

/// Back ends with a gauge of their own: those that differ most from the mean of their pool.
const MAX_GAUGES: usize = 256;

/// Logs a clear change of an estimate.
pub(super) fn log(change: &SpeedChange) {
    match change {
        SpeedChange::BackEnd {
            instance,
            before,
            estimate,
        } => {
            tracing::info!(event = "speed_changed", %instance, before,
                speed = estimate.time_factor, samples = estimate.samples,
                age_ms = estimate.age.as_millis() as u64,
                "control: the estimated speed of a back end changed");
        }
        SpeedChange::Curve { pool, curve } => {
            tracing::info!(event = "prefill_curve_changed", %pool,
                latency_us = curve.latency.as_micros() as u64,
                us_per_token = curve.us_per_token, us_per_pair = curve.us_per_pair,
                "control: the estimated prefill time of a pool changed");
        }
    }
}

/// Sets the gauges to the estimates of this machine if it is the leader; others have none.
pub(super) fn update_gauges(control: &Control) {
    let core = control.core.borrow();
    let leading = core.as_ref().filter(|core| core.role() == Role::Leader);
    let mut speeds = leading.map_or_else(Vec::new, |core| core.back_end_speeds());
    let key = |speed: &(InstanceId, BackEndEstimate)| {
        Reverse((speed.1.time_factor.ln().abs() * 1e3) as u64)
    };
    if speeds.len() > MAX_GAUGES {
        speeds.select_nth_unstable_by_key(MAX_GAUGES, key);
        speeds.truncate(MAX_GAUGES);
    }
    let speeds = speeds.iter();
    let speeds = speeds.map(|(instance, estimate)| (instance.as_str(), estimate.time_factor));
    control.metrics.set_back_end_speeds(speeds);
}
