//! What came of a load.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// How one request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer to this very request.
    Answered,
    /// A refusal that says "not run".
    RefusedNotRun,
    /// Work that may not be repeated ended in a clear "may have run".
    MayHaveRun,
    /// No whole answer and no clear word, or a failure of work that could have been repeated.
    Lost,
    /// An answer that is not the one to this request, or is out of order.
    Misordered,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// How it ended.
    pub outcome: Outcome,
    /// From when it was due to the first token.
    pub first_token: Option<Duration>,
    /// Between tokens.
    pub token_gaps: Vec<Duration>,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Of these, cached.
    pub cached_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// What the router says it spent before it called an engine.
    pub router_time: Option<Duration>,
    /// What a failure said.
    pub detail: Option<String>,
}

/// A few points of a distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Half are below.
    pub p50: f64,
    /// 95 of 100 are below.
    pub p95: f64,
    /// 99 of 100 are below.
    pub p99: f64,
}

impl Percentiles {
    /// Reads them off a histogram of microseconds.
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

/// What came of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests made.
    pub requests: u64,
    /// Answered whole.
    pub answered: u64,
    /// Ended without a whole answer or a clear word.
    pub lost: u64,
    /// Executions of work that may not be repeated beyond the first.
    pub doubled: u64,
    /// Answers that were not to the request, or out of order.
    pub misordered: u64,
    /// Refused before they ran.
    pub refused_not_run: u64,
    /// Work that may not be repeated, ended in a clear "may have run".
    pub may_have_run: u64,
    /// Cached share of the prompt tokens of answered requests.
    pub prefix_hit_rate: f64,
    /// From when a request was due to its first token.
    pub ttft_ms: Percentiles,
    /// Between the tokens of an answer.
    pub token_gap_ms: Percentiles,
    /// Prompt tokens computed.
    pub recomputed_tokens: u64,
    /// What routers say they spent before they called an engine.
    pub router_overhead_ms: Percentiles,
    /// Tokens of answers.
    pub completion_tokens: u64,
    /// How long it took, in seconds.
    pub seconds: f64,
    /// A few failures in words.
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

/// Gathers samples from many threads.
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

/// A histogram of microseconds up to ten minutes.
pub fn histogram() -> Histogram<u64> {
    const TEN_MINUTES_US: u64 = 600_000_000;
    Histogram::new_with_bounds(1, TEN_MINUTES_US, 3).expect("the bounds are in order")
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

    /// Everything added so far.
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
    /// True when nothing happened that the brief forbids.
    pub fn is_clean(&self) -> bool {
        self.lost == 0 && self.doubled == 0 && self.misordered == 0
    }

    /// The report for people.
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
