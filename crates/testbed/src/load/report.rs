//! Outcomes and latencies of a load run.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The outcome of a request as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer whose tokens match the request.
    Answered,
    /// A failure that states that the request has not run.
    RefusedNotRun,
    /// A request with an idempotency key failed after it may have run.
    MayHaveRun,
    /// No complete answer: the connection or the stream broke, or a request that could have been
    /// retried failed after it may have run.
    Lost,
    /// An answer whose tokens are out of order or belong to another request.
    Misordered,
}

/// The result of one request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The outcome.
    pub outcome: Outcome,
    /// Time from the scheduled start to the first token.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub token_gaps: Vec<Duration>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Number of tokens received.
    pub completion_tokens: u64,
    /// Time that the router spent before it called an engine, as it reports it.
    pub router_time: Option<Duration>,
    /// Description of a failure.
    pub detail: Option<String>,
}

/// Percentiles of a distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

impl Percentiles {
    /// Computes the percentiles of a histogram of microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        const MICROS_PER_MILLI: f64 = 1_000.0;
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        Self {
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// Summary of a load run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests sent.
    pub requests: u64,
    /// Requests with a complete, matching answer.
    pub answered: u64,
    /// Requests without a complete answer; see [`Outcome::Lost`].
    pub lost: u64,
    /// Executions of at-most-once requests beyond the first of each. Only a fleet run counts them.
    pub doubled: u64,
    /// Answers whose tokens were out of order or belonged to another request.
    pub misordered: u64,
    /// Requests that failed with the statement that they have not run.
    pub refused_not_run: u64,
    /// Requests with an idempotency key that failed after they may have run.
    pub may_have_run: u64,
    /// Share of the prompt tokens of answered requests that was cached.
    pub prefix_hit_rate: f64,
    /// Time from the scheduled start of a request to its first token.
    pub ttft_ms: Percentiles,
    /// Times between consecutive tokens of an answer.
    pub token_gap_ms: Percentiles,
    /// Prompt tokens of answered requests that were not cached.
    pub recomputed_tokens: u64,
    /// Time that routers spent before they called an engine, as they report it.
    pub router_overhead_ms: Percentiles,
    /// Tokens received.
    pub completion_tokens: u64,
    /// Duration of the run, in seconds.
    pub seconds: f64,
    /// Descriptions of the first failures, at most 10.
    pub failures: Vec<String>,
}

const MAX_FAILURES: usize = 10;

struct Totals {
    report: LoadReport,
    prompt_tokens: u64,
    cached_tokens: u64,
    first_token: Histogram<u64>,
    token_gap: Histogram<u64>,
    router_time: Histogram<u64>,
}

/// Collects samples from several threads.
pub struct Recorder {
    totals: Mutex<Totals>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            totals: Mutex::new(Totals {
                report: LoadReport::default(),
                prompt_tokens: 0,
                cached_tokens: 0,
                first_token: histogram(),
                token_gap: histogram(),
                router_time: histogram(),
            }),
        }
    }
}

/// Creates a histogram of microseconds up to ten minutes.
pub fn histogram() -> Histogram<u64> {
    const TEN_MINUTES_US: u64 = 600_000_000;
    Histogram::new_with_bounds(1, TEN_MINUTES_US, 3).expect("valid histogram bounds")
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record((duration.as_micros() as u64).max(1));
}

impl Recorder {
    /// Adds one sample.
    pub fn add(&self, sample: &Sample) {
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        let report = &mut totals.report;
        report.requests += 1;
        match sample.outcome {
            Outcome::Answered => report.answered += 1,
            Outcome::RefusedNotRun => report.refused_not_run += 1,
            Outcome::MayHaveRun => report.may_have_run += 1,
            Outcome::Lost => report.lost += 1,
            Outcome::Misordered => report.misordered += 1,
        }
        report.completion_tokens += sample.completion_tokens;
        let note = sample.detail.as_ref();
        if let Some(detail) = note.filter(|_| report.failures.len() < MAX_FAILURES) {
            report.failures.push(detail.clone());
        }
        if sample.outcome == Outcome::Answered {
            totals.prompt_tokens += sample.prompt_tokens;
            totals.cached_tokens += sample.cached_tokens;
        }
        if let Some(first_token) = sample.first_token {
            record(&mut totals.first_token, first_token);
        }
        for gap in &sample.token_gaps {
            record(&mut totals.token_gap, *gap);
        }
        if let Some(router_time) = sample.router_time {
            record(&mut totals.router_time, router_time);
        }
    }

    /// Returns the summary of all samples added so far.
    pub fn report(&self, elapsed: Duration) -> LoadReport {
        let totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        let prompt_tokens = totals.prompt_tokens;
        LoadReport {
            prefix_hit_rate: totals.cached_tokens as f64 / prompt_tokens.max(1) as f64,
            recomputed_tokens: prompt_tokens - totals.cached_tokens,
            ttft_ms: Percentiles::of(&totals.first_token),
            token_gap_ms: Percentiles::of(&totals.token_gap),
            router_overhead_ms: Percentiles::of(&totals.router_time),
            seconds: elapsed.as_secs_f64(),
            ..totals.report.clone()
        }
    }
}

impl LoadReport {
    /// Returns true when no request was lost, executed twice or answered with wrong tokens.
    pub fn is_clean(&self) -> bool {
        self.lost == 0 && self.doubled == 0 && self.misordered == 0
    }

    /// Formats the report as text for the terminal.
    pub fn to_text(&self) -> String {
        let percentiles = |name: &str, values: &Percentiles| {
            format!(
                "  {name:<18} p50 {:>9.2}  p95 {:>9.2}  p99 {:>9.2}\n",
                values.p50, values.p95, values.p99
            )
        };
        let mut text = format!(
            "requests {}, answered {}, refused as not run {}, may have run {}\n\
             lost {}, doubled {}, misordered {}\n\
             prefix hit rate {:.3}, recomputed tokens {}, answer tokens {} in {:.1} s\n\
             milliseconds:\n",
            self.requests,
            self.answered,
            self.refused_not_run,
            self.may_have_run,
            self.lost,
            self.doubled,
            self.misordered,
            self.prefix_hit_rate,
            self.recomputed_tokens,
            self.completion_tokens,
            self.seconds,
        );
        text += &percentiles("first token", &self.ttft_ms);
        text += &percentiles("between tokens", &self.token_gap_ms);
        text += &percentiles("router overhead", &self.router_overhead_ms);
        for failure in &self.failures {
            text += &format!("  failure: {failure}\n");
        }
        text
    }
}
