use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use drumshore_core::{
    EnginePoolSpec, ErrorCode, Execution, IdempotencyKey, ModelName, RequestError, RequestId,
    ResourceSpec, SecretKey, Timestamp,
};
use drumshore_wire::{
    Blob, ClaimGrant, ClaimResponse, EngineEntry, EngineStateCode, EngineUpdate, Freshness,
    HoldingRecord, IndexAnswer, List, Message, TenantAnswer, Text,
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

struct Bench {
    core: RouterCore,
    now: Timestamp,
    link: Option<LinkId>,
    sent: Vec<Message>,
    answers: Vec<(RequestId, AdmitOutcome)>,
    stored: BTreeMap<StoredFile, Vec<u8>>,
    /// The index leaves questions to the test.
    index_silent: bool,
}

impl Bench {
    fn blank() -> Self {
        Self::with(StoredState::default())
    }

    fn with(stored: StoredState) -> Self {
        let params = RouterParams::new("r".into(), "z".into(), 3);
        Self {
            core: RouterCore::new(params, stored, 1),
            now: Timestamp(0),
            link: None,
            sent: Vec::new(),
            answers: Vec::new(),
            stored: BTreeMap::new(),
            index_silent: false,
        }
    }

    /// Linked, configured with a model and the tenant `known`, and with two engines.
    fn ready() -> Self {
        let mut bench = Self::blank();
        bench.link_up();
        let pool = resource(
            "p",
            1,
            ResourceSpec::EnginePool(EnginePoolSpec {
                model: ModelName::new("m"),
                draining: Default::default(),
            }),
        );
        let records = [pool, model(2, 1), tenant("known", 3, "key")];
        bench.hear(Message::Config(update(3, true, &records)));
        bench.engines(&[
            ("a", 1, EngineStateCode::Ready),
            ("b", 1, EngineStateCode::Ready),
        ]);
        bench
    }

    fn link_up(&mut self) {
        self.tick(Duration::from_millis(600));
        let link = self.link.expect("a link was asked for");
        self.core.on_connected(link);
        self.settle();
    }

    fn tick(&mut self, step: Duration) {
        self.now = self.now.plus(step);
        self.core.set_now(self.now);
        self.core.on_tick();
        self.settle();
    }

    /// Carries effects out. An index that knows nothing answers at once, unless it is silent.
    fn settle(&mut self) {
        loop {
            let before = self.sent.len();
            self.carry_out();
            let asked: Vec<u32> = self.sent[before..].iter().filter_map(ticket).collect();
            if asked.is_empty() || self.index_silent {
                return;
            }
            for ticket in asked {
                self.answer_question(ticket, &[]);
            }
        }
    }

    fn answer_question(&mut self, ticket: u32, holdings: &[HoldingRecord]) {
        let answer = IndexAnswer {
            ticket,
            holdings: List::new(holdings.to_vec()),
        };
        let link = self.link.expect("a link is up");
        self.core
            .on_control_message(link, Message::IndexAnswer(answer));
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

    fn hear(&mut self, message: Message) {
        let link = self.link.expect("a link is up");
        self.core.on_control_message(link, message);
        self.settle();
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
        self.hear(Message::Engines(EngineUpdate {
            full: 1,
            engines: List::new(entries.collect()),
        }));
    }

    fn admit(&mut self, ask: AdmitRequest) -> RequestId {
        let id = self.core.admit(ask);
        self.settle();
        id
    }

    fn fail(&mut self, id: RequestId, kind: FailureKind, execution: Execution, delivered: bool) {
        let verdict = RequestError {
            execution,
            ..RequestError::not_run(ErrorCode::EngineFailed, "test")
        };
        let failure = AttemptFailure {
            kind,
            verdict,
            delivered,
        };
        self.core.on_attempt_failed(id, &failure);
        self.settle();
    }

    fn finish(&mut self, id: RequestId, conclusion: &Conclusion) {
        self.core
            .on_finished(id, conclusion, &RecordedAnswer::default());
        self.settle();
    }

    fn last(&self, id: RequestId) -> Option<&AdmitOutcome> {
        let mut answers = self.answers.iter().rev();
        answers
            .find(|(of, _)| *of == id)
            .map(|(_, outcome)| outcome)
    }

    fn assignment(&self, id: RequestId) -> &Assignment {
        match self.last(id) {
            Some(AdmitOutcome::Assigned(assignment)) => assignment,
            other => panic!("{other:?}"),
        }
    }

    fn verdict(&self, id: RequestId) -> &RequestError {
        match self.last(id) {
            Some(AdmitOutcome::Refused(verdict)) => verdict,
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
        Message::IndexQuestion(question) => Some(question.ticket),
        _ => None,
    }
}

fn ask(key: &str) -> AdmitRequest {
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

fn ask_once() -> AdmitRequest {
    AdmitRequest {
        idempotency_key: Some(IdempotencyKey::new("booking")),
        ..ask("key")
    }
}

#[test]
fn a_known_tenant_is_served_at_once_with_fences() {
    let mut bench = Bench::ready();
    let id = bench.admit(ask("key"));
    let assignment = bench.assignment(id);
    assert_eq!(assignment.incarnation.0, 1);
    assert_eq!(assignment.weights_version.0, 1);
}

#[test]
fn an_unknown_key_is_asked_for_once_and_refused_only_on_a_quorums_word() {
    let mut bench = Bench::ready();
    bench.sent.clear();
    let (first, second) = (bench.admit(ask("stranger")), bench.admit(ask("stranger")));
    let queries: Vec<u64> = bench
        .sent
        .iter()
        .filter_map(|message| match message {
            Message::TenantQuery(query) => Some(query.ticket),
            _ => None,
        })
        .collect();
    assert_eq!(queries.len(), 1);
    assert!(bench.last(first).is_none());
    bench.hear(Message::TenantAnswer(TenantAnswer {
        ticket: queries[0],
        revision: 3,
        resource: Blob::new(b"null".to_vec()),
    }));
    for id in [first, second] {
        assert_eq!(bench.verdict(id).code, ErrorCode::Unauthorized);
    }
}

#[test]
fn a_tenant_that_is_found_is_served_and_kept() {
    let mut bench = Bench::ready();
    let id = bench.admit(ask("other-key"));
    let answer = TenantAnswer {
        ticket: 1,
        revision: 7,
        resource: Blob::new(
            serde_json::to_vec(&tenant("other", 6, "other-key")).expect("it is JSON"),
        ),
    };
    bench.hear(Message::TenantAnswer(answer));
    bench.assignment(id);
    let restarted = bench.stored_state();
    let hash = SecretKey::new("other-key").hash();
    assert!(restarted.config.tenant_of_key(&hash).is_some());
}

#[test]
fn an_answer_from_an_older_view_refuses_nobody() {
    let mut bench = Bench::ready();
    let id = bench.admit(ask("stranger"));
    bench.hear(Message::TenantAnswer(TenantAnswer {
        ticket: 1,
        revision: 2,
        resource: Blob::new(b"null".to_vec()),
    }));
    assert!(bench.last(id).is_none());
    bench.tick(Duration::from_secs(4));
    assert_eq!(bench.verdict(id).code, ErrorCode::ConfigUnavailable);
    assert_eq!(bench.verdict(id).execution, Execution::NotRun);
}

#[test]
fn a_restarted_router_serves_without_control() {
    let mut before = Bench::ready();
    before.tick(Duration::from_secs(3));
    let mut bench = Bench::with(before.stored_state());
    assert!(bench.core.is_ready());
    let id = bench.admit(ask("key"));
    bench.assignment(id);
}

#[rstest]
#[case::not_run(FailureKind::Fenced, Execution::NotRun, false, false, true)]
#[case::may_have_run(FailureKind::Broken, Execution::MayHaveRun, false, false, true)]
#[case::once_not_run(FailureKind::Fenced, Execution::NotRun, true, false, true)]
#[case::once_may_have_run(FailureKind::Broken, Execution::MayHaveRun, true, false, false)]
#[case::delivered(FailureKind::Broken, Execution::Ran, false, true, false)]
#[case::rejected(FailureKind::Rejected, Execution::NotRun, false, false, false)]
fn what_is_tried_again(
    #[case] kind: FailureKind,
    #[case] execution: Execution,
    #[case] once: bool,
    #[case] delivered: bool,
    #[case] again: bool,
) {
    let mut bench = Bench::ready();
    let id = bench.admit(if once { ask_once() } else { ask("key") });
    if once {
        bench.hear(granted(id));
    }
    let first = bench.assignment(id).engine.clone();
    bench.fail(id, kind, execution, delivered);
    if again {
        assert_eq!(bench.assignment(id).attempt, 2);
        assert_ne!(bench.assignment(id).engine, first);
    } else {
        assert_eq!(bench.verdict(id).execution, execution);
    }
}

fn granted(id: RequestId) -> Message {
    Message::ClaimResponse(ClaimResponse {
        ticket: id.sequence,
        grant: ClaimGrant::Granted,
    })
}

/// Found when a request that had broken once was refused as "not run" by the next engine.
#[test]
fn not_run_is_said_only_when_no_attempt_may_have_run() {
    let mut bench = Bench::ready();
    let id = bench.admit(ask("key"));
    bench.fail(id, FailureKind::Broken, Execution::MayHaveRun, false);
    bench.fail(id, FailureKind::Rejected, Execution::NotRun, false);
    assert_eq!(bench.verdict(id).execution, Execution::MayHaveRun);
}

#[test]
fn work_that_may_not_be_repeated_waits_for_its_claim() {
    let mut bench = Bench::ready();
    let id = bench.admit(ask_once());
    assert_eq!(bench.claims(), 1);
    assert!(bench.last(id).is_none(), "nothing runs before the claim");
    bench.hear(granted(id));
    bench.assignment(id);
}

#[test]
fn a_claim_that_nobody_answers_is_refused_and_given_back() {
    let mut bench = Bench::ready();
    let id = bench.admit(ask_once());
    bench.tick(Duration::from_secs(7));
    let verdict = bench.verdict(id).clone();
    assert_eq!(verdict.code, ErrorCode::LedgerUnavailable);
    assert_eq!(verdict.execution, Execution::NotRun);
    bench.finish(id, &Conclusion::Failed(verdict));
    bench.link_up_again();
    let given_back = bench
        .sent
        .iter()
        .any(|message| matches!(message, Message::Outcome(report) if report.execution == 0));
    assert!(given_back);
    bench.hear(granted(id));
    assert!(matches!(bench.last(id), Some(AdmitOutcome::Refused(_))));
}

#[test]
fn an_outcome_is_sent_until_it_is_stored() {
    let mut bench = Bench::ready();
    let id = bench.admit(ask_once());
    bench.hear(granted(id));
    bench.finish(id, &Conclusion::Answered);
    bench.core.stop();
    assert!(!bench.core.is_drained());
    bench.tick(Duration::from_secs(2));
    let outcomes = bench
        .sent
        .iter()
        .filter(|message| matches!(message, Message::Outcome(_)));
    assert_eq!(outcomes.count(), 2);
    bench.hear(Message::OutcomeStored(id.sequence));
    assert!(bench.core.is_drained());
}

#[test]
fn a_leaving_engine_gets_nothing_new() {
    let mut bench = Bench::ready();
    bench.engines(&[
        ("a", 1, EngineStateCode::Leaving),
        ("b", 1, EngineStateCode::Ready),
    ]);
    for _ in 0..20 {
        let id = bench.admit(ask("key"));
        assert_eq!(bench.assignment(id).engine.as_str(), "b");
    }
}

#[test]
fn a_restarted_engines_cache_is_not_relied_on() {
    let mut bench = Bench::ready();
    let id = bench.admit(ask("key"));
    let engine = bench.assignment(id).engine.clone();
    bench.finish(id, &Conclusion::Answered);
    let restarted = |name: &str| if engine.as_str() == name { 2 } else { 1 };
    bench.engines(&[
        ("a", restarted("a"), EngineStateCode::Ready),
        ("b", restarted("b"), EngineStateCode::Ready),
    ]);
    let again = bench.admit(ask("key"));
    let record = bench.core.explain(again).expect("it was just placed");
    let candidates = &record.attempts[0].candidates;
    let candidate = candidates
        .iter()
        .find(|candidate| candidate.engine == engine);
    let candidate = candidate.expect("both were considered");
    assert_eq!(candidate.incarnation.0, 2);
    // Only the presumption that a home holds the prefix is left, never the belief.
    assert!(candidate.expected_cached_tokens < 96, "{candidate:?}");
}

#[test]
fn a_stopping_router_refuses_new_work_and_finishes_what_is_open() {
    let mut bench = Bench::ready();
    let open = bench.admit(ask("key"));
    bench.core.stop();
    let late = bench.admit(ask("key"));
    assert_eq!(bench.verdict(late).code, ErrorCode::Stopping);
    assert!(!bench.core.is_drained());
    bench.finish(open, &Conclusion::Answered);
    assert!(bench.core.is_drained());
}

#[test]
fn a_link_whose_view_is_not_confirmed_is_left() {
    let mut bench = Bench::ready();
    let before = bench.link;
    for _ in 0..5 {
        bench.tick(Duration::from_secs(1));
        bench.hear_if_up(Message::Fresh(Freshness {
            revision: 3,
            epoch: 1,
            routers: 1,
        }));
    }
    assert_eq!(bench.link, before);
    for _ in 0..5 {
        bench.tick(Duration::from_secs(1));
    }
    assert_ne!(bench.link, before);
}

#[test]
fn the_story_of_a_retried_request_is_true() {
    let mut bench = Bench::ready();
    let id = bench.admit(ask("key"));
    let first = bench.assignment(id).engine.clone();
    bench.fail(id, FailureKind::Fenced, Execution::NotRun, false);
    let second = bench.assignment(id).engine.clone();
    bench.finish(id, &Conclusion::Answered);
    let record = bench.core.explain(id).expect("it is recent");
    assert_eq!(record.attempts.len(), 2);
    assert_eq!(record.attempts[0].chosen, Some(first.clone()));
    let verdict = record.attempts[0].verdict.as_ref();
    assert_eq!(
        verdict.map(|verdict| verdict.execution),
        Some(Execution::NotRun)
    );
    assert_eq!(record.attempts[1].chosen, Some(second));
    assert_eq!(record.attempts[1].excluded, [first]);
    assert!(record.attempts[1].verdict.is_none() && record.answered);
}

impl Bench {
    fn hear_if_up(&mut self, message: Message) {
        if self.link.is_some() {
            self.hear(message);
        }
    }

    fn stored_state(&self) -> StoredState {
        let file = |file| self.stored.get(&file).map(Vec::as_slice);
        StoredState::decode(file(StoredFile::Config), file(StoredFile::Engines))
            .expect("it was just stored")
    }

    fn link_up_again(&mut self) {
        for _ in 0..10 {
            self.tick(Duration::from_millis(500));
            if let Some(link) = self.link {
                self.core.on_connected(link);
                self.settle();
            }
        }
    }
}

#[test]
fn the_index_is_asked_and_its_answer_decides() {
    let mut bench = Bench::ready();
    bench.index_silent = true;
    let id = bench.admit(ask("key"));
    assert!(bench.last(id).is_none());
    let ticket = bench.sent.iter().find_map(ticket).expect("a question");
    let holding = |slot, blocks, waiting| HoldingRecord {
        slot,
        blocks,
        waiting,
        running: 0,
    };
    bench.answer_question(ticket, &[holding(2, 1, 0), holding(1, 0, 9)]);
    bench.settle();
    assert_eq!(bench.assignment(id).engine.as_str(), "b");
    let booked = bench.sent.iter().find_map(|message| match message {
        Message::Bookings(bookings) => bookings.records.items.first().copied(),
        _ => None,
    });
    let booked = booked.expect("a booking");
    assert_eq!((booked.ticket, booked.slot), (ticket, 2));
}

#[test]
fn an_index_that_does_not_answer_is_left_alone_for_a_while() {
    let mut bench = Bench::ready();
    bench.index_silent = true;
    let first = bench.admit(ask("key"));
    bench.tick(Duration::from_millis(100));
    bench.assignment(first);
    let asked = bench.sent.iter().filter_map(ticket).count();
    let second = bench.admit(ask("key"));
    bench.assignment(second);
    assert_eq!(bench.sent.iter().filter_map(ticket).count(), asked);
    bench.tick(Duration::from_secs(1));
    bench.admit(ask("key"));
    assert_eq!(bench.sent.iter().filter_map(ticket).count(), asked + 1);
}

#[test]
fn a_link_that_ends_ends_the_wait_for_the_index() {
    let mut bench = Bench::ready();
    bench.index_silent = true;
    let id = bench.admit(ask("key"));
    let link = bench.link.expect("a link is up");
    bench.core.on_closed(link);
    bench.settle();
    bench.assignment(id);
}

#[test]
fn a_late_answer_of_the_index_changes_nothing() {
    let mut bench = Bench::ready();
    bench.index_silent = true;
    let id = bench.admit(ask("key"));
    let ticket = bench.sent.iter().find_map(ticket).expect("a question");
    bench.tick(Duration::from_millis(100));
    let answers = bench.answers.len();
    bench.answer_question(ticket, &[]);
    bench.settle();
    assert_eq!(bench.answers.len(), answers);
    bench.assignment(id);
}

#[test]
fn a_request_that_ends_while_it_waits_for_the_index_says_nothing_of_it() {
    let mut bench = Bench::ready();
    bench.index_silent = true;
    let id = bench.admit(ask("key"));
    bench.finish(id, &Conclusion::CallerGone);
    bench.tick(Duration::from_millis(100));
    let asked = bench.sent.iter().filter_map(ticket).count();
    bench.admit(ask("key"));
    assert_eq!(bench.sent.iter().filter_map(ticket).count(), asked + 1);
}
