//! Resource usage of processes, from procfs and their own metrics.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use procfs::process::Process;
use serde::{Deserialize, Serialize};

/// Resource usage of a process between two samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// CPU time, in percent of one core.
    pub cpu_percent: f64,
    /// Resident memory at the later sample, in MB.
    pub resident_mb: f64,
    /// Frames sent over links, per second.
    pub sent_frames: f64,
    /// Bytes sent over links, per second.
    pub sent_bytes: f64,
    /// Frames received over links, per second.
    pub received_frames: f64,
    /// Bytes received over links, per second.
    pub received_bytes: f64,
}

/// Counters of a process at one time.
#[derive(Clone, Debug)]
pub struct ProcessSample {
    at: Instant,
    cpu_seconds: f64,
    resident_mb: f64,
    counters: BTreeMap<String, f64>,
}

impl ProcessSample {
    /// Reads procfs and the metrics of a process. Values that cannot be read are 0 or missing.
    pub fn read(process: u32, metrics: SocketAddr) -> Self {
        const BYTES_PER_MB: f64 = 1_048_576.0;
        let stat = Process::new(process as i32).and_then(|process| process.stat());
        let (cpu_seconds, resident_mb) = stat.map_or((0.0, 0.0), |stat| {
            let ticks = (stat.utime + stat.stime) as f64;
            let pages = stat.rss * procfs::page_size();
            (
                ticks / procfs::ticks_per_second() as f64,
                pages as f64 / BYTES_PER_MB,
            )
        });
        Self {
            at: Instant::now(),
            cpu_seconds,
            resident_mb,
            counters: scrape(metrics),
        }
    }

    /// Returns the usage since an earlier sample.
    pub fn since(&self, earlier: &Self) -> Usage {
        let seconds = (self.at - earlier.at).as_secs_f64();
        let rate = |suffix: &str| {
            let value = |sample: &Self| {
                let mut counters = sample.counters.iter();
                counters
                    .find(|(name, _)| name.ends_with(suffix))
                    .map_or(0.0, |(_, value)| *value)
            };
            (value(self) - value(earlier)) / seconds
        };
        Usage {
            cpu_percent: 100.0 * (self.cpu_seconds - earlier.cpu_seconds) / seconds,
            resident_mb: self.resident_mb,
            sent_frames: rate("link_sent_frames_total"),
            sent_bytes: rate("link_sent_bytes_total"),
            received_frames: rate("link_received_frames_total"),
            received_bytes: rate("link_received_bytes_total"),
        }
    }
}

fn scrape(metrics: SocketAddr) -> BTreeMap<String, f64> {
    let text = ureq::get(format!("http://{metrics}/metrics"))
        .call()
        .ok()
        .and_then(|mut response| response.body_mut().read_to_string().ok())
        .unwrap_or_default();
    text.lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| line.split_once(' '))
        .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
        .collect()
}
