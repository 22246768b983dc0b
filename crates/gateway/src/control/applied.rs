//! Log lines for commands that were applied from the replicated log, and for planned loads of weights.

use drumshore_gateway_core::{Command, CrashReported, CrashVerdict, LoadPlan, LoadReason};

use crate::metrics::Metrics;

/// Logs a command that this machine applied to its state.
pub(super) fn log(position: u64, command: &Command) {
    match command {
        Command::Configure { version, .. } => {
            tracing::info!(
                event = "configuration_applied",
                position,
                version,
                "control: a new configuration is in force"
            );
        }
        Command::Drain { instance }
        | Command::Register {
            instance,
            draining: 1..,
            ..
        } => {
            tracing::info!(
                event = "instance_draining",
                position,
                instance = instance.as_str(),
                "control: a back end started draining"
            );
        }
        Command::Register {
            instance,
            pool,
            address,
            ..
        } => {
            let (instance, pool) = (instance.as_str(), pool.as_str());
            let address = address.as_str();
            tracing::info!(
                event = "instance_registered",
                position,
                instance,
                pool,
                address,
                "control: a back end registered"
            );
        }
        Command::Deregister { instance } => {
            tracing::info!(
                event = "instance_removed",
                position,
                instance = instance.as_str(),
                "control: a back end was removed"
            );
        }
        Command::Expire { instance } => {
            tracing::info!(
                event = "instance_silent",
                position,
                instance = instance.as_str(),
                "control: a back end became unresponsive"
            );
        }
        Command::SetTargetWeights { model, version } => {
            tracing::info!(
                event = "weights_applied",
                position,
                model = model.as_str(),
                version,
                "control: the target version of a model's weights changed"
            );
        }
        Command::SetFingerprintKey { .. } => {
            tracing::info!(
                event = "work_key_set",
                position,
                "control: the key for request fingerprints is in force"
            );
        }
        Command::Quarantine { fingerprint } => {
            tracing::info!(
                event = "work_quarantined",
                position,
                work = format_args!("{fingerprint:#}"),
                scope = fingerprint.scope().as_str(),
                "control: a fingerprint was quarantined"
            );
        }
        Command::SetSoftwareVersion {
            instance,
            software,
            started_ms,
        } => {
            tracing::info!(
                event = "software_version_set",
                position,
                instance = instance.as_str(),
                %software,
                started_ms,
                "control: a back end declared the version of its software"
            );
        }
        Command::ForgetDepartures { revision } => {
            tracing::info!(
                event = "departures_forgotten",
                position,
                revision,
                "control: no stream lasts of the software versions that left up to this revision"
            );
        }
        Command::Release { fingerprint } => {
            tracing::info!(
                event = "work_released",
                position,
                work = format_args!("{fingerprint:#}"),
                scope = fingerprint.scope().as_str(),
                "control: a fingerprint was released from quarantine"
            );
        }
        Command::Load {
            instance,
            model,
            version,
            phase,
        } => {
            let (instance, model) = (instance.as_str(), model.as_str());
            tracing::info!(
                event = "load",
                position,
                instance,
                model,
                version,
                ?phase,
                "control: a load of weights entered another phase"
            );
        }
    }
}

/// Logs and counts a router's report of a crashed back end. One line for all fingerprints that it was serving, since there
/// may be hundreds, and none if other routers reported all of them: each router that had requests there does.
pub(super) fn log_crash(metrics: &Metrics, report: &CrashReported) {
    for verdict in CrashVerdict::ALL {
        let fingerprints = report.verdicts.of(verdict);
        metrics.crashes.count_verdicts(verdict, fingerprints);
    }
    if report.verdicts.are_all(CrashVerdict::Known) {
        return;
    }
    let of = |verdict| report.verdicts.of(verdict);
    tracing::info!(
        event = "crash_reported",
        back_end = format_args!("{:08x}", report.back_end),
        age_ms = report.age.as_millis() as u64,
        counted = of(CrashVerdict::Counted),
        known = of(CrashVerdict::Known),
        attributed = of(CrashVerdict::Attributed),
        completed_elsewhere = of(CrashVerdict::RecentlyCompleted),
        excess = of(CrashVerdict::Excess),
        most_ends = report.most_crashes,
        "control: a router reported a crashed back end"
    );
}

/// Logs and counts the decision to take a back end out of service for a load of weights.
pub(super) fn log_load_plan(metrics: &Metrics, plan: &LoadPlan) {
    let reason = plan.reason();
    metrics.count_decision(match reason {
        LoadReason::SpareCapacity => "load_by_spare_capacity",
        LoadReason::Deadline => "load_by_deadline",
    });
    tracing::info!(
        event = "load_planned",
        instance = %plan.instance,
        pool = plan.pool,
        zone = plan.zone,
        held = plan.held,
        version = plan.version,
        reason = ?reason,
        occupied_percent = plan.occupied_percent,
        pool_occupied_percent = plan.pool_occupied_percent,
        loading = plan.loading,
        unfinished = plan.unfinished,
        spare = plan.spare,
        needed = plan.needed,
        limit = plan.limit,
        time_left_ms = plan.time_left_ms,
        "control: taking a back end out of service to load weights"
    );
}
