//! What back ends say of themselves in the heads of their answers, as the router daemon hears it.
//!
//! All answers to requests pass here, whatever they are to: a first choice, a retry, a resumption, a copy of a run.

use std::rc::Rc;

use drumshore_gateway_core::Choice;
use hyper::body::Incoming;
use hyper::Response;

use super::Router;

/// Takes in what the head of an answer says of its back end.
pub(super) fn take_in(router: &Rc<Router>, choice: &Choice, response: &Response<Incoming>) {
    let notice = router.dialect.notice(response.status(), response.headers());
    if notice.is_leaving {
        router.metrics.count_notice("leaving");
    }
    if let Some(retry_after) = notice.retry_after {
        router.metrics.count_notice("backoff");
        tracing::info!(event = "back_end_backoff", instance = %choice.instance,
            retry_after_ms = retry_after.as_millis() as u64, "router: a back end asks for a pause");
    }
    let now = router.clock.now();
    let mut core = router.core.borrow_mut();
    core.on_notice(now, &choice.instance, notice);
}

/// A request is about to be sent. One line when its back end has asked for none.
pub(super) fn check_send(router: &Rc<Router>, id: &str, choice: &Choice) {
    let now = router.clock.now();
    let left = router.core.borrow().backoff_left(now, &choice.instance);
    if !left.is_zero() {
        router.metrics.count_notice("sent_in_backoff");
        tracing::info!(event = "sent_in_backoff", %id, instance = %choice.instance,
            left_ms = left.as_millis() as u64, "router: a request goes to a back end that wants none");
    }
}
