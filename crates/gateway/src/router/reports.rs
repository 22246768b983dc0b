//! Reports that a router sends to control machines unasked: its status, the load it puts on back ends, and what it
//! observed of them. Each task runs until its link fails and returns the reason.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use drumshore_gateway_core::{Message, RouterStatus};
use drumshore_wire::{List, Text};
use tokio::time::{sleep, timeout};

use super::control_links::Links;
use super::Router;
use crate::link::Sender;

/// Longest interval between two checks of what is due to be reported to the leader.
const CHECK_INTERVAL: Duration = Duration::from_millis(80);
/// Shortest interval between two such checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between reports of the speeds of back ends.
const SPEEDS_INTERVAL: Duration = Duration::from_millis(500);
/// How long the last report of other routers' loads by the leader is valid.
const OTHERS_LOADS_TTL: Duration = Duration::from_millis(1_000);

/// This router's status as sent to control machines.
pub(super) fn status(router: &Router) -> Message {
    let has_path = router.core.borrow().has_any_path();
    Message::Router(RouterStatus {
        address: Text::new(router.settings.listen.to_string()),
        zone: Text::new(router.settings.params.zone.as_str()),
        accepting: u8::from(router.stopping.get().is_none()),
        is_serving: u8::from(router.first_view.was_confirmed() && has_path),
    })
}

/// Sends the status each time it changes.
pub(super) async fn send_status_changes(router: &Rc<Router>, sender: &Sender) -> &'static str {
    loop {
        router.status_changed.notified().await;
        if !sender.send(&status(router)) {
            return "closed";
        }
    }
}

/// Sends this router's load on back ends to the leader when it is due, along with what else it observed; the leader forwards it to the other routers.
pub(super) async fn send_load_reports(
    router: &Rc<Router>,
    links: &Rc<Links>,
    sender: &Sender,
    address: Ipv4Addr,
) -> &'static str {
    let mut loads_changed = router.loads_changed.subscribe();
    let mut speeds_sent_at = router.clock.now();
    loop {
        sleep(MIN_CHECK_INTERVAL).await;
        let _ = timeout(CHECK_INTERVAL - MIN_CHECK_INTERVAL, loads_changed.changed()).await;
        let now = router.clock.now();
        if now.since(links.loads_received_at.get()) > OTHERS_LOADS_TTL {
            links.loads_received_at.set(now);
            router.core.borrow_mut().set_others_loads(true, &[]);
        }
        if links.leader.get() != u32::from(address) {
            continue;
        }
        let suspects = router.core.borrow_mut().take_suspects();
        if !suspects.is_empty() && !sender.send(&Message::UnresponsiveBackEnds(List::new(suspects)))
        {
            return "closed";
        }
        let refusing = router.core.borrow_mut().take_refusing();
        if !refusing.is_empty() && !sender.send(&Message::RefusingBackEnds(List::new(refusing))) {
            return "closed";
        }
        let learned = router.core.borrow_mut().take_holder_reports();
        if !learned.is_empty() && !sender.send(&Message::Holders(List::new(learned))) {
            return "closed";
        }
        let usage = router.core.borrow_mut().take_usage(now);
        if !usage.is_empty() && !sender.send(&Message::Usage(List::new(usage))) {
            return "closed";
        }
        if now.since(speeds_sent_at) >= SPEEDS_INTERVAL {
            speeds_sent_at = now;
            send_speed_samples(router, sender);
        }
        if !send_demand_report(router, sender) {
            return "closed";
        }
        let loads = router.core.borrow().own_loads();
        if !links.reported_loads.borrow().is_due(now, &loads) {
            continue;
        }
        links.reported_loads.borrow_mut().note(now, loads.clone());
        if !sender.send(&Message::Loads(List::new(loads))) {
            return "closed";
        }
    }
}

/// Sends what this router observed of the speeds of back ends. A sample that is not sent is no loss worth a new link.
fn send_speed_samples(router: &Router, sender: &Sender) {
    let now = router.clock.now();
    let samples = router.core.borrow_mut().take_speed_samples(now);
    if !samples.is_empty() {
        sender.send(&Message::SpeedSamples(List::new(samples)));
    }
}

/// Reports tenants' demand for pools that are nearly full, to a leader that reads such reports; false when the link has
/// ended.
fn send_demand_report(router: &Router, sender: &Sender) -> bool {
    let mut core = router.core.borrow_mut();
    if !sender.wire().has_measurements() {
        core.discard_demand_report();
        return true;
    }
    let report = core.take_demand_report(router.clock.now());
    report.is_empty() || sender.send(&Message::DemandReport(List::new(report)))
}

/// Sends reports of crashes, by request fingerprint, to a control machine, also to one that connects later. All control
/// machines receive them, because the next router may get its updates from any of them.
pub(super) async fn send_crash_reports(router: &Rc<Router>, sender: &Sender) -> &'static str {
    let mut cursor = 0;
    loop {
        let now = router.clock.now();
        let reports = router
            .core
            .borrow()
            .fingerprint_reports_since(now, &mut cursor);
        if !reports.is_empty() && !sender.send(&Message::FingerprintReports(List::new(reports))) {
            return "closed";
        }
        router.crash_reports_changed.notified().await;
    }
}
