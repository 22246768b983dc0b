//! The command `drumshore-lab bench`.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use pico_args::Arguments;
use serde::Serialize;

use super::routing::{record_trace, run_policy, PolicyReport, RoutingBench, POLICIES};
use super::streams::StreamsParams;
use super::{decision, log, streams};
use crate::cli::{finish, write_json, LabError};
use crate::replay::write_lines;
use crate::workload::Profile;

pub(crate) fn main(mut arguments: Arguments) -> Result<bool, LabError> {
    let what = arguments.subcommand()?.unwrap_or_default();
    match what.as_str() {
        "routing" => run_routing(arguments),
        "decision" => run_decision(arguments),
        "log" => run_log(arguments),
        "streams" => run_streams(arguments),
        other => Err(LabError::Usage(format!(
            "unknown bench {other:?}; expected routing, decision, log or streams"
        ))),
    }
}

/// Results of all policies for one seed.
#[derive(Serialize)]
struct RoutingReport {
    workload: String,
    seed: u64,
    policies: Vec<PolicyReport>,
}

fn run_routing(mut arguments: Arguments) -> Result<bool, LabError> {
    let workload_name: String = arguments.value_from_str("--workload")?;
    let profile = Profile::from_name(&workload_name)
        .ok_or_else(|| LabError::Usage(format!("unknown workload {workload_name:?}")))?;
    let seed: u64 = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    let mut bench = RoutingBench::of(profile);
    if let Some(seconds) = arguments.opt_value_from_str("--seconds")? {
        bench.duration = Duration::from_secs(seconds);
    }
    if let Some(rate) = arguments.opt_value_from_str("--rate")? {
        bench.requests_per_second = rate;
    }
    let scheduler: Option<String> = arguments.opt_value_from_str("--scheduler")?;
    if let Some(scheduler) = scheduler {
        bench.scheduler = serde_json::from_str(&scheduler)?;
    }
    let record: Option<PathBuf> = arguments.opt_value_from_str("--record")?;
    finish(arguments)?;
    if let Some(file) = record {
        let trace = record_trace(&bench, seed);
        println!("{} events recorded", trace.len());
        write_lines(&file, &trace)?;
        return Ok(true);
    }
    let bench = &bench;
    let policies: Vec<PolicyReport> = thread::scope(|scope| {
        let running: Vec<_> = POLICIES
            .into_iter()
            .map(|policy| scope.spawn(move || run_policy(bench, policy, seed)))
            .collect();
        running
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect()
    });
    print!("{}", routing_table(&policies));
    let report = RoutingReport {
        workload: workload_name,
        seed,
        policies,
    };
    write_json(json.as_deref(), &report)?;
    Ok(true)
}

fn routing_table(policies: &[PolicyReport]) -> String {
    let mut text = format!(
        "{:<14}{:>9}{:>8}{:>10}{:>10}{:>10}{:>14}{:>9}{:>9}\n",
        "policy", "requests", "hits", "p50 ms", "p95 ms", "p99 ms", "recomputed", "B/s", "ns"
    );
    for report in policies {
        text += &format!(
            "{:<14}{:>9}{:>8.3}{:>10.1}{:>10.1}{:>10.1}{:>14}{:>9.0}{:>9.0}\n",
            report.policy,
            report.requests,
            report.prefix_hit_rate,
            report.ttft_ms.p50,
            report.ttft_ms.p95,
            report.ttft_ms.p99,
            report.recomputed_tokens,
            report.control_bytes_per_second_per_node,
            report.decision_ns,
        );
    }
    let named = |name: &str| policies.iter().find(|report| report.policy == name);
    if let (Some(product), Some(oracle)) = (named("product"), named("oracle")) {
        text += &format!(
            "product to oracle: hits {:.3}, p99 {:.3}, recomputed {:.3}\n",
            product.prefix_hit_rate / oracle.prefix_hit_rate,
            product.ttft_ms.p99 / oracle.ttft_ms.p99,
            product.recomputed_tokens as f64 / oracle.recomputed_tokens as f64,
        );
    }
    text
}

fn run_decision(mut arguments: Arguments) -> Result<bool, LabError> {
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    finish(arguments)?;
    let reports: Vec<_> = [60, 240, 475, 950, 1_900]
        .into_iter()
        .map(|engines| decision::measure(engines, 1))
        .collect();
    println!("engines   mean us   p50 us   p95 us   p99 us");
    for report in &reports {
        println!(
            "{:>7} {:>9.2} {:>8.2} {:>8.2} {:>8.2}",
            report.engines,
            report.mean_us,
            report.microseconds.p50,
            report.microseconds.p95,
            report.microseconds.p99
        );
    }
    write_json(json.as_deref(), &reports)?;
    Ok(true)
}

fn run_log(mut arguments: Arguments) -> Result<bool, LabError> {
    let seconds: u64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(3);
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    let folder: Option<PathBuf> = arguments.opt_value_from_str("--folder")?;
    finish(arguments)?;
    let folder = folder.unwrap_or_else(std::env::temp_dir);
    let folder = folder.join(format!("drumshore-log-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let report = log::measure(&folder, Duration::from_secs(seconds))
        .map_err(|error| LabError::Usage(error.to_string()))?;
    std::fs::remove_dir_all(&folder)?;
    println!(
        "raw syncs of 256 bytes: {:.0} a second",
        report.syncs_per_second
    );
    for commits in &report.commits {
        println!(
            "three replicas, {:>3} at once: {:>8.0} commits a second, {:.2} of the raw syncs, \
             p50 {:.2} ms, p99 {:.2} ms",
            commits.batch,
            commits.commits_per_second,
            commits.ratio_to_syncs,
            commits.commit_ms.p50,
            commits.commit_ms.p99
        );
    }
    for (entries, milliseconds) in &report.recovery_ms {
        println!("opening a log of {entries} entries: {milliseconds:.1} ms");
    }
    write_json(json.as_deref(), &report)?;
    Ok(true)
}

fn run_streams(mut arguments: Arguments) -> Result<bool, LabError> {
    let seconds: u64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(20);
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    let short = arguments.contains("--short");
    // The load of one node: 111 requests a second, 230 tokens each, 47 ms apart.
    let params = StreamsParams {
        requests_per_second: arguments.opt_value_from_str("--rate")?.unwrap_or(if short {
            2_000.0
        } else {
            111.0
        }),
        output_tokens: if short { 20 } else { 230 },
        token_gap_us: if short { 0.0 } else { 47_000.0 },
        duration: Duration::from_secs(seconds),
    };
    finish(arguments)?;
    let folder = std::env::temp_dir().join(format!("drumshore-streams-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let report =
        streams::measure(&folder, params).map_err(|error| LabError::Usage(error.to_string()))?;
    std::fs::remove_dir_all(&folder)?;
    println!("direct:\n{}", report.direct.to_text());
    println!("through the router:\n{}", report.routed.to_text());
    println!(
        "router: {:.2} of a core, {:.0} MB resident",
        report.router.cpu_percent / 100.0,
        report.router.resident_mb
    );
    write_json(json.as_deref(), &report)?;
    Ok(report.direct.is_clean() && report.routed.is_clean())
}
