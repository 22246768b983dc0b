//! Tests that the clock counts the time for which the machine is suspended.

use std::cell::Cell;
use std::time::Instant;

use drumshore_gateway_core::{Changes, Refusal, RequestHead, RouterCore, RouterParams};
use drumshore_wire::{Blob, List};

use super::*;

thread_local! {
    static SINCE_BOOT: Cell<Duration> = const { Cell::new(Duration::from_secs(1_000)) };
}

/// Replaces reading the system's clock; time passes only by [`suspend`].
fn simulated() -> Duration {
    SINCE_BOOT.get()
}

fn suspend(duration: Duration) {
    SINCE_BOOT.set(SINCE_BOOT.get() + duration);
}

#[test]
fn the_clock_counts_from_its_start_and_is_never_zero() {
    let clock = Clock::start_with(simulated);
    assert_eq!(clock.now(), Timestamp(1));
    suspend(Duration::from_millis(3));
    assert_eq!(clock.now(), Timestamp(3_001));
}

/// The clock that is read includes suspension: it is never behind the monotonic clock, and advances like it while the
/// machine is not suspended.
#[test]
fn the_time_since_boot_is_read_from_the_system() {
    let monotonic = clock_gettime(ClockId::CLOCK_MONOTONIC).unwrap();
    assert!(time_since_boot() >= Duration::from(monotonic));
    let begun = Instant::now();
    let clock = Clock::start();
    while clock.now() < Timestamp(2_000) {
        std::thread::yield_now();
    }
    assert!(begun.elapsed() >= Duration::from_micros(1_999));
}

/// Guards against a router that trusts an outdated view after a suspension, because the monotonic clock has not
/// advanced.
#[test]
fn a_view_is_unconfirmed_after_a_suspension() {
    const LEASE: Duration = Duration::from_secs(4);
    let clock = Clock::start_with(simulated);
    let mut router = RouterCore::new(
        RouterParams {
            zone: "zone".to_owned(),
            key_lease: LEASE,
            absence_lease: LEASE,
            version_grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: Duration::from_secs(10),
        },
        1,
    );
    let changes = Changes {
        revision: 1,
        configuration: List::new(vec![Blob::new(Vec::new())]),
        ..Changes::default()
    };
    let document = drumshore_gateway_core::Document::default();
    router
        .apply(clock.now(), changes, |_| Ok(document))
        .unwrap();
    router.on_confirmed(clock.now(), 1, 1);
    let refusal = |router: &mut RouterCore| {
        router
            .admit(clock.now(), RequestHead::default())
            .unwrap_err()
    };
    assert_eq!(refusal(&mut router), Refusal::NoRoute);
    suspend(LEASE);
    assert_eq!(refusal(&mut router), Refusal::Unconfirmed);
}
