//! Measures the traffic of a process's links to other processes: bytes by kind of message, and bytes in queues.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;

use drumshore_gateway_core::Message;

use crate::metrics::Counters;

/// Counts the messages sent over all links of a process.
#[derive(Debug, Default)]
pub(crate) struct LinkTraffic {
    /// Totals since the start, for metrics.
    counters: Counters,
    /// Since the last log line.
    recent: RefCell<RecentTraffic>,
    /// Bytes that are in queues now.
    queued_bytes: Cell<usize>,
}

/// The traffic since the last log line that reported it.
#[derive(Debug, Default)]
pub(crate) struct RecentTraffic {
    bytes: BTreeMap<&'static str, usize>,
    /// The largest number of bytes in the queues of all links together.
    pub most_queued_bytes: usize,
    /// Messages that were not queued, because a queue was full or its link had ended.
    pub dropped: usize,
}

impl LinkTraffic {
    /// Adds to the process's metrics as well.
    pub fn with_counters(counters: Counters) -> Self {
        Self {
            counters,
            ..Self::default()
        }
    }

    /// Counts a message that was queued for a link.
    pub fn on_queued(&self, kind: &'static str, bytes: usize) {
        self.counters.add(kind, bytes as u64);
        self.queued_bytes.set(self.queued_bytes.get() + bytes);
        let mut recent = self.recent.borrow_mut();
        *recent.bytes.entry(kind).or_default() += bytes;
        recent.most_queued_bytes = recent.most_queued_bytes.max(self.queued_bytes.get());
    }

    /// Counts a message that was dropped instead of queued.
    pub fn on_dropped(&self) {
        self.counters.add("dropped", 1);
        self.recent.borrow_mut().dropped += 1;
    }

    /// Counts bytes that left their queue, because they are being written or their link has ended.
    pub fn on_dequeued(&self, bytes: usize) {
        self.queued_bytes.set(self.queued_bytes.get() - bytes);
    }

    /// The traffic since the last call.
    pub fn take_recent(&self) -> RecentTraffic {
        self.recent.take()
    }
}

impl fmt::Display for RecentTraffic {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (kind, bytes)) in self.bytes.iter().enumerate() {
            let separator = if position > 0 { " " } else { "" };
            write!(formatter, "{separator}{kind}={bytes}")?;
        }
        Ok(())
    }
}

/// The name of a message's kind in metrics and log lines.
pub(crate) fn kind_of(message: &Message) -> &'static str {
    match message {
        Message::Router(_) => "router",
        Message::Consensus(_) => "consensus",
        Message::Propose(_) => "propose",
        Message::Join(_) => "join",
        Message::ForwardedHeartbeats(_) => "heard",
        Message::Announce(_) => "announce",
        Message::Fetch { .. } => "fetch",
        Message::Changes(_) => "changes",
        Message::Ping { .. } => "ping",
        Message::Pong { .. } => "pong",
        Message::Loads(_) => "loads",
        Message::StoreContents { .. } => "stored",
        Message::Holders(_) => "holders",
        Message::UnresponsiveBackEnds(_) => "suspects",
        Message::RefusingBackEnds(_) => "refusing",
        Message::LoadsOfAll { .. } => "loads_of_all",
        Message::Usage(_) => "usage",
        Message::AccountLevels(_) => "account_levels",
        Message::FingerprintReports(_) => "work_reports",
        Message::FingerprintSuspicions(_) => "work_suspicions",
        Message::KeepAlive => "keep_alive",
        Message::PermitTrial(_) => "try_work",
        Message::ControlZone(_) => "control_zone",
        Message::Follow(_) => "follow",
        Message::News(_) => "news",
        Message::SpeedSamples(_) => "speed_samples",
        Message::BackEndSpeeds(_) => "back_end_speeds",
        Message::DemandReport(_) => "demand_report",
        Message::TenantDemands { .. } => "tenant_demands",
        Message::FetchPeers => "fetch_peers",
        Message::Peers(_) => "peers",
        Message::StreamOrigins(_) => "stream_origins",
        Message::FetchStreamOrigin(_) => "fetch_stream_origin",
        Message::StreamSoftware { .. } => "stream_software",
    }
}

#[cfg(test)]
#[path = "traffic_tests.rs"]
mod tests;
