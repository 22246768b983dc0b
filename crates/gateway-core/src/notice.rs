//! What back ends say of themselves in the heads of their answers.

use std::time::Duration;

/// What a back end says of itself in the head of an answer, whatever the answer is to. It holds for the process
/// that is answered; other processes may be told something else.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackEndNotice {
    /// It ends soon and wants no new requests.
    pub is_leaving: bool,
    /// It wants no requests for so long.
    pub retry_after: Option<Duration>,
}
