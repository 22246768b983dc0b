//! Settings files of the daemons. Errors state the line, the key, the value found and the values
//! allowed.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use serde::Deserialize;

use crate::{KeyHash, OperatorName, RouterName, SecretKey, ZoneName};

/// Why a settings file is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The file is not valid TOML, or has an unknown key, a missing key or a value of the wrong
    /// type.
    #[error("line {line}: {message}")]
    Syntax {
        /// The line number, from 1.
        line: usize,
        /// The message of the TOML library.
        message: String,
    },
    /// A value is not allowed.
    #[error("line {line}: {key}: found {found}, allowed is {allowed}")]
    Value {
        /// The line number, from 1; 0 if the key is absent and its default is not allowed.
        line: usize,
        /// The key with its table, as in `limits.max_body_bytes`.
        key: String,
        /// The value found.
        found: String,
        /// The values allowed.
        allowed: String,
    },
}

/// A settings file with value checks.
pub trait Settings: DeserializeOwned {
    /// Returns the values that are not allowed.
    fn violations(&self) -> Vec<Violation>;
}

/// A value that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The key with its table, as in `limits.max_body_bytes`.
    pub key: &'static str,
    /// The value found.
    pub found: String,
    /// The values allowed.
    pub allowed: String,
}

/// Parses and checks the text of a settings file. Reports only the first error.
pub fn parse<S: Settings>(text: &str) -> Result<S, SettingsError> {
    let settings: S = toml::from_str(text).map_err(|error| syntax_error(text, &error))?;
    match settings.violations().into_iter().next() {
        None => Ok(settings),
        Some(violation) => Err(SettingsError::Value {
            line: line_of_key(text, violation.key).unwrap_or(0),
            key: violation.key.to_owned(),
            found: violation.found,
            allowed: violation.allowed,
        }),
    }
}

fn syntax_error(text: &str, error: &toml::de::Error) -> SettingsError {
    let offset = error.span().map_or(0, |span| span.start);
    SettingsError::Syntax {
        line: line_at(text, offset),
        message: error.message().to_owned(),
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
}

fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let document = toml_edit::ImDocument::parse(text).ok()?;
    let mut item = document.as_item();
    for part in key.split('.') {
        item = item.get(part)?;
    }
    item.span().map(|span| line_at(text, span.start))
}

fn check_range(
    violations: &mut Vec<Violation>,
    key: &'static str,
    found: u64,
    range: std::ops::RangeInclusive<u64>,
) {
    if !range.contains(&found) {
        violations.push(Violation {
            key,
            found: found.to_string(),
            allowed: format!("{} to {}", range.start(), range.end()),
        });
    }
}

fn check_cluster_key(violations: &mut Vec<Violation>, key: &SecretKey) {
    const MIN_KEY_BYTES: usize = 16;
    if key.as_bytes().len() < MIN_KEY_BYTES {
        violations.push(Violation {
            key: "cluster_key",
            found: format!("{} bytes", key.as_bytes().len()),
            allowed: format!("{MIN_KEY_BYTES} bytes or more"),
        });
    }
}

/// Limits of one router on requests, callers and retries.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterLimits {
    /// The largest request body, in bytes.
    pub max_body_bytes: u64,
    /// The largest sum of header names and values, in bytes.
    pub max_header_bytes: u64,
    /// The most requests open at once; each occupies a thread.
    pub max_open_requests: u64,
    /// The longest time without data from a caller that is sending a request, in milliseconds.
    pub read_timeout_ms: u64,
    /// The longest time that a write to a caller may block, in milliseconds.
    pub write_timeout_ms: u64,
    /// The longest gap within an engine's answer, in milliseconds.
    pub engine_stall_ms: u64,
    /// The longest time that a request may wait for an engine, in milliseconds.
    pub queue_timeout_ms: u64,
    /// The most requests that may wait for an engine at once.
    pub max_queued_requests: u64,
    /// The most attempts for one request, including the first.
    pub max_attempts: u64,
    /// Retries allowed per hundred first attempts.
    pub retry_percent: u64,
    /// Routing decisions kept for `explain`.
    pub decision_log_entries: u64,
}

impl Default for RouterLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            max_header_bytes: 16 << 10,
            max_open_requests: 2_048,
            read_timeout_ms: 10_000,
            write_timeout_ms: 10_000,
            engine_stall_ms: 15_000,
            queue_timeout_ms: 10_000,
            max_queued_requests: 4_096,
            max_attempts: 4,
            retry_percent: 20,
            decision_log_entries: 8_192,
        }
    }
}

/// Settings of `drumshore router`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// The name that identifies the router in its reports.
    pub name: RouterName,
    /// The zone it runs in. Engines of the same zone are preferred.
    pub zone: ZoneName,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The folder for the last known configuration.
    pub data_dir: PathBuf,
    /// The internal addresses of the control machines.
    pub control: Vec<SocketAddr>,
    /// The secret that processes of one cluster share.
    pub cluster_key: SecretKey,
    /// Hashes of the keys that may call `explain`.
    #[serde(default)]
    pub operator_key_hashes: Vec<KeyHash>,
    /// Limits on requests, callers and retries.
    #[serde(default)]
    pub limits: RouterLimits,
}

impl Settings for RouterSettings {
    fn violations(&self) -> Vec<Violation> {
        const MINUTE_MS: u64 = 60_000;
        let limits = &self.limits;
        let mut violations = Vec::new();
        check_cluster_key(&mut violations, &self.cluster_key);
        if self.control.is_empty() {
            let allowed = "one address or more".to_owned();
            violations.push(Violation {
                key: "control",
                found: "none".to_owned(),
                allowed,
            });
        }
        let ranges = [
            (
                "limits.max_body_bytes",
                limits.max_body_bytes,
                1_024..=64 << 20,
            ),
            (
                "limits.max_header_bytes",
                limits.max_header_bytes,
                1_024..=1 << 20,
            ),
            (
                "limits.max_open_requests",
                limits.max_open_requests,
                1..=20_000,
            ),
            (
                "limits.read_timeout_ms",
                limits.read_timeout_ms,
                100..=10 * MINUTE_MS,
            ),
            (
                "limits.write_timeout_ms",
                limits.write_timeout_ms,
                100..=10 * MINUTE_MS,
            ),
            (
                "limits.engine_stall_ms",
                limits.engine_stall_ms,
                100..=10 * MINUTE_MS,
            ),
            (
                "limits.queue_timeout_ms",
                limits.queue_timeout_ms,
                1..=10 * MINUTE_MS,
            ),
            (
                "limits.max_queued_requests",
                limits.max_queued_requests,
                0..=100_000,
            ),
            ("limits.max_attempts", limits.max_attempts, 1..=16),
            ("limits.retry_percent", limits.retry_percent, 0..=100),
            (
                "limits.decision_log_entries",
                limits.decision_log_entries,
                1..=1_000_000,
            ),
        ];
        for (key, found, range) in ranges {
            check_range(&mut violations, key, found, range);
        }
        violations
    }
}

/// A control machine that votes from the start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlPeer {
    /// The replica number of the machine.
    pub id: u64,
    /// The address that routers and other control machines connect to.
    pub address: SocketAddr,
}

/// An operator that may change resources.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorAccount {
    /// The name shown in change histories.
    pub name: OperatorName,
    /// The hash of the operator's key.
    pub key_hash: KeyHash,
}

/// Settings of `drumshore control`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The replica number of this machine. It must not be reused after the machine's disk is lost.
    pub id: u64,
    /// The name of the cluster. A data folder of another cluster is refused.
    pub cluster: String,
    /// The address that operators connect to.
    pub listen: SocketAddr,
    /// The address that routers and other control machines connect to.
    pub internal_listen: SocketAddr,
    /// The data folder for durable state.
    pub data_dir: PathBuf,
    /// The control machines that vote from the start, including this one.
    pub peers: Vec<ControlPeer>,
    /// The secret that processes of one cluster share.
    pub cluster_key: SecretKey,
    /// The operators that may change resources.
    pub operators: Vec<OperatorAccount>,
    /// The URL of the platform's machine list, as `http://IP:PORT`.
    pub platform_url: String,
    /// The interval between polls of the engines and the platform, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_interval_ms: u64,
    /// The region whose engines' caches this machine indexes for routers; empty for all regions.
    #[serde(default)]
    pub index_region: String,
    /// The length of one tick of the replicated log, in milliseconds.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: u64,
}

fn default_poll_ms() -> u64 {
    500
}

fn default_tick_ms() -> u64 {
    50
}

impl Settings for ControlSettings {
    fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        check_cluster_key(&mut violations, &self.cluster_key);
        check_range(
            &mut violations,
            "poll_interval_ms",
            self.poll_interval_ms,
            50..=60_000,
        );
        check_range(&mut violations, "tick_ms", self.tick_ms, 5..=1_000);
        if !self.peers.iter().any(|peer| peer.id == self.id) {
            violations.push(Violation {
                key: "peers",
                found: format!("no entry with id {}", self.id),
                allowed: "a list that holds this machine".to_owned(),
            });
        }
        violations
    }
}
