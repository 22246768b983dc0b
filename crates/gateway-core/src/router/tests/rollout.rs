//! Tests of the choice of back ends while a pool loads new weights.

use super::*;

/// Back ends `llm-4` to `llm-9`, of which the first `count` hold version 2 of the weights.
fn with_newest(router: &mut RouterCore, count: u64) {
    let loaded = (4..4 + count).map(|number| {
        let mut loaded = record(&format!("llm-{number}"), "models", number);
        loaded.models.items[0].version = 2;
        loaded
    });
    let loaded = loaded.collect();
    update(router, at(1), changes(10, 11, loaded));
}

fn prompts() -> Vec<Prompt> {
    let prompts = (0..200).map(|n| prompt(&format!("shared {n}"), 10));
    prompts.collect()
}

/// Chooses a back end for a prompt that is answered at once.
fn choose(router: &mut RouterCore, prompt: &Prompt) -> Choice {
    let admission = admit(router, at(1), "/a/b/x");
    let choice = router
        .choose(at(1), &admission, Some(prompt), EarlierAttempts::default())
        .unwrap();
    router.answered(at(1), &choice, None, Duration::ZERO);
    router.finished(at(1), &choice.instance, at(1), Outcome::Answered);
    choice
}

fn others_report(router: &mut RouterCore, in_flight: u16) {
    let loads = (4..=9).map(|number| LoadEntry {
        key: LoadEntry::key_of(&format!("llm-{number}")),
        pending: 0,
        in_flight,
    });
    let loads: Vec<LoadEntry> = loads.collect();
    router.set_others_loads(true, &loads);
}

fn newest_share(choices: &[Choice]) -> f64 {
    let newest = choices
        .iter()
        .filter(|choice| choice.expected_version == Some(2));
    newest.count() as f64 / choices.len() as f64
}

#[test]
fn an_idle_pool_answers_from_the_newest_weights_as_soon_as_one_back_end_holds_them() {
    let mut router = router();
    with_newest(&mut router, 1);
    for prompt in prompts() {
        assert_eq!(choose(&mut router, &prompt).instance.as_str(), "llm-4");
    }
}

/// A quarter of the slots in use is a load of 1.5 back ends, 3 of 8 slots of 2.25.
#[rstest]
#[case::lightly_loaded(2, 0.75, 1.0)]
#[case::half_of_the_load(3, 0.6, 0.8)]
fn as_many_prompts_are_led_as_the_newest_back_ends_can_carry(
    #[case] in_flight: u16,
    #[case] least: f64,
    #[case] most: f64,
) {
    let mut router = router();
    others_report(&mut router, in_flight);
    with_newest(&mut router, 2);
    let choices: Vec<Choice> = prompts().iter().map(|it| choose(&mut router, it)).collect();
    let share = newest_share(&choices);
    assert!((least..=most).contains(&share), "{share}");
}

#[test]
fn the_same_shared_parts_are_led_by_all_routers() {
    let led_by = |seed| {
        let mut router = RouterCore::new(params(), seed);
        let instances = (4..=9).map(|number| record(&format!("llm-{number}"), "models", number));
        let all = changes(0, 10, instances.collect());
        router.apply(at(0), all, |_| Ok(document())).unwrap();
        router.on_confirmed(at(0), 10, 7);
        others_report(&mut router, 4);
        with_newest(&mut router, 2);
        let led = prompts().into_iter().filter(|prompt| {
            let away = choose(&mut router, prompt);
            away.expected_version == Some(2)
        });
        led.map(|prompt| prompt.parts[0].id.clone())
            .collect::<Vec<_>>()
    };
    let led: Vec<Vec<String>> = [1, 2].map(led_by).into();
    let common = led[0].iter().filter(|it| led[1].contains(it)).count();
    assert!(common * 10 >= led[0].len() * 8, "{common} of {led:?}");
}

#[test]
fn a_prompt_that_finds_no_back_end_with_the_newest_weights_goes_to_the_others() {
    let mut router = router();
    with_newest(&mut router, 1);
    let admission = admit(&mut router, at(1), "/a/b/x");
    let tried = [InstanceId::new("llm-4")];
    let choice = router.choose(at(1), &admission, Some(&prompt("s", 10)), after(&tried));
    assert_eq!(choice.unwrap().expected_version, Some(1));
}

/// The weights were named this long ago; `llm-4` finished its load first, then `llm-5`.
#[rstest]
#[case::recently(2_000, true)]
#[case::long_ago(60_000, false)]
fn a_new_home_fetches_shared_parts_from_the_one_that_had_the_weights_before(
    #[case] age_ms: u32,
    #[case] fetches: bool,
) {
    let mut router = router();
    let loaded = [4, 5].map(|number| {
        let mut loaded = record(&format!("llm-{number}"), "models", number);
        loaded.models.items[0].version = 2;
        loaded.revision = 10 + number;
        loaded
    });
    let mut named = changes(10, 16, loaded.into());
    named.weights = List::new(vec![WeightsNotice {
        model: Text::new("model"),
        version: 2,
        age_ms,
    }]);
    update(&mut router, at(1), named);
    let admission = admit(&mut router, at(1), "/a/b/x");
    let mut homes = Vec::new();
    for prompt in prompts() {
        let choice = router
            .choose(at(1), &admission, Some(&prompt), EarlierAttempts::default())
            .unwrap();
        router.finished(at(1), &choice.instance, at(1), Outcome::Abandoned);
        if choice.rank == 0 {
            let source = choice.fetch_from.as_deref();
            let is_second = choice.instance.as_str() == "llm-5";
            let expected = (is_second && fetches).then_some("10.0.0.4:80");
            assert_eq!(source, expected, "at {}", choice.instance);
            homes.push(is_second);
        }
    }
    assert!(homes.contains(&true) && homes.contains(&false));
}
