//! Tests of which missed target of an answer is reported.

use rstest::rstest;

use super::*;
use drumshore_gateway_core::RequestKind;

const RECEIVED: u64 = 1_000;

const fn ms(value: u64) -> Timestamp {
    Timestamp(value * 1_000)
}

fn route(kind: RequestKind) -> Route {
    Route {
        name: "r".into(),
        host: "a.example".into(),
        path_prefix: "/x/".into(),
        kind,
        timeout: Duration::from_secs(5),
        target: Duration::from_millis(800),
        gap_target: Some(Duration::from_millis(600)),
        priority: 0,
        max_attempts: 1,
        public: true,
        shares: Vec::new(),
    }
}

#[rstest]
#[case::in_time(RequestKind::Stream, &[1_800, 2_400, 3_000], None)]
#[case::late_first(RequestKind::Stream, &[1_801, 1_900], Some(Lateness::FirstPiece))]
#[case::long_gap(RequestKind::Stream, &[1_100, 1_200, 1_801], Some(Lateness::Gap))]
#[case::late_and_long_gap(RequestKind::ResumableStream, &[1_900, 2_900], Some(Lateness::FirstPiece))]
#[case::no_stream(RequestKind::Repeatable, &[1_100, 2_900], None)]
#[case::no_pieces(RequestKind::Stream, &[], None)]
fn the_first_missed_target_is_reported(
    #[case] kind: RequestKind,
    #[case] pieces: &[u64],
    #[case] expected: Option<Lateness>,
) {
    let mut timeliness = Timeliness::new(&route(kind), ms(RECEIVED));
    for piece in pieces {
        timeliness.on_piece(ms(*piece));
    }
    assert_eq!(timeliness.lateness(), expected);
}

#[test]
fn the_wait_for_the_first_piece_is_not_a_gap() {
    let mut timeliness = Timeliness::new(&route(RequestKind::Stream), ms(RECEIVED));
    assert_eq!(timeliness.time_to_first(), None);
    timeliness.on_piece(ms(1_700));
    assert_eq!(timeliness.time_to_first(), Some(Duration::from_millis(700)));
    assert_eq!(timeliness.longest_gap(), Duration::ZERO);
    timeliness.on_piece(ms(1_750));
    timeliness.on_piece(ms(1_760));
    assert_eq!(timeliness.longest_gap(), Duration::from_millis(50));
}
