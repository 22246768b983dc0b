//! Tests of the estimate of which back ends have cached the parts of a prompt.

use super::*;
use crate::router::PromptPart;
use crate::ModelName;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp(milliseconds * 1_000)
}

fn part(id: &str, tokens: u32) -> PromptPart {
    PromptPart {
        id: id.to_owned(),
        tokens,
    }
}

fn prompt(parts: &[(&str, u32)]) -> Prompt {
    Prompt {
        model: ModelName::new("model"),
        parts: parts.iter().map(|(id, tokens)| part(id, *tokens)).collect(),
        output: 10,
    }
}

fn long_prompt() -> Prompt {
    prompt(&[("all", 2_500), ("subject", 3_700), ("own", 2_900)])
}

#[test]
fn a_back_end_holds_shared_parts_for_a_while_after_prefill() {
    let mut holders = Holders::default();
    let prefixes = prefixes(&long_prompt(), "salt");
    assert_eq!(prefixes.len(), 2);
    holders.on_prefilled(at(0), &prefixes, "i-1");
    let held = holders.held(at(1_000), &prefixes);
    assert_eq!(held.len(), 1);
    assert_eq!(held[0].key, LoadEntry::key_of("i-1"));
    assert_eq!(held[0].parts, 2);
    let expired = at(ENTRY_LIFETIME.as_millis() as u64);
    assert!(holders.held(expired, &prefixes).is_empty());
}

#[test]
fn a_prompt_that_shares_only_the_first_part_matches_only_that_part() {
    let mut holders = Holders::default();
    holders.on_prefilled(at(0), &prefixes(&long_prompt(), "salt"), "i-1");
    let other = prompt(&[("all", 2_500), ("other subject", 3_700), ("own", 2_900)]);
    let held = holders.held(at(1), &prefixes(&other, "salt"));
    assert_eq!(held[0].parts, 1);
}

#[test]
fn other_weights_and_other_tenants_have_other_prefixes() {
    let mut holders = Holders::default();
    holders.on_prefilled(at(0), &prefixes(&long_prompt(), "model.1"), "i-1");
    for salt in ["model.2", "model.1.tenant"] {
        let held = holders.held(at(1), &prefixes(&long_prompt(), salt));
        assert!(held.is_empty(), "{salt}");
    }
}

#[test]
fn short_prompts_are_not_tracked() {
    let short = prompt(&[("all", 100), ("subject", 80), ("own", 600)]);
    assert!(prefixes(&short, "salt").is_empty());
}

#[test]
fn an_entry_is_reported_once_and_again_before_other_routers_drop_it() {
    let mut holders = Holders::default();
    let prefixes = prefixes(&long_prompt(), "salt");
    holders.on_prefilled(at(0), &prefixes, "i-1");
    assert_eq!(holders.take_reports().len(), 2);
    holders.on_prefilled(at(100), &prefixes, "i-1");
    assert!(holders.take_reports().is_empty());
    holders.on_prefilled(at(200), &prefixes, "i-2");
    assert_eq!(holders.take_reports().len(), 2);
    let later = 200 + REPORT_AGAIN_AFTER.as_millis() as u64;
    holders.on_prefilled(at(later), &prefixes, "i-2");
    assert_eq!(holders.take_reports().len(), 2);
    holders.on_remote_reports(at(later), &[]);
}

#[test]
fn reports_that_are_not_taken_are_bounded() {
    let mut holders = Holders::default();
    for number in 0..MAX_PENDING_REPORTS as u32 * 2 {
        holders.on_prefilled(at(0), &[number], "i-1");
    }
    assert_eq!(holders.take_reports().len(), MAX_PENDING_REPORTS);
}

#[test]
fn a_prefix_with_enough_known_holders_is_not_reported() {
    // Guards against widely shared prefixes using up the reports: the first part of 458 prompts a second, common to
    // four kinds of prompts, took more than half of the reports, and entries for other prefixes were dropped.
    let mut holders = Holders::default();
    let shared = prefixes(&long_prompt(), "salt");
    for n in 0..10 {
        let other = prompt(&[
            ("all", 2_500),
            (&format!("subject-{n}"), 3_700),
            ("own", 2_900),
        ]);
        let prefixes = prefixes(&other, "salt");
        assert_eq!(prefixes[0], shared[0]);
        holders.on_prefilled(at(n), &prefixes, &format!("i-{n}"));
    }
    let reports = holders.take_reports();
    let of_first_part = reports.iter().filter(|entry| entry.prefix == shared[0]);
    assert_eq!(of_first_part.count(), HOLDERS_PER_PREFIX);
    assert_eq!(reports.len(), HOLDERS_PER_PREFIX + 10);
}
