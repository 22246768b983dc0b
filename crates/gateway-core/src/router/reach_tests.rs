//! Tests of what a router tells of its reach.

use super::super::tests::{at, router};
use super::*;
use crate::router::Outcome;
use crate::InstanceId;

#[test]
fn back_ends_that_are_ready_and_out_of_this_routers_reach_are_counted_apart() {
    let mut router = router();
    let pool = PoolName::new("apps");
    let first = InstanceId::new("app-1");
    router.finished(at(10), &first, at(0), Outcome::Unreachable);
    let reach = router.pool_reach(at(20), &pool);
    assert_eq!((reach.ready, reach.unreachable), (3, 1));
    assert_eq!(reach.received_ago, None);
    let second = router.endpoints.get(&InstanceId::new("app-2")).unwrap();
    second.last_received_at.set(at(15));
    let received_ago = router.pool_reach(at(20), &pool).received_ago;
    assert_eq!(received_ago, Some(Duration::from_millis(5)));
}
