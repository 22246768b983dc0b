//! Passes an engine's stream on, whole and in order.
//!
//! Events are numbered from 0 by the engine. An event is passed on only when it is the next one;
//! one that was passed on already is dropped; a number that is skipped ends the connection, and
//! the stream is resumed behind the last event. When a request is computed anew elsewhere, its
//! beginning is compared with what was passed on, and only an equal one is continued.

use drumshore_guard::{enforced, Guard};
use xxhash_rust::xxh3::Xxh3;

use crate::sse::{Event, EventDecoder, EventError, DONE};

/// Why a stream cannot be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// An event is missing.
    #[error("event {found} arrived where {expected} was due")]
    Gap {
        /// The number that was due.
        expected: u64,
        /// The number that came.
        found: u64,
    },
    /// The bytes are no events.
    #[error(transparent)]
    Malformed(#[from] EventError),
    /// Computed anew, the answer begins otherwise than what the caller has.
    #[error("the recomputed answer differs from what was passed on")]
    Diverged,
}

/// How far a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayProgress {
    /// More is to come.
    Open,
    /// The last event was passed on.
    Done,
}

/// The beginning of an answer that is computed anew.
#[derive(Clone)]
struct Replay {
    next: u64,
    digest: Xxh3,
}

/// The state of one caller's stream, over all engines that serve it.
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
    /// A stream of which nothing was passed on.
    pub fn new() -> Self {
        Self {
            decoder: EventDecoder::default(),
            next: 0,
            digest: Xxh3::new(),
            replay: None,
            done: false,
        }
    }

    /// Events passed on so far.
    pub fn passed_on(&self) -> u64 {
        self.next
    }

    /// True when the last event was passed on.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// The last event received of the engine's present stream, from which to resume it.
    pub fn resume_point(&self) -> Option<u64> {
        let received = self.replay.as_ref().map_or(self.next, |replay| replay.next);
        received.checked_sub(1)
    }

    /// The same stream goes on over a new connection, behind the last event.
    pub fn on_resumed(&mut self) {
        self.decoder = EventDecoder::default();
    }

    /// The answer is computed anew, from its first event.
    pub fn on_restarted(&mut self) {
        self.decoder = EventDecoder::default();
        self.replay = (self.next > 0).then(|| Replay {
            next: 0,
            digest: Xxh3::new(),
        });
    }

    /// Takes bytes of the stream and passes on what is due.
    pub fn feed(
        &mut self,
        bytes: &[u8],
        pass_on: &mut dyn FnMut(&Event<'_>),
    ) -> Result<RelayProgress, RelayError> {
        self.decoder.push(bytes);
        while let Some(event) = self.decoder.next_event()? {
            if event.data == DONE {
                if self.replay.is_some() {
                    return Err(RelayError::Diverged);
                }
                self.done = true;
                pass_on(&event);
                return Ok(RelayProgress::Done);
            }
            match &mut self.replay {
                Some(replay) => {
                    if replay.take(&event, self.next, &self.digest)? {
                        self.replay = None;
                    }
                }
                None => take_next(&mut self.next, &mut self.digest, &event, pass_on)?,
            }
        }
        Ok(RelayProgress::Open)
    }
}

fn take_next(
    next: &mut u64,
    digest: &mut Xxh3,
    event: &Event<'_>,
    pass_on: &mut dyn FnMut(&Event<'_>),
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
    pass_on(event);
    Ok(())
}

impl Replay {
    /// True when the caller's part is reached and was the same.
    fn take(
        &mut self,
        event: &Event<'_>,
        passed_on: u64,
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
        if self.next < passed_on {
            return Ok(false);
        }
        if self.digest.digest() != digest.digest() && enforced(Guard::ContinuationMatches) {
            return Err(RelayError::Diverged);
        }
        Ok(true)
    }
}
