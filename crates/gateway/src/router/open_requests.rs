//! The requests that a router has received and whose answers have not ended, and how far each of them is.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use drumshore_core::{Execution, Timestamp};

use super::Router;
use crate::memory_account::Charge;

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its head has been received, and its body is being read.
    Receiving,
    /// No back end has it: one is being looked for, or a connection to it.
    Unsent,
    /// A back end or another router has it, and its answer has not begun.
    Sent,
    /// Its answer is being forwarded.
    Answering,
}

impl Stage {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Receiving => "receiving",
            Self::Unsent => "unsent",
            Self::Sent => "sent",
            Self::Answering => "answering",
        }
    }
}

/// How far one request is; shared by the tasks that serve it.
#[derive(Debug)]
pub(super) struct Progress {
    pub id: String,
    pub received: Timestamp,
    deadline: Cell<Option<Timestamp>>,
    stage: Cell<Stage>,
    /// The back end or router that it was sent to last.
    sent_to: RefCell<Option<String>>,
    /// Whether any attempt that has ended may have run it.
    execution: Cell<Execution>,
    /// Bytes of the answer's body that were received.
    answer_bytes: Cell<u64>,
}

impl Progress {
    fn new(id: &str, received: Timestamp) -> Self {
        Self {
            id: id.to_owned(),
            received,
            deadline: Cell::new(None),
            stage: Cell::new(Stage::Receiving),
            sent_to: RefCell::default(),
            execution: Cell::new(Execution::NotRun),
            answer_bytes: Cell::new(0),
        }
    }

    /// Its body has been read, and it must be answered by `deadline`.
    pub fn on_received(&self, deadline: Timestamp) {
        self.deadline.set(Some(deadline));
        self.stage.set(Stage::Unsent);
    }

    /// It is about to be sent to a back end or to another router.
    pub fn on_sent(&self, to: &str) {
        *self.sent_to.borrow_mut() = Some(to.to_owned());
        if self.stage.get() != Stage::Answering {
            self.stage.set(Stage::Sent);
        }
    }

    /// An attempt has ended without an answer to forward.
    pub fn on_unanswered(&self, execution: Execution) {
        self.execution.set(self.execution.get().max(execution));
        if self.stage.get() != Stage::Answering {
            self.stage.set(Stage::Unsent);
        }
    }

    /// Its answer has begun.
    pub fn on_answered(&self) {
        self.stage.set(Stage::Answering);
    }

    /// More bytes of the answer's body have been received.
    pub fn add_answer_bytes(&self, bytes: u64) {
        self.answer_bytes.set(self.answer_bytes.get() + bytes);
    }

    /// How far it is.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Whether it may have run: the worst case over all attempts, also one in progress.
    pub fn execution(&self) -> Execution {
        match self.stage.get() {
            Stage::Receiving | Stage::Unsent => self.execution.get(),
            Stage::Sent => self.execution.get().max(Execution::MayHaveRun),
            Stage::Answering => Execution::Ran,
        }
    }

    /// Logs that the request is open.
    pub fn log(&self, now: Timestamp, when: &'static str) {
        let remaining = self.deadline.get().map(|deadline| deadline.since(now));
        let sent_to = self.sent_to.borrow();
        tracing::info!(event = "request_open", id = %self.id, when, stage = self.stage().as_str(),
            sent_to = sent_to.as_deref(), execution = self.execution().as_str(), answer_bytes = self.answer_bytes.get(),
            age_ms = now.since(self.received).as_millis() as u64,
            remaining_ms = remaining.map(|remaining| remaining.as_millis() as u64),
            "router: a request is open while the process stops");
    }
}

/// All open requests, in the order in which they arrived.
#[derive(Debug, Default)]
pub(super) struct OpenRequests {
    requests: RefCell<BTreeMap<u64, Rc<Progress>>>,
    next: Cell<u64>,
    forwarded: Cell<usize>,
}

impl OpenRequests {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Of those, requests that other routers forwarded.
    pub fn forwarded(&self) -> usize {
        self.forwarded.get()
    }

    /// Logs the oldest ones, at most `limit`, and counts all by stage.
    pub fn report(&self, now: Timestamp, limit: usize, when: &'static str) -> [(Stage, u64); 4] {
        let requests = self.requests.borrow();
        for progress in requests.values().take(limit) {
            progress.log(now, when);
        }
        let stages = [
            Stage::Receiving,
            Stage::Unsent,
            Stage::Sent,
            Stage::Answering,
        ];
        stages.map(|stage| {
            let in_stage = requests.values().filter(|open| open.stage() == stage);
            (stage, in_stage.count() as u64)
        })
    }
}

/// Counts a request as open until its answer has ended.
pub(super) struct OpenRequest {
    router: Rc<Router>,
    number: u64,
    is_forwarded: bool,
    pub progress: Rc<Progress>,
    /// The memory of its head.
    head: Option<Charge>,
}

impl OpenRequest {
    /// A request whose head has been received.
    pub fn new(router: &Rc<Router>, id: &str, received: Timestamp, is_forwarded: bool) -> Self {
        let all = &router.open_requests;
        let number = all.next.get();
        all.next.set(number + 1);
        let progress = Rc::new(Progress::new(id, received));
        let mut requests = all.requests.borrow_mut();
        requests.insert(number, Rc::clone(&progress));
        all.forwarded
            .set(all.forwarded.get() + usize::from(is_forwarded));
        router.metrics.stop.open_requests.set(requests.len() as i64);
        Self {
            router: Rc::clone(router),
            number,
            is_forwarded,
            progress,
            head: None,
        }
    }

    /// Whether its head is charged.
    pub fn holds_head(&self) -> bool {
        self.head.is_some()
    }

    /// Charges its head until its answer has ended.
    pub fn hold(&mut self, head: Option<Charge>) {
        self.head = head;
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let all = &self.router.open_requests;
        let mut requests = all.requests.borrow_mut();
        requests.remove(&self.number);
        all.forwarded
            .set(all.forwarded.get() - usize::from(self.is_forwarded));
        let open = &self.router.metrics.stop.open_requests;
        open.set(requests.len() as i64);
    }
}
