//! Tests of the measured delay.

use http_body_util::BodyExt;
use hyper::Request;
use tokio::task::LocalSet;

use super::*;

fn at(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

#[test]
fn a_measurement_is_the_time_after_it_was_due() {
    let delay = EventLoopDelay::new();
    let due = delay.due.get();
    assert_eq!(delay.measure(at(due, 30)), Duration::from_millis(30));
    assert_eq!(delay.due.get(), at(due, 130));
    assert_eq!(delay.measure(at(due, 131)), Duration::from_millis(1));
    assert_eq!(delay.longest(), Duration::from_millis(30));
}

#[test]
fn a_delay_is_forgotten_after_a_second() {
    let delay = EventLoopDelay::new();
    delay.measure(at(delay.due.get(), 400));
    for _ in 1..RECENT_MEASUREMENTS {
        delay.measure(delay.due.get());
        assert_eq!(delay.longest(), Duration::from_millis(400));
    }
    delay.measure(delay.due.get());
    assert_eq!(delay.longest(), Duration::ZERO);
}

/// A line that is written before the late measurement must tell the delay as well.
#[test]
fn a_measurement_that_is_overdue_counts() {
    let delay = EventLoopDelay::new();
    delay.due.set(Instant::now() - Duration::from_millis(700));
    assert!(delay.late_ms() >= 700);
}

#[test]
fn a_blocked_event_loop_is_measured_and_exported() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let (longest, exported) = LocalSet::new().block_on(&runtime, async {
        let delay = Rc::new(EventLoopDelay::new());
        let metrics = Metrics::new();
        let measuring = measure(Rc::clone(&delay), Rc::clone(&metrics), || 0);
        let measuring = tokio::task::spawn_local(measuring);
        tokio::task::yield_now().await;
        std::thread::sleep(INTERVAL + Duration::from_millis(300));
        tokio::time::sleep(Duration::from_millis(1)).await;
        measuring.abort();
        let answer = metrics.answer(&Request::new(()));
        let exported = answer.into_body().collect().await.unwrap().to_bytes();
        (delay.longest(), exported)
    });
    assert!(longest >= Duration::from_millis(300));
    let exported = std::str::from_utf8(&exported).unwrap();
    assert!(
        exported.contains("event_loop_late_seconds_count 1\n"),
        "{exported}"
    );
    let gauge = exported
        .lines()
        .find_map(|line| line.strip_prefix("drumshore_gateway_event_loop_late_ms "));
    assert!(gauge.unwrap().parse::<u64>().unwrap() >= 300, "{exported}");
}
