//! Lines for what the log changed.

use drumshore_gateway_core::Command;

/// One line for each change of what this machine believes.
pub(super) fn log(position: u64, command: &Command) {
    match command {
        Command::Configure { version, .. } => {
            tracing::info!(
                event = "configuration_applied",
                position,
                version,
                "control: a configuration is in force"
            );
        }
        Command::Register {
            instance,
            pool,
            address,
            draining,
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
                draining,
                "control: a back end registered"
            );
        }
        Command::Drain { instance } => {
            tracing::info!(
                event = "instance_draining",
                position,
                instance = instance.as_str(),
                "control: a back end leaves"
            );
        }
        Command::Deregister { instance } => {
            tracing::info!(
                event = "instance_removed",
                position,
                instance = instance.as_str(),
                "control: a back end has gone"
            );
        }
        Command::Expire { instance } => {
            tracing::info!(
                event = "instance_silent",
                position,
                instance = instance.as_str(),
                "control: a back end is silent"
            );
        }
        Command::SetTargetWeights { model, version } => {
            tracing::info!(
                event = "weights_applied",
                position,
                model = model.as_str(),
                version,
                "control: new weights are named"
            );
        }
        Command::SetFingerprintKey { .. } => {
            tracing::info!(
                event = "work_key_set",
                position,
                "control: the key that identifies work is in force"
            );
        }
        Command::Quarantine { fingerprint: work } => {
            tracing::info!(
                event = "work_quarantined",
                position,
                work = format_args!("{work:#}"),
                "control: work is quarantined"
            );
        }
        Command::Release { fingerprint: work } => {
            tracing::info!(
                event = "work_released",
                position,
                work = format_args!("{work:#}"),
                "control: work may be tried again"
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
                "control: a load of weights moved on"
            );
        }
    }
}
