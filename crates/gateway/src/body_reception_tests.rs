//! Tests of which bodies are received while the memory for them is scarce.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Frame, SizeHint};
use rstest::rstest;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, LocalSet};

use super::*;

const LIMITS: BodyLimits = BodyLimits {
    bytes: 256 << 10,
    time: Duration::from_secs(60),
};
/// A body longer than [`SMALL_BODY_BYTES`].
const LARGE: usize = 200 << 10;

/// A body whose pieces are sent by the test; it ends with its sender.
struct SentBody {
    pieces: mpsc::UnboundedReceiver<Vec<u8>>,
    declared: Option<u64>,
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = self.pieces.poll_recv(context);
        polled.map(|piece| piece.map(|piece| Ok(Frame::data(piece.into()))))
    }

    fn size_hint(&self) -> SizeHint {
        self.declared
            .map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

struct Client {
    pieces: mpsc::UnboundedSender<Vec<u8>>,
    received: JoinHandle<Result<RequestBody, BodyError>>,
}

impl Client {
    /// Begins a body with so many bytes.
    async fn begin(receptions: &Rc<Receptions>, bytes: usize) -> Self {
        let (pieces, receiver) = mpsc::unbounded_channel();
        let body = SentBody {
            pieces: receiver,
            declared: None,
        };
        let shared = Rc::clone(receptions);
        let receive = async move { shared.receive(body, LIMITS).await };
        let client = Self {
            pieces,
            received: tokio::task::spawn_local(receive),
        };
        client.send(bytes).await;
        client
    }

    async fn send(&self, bytes: usize) {
        let _ = self.pieces.send(vec![0; bytes]);
        for _ in 0..4 {
            tokio::task::yield_now().await;
        }
    }

    async fn end(self) -> Result<usize, BodyError> {
        drop(self.pieces);
        let body = self.received.await.unwrap()?;
        Ok(body.to_contiguous().len())
    }
}

/// Lets all bodies seem to have been without progress for so long.
fn age(receptions: &Receptions, by: Duration) {
    for reception in receptions.open.borrow().values() {
        reception
            .last_progress
            .set(reception.last_progress.get() - by);
    }
}

/// Room for one body of the longest length, and a third of that beside it.
fn smallest() -> Rc<Receptions> {
    Receptions::new(0, &ClientMetrics::default())
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.unwrap(), test);
}

#[test]
fn a_body_of_the_longest_length_fits_into_the_smallest_account() {
    run(async {
        let receptions = smallest();
        let client = Client::begin(&receptions, LIMITS.bytes).await;
        assert_eq!(client.end().await.unwrap(), LIMITS.bytes);
        assert_eq!(receptions.account().held(), 0);
    });
}

#[test]
fn a_small_body_has_room_beside_large_ones() {
    run(async {
        let receptions = smallest();
        let large = Client::begin(&receptions, LARGE).await;
        let other = Client::begin(&receptions, LARGE).await;
        let small = Client::begin(&receptions, 1_000).await;
        assert!(matches!(other.end().await, Err(BodyError::NoMemory)));
        assert_eq!(small.end().await.unwrap(), 1_000);
        assert_eq!(large.end().await.unwrap(), LARGE);
    });
}

#[test]
fn the_body_that_stalled_first_gives_way() {
    run(async {
        let receptions = smallest();
        let first = Client::begin(&receptions, LARGE / 2).await;
        age(&receptions, STALL_TIMEOUT);
        let second = Client::begin(&receptions, LARGE / 2).await;
        age(&receptions, STALL_TIMEOUT);
        let third = Client::begin(&receptions, LARGE * 3 / 4).await;
        assert!(matches!(first.end().await, Err(BodyError::Stalled)));
        assert_eq!(third.end().await.unwrap(), LARGE * 3 / 4);
        assert_eq!(second.end().await.unwrap(), LARGE / 2);
    });
}

#[test]
fn a_body_that_goes_on_gives_way_to_none() {
    run(async {
        let receptions = smallest();
        let first = Client::begin(&receptions, LARGE / 2).await;
        age(&receptions, STALL_TIMEOUT);
        first.send(PROGRESS_BYTES).await;
        let second = Client::begin(&receptions, LARGE).await;
        assert!(matches!(second.end().await, Err(BodyError::NoMemory)));
        assert_eq!(first.end().await.unwrap(), LARGE / 2 + PROGRESS_BYTES);
    });
}

#[test]
fn single_bytes_are_no_progress() {
    run(async {
        let receptions = smallest();
        let first = Client::begin(&receptions, LARGE / 2).await;
        age(&receptions, STALL_TIMEOUT);
        first.send(1).await;
        assert!(receptions.evict_stalled());
        assert!(matches!(first.end().await, Err(BodyError::Stalled)));
    });
}

#[rstest]
#[case::declared(Some(LIMITS.bytes as u64 + 1), 0)]
#[case::sent(None, LIMITS.bytes + 1)]
fn a_body_over_its_limit_is_too_large(#[case] declared: Option<u64>, #[case] sent: usize) {
    run(async {
        let receptions = smallest();
        let (pieces, receiver) = mpsc::unbounded_channel();
        let body = SentBody {
            pieces: receiver,
            declared,
        };
        pieces.send(vec![0; sent]).unwrap();
        let received = receptions.receive(body, LIMITS).await;
        assert!(matches!(received, Err(BodyError::TooLarge)));
        assert_eq!(receptions.account().held(), 0);
    });
}

#[test]
fn a_body_that_its_client_abandons_is_freed() {
    run(async {
        let receptions = smallest();
        let client = Client::begin(&receptions, LARGE).await;
        assert!(receptions.account().held() >= LARGE);
        client.received.abort();
        let _ = client.received.await;
        assert_eq!(receptions.account().held(), 0);
        assert!(receptions.longest_stall().is_none());
    });
}

#[test]
fn bytes_other_than_bodies_share_the_account() {
    run(async {
        let receptions = smallest();
        let large = Client::begin(&receptions, LARGE).await;
        let head = receptions.charge(16 << 10).unwrap();
        assert!(receptions.charge(LIMITS.bytes).is_none());
        age(&receptions, STALL_TIMEOUT);
        let other = receptions.charge(LIMITS.bytes).unwrap();
        assert!(matches!(large.end().await, Err(BodyError::Stalled)));
        drop((head, other));
        assert_eq!(receptions.account().held(), 0);
    });
}
