//! Tests of when a router asks whether its view is current.

use super::*;

const STEP_MS: u64 = 50;

fn machine(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

fn linked(machines: u8) -> Questions {
    let mut questions = Questions::default();
    for number in 1..=machines {
        questions.on_linked(machine(number));
    }
    questions
}

/// Lets time pass; machines up to `silent` do not answer. Gives when which machine was asked.
fn run(questions: &mut Questions, until_ms: u64, silent: u8) -> Vec<(u64, Ipv4Addr)> {
    run_from(questions, 0, until_ms, silent)
}

fn run_from(
    questions: &mut Questions,
    from_ms: u64,
    until_ms: u64,
    silent: u8,
) -> Vec<(u64, Ipv4Addr)> {
    let mut asked = Vec::new();
    for milliseconds in (from_ms..until_ms).step_by(STEP_MS as usize) {
        for (to, sequence) in questions.take_due(Timestamp(milliseconds * 1_000)) {
            asked.push((milliseconds, to));
            if to > machine(silent) {
                questions.on_answer(to, sequence);
            }
        }
    }
    asked
}

/// The longest time without a question to a machine that answers.
fn longest_gap(asked: &[(u64, Ipv4Addr)], silent: u8, from_ms: u64) -> u64 {
    let answered = asked.iter().filter(|(_, to)| *to > machine(silent));
    let times: Vec<u64> = answered.map(|(at, _)| *at).collect();
    let gaps = times.windows(2).filter(|pair| pair[0] >= from_ms);
    gaps.map(|pair| pair[1] - pair[0]).max().unwrap()
}

#[test]
fn machines_that_were_linked_together_are_asked_in_turn() {
    let asked = run(&mut linked(5), 9_000, 0);
    assert_eq!(longest_gap(&asked, 0, 0), SPACING.as_millis() as u64);
}

#[test]
fn machines_that_do_not_answer_leave_no_gap_between_questions_to_the_others() {
    for (machines, silent) in [(3, 1), (5, 2), (9, 4), (10, 4)] {
        let asked = run(&mut linked(machines), 2_400, silent);
        let gap = longest_gap(&asked, silent, 600);
        let spacing = SPACING.as_millis() as u64;
        assert!(gap <= spacing, "{gap} ms, {silent} of {machines}");
    }
}

/// Of the bound of two seconds, what is left for a change to be applied, announced, asked for and sent.
const MOST_GAP_MS: u64 = 900;

#[test]
fn machines_that_stop_answering_at_any_moment_leave_a_short_gap() {
    for (machines, silent) in [(3, 1), (5, 2), (9, 4), (10, 4)] {
        for calm_ms in (3_000..6_000).step_by(STEP_MS as usize) {
            let mut questions = linked(machines);
            let calm = run_from(&mut questions, 0, calm_ms, 0);
            let cut = run_from(&mut questions, calm_ms, calm_ms + 3_000, silent);
            let last = calm.iter().map(|(at, _)| *at).max().unwrap();
            let answered = cut.iter().find(|(_, to)| *to > machine(silent));
            let gap = answered.unwrap().0 - last;
            assert!(gap <= MOST_GAP_MS, "{gap} ms, {silent} of {machines}");
        }
    }
}

#[test]
fn no_link_is_left_unasked_for_longer_than_control_machines_bear() {
    let silence = 4_000;
    for silent in [0, 4, 10] {
        let asked = run(&mut linked(10), 12_000, silent);
        for number in 1..=10 {
            let times = asked.iter().filter(|(_, to)| *to == machine(number));
            let times: Vec<u64> = times.map(|(at, _)| *at).collect();
            let gap = times.windows(2).map(|pair| pair[1] - pair[0]).max();
            assert!(gap.unwrap() < silence, "{gap:?} ms, {silent} silent");
        }
    }
}

#[test]
fn questions_cost_as_much_as_one_each_spacing() {
    let asked = run(&mut linked(5), 30_000, 0);
    assert!(asked.len() <= 5 + 100, "{}", asked.len());
}

#[test]
fn a_link_whose_question_got_no_answer_is_silent() {
    let mut questions = linked(2);
    run(&mut questions, 100, 1);
    let after = |milliseconds: u64| Timestamp(milliseconds * 1_000);
    assert!(questions.silent(after(2_500)).is_empty());
    assert_eq!(questions.silent(after(2_501)), [machine(1)]);
}
