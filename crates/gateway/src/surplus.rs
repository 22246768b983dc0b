//! Bytes that follow the last answer on a connection.
//!
//! A back end may send another answer behind a whole one (RFC 9112 §9.2), or declare less than the length of its body. The
//! first bytes tell the two apart.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::sync::Notify;
use tokio::time::timeout;

/// How every answer begins.
const ANSWER_START: &[u8] = b"HTTP/1.";

/// What follows the last answer on a connection; shared by its reader and the connection's user.
#[derive(Clone, Debug, Default)]
pub(crate) struct Surplus(Rc<State>);

#[derive(Debug, Default)]
struct State {
    /// Whether it is the rest of a body; `None` while nothing follows and the connection is open.
    is_content: Cell<Option<bool>>,
    found: Notify,
}

impl Surplus {
    /// Whether the rest of a body follows, as far as it has arrived.
    pub fn is_content(&self) -> bool {
        self.0.is_content.get().unwrap_or(false)
    }

    /// Waits this long for bytes or the end of the connection. Whether the rest of a body follows.
    pub async fn becomes_content(&self, time_limit: Duration) -> bool {
        if self.0.is_content.get().is_none() {
            // What has not arrived by then is not waited for.
            let _ = timeout(time_limit, self.0.found.notified()).await;
        }
        self.is_content()
    }

    /// Reads what follows the last answer. `unread` has arrived; if it is empty, waits for more.
    pub async fn read(&self, unread: &[u8], mut stream: impl AsyncRead + Unpin) {
        let mut buffer = [0; ANSWER_START.len()];
        let first = if unread.is_empty() {
            // An error ends the connection like its regular end.
            let count = stream.read(&mut buffer).await.unwrap_or(0);
            &buffer[..count]
        } else {
            unread
        };
        self.0.is_content.set(Some(is_content(first)));
        self.0.found.notify_waiters();
    }
}

/// Whether bytes are the rest of a body: there are some, and they do not begin an answer.
fn is_content(bytes: &[u8]) -> bool {
    let begins_answer = bytes
        .iter()
        .zip(ANSWER_START)
        .all(|(one, other)| one == other);
    !begins_answer
}

#[cfg(test)]
#[path = "surplus_tests.rs"]
mod tests;
