//! Tests of what bodies are charged, and of what is sent of them.

use http_body_util::BodyExt;
use rstest::rstest;

use super::*;
use crate::memory_account::MemoryAccount;
use crate::metrics::ClientMetrics;

fn received(
    body: &[u8],
    cut: usize,
    declared: Option<usize>,
    account: &Rc<MemoryAccount>,
) -> RequestBody {
    let mut buffer = BodyBuffer::new(declared, account.charge(0));
    for mut piece in body.chunks(cut) {
        while !piece.is_empty() {
            if buffer.needs_segment() {
                let charge = account.charge(buffer.segment_charge());
                buffer.add_segment(charge);
            }
            piece = buffer.append(piece);
        }
    }
    buffer.finish()
}

#[rstest]
#[case::single_bytes(1)]
#[case::odd_pieces(1_021)]
#[case::at_once(usize::MAX)]
fn the_charge_does_not_depend_on_the_cut(
    #[case] cut: usize,
    #[values(0, 1, 100, 1_024, 16_384, 16_385, 300_000)] length: usize,
    #[values(true, false)] is_declared: bool,
) {
    let account = MemoryAccount::new(usize::MAX, &ClientMetrics::default());
    let bytes: Vec<u8> = (0..length).map(|number| number as u8).collect();
    let body = received(
        &bytes,
        cut.min(length.max(1)),
        is_declared.then_some(length),
        &account,
    );
    assert_eq!(body.to_contiguous(), bytes);
    assert_eq!(body.parts().concat(), bytes);
    assert!((length..=max_charge(length)).contains(&account.held()));
    drop(body);
    assert_eq!(account.held(), 0);
}

#[test]
fn each_attempt_sends_the_whole_body() {
    let account = MemoryAccount::new(usize::MAX, &ClientMetrics::default());
    let body = received(&[7; 40_000], 10_000, None, &account);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    for _ in 0..2 {
        let outbound = body.to_outbound();
        assert_eq!(outbound.size_hint().exact(), Some(40_000));
        let sent = runtime.block_on(outbound.collect()).unwrap().to_bytes();
        assert_eq!(sent, vec![7; 40_000]);
    }
    assert!(RequestBody::default().to_outbound().is_end_stream());
}
