//! Back ends that seem to have crashed or to be out of reach, until the view shows which.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use drumshore_core::Timestamp;
use drumshore_gateway_core::InstanceId;

use super::crash_detection::BrokenRun;

/// The maximum number of back ends in [`UndecidedCrashes`].
const MAX_UNDECIDED: usize = 64;
/// A back end that crashed is replaced, or its registration expires, within this time.
const MAX_UNDECIDED_TIME: Duration = Duration::from_secs(20);

/// Back ends that refused connections when no other one of their pool was reached either, with the runs that broke
/// there. Most of a pool may have crashed, or this router has lost its path.
#[derive(Default)]
pub(super) struct UndecidedCrashes(RefCell<VecDeque<SuspectedCrash>>);

/// A back end whose connections broke and that refuses others.
pub(super) struct SuspectedCrash {
    pub instance: InstanceId,
    /// The start of its process as the view had it, see [`drumshore_gateway_core::RouterCore::start_of`].
    pub started_ms: u64,
    pub runs: Vec<BrokenRun>,
    pub found_at: Timestamp,
}

impl UndecidedCrashes {
    pub fn add(&self, crash: SuspectedCrash) {
        let mut crashes = self.0.borrow_mut();
        crashes.push_back(crash);
        let surplus = crashes.len().saturating_sub(MAX_UNDECIDED);
        for crash in crashes.drain(..surplus) {
            log_unconfirmed(&crash, "too many");
        }
    }

    /// Takes those whose back end has ended, and drops those that are too old.
    pub fn take_decided(
        &self,
        now: Timestamp,
        has_ended: impl Fn(&SuspectedCrash) -> bool,
    ) -> Vec<SuspectedCrash> {
        let mut crashes = self.0.borrow_mut();
        let (decided, undecided): (Vec<_>, Vec<_>) = crashes.drain(..).partition(has_ended);
        for crash in undecided {
            if now.since(crash.found_at) < MAX_UNDECIDED_TIME {
                crashes.push_back(crash);
            } else {
                log_unconfirmed(&crash, "too old");
            }
        }
        decided
    }
}

fn log_unconfirmed(crash: &SuspectedCrash, reason: &'static str) {
    tracing::info!(event = "crash_unconfirmed", instance = %crash.instance, runs = crash.runs.len(), reason,
        "router: a back end that seemed to be out of reach was not found to have crashed; its broken requests count against nothing");
}
