use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use drumshore_core::{
    EnginePoolSpec, ErrorCode, Execution, IdempotencyKey, ModelName, RequestError, RequestId,
    ResourceSpec, SecretKey, Timestamp,
};
use drumshore_wire::{
    Blob, ClaimGrant, ClaimResponse, EngineEntry, EngineStateCode, EngineUpdate, Freshness,
    HoldingRecord, List, LookupResponse, Message, TenantAnswer, Text,
};
use rstest::rstest;

use super::config::{model, resource, tenant, update};
use crate::answer::RecordedAnswer;
use crate::completion::PromptInput;
use crate::core::{
    AdmitOutcome, AdmitRequest, Assignment, Effect, Purpose, RouterCore, RouterParams, StoredFile,
    StoredState,
};
use crate::exchange::{AttemptFailure, Conclusion, FailureKind};
use crate::session::LinkId;

/// A router core with a control machine and an index that the test simulates.
struct Harness {
    core: RouterCore,
    now: Timestamp,
    link: Option<LinkId>,
    sent: Vec<Message>,
    answers: Vec<(RequestId, AdmitOutcome)>,
    stored: BTreeMap<StoredFile, Vec<u8>>,
    /// If set, lookups are not answered by [`Self::process_effects`] but left to the test.
    index_unresponsive: bool,
}

impl Harness {
    fn empty() -> Self {
        Self::with_stored(StoredState::default())
    }

    fn with_stored(stored: StoredState) -> Self {
        let params = RouterParams::new("r".into(), "z".into(), 3);
        Self {
            core: RouterCore::new(params, stored, 1),
            now: Timestamp(0),
            link: None,
            sent: Vec::new(),
            answers: Vec::new(),
            stored: BTreeMap::new(),
            index_unresponsive: false,
        }
    }

    /// A connected router with a model, the tenant `known` and the ready engines `a` and `b`.
    fn ready() -> Self {
        let mut harness = Self::empty();
        harness.connect();
        let pool = resource(
            "p",
            1,
            ResourceSpec::EnginePool(EnginePoolSpec {
                model: ModelName::new("m"),
                draining: Default::default(),
            }),
        );
        let records = [pool, model(2, 1), tenant("known", 3, "key")];
        harness.receive(Message::Config(update(3, true, &records)));
        harness.engines(&[
            ("a", 1, EngineStateCode::Ready),
            ("b", 1, EngineStateCode::Ready),
        ]);
        harness
    }

    fn connect(&mut self) {
        self.tick(Duration::from_millis(600));
        let link = self.link.expect("the router opens a link");
        self.core.on_connected(link);
        self.process_effects();
    }

    fn tick(&mut self, step: Duration) {
        self.now = self.now.plus(step);
        self.core.set_now(self.now);
        self.core.on_tick();
        self.process_effects();
    }

    /// Carries out all effects. Lookups are answered at once with an empty answer, unless the index
    /// is unresponsive.
    fn process_effects(&mut self) {
        loop {
            let before = self.sent.len();
            self.carry_out();
            let tickets: Vec<u32> = self.sent[before..].iter().filter_map(ticket).collect();
            if tickets.is_empty() || self.index_unresponsive {
                return;
            }
            for ticket in tickets {
                self.answer_lookup(ticket, &[]);
            }
        }
    }

    fn answer_lookup(&mut self, ticket: u32, holdings: &[HoldingRecord]) {
        let answer = LookupResponse {
            ticket,
            holdings: List::new(holdings.to_vec()),
        };
        let link = self.link.expect("a link is open");
        self.core
            .on_control_message(link, Message::LookupResponse(answer));
    }

    fn carry_out(&mut self) {
        for effect in self.core.take_effects() {
            match effect {
                Effect::Persist(file, bytes) => {
                    self.stored.insert(file, bytes);
                }
                Effect::Connect { link, .. } => self.link = Some(link),
                Effect::Close(_) => {}
                Effect::Send(_, message) => self.sent.push(message),
                Effect::Answer(id, outcome) => self.answers.push((id, outcome)),
            }
        }
    }

    fn receive(&mut self, message: Message) {
        let link = self.link.expect("a link is open");
        self.core.on_control_message(link, message);
        self.process_effects();
    }

    fn engines(&mut self, engines: &[(&str, u64, EngineStateCode)]) {
        let entries = engines.iter().zip(1..);
        let entries = entries.map(|((name, incarnation, state), slot)| EngineEntry {
            name: Text::new(*name),
            address: Text::new("127.0.0.1:1"),
            zone: Text::new("z"),
            pool: Text::new("p"),
            incarnation: *incarnation,
            weights_version: 1,
            state: *state,
            slot,
        });
        self.receive(Message::Engines(EngineUpdate {
            full: 1,
            engines: List::new(entries.collect()),
        }));
    }

    fn admit(&mut self, request: AdmitRequest) -> RequestId {
        let id = self.core.admit(request);
        self.process_effects();
        id
    }

    fn fail(&mut self, id: RequestId, kind: FailureKind, execution: Execution, delivered: bool) {
        let error = RequestError {
            execution,
            ..RequestError::not_run(ErrorCode::EngineFailed, "test")
        };
        let failure = AttemptFailure {
            kind,
            error,
            delivered,
        };
        self.core.on_attempt_failed(id, &failure);
        self.process_effects();
    }

    fn finish(&mut self, id: RequestId, conclusion: &Conclusion) {
        self.core
            .on_finished(id, conclusion, &RecordedAnswer::default());
        self.process_effects();
    }

    fn last_outcome(&self, id: RequestId) -> Option<&AdmitOutcome> {
        let mut answers = self.answers.iter().rev();
        answers
            .find(|(of, _)| *of == id)
            .map(|(_, outcome)| outcome)
    }

    fn assignment(&self, id: RequestId) -> &Assignment {
        match self.last_outcome(id) {
            Some(AdmitOutcome::Assigned(assignment)) => assignment,
            other => panic!("{other:?}"),
        }
    }

    fn error(&self, id: RequestId) -> &RequestError {
        match self.last_outcome(id) {
            Some(AdmitOutcome::Refused(error)) => error,
            other => panic!("{other:?}"),
        }
    }

    fn claims(&self) -> usize {
        let claims = self.sent.iter();
        claims
            .filter(|message| matches!(message, Message::Claim(_)))
            .count()
    }
}

fn ticket(message: &Message) -> Option<u32> {
    match message {
        Message::LookupRequest(request) => Some(request.ticket),
        _ => None,
    }
}

fn request_with_key(key: &str) -> AdmitRequest {
    AdmitRequest {
        key_hash: Some(SecretKey::new(key).hash()),
        purpose: Purpose::Complete,
        model: ModelName::new("m"),
        adapter: None,
        prompt: Arc::new(PromptInput::Tokens((0..100).collect())),
        priority: None,
        priority_class: None,
        deterministic: false,
        idempotency_key: None,
        fingerprint: 9,
    }
}

fn idempotent_request() -> AdmitRequest {
    AdmitRequest {
        idempotency_key: Some(IdempotencyKey::new("booking")),
        ..request_with_key("key")
    }
}

#[test]
fn request_of_a_known_tenant_is_assigned_at_once_with_fences() {
    let mut harness = Harness::ready();
    let id = harness.admit(request_with_key("key"));
    let assignment = harness.assignment(id);
    assert_eq!(assignment.incarnation.0, 1);
    assert_eq!(assignment.weights_version.0, 1);
}

#[test]
fn unknown_key_is_queried_once_and_refused_only_after_an_answer() {
    let mut harness = Harness::ready();
    harness.sent.clear();
    let (first, second) = (
        harness.admit(request_with_key("stranger")),
        harness.admit(request_with_key("stranger")),
    );
    let queries: Vec<u64> = harness
        .sent
        .iter()
        .filter_map(|message| match message {
            Message::TenantQuery(query) => Some(query.ticket),
            _ => None,
        })
        .collect();
    assert_eq!(queries.len(), 1);
    assert!(harness.last_outcome(first).is_none());
    harness.receive(Message::TenantAnswer(TenantAnswer {
        ticket: queries[0],
        revision: 3,
        resource: Blob::new(b"null".to_vec()),
    }));
    for id in [first, second] {
        assert_eq!(harness.error(id).code, ErrorCode::Unauthorized);
    }
}

#[test]
fn queried_tenant_is_served_and_stored() {
    let mut harness = Harness::ready();
    let id = harness.admit(request_with_key("other-key"));
    let answer = TenantAnswer {
        ticket: 1,
        revision: 7,
        resource: Blob::new(
            serde_json::to_vec(&tenant("other", 6, "other-key")).expect("resources are JSON"),
        ),
    };
    harness.receive(Message::TenantAnswer(answer));
    harness.assignment(id);
    let restarted = harness.stored_state();
    let hash = SecretKey::new("other-key").hash();
    assert!(restarted.config.tenant_of_key(&hash).is_some());
}

#[test]
fn tenant_answer_from_an_older_view_refuses_no_request() {
    let mut harness = Harness::ready();
    let id = harness.admit(request_with_key("stranger"));
    harness.receive(Message::TenantAnswer(TenantAnswer {
        ticket: 1,
        revision: 2,
        resource: Blob::new(b"null".to_vec()),
    }));
    assert!(harness.last_outcome(id).is_none());
    harness.tick(Duration::from_secs(4));
    assert_eq!(harness.error(id).code, ErrorCode::ConfigUnavailable);
    assert_eq!(harness.error(id).execution, Execution::NotRun);
}

#[test]
fn restarted_router_serves_without_a_control_machine() {
    let mut before = Harness::ready();
    before.tick(Duration::from_secs(3));
    let mut harness = Harness::with_stored(before.stored_state());
    assert!(harness.core.is_ready());
    let id = harness.admit(request_with_key("key"));
    harness.assignment(id);
}

#[rstest]
#[case::not_run(FailureKind::Fenced, Execution::NotRun, false, false, true)]
#[case::may_have_run(FailureKind::Broken, Execution::MayHaveRun, false, false, true)]
#[case::once_not_run(FailureKind::Fenced, Execution::NotRun, true, false, true)]
#[case::once_may_have_run(FailureKind::Broken, Execution::MayHaveRun, true, false, false)]
#[case::delivered(FailureKind::Broken, Execution::Ran, false, true, false)]
#[case::rejected(FailureKind::Rejected, Execution::NotRun, false, false, false)]
fn only_safe_failures_are_retried(
    #[case] kind: FailureKind,
    #[case] execution: Execution,
    #[case] idempotent: bool,
    #[case] delivered: bool,
    #[case] retried: bool,
) {
    let mut harness = Harness::ready();
    let id = harness.admit(if idempotent {
        idempotent_request()
    } else {
        request_with_key("key")
    });
    if idempotent {
        harness.receive(granted(id));
    }
    let first = harness.assignment(id).engine.clone();
    harness.fail(id, kind, execution, delivered);
    if retried {
        assert_eq!(harness.assignment(id).attempt, 2);
        assert_ne!(harness.assignment(id).engine, first);
    } else {
        assert_eq!(harness.error(id).execution, execution);
    }
}

fn granted(id: RequestId) -> Message {
    Message::ClaimResponse(ClaimResponse {
        ticket: id.sequence,
        grant: ClaimGrant::Granted,
    })
}

/// Guards against a "not run" error for a request whose first attempt broke and may have run, and
/// whose second attempt was refused by the next engine without running.
#[test]
fn error_is_not_run_only_if_no_attempt_may_have_run() {
    let mut harness = Harness::ready();
    let id = harness.admit(request_with_key("key"));
    harness.fail(id, FailureKind::Broken, Execution::MayHaveRun, false);
    harness.fail(id, FailureKind::Rejected, Execution::NotRun, false);
    assert_eq!(harness.error(id).execution, Execution::MayHaveRun);
}

#[test]
fn idempotent_request_does_not_start_before_its_claim_is_granted() {
    let mut harness = Harness::ready();
    let id = harness.admit(idempotent_request());
    assert_eq!(harness.claims(), 1);
    assert!(
        harness.last_outcome(id).is_none(),
        "nothing runs before the claim"
    );
    harness.receive(granted(id));
    harness.assignment(id);
}

#[test]
fn unanswered_claim_is_refused_and_released() {
    let mut harness = Harness::ready();
    let id = harness.admit(idempotent_request());
    harness.tick(Duration::from_secs(7));
    let error = harness.error(id).clone();
    assert_eq!(error.code, ErrorCode::LedgerUnavailable);
    assert_eq!(error.execution, Execution::NotRun);
    harness.finish(id, &Conclusion::Failed(error));
    harness.reconnect();
    let released = harness
        .sent
        .iter()
        .any(|message| matches!(message, Message::Outcome(report) if report.execution == 0));
    assert!(released);
    harness.receive(granted(id));
    assert!(matches!(
        harness.last_outcome(id),
        Some(AdmitOutcome::Refused(_))
    ));
}

#[test]
fn outcome_is_resent_until_it_is_stored() {
    let mut harness = Harness::ready();
    let id = harness.admit(idempotent_request());
    harness.receive(granted(id));
    harness.finish(id, &Conclusion::Answered);
    harness.core.stop();
    assert!(!harness.core.is_drained());
    harness.tick(Duration::from_secs(2));
    let outcomes = harness
        .sent
        .iter()
        .filter(|message| matches!(message, Message::Outcome(_)));
    assert_eq!(outcomes.count(), 2);
    harness.receive(Message::OutcomeStored(id.sequence));
    assert!(harness.core.is_drained());
}

#[test]
fn leaving_engine_gets_no_new_requests() {
    let mut harness = Harness::ready();
    harness.engines(&[
        ("a", 1, EngineStateCode::Leaving),
        ("b", 1, EngineStateCode::Ready),
    ]);
    for _ in 0..20 {
        let id = harness.admit(request_with_key("key"));
        assert_eq!(harness.assignment(id).engine.as_str(), "b");
    }
}

#[test]
fn cache_estimate_of_a_restarted_engine_is_discarded() {
    let mut harness = Harness::ready();
    let id = harness.admit(request_with_key("key"));
    let engine = harness.assignment(id).engine.clone();
    harness.finish(id, &Conclusion::Answered);
    let restarted = |name: &str| if engine.as_str() == name { 2 } else { 1 };
    harness.engines(&[
        ("a", restarted("a"), EngineStateCode::Ready),
        ("b", restarted("b"), EngineStateCode::Ready),
    ]);
    let second = harness.admit(request_with_key("key"));
    let record = harness
        .core
        .explain(second)
        .expect("the decision record is kept");
    let candidates = &record.attempts[0].candidates;
    let candidate = candidates
        .iter()
        .find(|candidate| candidate.engine == engine);
    let candidate = candidate.expect("both engines are candidates");
    assert_eq!(candidate.incarnation.0, 2);
    // Only the assumption that a home caches the prefix remains, not the estimate from before.
    assert!(candidate.expected_cached_tokens < 96, "{candidate:?}");
}

#[test]
fn stopping_router_refuses_new_requests_and_finishes_open_ones() {
    let mut harness = Harness::ready();
    let open = harness.admit(request_with_key("key"));
    harness.core.stop();
    let late = harness.admit(request_with_key("key"));
    assert_eq!(harness.error(late).code, ErrorCode::Stopping);
    assert!(!harness.core.is_drained());
    harness.finish(open, &Conclusion::Answered);
    assert!(harness.core.is_drained());
}

#[test]
fn link_without_quorum_confirmations_is_replaced() {
    let mut harness = Harness::ready();
    let before = harness.link;
    for _ in 0..5 {
        harness.tick(Duration::from_secs(1));
        harness.receive_if_connected(Message::Fresh(Freshness {
            revision: 3,
            epoch: 1,
            routers: 1,
        }));
    }
    assert_eq!(harness.link, before);
    for _ in 0..5 {
        harness.tick(Duration::from_secs(1));
    }
    assert_ne!(harness.link, before);
}

#[test]
fn decision_record_of_a_retried_request_matches_its_attempts() {
    let mut harness = Harness::ready();
    let id = harness.admit(request_with_key("key"));
    let first = harness.assignment(id).engine.clone();
    harness.fail(id, FailureKind::Fenced, Execution::NotRun, false);
    let second = harness.assignment(id).engine.clone();
    harness.finish(id, &Conclusion::Answered);
    let record = harness
        .core
        .explain(id)
        .expect("the decision record is kept");
    assert_eq!(record.attempts.len(), 2);
    assert_eq!(record.attempts[0].chosen, Some(first.clone()));
    let error = record.attempts[0].error.as_ref();
    assert_eq!(error.map(|error| error.execution), Some(Execution::NotRun));
    assert_eq!(record.attempts[1].chosen, Some(second));
    assert_eq!(record.attempts[1].excluded, [first]);
    assert!(record.attempts[1].error.is_none() && record.answered);
}

impl Harness {
    fn receive_if_connected(&mut self, message: Message) {
        if self.link.is_some() {
            self.receive(message);
        }
    }

    fn stored_state(&self) -> StoredState {
        let file = |file| self.stored.get(&file).map(Vec::as_slice);
        StoredState::decode(file(StoredFile::Config), file(StoredFile::Engines))
            .expect("the stored files are readable")
    }

    fn reconnect(&mut self) {
        for _ in 0..10 {
            self.tick(Duration::from_millis(500));
            if let Some(link) = self.link {
                self.core.on_connected(link);
                self.process_effects();
            }
        }
    }
}

#[test]
fn index_answer_decides_the_placement() {
    let mut harness = Harness::ready();
    harness.index_unresponsive = true;
    let id = harness.admit(request_with_key("key"));
    assert!(harness.last_outcome(id).is_none());
    let ticket = harness
        .sent
        .iter()
        .find_map(ticket)
        .expect("the router sends a lookup");
    let holding = |slot, blocks, waiting| HoldingRecord {
        slot,
        blocks,
        waiting,
        running: 0,
    };
    harness.answer_lookup(ticket, &[holding(2, 1, 0), holding(1, 0, 9)]);
    harness.process_effects();
    assert_eq!(harness.assignment(id).engine.as_str(), "b");
    let booking = harness.sent.iter().find_map(|message| match message {
        Message::BookingReport(bookings) => bookings.records.items.first().copied(),
        _ => None,
    });
    let booking = booking.expect("the router sends a booking");
    assert_eq!((booking.ticket, booking.slot), (ticket, 2));
}

#[test]
fn lookups_are_suspended_after_one_without_an_answer() {
    let mut harness = Harness::ready();
    harness.index_unresponsive = true;
    let first = harness.admit(request_with_key("key"));
    harness.tick(Duration::from_millis(100));
    harness.assignment(first);
    let lookup_count = harness.sent.iter().filter_map(ticket).count();
    let second = harness.admit(request_with_key("key"));
    harness.assignment(second);
    assert_eq!(harness.sent.iter().filter_map(ticket).count(), lookup_count);
    harness.tick(Duration::from_secs(1));
    harness.admit(request_with_key("key"));
    assert_eq!(
        harness.sent.iter().filter_map(ticket).count(),
        lookup_count + 1
    );
}

#[test]
fn closed_link_ends_the_wait_for_the_index() {
    let mut harness = Harness::ready();
    harness.index_unresponsive = true;
    let id = harness.admit(request_with_key("key"));
    let link = harness.link.expect("a link is open");
    harness.core.on_closed(link);
    harness.process_effects();
    harness.assignment(id);
}

#[test]
fn late_index_answer_is_ignored() {
    let mut harness = Harness::ready();
    harness.index_unresponsive = true;
    let id = harness.admit(request_with_key("key"));
    let ticket = harness
        .sent
        .iter()
        .find_map(ticket)
        .expect("the router sends a lookup");
    harness.tick(Duration::from_millis(100));
    let answers = harness.answers.len();
    harness.answer_lookup(ticket, &[]);
    harness.process_effects();
    assert_eq!(harness.answers.len(), answers);
    harness.assignment(id);
}

#[test]
fn request_that_ends_during_its_lookup_does_not_suspend_lookups() {
    let mut harness = Harness::ready();
    harness.index_unresponsive = true;
    let id = harness.admit(request_with_key("key"));
    harness.finish(id, &Conclusion::CallerGone);
    harness.tick(Duration::from_millis(100));
    let lookup_count = harness.sent.iter().filter_map(ticket).count();
    harness.admit(request_with_key("key"));
    assert_eq!(
        harness.sent.iter().filter_map(ticket).count(),
        lookup_count + 1
    );
}
