//! Tests of the conditions for copying a run and of continuing it from the copy.

use drumshore_core::Timestamp;
use rstest::rstest;

use super::super::tests::{
    admit_model_request, at, prompt_of, record, router_for_copies, router_with,
};
use super::*;
use crate::{InstanceRecord, LoadEntry, Outcome, SoftwareVersion};

fn admission(router: &mut RouterCore, kind: RequestKind) -> Admission {
    admit_model_request(router, kind)
}

fn choose(router: &mut RouterCore, admission: &Admission, prompt: &Prompt) -> Choice {
    let choice = router.choose(at(1), admission, Some(prompt), EarlierAttempts::default());
    choice.unwrap()
}

#[rstest]
#[case::may_not_be_repeated(RequestKind::Stream, 600, true)]
#[case::can_be_prefilled_again(RequestKind::ResumableStream, 600, false)]
#[case::takes_too_much_memory(RequestKind::Stream, 9_000, false)]
fn only_small_runs_that_cannot_be_repeated_are_copied(
    #[case] kind: RequestKind,
    #[case] tokens: u32,
    #[case] is_copied: bool,
) {
    let mut router = router_for_copies();
    let admission = admission(&mut router, kind);
    let choice = choose(&mut router, &admission, &prompt_of(tokens));
    assert_eq!(choice.copy.is_some(), is_copied);
    if let Some(copy) = choice.copy {
        assert_ne!(copy.instance, choice.instance);
        assert_eq!(copy.version, choice.expected_version);
    }
}

#[test]
fn runs_are_not_copied_in_a_busy_pool() {
    let mut router = router_for_copies();
    let admission = admission(&mut router, RequestKind::Stream);
    let loads: Vec<LoadEntry> = (4..=9)
        .map(|number| LoadEntry {
            key: LoadEntry::key_of(&format!("llm-{number}")),
            pending: 0,
            in_flight: 4,
        })
        .collect();
    router.set_others_loads(true, &loads);
    assert_eq!(choose(&mut router, &admission, &prompt_of(600)).copy, None);
}

/// After the first back end broke off, the copy continues the run and is told to fetch, save and copy nothing.
#[test]
fn a_run_continues_at_the_back_end_with_its_copy() {
    let mut router = router_for_copies();
    let admission = admission(&mut router, RequestKind::Stream);
    let prompt = prompt_of(600);
    let first = choose(&mut router, &admission, &prompt);
    let copy = first.copy.clone().unwrap();
    let tried = [first.instance.clone()];
    let earlier = EarlierAttempts {
        tried: &tried,
        arrived: 1,
        ..EarlierAttempts::default()
    };
    let next = router.choose_copy(at(2), &admission, Some(&prompt), &copy, earlier);
    let next = next.unwrap();
    assert_eq!(next.instance, copy.instance);
    assert_eq!(
        (next.copy, next.fetch_from, next.save_to),
        (None, None, None)
    );
    let began = Timestamp(0);
    assert!(!router.finished(at(3), &next.instance, began, Outcome::Answered));
}

/// A copy cannot be used under other weights than those of the run.
#[test]
fn a_copy_is_not_used_under_other_weights() {
    let mut router = router_for_copies();
    let admission = admission(&mut router, RequestKind::Stream);
    let prompt = prompt_of(600);
    let copy = choose(&mut router, &admission, &prompt).copy.unwrap();
    let other_weights = RunCopy {
        version: Some(7),
        ..copy
    };
    let earlier = EarlierAttempts::default();
    let refused = router.choose_copy(at(2), &admission, Some(&prompt), &other_weights, earlier);
    assert_eq!(refused.unwrap_err(), ChoiceError::NoneLeft);
}

/// What a back end of another software version would add to the stream does not fit.
#[test]
fn runs_are_copied_only_to_back_ends_of_their_software_version() {
    let versions = ["v1", "v2"];
    let back_ends = (0..6).map(|number| InstanceRecord {
        software: SoftwareVersion::new(versions[number % 2]),
        ..record(&format!("llm-{number}"), "models", number as u64 + 1)
    });
    let mut router = router_with(back_ends.collect());
    let admission = admission(&mut router, RequestKind::Stream);
    for number in 0..40 {
        let choice = choose(&mut router, &admission, &prompt_of(600 + number));
        let copy = choice.copy.expect("the pool has room for copies");
        let target = router.view.instance(copy.instance.as_str()).unwrap();
        assert_eq!(target.software, choice.software);
        let began = Timestamp(0);
        router.finished(at(3), &choice.instance, began, Outcome::Answered);
    }
}
