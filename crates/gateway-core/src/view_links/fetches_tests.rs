//! Tests of when a router fetches changes, from which machine, and when it repeats a fetch.

use rstest::rstest;

use super::*;

const FOLLOWED: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const THIRD: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 3);
const HELD: u64 = 7;
const NEWEST: u64 = 12;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds * 1_000)
}

fn holding(held: u64) -> Position {
    Position {
        held,
        source_revision: 0,
    }
}

/// Sends a fetch if one is due, and returns the machine it goes to.
fn fetch(fetches: &mut Fetches, milliseconds: u64, held: u64) -> Option<Ipv4Addr> {
    let due = fetches.due(at(milliseconds), holding(held), &[FOLLOWED]);
    if let Some(address) = due {
        fetches.on_fetch_sent(at(milliseconds), address);
    }
    due
}

fn with_revisions(newest: &[(Ipv4Addr, u64)], held: u64) -> Fetches {
    let mut fetches = Fetches::default();
    for (address, revision) in newest {
        fetches.on_revision(at(100), *address, *revision, held);
    }
    fetches
}

#[rstest]
#[case::changes_soon(7, 299, None)]
#[case::changes_in_time(7, 300, Some(FOLLOWED))]
#[case::first_chunk_soon(0, 299, None)]
#[case::first_chunk_in_time(0, 300, Some(FOLLOWED))]
fn a_fetch_is_repeated_when_its_response_is_overdue(
    #[case] held: u64,
    #[case] waited_ms: u64,
    #[case] due: Option<Ipv4Addr>,
) {
    let mut fetches = with_revisions(&[(FOLLOWED, NEWEST)], held);
    assert_eq!(fetch(&mut fetches, 100, held), Some(FOLLOWED));
    assert_eq!(fetch(&mut fetches, 100 + waited_ms, held), due);
}

/// Without backoff, 300 routers that started together repeated their fetch every 0.3 s at slow control machines,
/// which then sent the same state several times.
#[test]
fn fetches_without_a_response_back_off() {
    let mut fetches = with_revisions(&[(FOLLOWED, NEWEST)], 0);
    let asked: Vec<u64> = (0..10_000)
        .filter(|milliseconds| fetch(&mut fetches, *milliseconds, 0).is_some())
        .collect();
    assert_eq!(asked, [0, 300, 900, 2_100, 4_500, 6_900, 9_300]);
    fetches.on_changes(at(10_000), FOLLOWED, NEWEST, Progress::Made { held: 1 });
    assert_eq!(fetch(&mut fetches, 10_000, 1), Some(FOLLOWED));
    let again = fetch(&mut fetches, 10_300, 1);
    assert_eq!(again, Some(FOLLOWED), "progress resets the timeout");
}

#[test]
fn machines_that_are_not_followed_are_asked_only_without_progress() {
    let mut fetches = with_revisions(&[(OTHER, NEWEST)], HELD);
    assert_eq!(fetch(&mut fetches, 100, HELD), None);
    assert_eq!(fetch(&mut fetches, 499, HELD), None);
    assert_eq!(fetch(&mut fetches, 500, HELD), Some(OTHER));
    let progress = Progress::Made { held: 8 };
    fetches.on_changes(at(500), OTHER, NEWEST, progress);
    let due = fetch(&mut fetches, 500, 8);
    assert_eq!(due, None, "the view is behind, but makes progress");
}

#[rstest]
#[case::of_the_link_that_ended(FOLLOWED, Some(OTHER))]
#[case::of_another_link(OTHER, None)]
fn closing_a_link_ends_only_the_fetch_on_it(
    #[case] ended: Ipv4Addr,
    #[case] due: Option<Ipv4Addr>,
) {
    let mut fetches = with_revisions(&[(FOLLOWED, NEWEST), (OTHER, NEWEST)], 0);
    assert_eq!(fetch(&mut fetches, 550, 0), Some(FOLLOWED));
    fetches.on_link_ended(ended);
    assert_eq!(fetch(&mut fetches, 650, 0), due);
}

#[test]
fn a_current_view_fetches_nothing() {
    let mut fetches = with_revisions(&[(FOLLOWED, NEWEST)], HELD);
    assert_eq!(fetch(&mut fetches, 100, NEWEST), None);
    fetches.on_revision(at(101), OTHER, 3, HELD);
    let due = fetch(&mut fetches, 101, HELD);
    assert_eq!(due, Some(FOLLOWED), "the earlier announcement stands");
}

#[test]
fn a_machine_with_no_newer_revision_is_not_asked() {
    let mut fetches = with_revisions(&[(FOLLOWED, HELD), (OTHER, NEWEST)], HELD);
    assert_eq!(fetch(&mut fetches, 100, HELD), None);
    assert_eq!(fetch(&mut fetches, 500, HELD), Some(OTHER));
}

#[rstest]
#[case::nothing_new(HELD)]
#[case::not_applicable(NEWEST)]
fn changes_without_progress_neither_advance_nor_delay_the_next_fetch(#[case] newest: u64) {
    let mut fetches = with_revisions(&[(FOLLOWED, NEWEST), (OTHER, NEWEST)], HELD);
    assert_eq!(fetch(&mut fetches, 100, HELD), Some(FOLLOWED));
    let progress = Progress::None { held: HELD };
    fetches.on_changes(at(101), FOLLOWED, newest, progress);
    assert_eq!(fetch(&mut fetches, 399, HELD), None);
    assert_eq!(fetches.behind(at(400)), Some(Duration::from_millis(300)));
    assert_eq!(fetch(&mut fetches, 400, HELD), Some(OTHER));
}

#[test]
fn a_fetch_without_a_response_is_repeated_at_another_machine() {
    let machines = [(FOLLOWED, NEWEST), (OTHER, NEWEST), (THIRD, NEWEST)];
    let mut fetches = with_revisions(&machines, HELD);
    let asked: Vec<_> = (100..2_500)
        .filter_map(|milliseconds| Some((milliseconds, fetch(&mut fetches, milliseconds, HELD)?)))
        .collect();
    let round = |from, step| {
        [
            (from, FOLLOWED),
            (from + step, OTHER),
            (from + 2 * step, THIRD),
        ]
    };
    assert_eq!(asked, [round(100, 300), round(1_000, 600)].concat());
}

#[test]
fn a_fetch_whose_response_is_arriving_is_not_repeated_at_other_machines() {
    let mut fetches = with_revisions(
        &[(FOLLOWED, NEWEST), (OTHER, NEWEST), (THIRD, NEWEST)],
        HELD,
    );
    assert_eq!(fetch(&mut fetches, 100, HELD), Some(FOLLOWED));
    for milliseconds in (150..1_100).step_by(50) {
        fetches.on_partial_message(at(milliseconds), FOLLOWED);
        assert_eq!(fetch(&mut fetches, milliseconds, HELD), None);
    }
}

#[test]
fn a_fetch_whose_response_stops_arriving_is_repeated_at_another_machine() {
    let mut fetches = with_revisions(&[(FOLLOWED, NEWEST), (OTHER, NEWEST)], HELD);
    assert_eq!(fetch(&mut fetches, 100, HELD), Some(FOLLOWED));
    fetches.on_partial_message(at(350), FOLLOWED);
    assert_eq!(fetch(&mut fetches, 649, HELD), None);
    assert_eq!(fetch(&mut fetches, 650, HELD), Some(OTHER));
}

#[test]
fn messages_of_other_machines_do_not_delay_the_repetition_of_a_fetch() {
    let mut fetches = with_revisions(&[(FOLLOWED, NEWEST), (OTHER, NEWEST)], HELD);
    assert_eq!(fetch(&mut fetches, 100, HELD), Some(FOLLOWED));
    fetches.on_partial_message(at(350), OTHER);
    assert_eq!(fetch(&mut fetches, 400, HELD), Some(OTHER));
}

/// The machine or its link may be slow, while others send the same in a moment.
#[test]
fn a_response_that_trickles_does_not_keep_a_router_from_asking_another_machine() {
    const APPLY_WITHIN: u64 = 2_000;
    let mut fetches = with_revisions(&[(FOLLOWED, NEWEST), (OTHER, NEWEST)], HELD);
    assert_eq!(fetch(&mut fetches, 100, HELD), Some(FOLLOWED));
    let asked: Vec<_> = (150..APPLY_WITHIN)
        .step_by(50)
        .filter_map(|milliseconds| {
            fetches.on_partial_message(at(milliseconds), FOLLOWED);
            fetch(&mut fetches, milliseconds, HELD)
        })
        .collect();
    assert!(
        !asked.is_empty() && asked.iter().all(|to| *to == OTHER),
        "{asked:?}"
    );
}
