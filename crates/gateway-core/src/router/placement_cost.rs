//! What it costs to place a prompt on a back end, in milliseconds: the expected time until the response begins, the
//! risk that this is after the route's target, and the delay of other requests.

use std::time::Duration;

use super::endpoint::Endpoint;
use crate::back_end_speed::PrefillCurve;
use crate::ModelPool;

/// A stream slows the other requests at its back end by about as much as the prefill of this many tokens.
const STREAM_COST_TOKENS: f64 = 60.0;
/// Weight of the time for which the prefill of a prompt stalls one stream at its back end.
const STALLED_STREAM_WEIGHT: f64 = 0.01;
/// The response is almost certainly in time if it is expected within this fraction of the target. What other
/// routers have sent in the last few hundred milliseconds is not known.
const SAFE_FRACTION_OF_TARGET: f64 = 0.7;
/// The response is almost certainly late if it is expected after this multiple of the target.
const LATE_MULTIPLE_OF_TARGET: f64 = 1.2;
/// Cost of a second copy of parts that can be fetched, as a multiple of the cost of their prefill, for a prompt that is
/// late at its home: the copy displaces other prompts, some of which have to be prefilled again.
const SECOND_COPY_FACTOR: f64 = 0.35;
/// The same for a prompt that is in time at its home. It gains nothing elsewhere.
const NEEDLESS_COPY_FACTOR: f64 = 1.9;
/// Cost of prefilling, away from the home, parts that no cache holds, as a multiple of the cost of their prefill: another
/// router that needs them, too, has them prefilled at the home, and the pool has that much less time for others.
const SECOND_PREFILL_FACTOR: f64 = 2.0;
/// Cost of placing a prompt outside its partition, as a fraction of the prefill of a long prompt: long prompts delay
/// the short ones there, and short ones wait behind the long ones that follow them.
const OTHER_PARTITION_FACTOR: f64 = 0.3;
/// Mean age of the other routers' loads: long prompts are reported at once, short ones at an interval. Back ends have
/// worked on the pending prompts since then, so that those with little to do have done it.
const REPORT_AGE: Duration = Duration::from_millis(50);
/// Time to fetch a token, in microseconds, in a pool that does not state the size of a token and its bandwidth.
const DEFAULT_FETCH_US_PER_TOKEN: f64 = 1.2;

/// Time in microseconds in which a back end of a pool fetches one cached token from another one.
pub(super) fn fetch_us_per_token(models: Option<&ModelPool>) -> f64 {
    let stated =
        models.filter(|models| models.token_bytes > 0 && models.link_megabits_per_second > 0);
    stated.map_or(DEFAULT_FETCH_US_PER_TOKEN, |models| {
        models.token_bytes as f64 * 8.0 / models.link_megabits_per_second as f64
    })
}

/// What is known of a prompt and its pool before a back end is chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptProfile {
    /// The prompt is prefilled in one chunk, between the chunks of long prompts.
    pub is_short: bool,
    pub curve: PrefillCurve,
    pub fetch_us_per_token: f64,
    /// Time in which the response should begin; zero if the route has no target.
    pub target: Duration,
    /// Mean time for which a stream of the pool occupies a slot.
    pub slot_time: Duration,
    /// Mean prefill of the pool's long prompts, in tokens.
    pub long_prefill_tokens: f64,
    /// The probability that the prompt is late at its home; 1 if it has none.
    pub risk_at_home: f64,
}

/// What one back end has to do for a prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work {
    /// Tokens before those to prefill.
    pub cached: u32,
    pub to_prefill: u32,
    /// Tokens that it fetches from another cache.
    pub to_fetch: u32,
    /// Shared tokens that no cache holds.
    pub missing: u32,
}

/// Where a prompt would run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Site<'a> {
    pub endpoint: &'a Endpoint,
    pub work: Work,
    pub is_home: bool,
    pub in_own_partition: bool,
}

/// What a router expects of a placement, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Time until the response begins.
    pub begins_in: Duration,
    /// The part of it that is spent waiting for other requests.
    pub queue: Duration,
    /// The back end is in the partition for prompts of this length.
    pub in_own_partition: bool,
}

impl PromptProfile {
    /// Time for which a back end of mean speed is occupied by the prefill, in milliseconds.
    fn prefill_ms(&self, work: &Work) -> f64 {
        let occupancy = self.curve.occupancy(work.cached, work.to_prefill);
        occupancy.as_secs_f64() * 1e3
    }

    /// The number of tokens without any before them that take as long to prefill.
    pub fn equivalent_tokens(&self, work: &Work) -> u32 {
        let tokens = self.prefill_ms(work) * 1e3 / self.curve.us_per_token;
        (tokens.round() as u32).max(work.to_prefill)
    }

    /// Whether an idle back end would answer in time.
    pub fn is_in_time_if_idle(&self, site: &Site<'_>) -> bool {
        let own = self.prefill_ms(&site.work) * site.endpoint.time_factor;
        let begins = self.latency_ms() + own + self.fetch_ms(&site.work);
        self.target.is_zero() || begins <= self.target_ms() * SAFE_FRACTION_OF_TARGET
    }

    pub fn forecast(&self, site: &Site<'_>) -> Forecast {
        let queue = self.queue_ms(site.endpoint);
        let duration = |ms: f64| Duration::from_secs_f64(ms.max(0.0) / 1e3);
        Forecast {
            begins_in: duration(self.begins_in_ms(site, queue)),
            queue: duration(queue),
            in_own_partition: site.in_own_partition,
        }
    }

    /// The probability that the response is late.
    pub fn risk_at(&self, site: &Site<'_>) -> f64 {
        self.risk(self.begins_in_ms(site, self.queue_ms(site.endpoint)))
    }

    /// The cost of a placement, in milliseconds. A prompt that is in time anyway gains nothing from a back end that is
    /// faster than the mean, and so leaves it to prompts that need it.
    pub fn cost_ms(&self, site: &Site<'_>) -> f64 {
        let endpoint = site.endpoint;
        let queue = self.queue_ms(endpoint);
        let prefill = self.prefill_ms(&site.work);
        let own = prefill * endpoint.time_factor.max(1.0);
        let late = self.risk(self.begins_in_ms(site, queue)) * self.target_ms();
        let streams = f64::from(endpoint.all_in_flight());
        let stalled = streams * prefill * endpoint.time_factor * STALLED_STREAM_WEIGHT;
        let placement = self.away_ms(site) + self.other_partition_ms(site, prefill);
        queue + own + self.fetch_ms(&site.work) + late + stalled + placement
    }

    fn begins_in_ms(&self, site: &Site<'_>, queue: f64) -> f64 {
        let own = self.prefill_ms(&site.work) * site.endpoint.time_factor;
        self.latency_ms() + queue + own + self.fetch_ms(&site.work)
    }

    /// Expected wait for other requests' prefill and for a slot.
    fn queue_ms(&self, endpoint: &Endpoint) -> f64 {
        let streams = f64::from(endpoint.all_in_flight()) * STREAM_COST_TOKENS;
        let since_report =
            REPORT_AGE.as_secs_f64() * 1e6 / (self.curve.us_per_token * endpoint.time_factor);
        let tokens = endpoint.tokens_ahead(self.is_short, since_report) + streams;
        let slot_time = self.slot_time.as_secs_f64() * 1e3;
        let slot = endpoint.slot_releases_ahead() * slot_time;
        (self.tokens_ms(tokens) + slot) * endpoint.time_factor
    }

    fn away_ms(&self, site: &Site<'_>) -> f64 {
        if site.is_home {
            return 0.0;
        }
        let needless = NEEDLESS_COPY_FACTOR * (1.0 - self.risk_at_home);
        let copy_factor = needless + SECOND_COPY_FACTOR * self.risk_at_home;
        let prefill_ms = |tokens| self.curve.occupancy(0, tokens).as_secs_f64() * 1e3;
        let copied = prefill_ms(site.work.to_fetch) * copy_factor;
        copied + prefill_ms(site.work.missing) * SECOND_PREFILL_FACTOR
    }

    fn other_partition_ms(&self, site: &Site<'_>, prefill: f64) -> f64 {
        let long_prefill = if self.is_short {
            self.tokens_ms(self.long_prefill_tokens)
        } else {
            prefill
        };
        if site.in_own_partition {
            0.0
        } else {
            long_prefill * OTHER_PARTITION_FACTOR
        }
    }

    /// The probability that a response which is expected after this time misses the target.
    fn risk(&self, begins_in_ms: f64) -> f64 {
        if self.target.is_zero() {
            return 0.0;
        }
        let multiple = begins_in_ms / self.target_ms();
        let range = LATE_MULTIPLE_OF_TARGET - SAFE_FRACTION_OF_TARGET;
        ((multiple - SAFE_FRACTION_OF_TARGET) / range).clamp(0.0, 1.0)
    }

    fn fetch_ms(&self, work: &Work) -> f64 {
        f64::from(work.to_fetch) * self.fetch_us_per_token / 1e3
    }

    fn tokens_ms(&self, tokens: f64) -> f64 {
        tokens * self.curve.us_per_token / 1e3
    }

    fn latency_ms(&self) -> f64 {
        self.curve.latency.as_secs_f64() * 1e3
    }

    fn target_ms(&self) -> f64 {
        self.target.as_secs_f64() * 1e3
    }
}

#[cfg(test)]
#[path = "placement_cost_tests.rs"]
mod tests;
