//! Tests of what is due on links, over all parts.

use super::*;

const MACHINE: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

fn follows(steps: &[LinkAction]) -> usize {
    let follows = steps.iter();
    follows
        .filter(|step| matches!(step, LinkAction::Follow { .. }))
        .count()
}

#[test]
fn a_machine_is_told_that_it_is_followed_until_that_was_sent() {
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
    assert_eq!(follows(&again), 1, "a new link knows nothing");
}
