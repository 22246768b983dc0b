//! Reports that a router sends to control machines unasked: its status, the load it puts on back ends, and what it
//! observed of them. Each task runs until its link fails and returns the reason.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use drumshore_gateway_core::{Message, RouterStatus};
use drumshore_wire::{List, Text};
use tokio::time::sleep;

use super::control_links::Links;
use super::Router;
use crate::link::Sender;

/// Interval between reports of this router's load to the leader.
const LOADS_INTERVAL: Duration = Duration::from_millis(80);
/// Unchanged load is reported again after this long.
const LOADS_REFRESH_INTERVAL: Duration = Duration::from_millis(300);
/// How long the last report of other routers' loads by the leader is valid.
const OTHERS_LOADS_TTL: Duration = Duration::from_millis(1_000);

/// This router's status as sent to control machines.
pub(super) fn status(router: &Router) -> Message {
    Message::Router(RouterStatus {
        address: Text::new(router.settings.listen.to_string()),
        zone: Text::new(router.settings.params.zone.as_str()),
        accepting: u8::from(router.stopping.get().is_none()),
        has_view: u8::from(router.first_view.was_confirmed()),
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

/// Sends this router's load on back ends to the leader when it has changed or is due to be repeated, along with what
/// else it observed; the leader forwards it to the other routers.
pub(super) async fn send_load_reports(
    router: &Rc<Router>,
    links: &Rc<Links>,
    sender: &Sender,
    address: Ipv4Addr,
) -> &'static str {
    let mut sent_at = router.clock.now();
    loop {
        sleep(LOADS_INTERVAL).await;
        let now = router.clock.now();
        if now.since(links.loads_received_at.get()) > OTHERS_LOADS_TTL {
            links.loads_received_at.set(now);
            router.core.borrow_mut().set_others_loads(true, &[]);
            tracing::info!(event = "loads_unknown", in_flight = router.core.borrow().in_flight(),
                "router: no loads of other routers heard; counting them as none, so no request is refused for load");
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
        let loads = router.core.borrow().own_loads();
        let refresh_due = now.since(sent_at) >= LOADS_REFRESH_INTERVAL && !loads.is_empty();
        if loads == links.reported_loads.borrow().last() && !refresh_due {
            continue;
        }
        links.reported_loads.borrow_mut().note(now, loads.clone());
        sent_at = now;
        if !sender.send(&Message::Loads(List::new(loads))) {
            return "closed";
        }
    }
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
