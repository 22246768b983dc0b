//! Tests of cache salts, stores and the estimate of cached prefixes.

use super::*;

#[test]
fn salts_separate_versions_and_isolated_tenants() {
    let mut router = router();
    let prompt = prompt("shared", 10);
    let mut salt = |key: &str| {
        let admission = router
            .admit(at(1), head("host", "/a/b/x", Some(key)))
            .unwrap();
        let choice = router
            .choose(at(1), &admission, Some(&prompt), EarlierAttempts::default())
            .unwrap();
        choice.cache_salt.unwrap()
    };
    assert_ne!(salt("key 1"), salt("key 2"));
    let shared = salt("key 1");
    let mut newer: Vec<InstanceRecord> = (4..=9)
        .map(|number| record(&format!("llm-{number}"), "models", number))
        .collect();
    for record in &mut newer {
        record.models.items[0].version = 2;
    }
    update(&mut router, at(2), changes(10, 11, newer));
    let admission = admit(&mut router, at(2), "/a/b/x");
    let choice = router
        .choose(at(2), &admission, Some(&prompt), EarlierAttempts::default())
        .unwrap();
    assert_ne!(choice.cache_salt.unwrap(), shared);
}

#[test]
fn a_prompt_is_saved_only_when_a_shared_part_is_missing() {
    let mut router = router();
    let admission = admit(&mut router, at(1), "/a/b/x");
    let prompt = prompt("shared", 10);
    let choose = |router: &mut RouterCore| {
        let choice = router.choose(at(1), &admission, Some(&prompt), EarlierAttempts::default());
        let choice = choice.unwrap();
        router.answered(at(1), &choice, None, Duration::ZERO);
        router.finished(at(1), &choice.instance, at(1), Outcome::Answered);
        choice
    };
    let unknown = choose(&mut router);
    assert_eq!((unknown.fetch_from, unknown.save_to), (None, None));
    router.on_store_contents(store(), true, true, &[], &[]);
    let missing = choose(&mut router);
    assert!(missing.fetch_from.is_none() && missing.save_to.is_some());
    let key = StoredKey::new(missing.cache_salt.as_deref().unwrap(), "shared");
    router.on_store_contents(store(), true, false, &[key], &[]);
    let held = choose(&mut router);
    assert!(held.fetch_from.is_some() && held.save_to.is_none());
    router.on_store_contents(store(), true, false, &[], &[key]);
    assert!(choose(&mut router).save_to.is_some());
    router.on_store_contents(store(), false, true, &[], &[]);
    let lost = choose(&mut router);
    assert_eq!((lost.fetch_from, lost.save_to), (None, None));
}

/// Guards against underestimated load: a back end looked idle long before it was, because a prompt that no back end
/// had cached counted only a quarter of its shared part.
#[test]
fn pending_tokens_are_those_that_the_back_end_is_expected_to_prefill() {
    let mut router = router();
    let admission = admit(&mut router, at(1), "/a/b/x");
    let prompt = prompt("shared", 10);
    let choose = |router: &mut RouterCore| {
        let choice = router.choose(at(2), &admission, Some(&prompt), EarlierAttempts::default());
        choice.unwrap()
    };
    let first = choose(&mut router);
    assert_eq!(first.tokens, 4_010, "no back end has cached it");
    router.accepted(at(3), &first);
    assert_eq!(choose(&mut router).tokens, 10, "its home has cached it");
    router.finished(at(3), &first.instance, at(1), Outcome::Answered);
}

/// No router tracks who has cached short prompts: most of their shared tokens are expected to be cached.
#[test]
fn a_short_prompt_counts_a_fraction_of_its_shared_tokens() {
    let mut router = router();
    let admission = admit(&mut router, at(1), "/a/b/x");
    let part = |id: &str, tokens| PromptPart {
        id: id.to_owned(),
        tokens,
    };
    let prompt = Prompt {
        model: ModelName::new("model"),
        parts: vec![part("shared", 400), part("own", 600)],
        output: 10,
    };
    let choice = router.choose(at(1), &admission, Some(&prompt), EarlierAttempts::default());
    assert_eq!(choice.unwrap().tokens, 700);
}

#[test]
fn a_slow_store_is_avoided_for_a_while_if_the_home_has_the_parts() {
    // Guards against waiting for an overloaded store: when its link was saturated, a third of the requests waited
    // 2 s. At the home there is no other source, and prefilling the prompt again would delay more requests.
    let mut router = router();
    let admission = admit(&mut router, at(1), "/a/b/x");
    let prompt = prompt("shared", 10);
    router.on_store_contents(store(), true, true, &[], &[]);
    let first = router
        .choose(at(1), &admission, Some(&prompt), EarlierAttempts::default())
        .unwrap();
    router.answered(at(1), &first, None, Duration::ZERO);
    let key = StoredKey::new(first.cache_salt.as_deref().unwrap(), "shared");
    router.on_store_contents(store(), true, false, &[key], &[]);
    let fetching = router
        .choose(at(2), &admission, Some(&prompt), EarlierAttempts::default())
        .unwrap();
    assert_eq!(fetching.fetch_store, Some(store()));
    let target = Duration::from_millis(300);
    router.answered(at(300), &fetching, Some(2 * target), target);
    let busy_home = LoadEntry {
        key: LoadEntry::key_of(fetching.instance.as_str()),
        pending: 400,
        in_flight: 6,
    };
    let choose = |router: &mut RouterCore, now, loads: &[LoadEntry]| {
        router.set_others_loads(true, loads);
        let choice = router.choose(now, &admission, Some(&prompt), EarlierAttempts::default());
        choice.unwrap()
    };
    let away = choose(&mut router, at(400), &[busy_home]);
    assert_ne!(away.instance, fetching.instance);
    assert_eq!(away.fetch_store, None);
    assert_eq!(away.fetch_from.as_deref(), Some(fetching.address.as_str()));
    let at_home = choose(&mut router, at(400), &[]);
    assert_eq!(at_home.instance, fetching.instance);
    assert_eq!(at_home.fetch_store, Some(store()));
    let later = choose(&mut router, at(3_000), &[busy_home]);
    assert_eq!(later.fetch_store, Some(store()));
}

/// The stores that a router with two configured stores, of which it knows `known`, saves `count` different prompts to.
fn stores_used(known: &[&str], other_zone: &str, count: u32) -> Vec<String> {
    let mut router = router();
    let mut two = document();
    two.pools
        .push(store_pool("other store", OTHER_STORE, other_zone));
    let mut changed = changes(10, 11, Vec::new());
    changed.configuration = List::new(vec![Blob { bytes: Vec::new() }]);
    router.apply(at(1), changed, |_| Ok(two)).unwrap();
    for address in known {
        router.on_store_contents(StoreId::at(address), true, true, &[], &[]);
    }
    let admission = admit(&mut router, at(1), "/a/b/x");
    let mut used = Vec::new();
    for number in 0..count {
        let prompt = prompt(&format!("shared {number}"), 10);
        let choice = router.choose(at(1), &admission, Some(&prompt), EarlierAttempts::default());
        let choice = choice.unwrap();
        router.finished(at(1), &choice.instance, at(1), Outcome::Answered);
        used.extend(choice.save_to);
    }
    used
}

#[test]
fn prompts_are_spread_over_stores_and_each_prompt_has_one_store() {
    // Guards against one overloaded store: of three stores only the first was used, which saturated its link and held
    // only half of the prompts.
    let used = stores_used(&[STORE, OTHER_STORE], "zone", 60);
    let other = used
        .iter()
        .filter(|address| *address == OTHER_STORE)
        .count();
    assert_eq!(used.len(), 60);
    assert!((15..=45).contains(&other), "{other} of 60");
    assert_eq!(used, stores_used(&[STORE, OTHER_STORE], "zone", 60));
}

#[test]
fn prompts_of_an_unresponsive_store_go_to_the_other_stores() {
    let used = stores_used(&[OTHER_STORE], "zone", 20);
    assert_eq!(used, [OTHER_STORE; 20]);
}

#[test]
fn a_prompt_is_saved_in_the_zone_of_its_home() {
    let used = stores_used(&[STORE, OTHER_STORE], "other zone", 20);
    assert_eq!(used, [STORE; 20]);
    let used = stores_used(&[OTHER_STORE], "other zone", 20);
    assert_eq!(used, [OTHER_STORE; 20]);
}

/// A router that has seen the home of a prompt prefill it, and whose home is busy now.
fn router_with_a_busy_home(prompt: &Prompt) -> (RouterCore, Admission, Choice) {
    let mut router = router();
    let admission = admit(&mut router, at(1), "/a/b/x");
    let first = router
        .choose(at(1), &admission, Some(prompt), EarlierAttempts::default())
        .unwrap();
    router.accepted(at(2), &first);
    let busy = LoadEntry {
        key: LoadEntry::key_of(first.instance.as_str()),
        pending: 400,
        in_flight: 6,
    };
    router.set_others_loads(true, &[busy]);
    (router, admission, first)
}

#[test]
fn a_prompt_away_from_home_is_fetched_from_a_back_end_that_prefilled_it() {
    let prompt = prompt("shared", 10);
    let (mut router, admission, first) = router_with_a_busy_home(&prompt);
    let away = router
        .choose(at(3), &admission, Some(&prompt), EarlierAttempts::default())
        .unwrap();
    assert_ne!(away.instance, first.instance);
    assert_eq!(away.cache_estimate.here, 0);
    assert_eq!(away.cache_estimate.at_source, 1);
    assert_eq!(away.fetch_from.as_deref(), Some(first.address.as_str()));
    assert_eq!(away.fetch_store, None);
}

#[test]
fn entries_reported_by_other_routers_are_used() {
    let prompt = prompt("shared", 10);
    let (mut other, _, first) = router_with_a_busy_home(&prompt);
    let reported = other.take_holder_reports();
    assert_eq!(reported.len(), 1);
    assert!(other.take_holder_reports().is_empty());
    let mut router = router();
    let admission = admit(&mut router, at(1), "/a/b/x");
    router.on_holders(at(1), &reported);
    let tried = [first.instance];
    let away = router.choose(at(2), &admission, Some(&prompt), after(&tried));
    assert_eq!(
        away.unwrap().cache_estimate.at_source,
        0,
        "a back end that was tried is not a source"
    );
    let known = router.choose(at(2), &admission, Some(&prompt), EarlierAttempts::default());
    assert_eq!(known.unwrap().cache_estimate.here, 1);
}

#[test]
fn a_draining_holder_is_not_a_source() {
    let prompt = prompt("shared", 10);
    let (mut router, admission, first) = router_with_a_busy_home(&prompt);
    let mut leaving = record(first.instance.as_str(), "models", 1);
    leaving.lifecycle = Lifecycle::Draining;
    leaving.revision = 11;
    update(&mut router, at(3), changes(10, 11, vec![leaving]));
    let away = router
        .choose(at(3), &admission, Some(&prompt), EarlierAttempts::default())
        .unwrap();
    assert_ne!(away.instance, first.instance);
    assert_eq!(away.cache_estimate.at_source, 0);
    assert_ne!(away.fetch_from.as_deref(), Some(first.address.as_str()));
}

#[test]
fn prompts_of_a_loading_home_go_to_back_ends_with_the_new_weights() {
    // A prompt that is prefilled under weights that are about to be replaced must be prefilled again. The router does
    // not know the load of the others, so it leads no other prompts to the new weights.
    let mut router = router();
    router.on_confirmed(at(1), 10, 7);
    let admission = admit(&mut router, at(1), "/a/b/x");
    let prompts: Vec<Prompt> = (0..40)
        .map(|n| prompt(&format!("shared {n}"), 10))
        .collect();
    let choose = |router: &mut RouterCore, prompt: &Prompt| {
        let choice = router
            .choose(at(1), &admission, Some(prompt), EarlierAttempts::default())
            .unwrap();
        router.answered(at(1), &choice, None, Duration::ZERO);
        router.finished(at(1), &choice.instance, at(1), Outcome::Answered);
        choice
    };
    let before: Vec<Choice> = prompts.iter().map(|it| choose(&mut router, it)).collect();
    let mut loading = record("llm-4", "models", 4);
    loading.models.items[0].loading = 2;
    let mut loaded = record("llm-5", "models", 5);
    loaded.models.items[0].version = 2;
    update(&mut router, at(1), changes(10, 11, vec![loading, loaded]));
    for (prompt, before) in prompts.iter().zip(before) {
        let after = choose(&mut router, prompt);
        if before.instance.as_str() == "llm-4" {
            assert_eq!(after.instance.as_str(), "llm-5");
            assert_eq!(after.expected_version, Some(2));
        } else {
            assert_eq!(after.instance, before.instance);
        }
    }
}
