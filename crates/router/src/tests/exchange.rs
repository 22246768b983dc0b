use drumshore_core::{
    EngineName, Execution, Incarnation, ModelName, Priority, RequestId, TenantName, WeightsVersion,
};
use drumshore_routing::{AnswerReport, PrefixRoot};
use rstest::rstest;

use crate::core::{AdmitOutcome, Assignment};
use crate::exchange::{
    Conclusion, Exchange, ExchangeParams, FailureKind, Next, UpstreamCall, UpstreamEnd,
    UpstreamHead,
};

fn assignment(attempt: u32) -> Assignment {
    Assignment {
        request: RequestId {
            router: 1,
            sequence: 1,
        },
        attempt,
        engine: EngineName::new("e"),
        address: "127.0.0.1:1".to_owned(),
        incarnation: Incarnation(1),
        weights_version: WeightsVersion(1),
        cache_salt: PrefixRoot::new(
            &TenantName::new("t"),
            &ModelName::new("m"),
            WeightsVersion(1),
            None,
        ),
        priority: Priority::Standard,
        idempotency_key: None,
    }
}

fn started(params: ExchangeParams) -> Exchange {
    let mut exchange = Exchange::new(params);
    let next = exchange.on_outcome(AdmitOutcome::Assigned(assignment(1)));
    assert_eq!(next, Next::Call(UpstreamCall::Start(assignment(1))));
    exchange
}

fn streaming() -> ExchangeParams {
    ExchangeParams {
        streams: true,
        outlives_caller: false,
    }
}

fn ok() -> UpstreamHead {
    UpstreamHead {
        status: 200,
        report: AnswerReport {
            cached_tokens: Some(7),
            load: None,
        },
        ..UpstreamHead::default()
    }
}

fn failure(next: Next) -> crate::exchange::AttemptFailure {
    match next {
        Next::Report(failure) => failure,
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::unreachable(UpstreamEnd::NotConnected, Execution::NotRun)]
#[case::ended(UpstreamEnd::Ended, Execution::MayHaveRun)]
fn connection_lost_before_the_answer_is_not_run_only_if_never_opened(
    #[case] end: UpstreamEnd,
    #[case] execution: Execution,
) {
    let mut exchange = started(streaming());
    let mut next = exchange.on_end(end);
    while let Next::Call(UpstreamCall::Resume { .. }) = next {
        next = exchange.on_end(UpstreamEnd::Ended);
    }
    assert_eq!(failure(next).error.execution, execution);
}

#[rstest]
#[case::fence(
    412,
    Some("fence"),
    Some(Execution::NotRun),
    FailureKind::Fenced,
    Execution::NotRun
)]
#[case::leaving(
    503,
    Some("leaving"),
    Some(Execution::NotRun),
    FailureKind::Leaving,
    Execution::NotRun
)]
#[case::status_503_without_reason(503, None, None, FailureKind::Broken, Execution::MayHaveRun)]
#[case::status_500(500, None, None, FailureKind::Broken, Execution::MayHaveRun)]
#[case::bad_request(400, None, None, FailureKind::Rejected, Execution::NotRun)]
fn refusals_are_classified_by_reason_and_status(
    #[case] status: u16,
    #[case] refusal: Option<&str>,
    #[case] reported_execution: Option<Execution>,
    #[case] kind: FailureKind,
    #[case] execution: Execution,
) {
    let mut exchange = started(streaming());
    let head = UpstreamHead {
        status,
        execution: reported_execution,
        refusal: refusal.map(str::to_owned),
        report: AnswerReport::default(),
    };
    let failure = failure(exchange.on_head(&head));
    assert_eq!((failure.kind, failure.error.execution), (kind, execution));
}

#[test]
fn interrupted_stream_resumes_after_the_last_event_and_is_complete() {
    let mut exchange = started(streaming());
    let mut forwarded = String::new();
    exchange.on_head(&ok());
    exchange.on_bytes(b"id: 0\ndata: a\n\nid: 1\nda", &mut |event| {
        forwarded += event.data
    });
    let first = exchange.take_first_token().expect("a token arrived");
    assert_eq!(first.cached_tokens, Some(7));
    let next = exchange.on_end(UpstreamEnd::Ended);
    let resume = UpstreamCall::Resume {
        assignment: assignment(1),
        last_event: Some(0),
    };
    assert_eq!(next, Next::Call(resume));
    exchange.on_head(&ok());
    let rest = b"id: 1\ndata: b\n\ndata: [DONE]\n\n";
    let next = exchange.on_bytes(rest, &mut |event| forwarded += event.data);
    assert_eq!(next, Next::Finish(Conclusion::Answered));
    assert_eq!(forwarded, "ab[DONE]");
}

#[test]
fn stream_without_its_final_event_is_a_failure() {
    let mut exchange = started(streaming());
    exchange.on_head(&ok());
    exchange.on_bytes(b"id: 0\ndata: a\n\n", &mut |_| {});
    let mut next = exchange.on_end(UpstreamEnd::Ended);
    while let Next::Call(_) = next {
        next = exchange.on_end(UpstreamEnd::NotConnected);
    }
    let failure = failure(next);
    assert!(failure.delivered);
    assert_eq!(failure.error.execution, Execution::Ran);
}

#[test]
fn retry_without_streaming_discards_the_partial_answer() {
    let mut exchange = started(ExchangeParams::default());
    exchange.on_head(&ok());
    let first = b"id: 0\ndata: {\"choices\":[{\"text\":\"lost\"}]}\n\n";
    exchange.on_bytes(first, &mut |_| {});
    let failure = failure(exchange.exhaust_resumes());
    assert!(!failure.delivered);
    exchange.on_outcome(AdmitOutcome::Assigned(assignment(2)));
    exchange.on_head(&ok());
    let second = b"id: 0\ndata: {\"choices\":[{\"text\":\"kept\"}]}\n\ndata: [DONE]\n\n";
    let next = exchange.on_bytes(second, &mut |_| {});
    assert_eq!(next, Next::Finish(Conclusion::Answered));
    assert_eq!(exchange.answer().text, "kept");
}

#[test]
fn idempotent_request_continues_after_its_caller_disconnects() {
    let mut idempotent = started(ExchangeParams {
        streams: true,
        outlives_caller: true,
    });
    idempotent.on_head(&ok());
    assert_eq!(idempotent.on_caller_gone(), Next::Read);
    let mut forwarded = 0;
    let rest = b"id: 0\ndata: {\"choices\":[{\"text\":\"booked\"}]}\n\ndata: [DONE]\n\n";
    let next = idempotent.on_bytes(rest, &mut |_| forwarded += 1);
    assert_eq!(next, Next::Finish(Conclusion::Answered));
    assert_eq!(
        (forwarded, idempotent.answer().text.as_str()),
        (0, "booked")
    );
    let mut ordinary = started(streaming());
    assert_eq!(
        ordinary.on_caller_gone(),
        Next::Finish(Conclusion::CallerGone)
    );
}

impl Exchange {
    /// Ends every connection until no resume is left and the attempt fails.
    fn exhaust_resumes(&mut self) -> Next {
        let mut next = self.on_end(UpstreamEnd::Ended);
        while let Next::Call(_) = next {
            next = self.on_end(UpstreamEnd::NotConnected);
        }
        next
    }
}
