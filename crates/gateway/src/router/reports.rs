//! What a router tells control machines on its links, without being asked: who it is, what it puts on back ends and
//! what it saw of them. Each task ends with the reason why its link is of no more use.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use drumshore_gateway_core::{Message, RouterStatus};
use drumshore_wire::{List, Text};
use tokio::time::sleep;

use super::updates::Links;
use super::Router;
use crate::link::Sender;

/// Between two reports to the leader of this router's load.
const LOADS_INTERVAL: Duration = Duration::from_millis(80);
/// Load that does not change is reported again after this long.
const LOADS_CONFIRM: Duration = Duration::from_millis(300);
/// What the leader told of other routers' load counts for so long.
const LOADS_COUNT_FOR: Duration = Duration::from_millis(1_000);

pub(super) fn status(router: &Router) -> Message {
    Message::Router(RouterStatus {
        address: Text::new(router.settings.listen.to_string()),
        zone: Text::new(router.settings.params.zone.as_str()),
        accepting: u8::from(router.stopping.get().is_none()),
        has_view: u8::from(router.first_view.was_confirmed()),
    })
}

pub(super) async fn tell_changes(router: &Rc<Router>, sender: &Sender) -> &'static str {
    loop {
        router.status_changed.notified().await;
        if !sender.send(&status(router)) {
            return "closed";
        }
    }
}

/// Tells the leader what this router puts on back ends, when that has changed or is to be
/// confirmed; the leader tells the others.
pub(super) async fn report_loads(
    router: &Rc<Router>,
    links: &Rc<Links>,
    sender: &Sender,
    address: Ipv4Addr,
) -> &'static str {
    let mut told_at = router.clock.now();
    loop {
        sleep(LOADS_INTERVAL).await;
        let now = router.clock.now();
        if now.since(links.loads_heard.get()) > LOADS_COUNT_FOR {
            links.loads_heard.set(now);
            router.core.borrow_mut().set_others_loads(true, &[]);
        }
        if links.leader.get() != u32::from(address) {
            continue;
        }
        let suspects = router.core.borrow_mut().take_suspects();
        if !suspects.is_empty() && !sender.send(&Message::Suspects(List::new(suspects))) {
            return "closed";
        }
        let refusing = router.core.borrow_mut().take_refusing();
        if !refusing.is_empty() && !sender.send(&Message::Refusing(List::new(refusing))) {
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
        let unconfirmed = now.since(told_at) >= LOADS_CONFIRM && !loads.is_empty();
        if loads == links.loads_told.borrow().last() && !unconfirmed {
            continue;
        }
        links.loads_told.borrow_mut().note(now, loads.clone());
        told_at = now;
        if !sender.send(&Message::Loads(List::new(loads))) {
            return "closed";
        }
    }
}

/// Tells a control machine, also one that links later, what this router saw of work that back ends ended
/// under. All of them are told: any may be the one that the next router hears.
pub(super) async fn report_work(router: &Rc<Router>, sender: &Sender) -> &'static str {
    let mut cursor = 0;
    loop {
        let now = router.clock.now();
        let reports = router.core.borrow().work_reports_since(now, &mut cursor);
        if !reports.is_empty() && !sender.send(&Message::WorkReports(List::new(reports))) {
            return "closed";
        }
        router.work_reported.notified().await;
    }
}
