//! Tests of when a router sends pings.

use super::*;

const STEP_MS: u64 = 50;

fn machine(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

fn linked(machines: u8) -> Pings {
    let mut pings = Pings::default();
    for number in 1..=machines {
        pings.on_linked(machine(number));
    }
    pings
}

/// Advances the time; machines up to number `unresponsive` do not answer. Returns the pings with their times.
fn run(pings: &mut Pings, until_ms: u64, unresponsive: u8) -> Vec<(u64, Ipv4Addr)> {
    run_from(pings, 0, until_ms, unresponsive)
}

fn run_from(
    pings: &mut Pings,
    from_ms: u64,
    until_ms: u64,
    unresponsive: u8,
) -> Vec<(u64, Ipv4Addr)> {
    let mut sent = Vec::new();
    for milliseconds in (from_ms..until_ms).step_by(STEP_MS as usize) {
        for (to, sequence) in pings.take_due(Timestamp(milliseconds * 1_000)) {
            sent.push((milliseconds, to));
            if to > machine(unresponsive) {
                pings.on_answer(to, sequence);
            }
        }
    }
    sent
}

/// The longest time without a ping to a responsive machine.
fn longest_gap(sent: &[(u64, Ipv4Addr)], unresponsive: u8, from_ms: u64) -> u64 {
    let answered = sent.iter().filter(|(_, to)| *to > machine(unresponsive));
    let times: Vec<u64> = answered.map(|(at, _)| *at).collect();
    let gaps = times.windows(2).filter(|pair| pair[0] >= from_ms);
    gaps.map(|pair| pair[1] - pair[0]).max().unwrap()
}

#[test]
fn machines_that_were_linked_together_are_pinged_in_turn() {
    let sent = run(&mut linked(5), 9_000, 0);
    assert_eq!(longest_gap(&sent, 0, 0), PING_SPACING.as_millis() as u64);
}

#[test]
fn unresponsive_machines_leave_no_gap_between_pings_to_the_others() {
    for (machines, unresponsive) in [(3, 1), (5, 2), (9, 4), (10, 4)] {
        let sent = run(&mut linked(machines), 2_400, unresponsive);
        let gap = longest_gap(&sent, unresponsive, 600);
        let spacing = PING_SPACING.as_millis() as u64;
        assert!(gap <= spacing, "{gap} ms, {unresponsive} of {machines}");
    }
}

/// The longest gap after which the rest of the two-second limit still suffices to apply, announce, fetch and send a
/// change.
const MAX_GAP_MS: u64 = 900;

#[test]
fn machines_that_become_unresponsive_at_any_time_leave_a_short_gap() {
    for (machines, unresponsive) in [(3, 1), (5, 2), (9, 4), (10, 4)] {
        for healthy_ms in (3_000..6_000).step_by(STEP_MS as usize) {
            let mut pings = linked(machines);
            let healthy = run_from(&mut pings, 0, healthy_ms, 0);
            let partitioned = run_from(&mut pings, healthy_ms, healthy_ms + 3_000, unresponsive);
            let last = healthy.iter().map(|(at, _)| *at).max().unwrap();
            let answered = partitioned
                .iter()
                .find(|(_, to)| *to > machine(unresponsive));
            let gap = answered.unwrap().0 - last;
            assert!(gap <= MAX_GAP_MS, "{gap} ms, {unresponsive} of {machines}");
        }
    }
}

#[test]
fn every_link_is_pinged_before_control_machines_consider_the_router_gone() {
    let link_limit_ms = 4_000;
    for unresponsive in [0, 4, 10] {
        let sent = run(&mut linked(10), 12_000, unresponsive);
        for number in 1..=10 {
            let times = sent.iter().filter(|(_, to)| *to == machine(number));
            let times: Vec<u64> = times.map(|(at, _)| *at).collect();
            let gap = times.windows(2).map(|pair| pair[1] - pair[0]).max();
            assert!(
                gap.unwrap() < link_limit_ms,
                "{gap:?} ms, {unresponsive} unresponsive"
            );
        }
    }
}

#[test]
fn pings_over_all_links_average_one_per_spacing() {
    let sent = run(&mut linked(5), 30_000, 0);
    assert!(sent.len() <= 5 + 100, "{}", sent.len());
}

#[test]
fn a_link_with_an_unanswered_ping_times_out() {
    let mut pings = linked(2);
    run(&mut pings, 100, 1);
    let after = |milliseconds: u64| Timestamp(milliseconds * 1_000);
    assert!(pings.timed_out(after(2_500)).is_empty());
    assert_eq!(pings.timed_out(after(2_501)), [machine(1)]);
}

#[test]
fn a_link_on_which_a_large_message_is_arriving_is_neither_unresponsive_nor_closed() {
    let mut pings = linked(1);
    let sent = run(&mut pings, 100, 1);
    assert_eq!(sent.len(), 1);
    for milliseconds in (100..=2_500).step_by(100) {
        let now = Timestamp(milliseconds * 1_000);
        pings.on_partial_message(now, machine(1));
        assert!(pings.unresponsive(now).next().is_none());
        assert!(pings.timed_out(now).is_empty());
    }
}

#[test]
fn a_link_on_which_a_message_trickles_without_end_is_closed() {
    let mut pings = linked(1);
    run(&mut pings, 100, 1);
    for milliseconds in (100..6_000).step_by(100) {
        pings.on_partial_message(Timestamp(milliseconds * 1_000), machine(1));
    }
    assert!(pings.timed_out(Timestamp(6_000_000)).contains(&machine(1)));
}

/// Links whose last ping was answered, so that none is due for some time.
fn answered(machines: u8, now: Timestamp) -> Pings {
    let mut pings = linked(machines);
    for (to, sequence) in pings.take_due(now) {
        pings.on_answer(to, sequence);
    }
    pings
}

const LINKED_AT: Timestamp = Timestamp(1_000_000);

fn after_ms(milliseconds: u64) -> Timestamp {
    LINKED_AT.plus(Duration::from_millis(milliseconds))
}

/// Guards against an answer to an earlier ping that passes for the confirmation that a request waits for.
#[test]
fn a_request_waits_for_the_answer_to_a_ping_that_was_sent_after_it_arrived() {
    let mut pings = linked(1);
    let earlier = pings.take_due(LINKED_AT);
    pings.await_answer(after_ms(1));
    assert_eq!(pings.take_due(after_ms(2)), []);
    pings.on_answer(earlier[0].0, earlier[0].1);
    let awaited = pings.take_due(after_ms(3));
    assert_eq!(awaited.len(), 1);
    pings.on_answer(awaited[0].0, awaited[0].1);
    assert_eq!(pings.take_due(after_ms(4)), []);
}

/// Guards against a ping for each of many requests that arrive together.
#[test]
fn requests_that_arrive_while_an_answer_is_awaited_share_the_next_pings() {
    let mut pings = answered(5, LINKED_AT);
    let mut sent = Vec::new();
    for request in 0..20 {
        let now = after_ms(1 + request);
        pings.await_answer(now);
        sent.extend(pings.take_due(now.plus(Duration::from_micros(1))));
    }
    assert_eq!(sent.len(), AWAITED_MACHINES);
    pings.on_answer(sent[0].0, sent[0].1);
    pings.on_answer(sent[1].0, sent[1].1);
    let shared = pings.take_due(after_ms(30));
    assert_eq!(shared.len(), AWAITED_MACHINES);
    pings.on_answer(shared[0].0, shared[0].1);
    pings.on_answer(shared[1].0, shared[1].1);
    assert_eq!(pings.take_due(after_ms(31)), []);
}

/// Guards against requests that are rejected because a control machine stands still.
#[test]
fn further_machines_are_pinged_while_those_that_a_request_waits_for_do_not_answer() {
    let mut pings = answered(5, LINKED_AT);
    pings.await_answer(after_ms(1));
    let first = pings.take_due(after_ms(2));
    let later = pings.take_due(after_ms(2).plus(AWAITED_HEDGE_AFTER));
    assert_eq!((first.len(), later.len()), (2, 2));
    assert!(later
        .iter()
        .all(|(to, _)| !first.iter().any(|(earlier, _)| earlier == to)));
}
