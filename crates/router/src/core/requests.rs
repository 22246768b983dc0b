//! The life cycle of a request: admission, queueing, retries and the end.

use drumshore_core::{ErrorCode, Execution, RequestError, RequestId, TenantName, TenantSpec};
use drumshore_guard::{enforced, Guard};
use drumshore_routing::{
    AdmissionDecision, AdmissionRequest, DecisionRecord, FairQueue, QueuedItem,
};

use super::{ActiveRequest, AdmitOutcome, AdmitRequest, Phase, Purpose, RouterCore};
use crate::answer::RecordedAnswer;
use crate::exchange::{AttemptFailure, Conclusion, FailureKind};

/// Retry delay given to a caller when the router is stopping, the queue is full or the wait timed
/// out.
const RETRY_AFTER_SHED: std::time::Duration = std::time::Duration::from_secs(1);

impl RouterCore {
    /// Admits a request; the decision follows as [`Effect::Answer`](super::Effect::Answer).
    pub fn admit(&mut self, admit_request: AdmitRequest) -> RequestId {
        self.next_sequence += 1;
        self.metrics.requests += 1;
        let id = RequestId {
            router: self.router_id,
            sequence: self.next_sequence,
        };
        if self.stopping {
            let error = RequestError::not_run(ErrorCode::Stopping, "the router is stopping");
            self.refuse_new(id, error.retry_after(RETRY_AFTER_SHED));
        } else {
            self.identify(id, admit_request);
        }
        id
    }

    /// Handles a failed attempt; another decision for the request follows as an effect.
    pub fn on_attempt_failed(&mut self, id: RequestId, failure: &AttemptFailure) {
        let Some(request) = self.active.get_mut(&id) else {
            return;
        };
        let Phase::Running(placement) = &request.phase else {
            return;
        };
        let placement = placement.clone();
        request.excluded.push(placement.engine);
        request.phase = Phase::Queued;
        request.execution = request.execution.max(failure.error.execution);
        request.deadline = self.now.plus(self.params.queue_timeout);
        if !failure.delivered {
            request.pinned_weights = None;
        }
        let is_engine_fault =
            !matches!(failure.kind, FailureKind::Rejected | FailureKind::Diverged);
        let until = is_engine_fault.then(|| self.now.plus(self.params.suspect_time));
        self.placer.on_failed(&placement, until);
        self.record_attempt_failure(id, &failure.error);
        if self.may_retry(id, failure) {
            self.metrics.retries += 1;
            self.queue_or_place(id);
        } else {
            self.refuse_active(id, failure.error.clone());
        }
        self.dispatch_queued();
    }

    /// Handles the end of a request: releases the capacity it holds, counts it and records its
    /// outcome.
    pub fn on_finished(&mut self, id: RequestId, conclusion: &Conclusion, answer: &RecordedAnswer) {
        let Some(request) = self.active.remove(&id) else {
            return;
        };
        if let Phase::Running(placement) = &request.phase {
            self.placer.on_ended(placement);
        }
        self.remove_queued(&request, id);
        self.admission.release(&request.tenant);
        match conclusion {
            Conclusion::Answered => {
                self.metrics.answered += 1;
                self.metrics.prompt_tokens +=
                    u64::from(request.admit_request.prompt.as_prompt().token_count());
                self.record_outcome(&request, id, Execution::Ran, Some(answer));
                if let Some(record) = self.decisions.get_mut(id) {
                    record.answered = true;
                }
            }
            Conclusion::Recorded(_) => self.metrics.answered += 1,
            Conclusion::Failed(error) => {
                self.count_failure(error);
                self.record_outcome(&request, id, error.execution, None);
                self.record_end(id, error);
            }
            Conclusion::CallerGone => {
                self.metrics.failed += 1;
                let message = "the caller went away";
                let error = RequestError::may_have_run(ErrorCode::EngineFailed, message);
                self.record_outcome(&request, id, error.execution, None);
                self.record_end(id, &error);
            }
        }
        self.dispatch_queued();
    }

    pub(super) fn admit_tenant(
        &mut self,
        id: RequestId,
        admit_request: AdmitRequest,
        tenant: TenantName,
        spec: &TenantSpec,
    ) {
        if admit_request.purpose == Purpose::ListModels {
            let mut models: Vec<_> = self.config.models().collect();
            models.retain(|model| spec.models.is_empty() || spec.models.contains(model));
            return self.answer(id, AdmitOutcome::Models(models));
        }
        let allowed = spec.models.is_empty() || spec.models.contains(&admit_request.model);
        if !allowed || self.config.model(&admit_request.model).is_none() {
            let message = format!("model {} is not served to this tenant", admit_request.model);
            return self.refuse_new(id, RequestError::not_run(ErrorCode::UnknownModel, message));
        }
        let limits = &spec.limits;
        let request = AdmissionRequest {
            tenant: &tenant,
            limits,
        };
        if let AdmissionDecision::Refused(error) = self.admission.admit(&request, self.now) {
            return self.refuse_new(id, error);
        }
        self.retry.deposit(&tenant);
        let request = self.active_request(admit_request, tenant, spec);
        self.open_record(id, &request);
        let claims = request.admit_request.idempotency_key.is_some();
        self.active.insert(id, request);
        if claims && enforced(Guard::ClaimBeforeDispatch) {
            self.claim(id);
        } else {
            self.queue_or_place(id);
        }
    }

    /// Keeps a request until its tenant is identified.
    pub(super) fn await_tenant(&mut self, id: RequestId, admit_request: AdmitRequest) {
        let until = self.now.plus(self.params.tenant_query_timeout);
        let mut request =
            self.active_request(admit_request, TenantName::default(), &unknown_tenant());
        request.phase = Phase::AwaitingTenant { until };
        self.active.insert(id, request);
    }

    /// Refuses a request that was not admitted.
    pub(super) fn refuse_new(&mut self, id: RequestId, error: RequestError) {
        self.metrics.refused += 1;
        self.answer(id, AdmitOutcome::Refused(error));
    }

    /// Refuses an admitted request; its owner then ends it with `on_finished`. The error is "not
    /// run" only if no attempt may have run.
    pub(super) fn refuse_active(&mut self, id: RequestId, mut error: RequestError) {
        if let Some(request) = self.active.get(&id) {
            error.execution = error.execution.max(request.execution);
        }
        self.answer(id, AdmitOutcome::Refused(error));
    }

    /// Places a request, or queues it if others wait or no engine has capacity.
    pub(super) fn queue_or_place(&mut self, id: RequestId) {
        let Some(request) = self.active.get_mut(&id) else {
            return;
        };
        request.phase = Phase::Queued;
        let model = request.admit_request.model.clone();
        let has_waiting = self
            .queues
            .get(&model)
            .is_some_and(|queue| !queue.is_empty());
        if !has_waiting && self.place(id) {
            return;
        }
        self.enqueue(id);
    }

    /// Places queued requests of each model until no engine has capacity.
    pub(super) fn dispatch_queued(&mut self) {
        let models: Vec<_> = self.queues.keys().cloned().collect();
        for model in models {
            while let Some(item) = self.queues.get_mut(&model).and_then(FairQueue::pop) {
                let Some(weight) = self.active.get(&item.item).map(|request| request.weight) else {
                    continue;
                };
                if !self.place(item.item) {
                    if let Some(queue) = self.queues.get_mut(&model) {
                        queue.requeue_front(item, weight);
                    }
                    break;
                }
            }
        }
    }

    /// Refuses queued requests whose deadline has passed.
    pub(super) fn expire_queued(&mut self) {
        let now = self.now;
        let expired: Vec<RequestId> = self
            .queues
            .values_mut()
            .flat_map(|queue| queue.drain_where(|item| item.deadline <= now))
            .map(|item| item.item)
            .collect();
        for id in expired {
            let message = "no engine took the request in time";
            let error = RequestError::not_run(ErrorCode::DeadlineExceeded, message);
            self.refuse_active(id, error.retry_after(RETRY_AFTER_SHED));
        }
    }

    fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.active.get(&id) else {
            return;
        };
        let item = QueuedItem {
            item: id,
            tenant: request.tenant.clone(),
            priority: request.priority,
            cost: u64::from(request.admit_request.prompt.as_prompt().token_count()),
            deadline: request.deadline,
        };
        let weight = request.weight;
        let capacity = self.params.queue_capacity;
        let queue = self
            .queues
            .entry(request.admit_request.model.clone())
            .or_insert_with(|| FairQueue::new(capacity));
        if let Some(shed) = queue.push(item, weight) {
            let message = "too many requests wait for an engine";
            let error = RequestError::not_run(ErrorCode::Overloaded, message);
            self.refuse_active(shed.item, error.retry_after(RETRY_AFTER_SHED));
        }
    }

    /// A request is retried only if it did not run or may run twice. If the caller already has part
    /// of the answer, only a deterministic request can continue it.
    fn may_retry(&mut self, id: RequestId, failure: &AttemptFailure) -> bool {
        let Some(request) = self.active.get(&id) else {
            return false;
        };
        let kind_allows = !matches!(failure.kind, FailureKind::Rejected | FailureKind::Diverged);
        let not_run = failure.error.execution == Execution::NotRun;
        let repeatable = request.admit_request.idempotency_key.is_none();
        let continuable = !failure.delivered || request.admit_request.deterministic;
        let safe = not_run || (repeatable && continuable) || !enforced(Guard::RetryOnlyIfSafe);
        let attempts = request.attempts;
        let tenant = request.tenant.clone();
        kind_allows && safe && self.retry.withdraw(&tenant, attempts)
    }

    fn active_request(
        &self,
        admit_request: AdmitRequest,
        tenant: TenantName,
        spec: &TenantSpec,
    ) -> ActiveRequest {
        let class = admit_request
            .priority_class
            .as_deref()
            .and_then(|name| self.config.priority_class(name));
        let requested_priority = class.map(|class| class.priority).or(admit_request.priority);
        let timeout = class.map_or(self.params.queue_timeout, |class| {
            std::time::Duration::from_millis(class.deadline_ms)
        });
        ActiveRequest {
            admit_request,
            tenant,
            weight: spec.limits.weight,
            priority: requested_priority.unwrap_or(spec.default_priority),
            deadline: self.now.plus(timeout),
            attempts: 0,
            excluded: Vec::new(),
            pinned_weights: None,
            execution: Execution::NotRun,
            phase: Phase::Queued,
        }
    }

    fn open_record(&mut self, id: RequestId, request: &ActiveRequest) {
        self.decisions.open(DecisionRecord {
            request: id,
            tenant: request.tenant.clone(),
            model: request.admit_request.model.clone(),
            revision: self.config.floor().0,
            prompt_tokens: request.admit_request.prompt.as_prompt().token_count(),
            non_repeatable: request.admit_request.idempotency_key.is_some(),
            attempts: Vec::new(),
            error: None,
            answered: false,
        });
    }

    fn count_failure(&mut self, error: &RequestError) {
        if error.execution == Execution::NotRun {
            self.metrics.refused += 1;
        } else {
            self.metrics.failed += 1;
        }
    }

    fn record_attempt_failure(&mut self, id: RequestId, error: &RequestError) {
        let record = self.decisions.get_mut(id);
        if let Some(attempt) = record.and_then(|record| record.attempts.last_mut()) {
            attempt.error = Some(error.clone());
        }
    }

    fn record_end(&mut self, id: RequestId, error: &RequestError) {
        if let Some(record) = self.decisions.get_mut(id) {
            record.error = Some(error.clone());
        }
    }

    fn remove_queued(&mut self, request: &ActiveRequest, id: RequestId) {
        if let Some(queue) = self.queues.get_mut(&request.admit_request.model) {
            queue.drain_where(|item| item.item == id);
        }
    }
}

fn unknown_tenant() -> TenantSpec {
    TenantSpec {
        key_hashes: Default::default(),
        models: Default::default(),
        limits: Default::default(),
        default_priority: Default::default(),
    }
}
