//! A back end announces one rate limit for all routers together; routers keep to it without communicating with one
//! another.

#[path = "limits_of_back_ends/mod.rs"]
mod limits_of_back_ends;

use limits_of_back_ends::strategies::{self, STRATEGIES};
use limits_of_back_ends::{allowed, Fleet, Scenario, Tally};

const SEEDS: u64 = 3;
const ROUTERS: [usize; 4] = [7, 40, 300, 985];
/// In requests a second.
const LIMITS: [f64; 5] = [0.1, 1.0, 5.0, 20.0, 100.0];
const SCENARIOS: [Scenario; 3] = [
    Scenario::Undisturbed,
    Scenario::Restarts,
    Scenario::MiscountedByHalf,
];
/// Rates of the callers, as multiples of the limit.
const DEMANDS: [f64; 2] = [3.0, 30.0];

/// Guards against routers that together exceed the limit of a back end. After 20 idle seconds callers send 3 or 30 times
/// the limit. In any 4 s the back end receives no more than the users allow, with any number of routers, also while
/// routers restart or receive a wrong number of routers.
///
/// Routers that ignored a limit of one a second sent 21 to 28 requests in 4 s at three times the limit, where 11 are
/// allowed.
#[test]
fn routers_without_coordination_keep_to_a_shared_limit() {
    let mut violations = Vec::new();
    for routers in ROUTERS {
        for limit in LIMITS {
            for scenario in SCENARIOS {
                for demand in DEMANDS {
                    let tallies = (1..=SEEDS)
                        .map(|seed| Fleet::new(routers, limit, scenario, seed).run(demand * limit));
                    let max_in_window = tallies.map(|tally| tally.max_in_window).max().unwrap();
                    if max_in_window > allowed(limit) {
                        violations.push(format!(
                            "{routers} routers, limit {limit}, {scenario:?}, {demand} times: {max_in_window} sent, {} allowed",
                            allowed(limit)
                        ));
                    }
                }
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
#[ignore = "prints figures; asserts nothing"]
fn table_of_strategies() {
    const SEEDS: u64 = 20;
    let print = |name: &str, demand: f64, run: &dyn Fn(usize, f64, u64) -> Tally| {
        for routers in ROUTERS {
            let cells = LIMITS.map(|limit| {
                let tallies: Vec<Tally> =
                    (1..=SEEDS).map(|seed| run(routers, limit, seed)).collect();
                let max_in_window = tallies
                    .iter()
                    .map(|tally| tally.max_in_window)
                    .max()
                    .unwrap();
                let violations = tallies
                    .iter()
                    .filter(|tally| tally.max_in_window > allowed(limit));
                let used_fraction: f64 = tallies.iter().map(|tally| tally.used_fraction).sum();
                format!(
                    "{:.2} ({} over the limit, {:.2} used)",
                    max_in_window as f64 / allowed(limit) as f64,
                    violations.count(),
                    used_fraction / SEEDS as f64
                )
            });
            println!(
                "{demand} times the limit; {name}; {routers} routers: {}",
                cells.join("; ")
            );
        }
    };
    for demand in DEMANDS {
        for strategy in STRATEGIES {
            print(&format!("{strategy:?}"), demand, &|routers, limit, seed| {
                strategies::run(strategy, routers, limit, demand * limit, seed)
            });
        }
        print("as implemented", demand, &|routers, limit, seed| {
            Fleet::new(routers, limit, Scenario::Undisturbed, seed).run(demand * limit)
        });
    }
}
