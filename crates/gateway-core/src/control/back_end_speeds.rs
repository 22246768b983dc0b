//! The speeds of back ends: the samples of routers, and the broadcast of the leader's estimates.

use std::collections::BTreeMap;
use std::time::Duration;

use drumshore_consensus::{Directory, Role};
use drumshore_core::Timestamp;
use drumshore_wire::List;

use super::{ControlCore, Effect};
use crate::back_end_speed::{
    BackEndEstimate, CurveEntry, PrefillCurve, SpeedChange, SpeedEntry, SpeedNews, SpeedSample,
};
use crate::{InstanceId, Message, PoolName};

/// Interval between messages to routers.
const INTERVAL: Duration = Duration::from_millis(500);
/// The estimates of all back ends are sent in turn; a new turn begins at most this often.
const TURN_INTERVAL: Duration = Duration::from_secs(5);
/// Limits of one message, which keep all of them below 1 KB/s, out of 14 KB/s for all control traffic.
const MAX_CHANGED: usize = 25;
const MAX_IN_TURN: usize = 25;
const MAX_CURVES: usize = 2;
/// A back end whose time factor differs from 1 by less than this ratio is told as one of mean speed: the networks of
/// zones and unequal work make equal back ends differ by so much.
const TOLD_FROM: f64 = 1.1;
/// A time factor is sent before its turn when it has changed by this ratio.
const CHANGED_BY: f64 = 1.06;
/// A change by this ratio is logged.
const LOGGED_CHANGE: f64 = 1.25;
/// Changes that are logged for one message.
const MAX_LOGGED: usize = 10;

/// What routers were sent, and what is due next.
#[derive(Debug, Default)]
pub(super) struct SpeedBroadcast {
    next_at: Timestamp,
    /// The time factors that routers have; those of other back ends are 1.
    sent: BTreeMap<u32, f64>,
    /// The first key that the current turn has not covered; `None` between two turns.
    cursor: Option<u32>,
    turn_started_at: Option<Timestamp>,
    /// The curves that are due in this turn.
    curves_due: Vec<(PoolName, PrefillCurve)>,
    curves_to_log: Vec<(PoolName, PrefillCurve)>,
    /// The time factors that were logged last; those of other back ends are 1.
    logged: BTreeMap<u32, f64>,
    logged_curves: BTreeMap<PoolName, PrefillCurve>,
}

impl SpeedBroadcast {
    /// The next message to routers; `None` if nothing is due.
    fn next_message(
        &mut self,
        now: Timestamp,
        estimates: &BTreeMap<u32, BackEndEstimate>,
        curves: impl FnOnce() -> Vec<(PoolName, PrefillCurve)>,
    ) -> Option<SpeedNews> {
        let started = self.turn_started_at;
        let is_turn_due = started.is_none_or(|at| now.since(at) >= TURN_INTERVAL);
        if self.cursor.is_none() && is_turn_due {
            self.cursor = Some(0);
            self.turn_started_at = Some(now);
            self.curves_due = curves();
            self.curves_to_log = self.clear_changes_of_curves();
        }
        let mut news = SpeedNews::default();
        let mut listed = self.take_changed(estimates);
        self.take_turn(estimates, &mut news, &mut listed);
        let curves = self.curves_due.len().min(MAX_CURVES);
        let curves = self.curves_due.drain(..curves);
        let curves = curves.map(|(pool, curve)| CurveEntry::new(&pool, &curve));
        news.curves = List::new(curves.collect());
        let entry = |key: u32| {
            let estimate = estimates.get(&key);
            let age = estimate.map_or(Duration::ZERO, |estimate| estimate.age);
            SpeedEntry::new(key, factor_of(estimate), age)
        };
        news.back_ends = List::new(listed.into_iter().map(entry).collect());
        (!news.is_empty()).then_some(news)
    }

    /// The back ends whose time factor has changed clearly since it was sent.
    fn take_changed(&mut self, estimates: &BTreeMap<u32, BackEndEstimate>) -> Vec<u32> {
        let sent = &self.sent;
        let ratio = |key: u32| {
            let sent = sent.get(&key).copied().unwrap_or(1.0);
            ratio_between(factor_of(estimates.get(&key)), sent)
        };
        let gone = sent.keys().filter(|key| !estimates.contains_key(key));
        let keys = estimates.keys().chain(gone).copied();
        let changed = keys.map(|key| (ratio(key), key));
        let mut changed: Vec<(f64, u32)> =
            changed.filter(|(ratio, _)| *ratio >= CHANGED_BY).collect();
        // Among equal changes the highest keys first, because the turn begins at the lowest.
        changed.sort_by(|one, other| other.0.total_cmp(&one.0).then(other.1.cmp(&one.1)));
        changed.truncate(MAX_CHANGED);
        let keys: Vec<u32> = changed.into_iter().map(|(_, key)| key).collect();
        for key in &keys {
            self.note_sent(*key, factor_of(estimates.get(key)));
        }
        keys
    }

    /// Adds the next part of the turn: a range of keys, and those in it that differ from 1.
    fn take_turn(
        &mut self,
        estimates: &BTreeMap<u32, BackEndEstimate>,
        news: &mut SpeedNews,
        listed: &mut Vec<u32>,
    ) {
        let Some(first) = self.cursor else {
            return;
        };
        let differs = |estimate: &BackEndEstimate| factor_of(Some(estimate)) != 1.0;
        let rest = estimates.range(first..);
        let mut rest = rest.filter(|(_, estimate)| differs(estimate));
        let part: Vec<u32> = rest
            .by_ref()
            .take(MAX_IN_TURN)
            .map(|(key, _)| *key)
            .collect();
        let has_more = rest.next().is_some();
        let last = part.last().copied().filter(|_| has_more);
        let last = last.unwrap_or(u32::MAX);
        self.cursor = has_more.then(|| last.saturating_add(1));
        (news.first, news.last) = (first, last);
        let covered: Vec<u32> = self.sent.range(first..=last).map(|(key, _)| *key).collect();
        for key in covered {
            self.sent.remove(&key);
        }
        // A back end that has just changed may be listed although it is close to 1.
        let changed = listed.iter().filter(|key| (first..=last).contains(*key));
        let keys: Vec<u32> = changed.chain(&part).copied().collect();
        for key in keys {
            self.note_sent(key, factor_of(estimates.get(&key)));
            if !listed.contains(&key) {
                listed.push(key);
            }
        }
    }

    fn note_sent(&mut self, key: u32, factor: f64) {
        if factor == 1.0 {
            self.sent.remove(&key);
        } else {
            self.sent.insert(key, factor);
        }
    }

    /// The changes to log: each with its key, the factor that was logged before, and the new estimate.
    fn take_logged(
        &mut self,
        estimates: &BTreeMap<u32, BackEndEstimate>,
    ) -> Vec<(u32, f64, BackEndEstimate)> {
        self.logged.retain(|key, _| estimates.contains_key(key));
        let logged = &self.logged;
        let changes = estimates.iter().map(|(key, estimate)| {
            let before = logged.get(key).copied().unwrap_or(1.0);
            (*key, before, *estimate)
        });
        let clear = changes.filter(|(_, before, estimate)| {
            ratio_between(estimate.time_factor, *before) >= LOGGED_CHANGE
        });
        let clear: Vec<_> = clear.take(MAX_LOGGED).collect();
        for (key, _, estimate) in &clear {
            self.logged.insert(*key, estimate.time_factor);
        }
        clear
    }
}

/// The time that an uncached prompt of this length takes tells whether a curve has changed.
const TYPICAL_TOKENS: u32 = 10_000;

impl SpeedBroadcast {
    /// The curves that differ clearly from those logged before.
    fn clear_changes_of_curves(&mut self) -> Vec<(PoolName, PrefillCurve)> {
        let time = |curve: &PrefillCurve| curve.occupancy(0, TYPICAL_TOKENS).as_secs_f64();
        let due = self.curves_due.iter().filter(|(pool, curve)| {
            let logged = self.logged_curves.get(pool);
            logged.is_none_or(|logged| ratio_between(time(curve), time(logged)) >= LOGGED_CHANGE)
        });
        let changed: Vec<_> = due.take(MAX_LOGGED).cloned().collect();
        self.logged_curves.extend(changed.iter().cloned());
        changed
    }
}

/// The time factor that routers are told.
fn factor_of(estimate: Option<&BackEndEstimate>) -> f64 {
    let factor = estimate.map_or(1.0, |estimate| estimate.time_factor);
    if ratio_between(factor, 1.0) < TOLD_FROM {
        1.0
    } else {
        factor
    }
}

fn ratio_between(one: f64, other: f64) -> f64 {
    (one / other).max(other / one)
}

impl<D: Directory> ControlCore<D> {
    /// Processes the samples of a router. Only the leader learns from them.
    pub(super) fn on_speed_samples(&mut self, samples: &[SpeedSample]) {
        if self.role() == Role::Leader {
            self.speeds.add(self.now, samples);
        }
    }

    /// Takes over the estimates of the leader, in case this machine becomes the next one.
    pub(super) fn on_speed_news(&mut self, news: &SpeedNews) {
        self.speeds.update_back_ends(&self.state);
        self.speeds.inherit(self.now, news);
    }

    /// Sends routers the estimates that are due, and logs those that have changed clearly.
    pub(super) fn broadcast_speeds(&mut self) {
        if self.now < self.speed_broadcast.next_at {
            return;
        }
        self.speed_broadcast.next_at = self.now.plus(INTERVAL);
        self.speeds.update_back_ends(&self.state);
        self.speeds.update();
        let estimates = self.speeds.estimates(self.now);
        let speeds = &self.speeds;
        let curves = || {
            let curves = speeds.curves();
            curves.map(|(pool, curve)| (pool.clone(), curve)).collect()
        };
        let news = self
            .speed_broadcast
            .next_message(self.now, &estimates, curves);
        for (key, before, estimate) in self.speed_broadcast.take_logged(&estimates) {
            if let Some(instance) = self.speeds.instance(key) {
                let instance = instance.clone();
                let change = SpeedChange::BackEnd {
                    instance,
                    before,
                    estimate,
                };
                self.effects.push(Effect::SpeedChanged(change));
            }
        }
        for (pool, curve) in std::mem::take(&mut self.speed_broadcast.curves_to_log) {
            let change = SpeedChange::Curve { pool, curve };
            self.effects.push(Effect::SpeedChanged(change));
        }
        if let Some(news) = news {
            self.broadcast_news(Message::BackEndSpeeds(news), None);
        }
    }

    /// The estimated speeds of back ends, as far as this machine knows them.
    pub fn back_end_speeds(&self) -> Vec<(InstanceId, BackEndEstimate)> {
        let estimates = self.speeds.estimates(self.now).into_iter();
        let named = estimates.filter_map(|(key, estimate)| {
            let instance = self.speeds.instance(key)?;
            Some((instance.clone(), estimate))
        });
        named.collect()
    }
}

#[cfg(test)]
#[path = "back_end_speeds_tests.rs"]
mod tests;
