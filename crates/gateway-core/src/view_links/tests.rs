//! Tests of the actions due on links.

use super::*;

const MACHINE: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

fn follows(actions: &[LinkAction]) -> usize {
    let follows = actions.iter();
    follows
        .filter(|action| matches!(action, LinkAction::Follow { .. }))
        .count()
}

#[test]
fn a_subscription_is_due_until_it_was_sent() {
    let mut links = ViewLinks::new("zone", 1);
    links.on_linked(MACHINE);
    links.on_zone(MACHINE, "zone");
    let now = Timestamp(1);
    assert_eq!(follows(&links.poll(now, Position::default())), 1);
    assert_eq!(follows(&links.poll(now, Position::default())), 1);
    links.on_follow_sent(MACHINE, Following::Changes);
    assert_eq!(follows(&links.poll(now, Position::default())), 0);
    links.on_link_ended(MACHINE);
    links.on_linked(MACHINE);
    links.on_zone(MACHINE, "zone");
    let again = links.poll(now, Position::default());
    assert_eq!(follows(&again), 1, "a new link has no subscription");
}
