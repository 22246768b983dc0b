//! Command line of `drumshore-lab sim`.

use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Instant;

use drumshore_guard::Guard;
use pico_args::Arguments;
use serde::Serialize;

use super::cluster::SimReport;
use super::scenarios::{Scenario, SCENARIOS};
use super::shrink::shrink;
use crate::cli::{finish, write_json, LabError};

/// Maximum number of failing runs whose details are printed.
const MAX_SHOWN_RUNS: usize = 3;

struct Options {
    scenarios: Vec<Scenario>,
    seed: u64,
    seeds: u64,
    without: Option<Guard>,
    json: Option<PathBuf>,
}

/// Result of one scenario with one seed.
#[derive(Serialize)]
struct Run {
    scenario: &'static str,
    seed: u64,
    #[serde(flatten)]
    report: SimReport,
}

pub(crate) fn main(mut arguments: Arguments) -> Result<bool, LabError> {
    if arguments.contains("--list") {
        for scenario in SCENARIOS {
            println!("{:<20} {}", scenario.name, scenario.about);
        }
        return Ok(true);
    }
    if arguments.contains("--list-guards") {
        for guard in Guard::ALL {
            println!("{:<24}{}", guard.as_str(), guard.description());
        }
        return Ok(true);
    }
    let options = parse(arguments)?;
    let started = Instant::now();
    let runs = run_all(&options);
    let elapsed = started.elapsed().as_secs_f64();
    print_summary(&options, &runs, elapsed);
    write_json(options.json.as_deref(), &runs)?;
    Ok(runs.iter().all(|run| run.report.failures.is_empty()))
}

fn parse(mut arguments: Arguments) -> Result<Options, LabError> {
    let name: String = arguments
        .opt_value_from_str("--scenario")?
        .unwrap_or_else(|| "all".to_owned());
    let scenarios = if name == "all" {
        SCENARIOS.to_vec()
    } else {
        let scenario = Scenario::from_name(&name);
        vec![scenario
            .ok_or_else(|| LabError::Usage(format!("unknown scenario {name:?}; see --list")))?]
    };
    let without: Option<String> = arguments.opt_value_from_str("--without")?;
    let without = without
        .map(|word| word.parse::<Guard>())
        .transpose()
        .map_err(|error| LabError::Usage(error.to_string()))?;
    if without.is_some() && !cfg!(feature = "guards") {
        let message =
            "--without requires a build with --features guards; others cannot disable any";
        return Err(LabError::Usage(message.to_owned()));
    }
    let options = Options {
        scenarios,
        seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
        seeds: arguments.opt_value_from_str("--seeds")?.unwrap_or(1),
        without,
        json: arguments.opt_value_from_str("--json")?,
    };
    finish(arguments)?;
    Ok(options)
}

/// Runs all scenarios and seeds on all cores; the results are ordered by scenario, then by seed.
fn run_all(options: &Options) -> Vec<Run> {
    let jobs: Vec<(Scenario, u64)> = options
        .scenarios
        .iter()
        .flat_map(|scenario| (0..options.seeds).map(|n| (*scenario, options.seed + n)))
        .collect();
    let next = AtomicUsize::new(0);
    let runs = Mutex::new(Vec::new());
    let threads = thread::available_parallelism().map_or(1, |count| count.get());
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let position = next.fetch_add(1, Ordering::SeqCst);
                let Some((scenario, seed)) = jobs.get(position) else {
                    return;
                };
                let report = scenario.run(*seed, options.without);
                let run = Run {
                    scenario: scenario.name,
                    seed: *seed,
                    report,
                };
                let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
                runs.push((position, run));
            });
        }
    });
    let mut runs = runs.into_inner().unwrap_or_else(PoisonError::into_inner);
    runs.sort_by_key(|(position, _)| *position);
    runs.into_iter().map(|(_, run)| run).collect()
}

fn print_summary(options: &Options, runs: &[Run], elapsed: f64) {
    for scenario in &options.scenarios {
        let of_scenario = || runs.iter().filter(|run| run.scenario == scenario.name);
        let failed = of_scenario().filter(|run| !run.report.failures.is_empty());
        let sum =
            |value: fn(&SimReport) -> u64| of_scenario().map(|run| value(&run.report)).sum::<u64>();
        println!(
            "{:<20} {:>4} runs, {:>3} failed; asked {:>6}, answered {:>6}, tries {:>6}, changes {:>6}",
            scenario.name,
            of_scenario().count(),
            failed.count(),
            sum(|report| report.asked),
            sum(|report| report.answered),
            sum(|report| report.tries),
            sum(|report| report.changes),
        );
    }
    let failing = runs.iter().filter(|run| !run.report.failures.is_empty());
    for run in failing.take(MAX_SHOWN_RUNS) {
        print_failure(options, run);
    }
    let virtual_seconds: f64 = runs.iter().map(|run| run.report.virtual_seconds).sum();
    println!(
        "{} runs, {virtual_seconds:.0} virtual seconds in {elapsed:.1} s ({:.0} a second)",
        runs.len(),
        virtual_seconds / elapsed.max(1e-9),
    );
    if let [run] = runs {
        println!("trace hash {}", run.report.trace_hash);
    }
}

fn print_failure(options: &Options, run: &Run) {
    let guard = options.without.map_or(String::new(), |guard| {
        format!(" --without {}", guard.as_str())
    });
    println!(
        "\nrepeat: drumshore-lab sim --scenario {} --seed {}{guard}",
        run.scenario, run.seed
    );
    for failure in &run.report.failures {
        let seconds = failure.at as f64 / 1e6;
        println!(
            "  {seconds:9.4} {:?}: {}",
            failure.invariant, failure.detail
        );
    }
    let Some(first) = run.report.failures.first() else {
        return;
    };
    let Some(scenario) = Scenario::from_name(run.scenario) else {
        return;
    };
    let Some(plan) = scenario.plan(run.seed) else {
        return;
    };
    let smallest = shrink(&plan, run.seed, options.without, first.invariant);
    println!("  faults needed to reproduce the first failure:");
    for timed in &smallest.faults {
        println!("  {:9.4} {}", timed.at.0 as f64 / 1e6, timed.fault);
    }
    println!("  the last events:");
    for line in run.report.last_lines.iter().rev().take(25).rev() {
        println!("  {line}");
    }
}
