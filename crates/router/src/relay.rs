//! Forwards an engine's stream to the caller, complete and in order.
//!
//! The engine numbers events from 0. An event is forwarded only if it is the next one, and dropped
//! if it was already forwarded. If a number is skipped, the connection is closed and the stream is
//! resumed after the last event. If the answer is recomputed by another engine, its beginning is
//! compared with the events already forwarded, and the stream continues only if they are equal.

use drumshore_guard::{enforced, Guard};
use xxhash_rust::xxh3::Xxh3;

use crate::sse::{Event, EventDecoder, EventError, DONE};

/// Why a stream cannot be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// An event is missing.
    #[error("event {found} arrived where {expected} was due")]
    Gap {
        /// The number of the next event.
        expected: u64,
        /// The number received.
        found: u64,
    },
    /// The bytes cannot be decoded as events.
    #[error(transparent)]
    Malformed(#[from] EventError),
    /// The recomputed answer differs from the events already sent to the caller.
    #[error("the recomputed answer differs from what was passed on")]
    Diverged,
}

/// Whether a stream is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayProgress {
    /// More events follow.
    Open,
    /// The last event was forwarded.
    Done,
}

/// The beginning of a recomputed answer, as far as it was compared: the next event number and the
/// digest of the data before it.
#[derive(Clone)]
struct Replay {
    next: u64,
    digest: Xxh3,
}

/// The state of one caller's stream across all engines that serve it.
#[derive(Clone)]
pub struct StreamRelay {
    decoder: EventDecoder,
    next: u64,
    digest: Xxh3,
    replay: Option<Replay>,
    done: bool,
}

impl Default for StreamRelay {
    fn default() -> Self {
        Self::new()
    }
}

impl StreamRelay {
    /// A stream without any forwarded event.
    pub fn new() -> Self {
        Self {
            decoder: EventDecoder::default(),
            next: 0,
            digest: Xxh3::new(),
            replay: None,
            done: false,
        }
    }

    /// Number of events forwarded so far, the final `[DONE]` excluded.
    pub fn events_forwarded(&self) -> u64 {
        self.next
    }

    /// True once the last event was forwarded.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Number of the last event received from the current engine, after which its stream is
    /// resumed; `None` if there was none.
    pub fn resume_point(&self) -> Option<u64> {
        let received = self.replay.as_ref().map_or(self.next, |replay| replay.next);
        received.checked_sub(1)
    }

    /// The same stream continues on a new connection, after the last event.
    pub fn on_resumed(&mut self) {
        self.decoder = EventDecoder::default();
    }

    /// Another attempt recomputes the answer from its first event.
    pub fn on_restarted(&mut self) {
        self.decoder = EventDecoder::default();
        self.replay = (self.next > 0).then(|| Replay {
            next: 0,
            digest: Xxh3::new(),
        });
    }

    /// Decodes bytes of the stream and passes the events that the caller lacks to `forward`.
    pub fn feed(
        &mut self,
        bytes: &[u8],
        forward: &mut dyn FnMut(&Event<'_>),
    ) -> Result<RelayProgress, RelayError> {
        self.decoder.push(bytes);
        while let Some(event) = self.decoder.next_event()? {
            if event.data == DONE {
                if self.replay.is_some() {
                    return Err(RelayError::Diverged);
                }
                self.done = true;
                forward(&event);
                return Ok(RelayProgress::Done);
            }
            match &mut self.replay {
                Some(replay) => {
                    if replay.compare(&event, self.next, &self.digest)? {
                        self.replay = None;
                    }
                }
                None => forward_next(&mut self.next, &mut self.digest, &event, forward)?,
            }
        }
        Ok(RelayProgress::Open)
    }
}

/// Forwards an event if it is the next one; drops an earlier one.
fn forward_next(
    next: &mut u64,
    digest: &mut Xxh3,
    event: &Event<'_>,
    forward: &mut dyn FnMut(&Event<'_>),
) -> Result<(), RelayError> {
    let found = event.id.unwrap_or(*next);
    if enforced(Guard::StreamOrder) {
        if found < *next {
            return Ok(());
        }
        if found > *next {
            return Err(RelayError::Gap {
                expected: *next,
                found,
            });
        }
    }
    *next = found + 1;
    digest.update(event.data.as_bytes());
    forward(event);
    Ok(())
}

impl Replay {
    /// Adds an event to the comparison. True once all events that were forwarded are compared and
    /// equal.
    fn compare(
        &mut self,
        event: &Event<'_>,
        events_forwarded: u64,
        digest: &Xxh3,
    ) -> Result<bool, RelayError> {
        let found = event.id.unwrap_or(self.next);
        if found != self.next {
            return Err(RelayError::Gap {
                expected: self.next,
                found,
            });
        }
        self.next += 1;
        self.digest.update(event.data.as_bytes());
        if self.next < events_forwarded {
            return Ok(false);
        }
        if self.digest.digest() != digest.digest() && enforced(Guard::ContinuationMatches) {
            return Err(RelayError::Diverged);
        }
        Ok(true)
    }
}
