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
#[case::fence(UpstreamEnd::Ended, Execution::MayHaveRun)]
fn what_a_lost_connection_means_before_the_answer_began(
    #[case] end: UpstreamEnd,
    #[case] execution: Execution,
) {
    let mut exchange = started(streaming());
    let mut next = exchange.on_end(end);
    while let Next::Call(UpstreamCall::Resume { .. }) = next {
        next = exchange.on_end(UpstreamEnd::Ended);
    }
    assert_eq!(failure(next).verdict.execution, execution);
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
#[case::silent_503(503, None, None, FailureKind::Broken, Execution::MayHaveRun)]
#[case::crash(500, None, None, FailureKind::Broken, Execution::MayHaveRun)]
#[case::bad(400, None, None, FailureKind::Rejected, Execution::NotRun)]
fn what_a_refusal_means(
    #[case] status: u16,
    #[case] refusal: Option<&str>,
    #[case] said: Option<Execution>,
    #[case] kind: FailureKind,
    #[case] execution: Execution,
) {
    let mut exchange = started(streaming());
    let head = UpstreamHead {
        status,
        execution: said,
        refusal: refusal.map(str::to_owned),
        report: AnswerReport::default(),
    };
    let failure = failure(exchange.on_head(&head));
    assert_eq!((failure.kind, failure.verdict.execution), (kind, execution));
}

#[test]
fn a_cut_stream_resumes_behind_the_last_event_and_ends_whole() {
    let mut exchange = started(streaming());
    let mut passed = String::new();
    exchange.on_head(&ok());
    exchange.on_bytes(b"id: 0\ndata: a\n\nid: 1\nda", &mut |event| {
        passed += event.data
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
    let next = exchange.on_bytes(rest, &mut |event| passed += event.data);
    assert_eq!(next, Next::Finish(Conclusion::Answered));
    assert_eq!(passed, "ab[DONE]");
}

#[test]
fn a_stream_that_ends_without_its_last_event_is_not_answered() {
    let mut exchange = started(streaming());
    exchange.on_head(&ok());
    exchange.on_bytes(b"id: 0\ndata: a\n\n", &mut |_| {});
    let mut next = exchange.on_end(UpstreamEnd::Ended);
    while let Next::Call(_) = next {
        next = exchange.on_end(UpstreamEnd::NotConnected);
    }
    let failure = failure(next);
    assert!(failure.delivered);
    assert_eq!(failure.verdict.execution, Execution::Ran);
}

#[test]
fn without_streaming_another_attempt_starts_afresh() {
    let mut exchange = started(ExchangeParams::default());
    exchange.on_head(&ok());
    let first = b"id: 0\ndata: {\"choices\":[{\"text\":\"lost\"}]}\n\n";
    exchange.on_bytes(first, &mut |_| {});
    let failure = failure(exchange.on_end_for_good());
    assert!(!failure.delivered);
    exchange.on_outcome(AdmitOutcome::Assigned(assignment(2)));
    exchange.on_head(&ok());
    let second = b"id: 0\ndata: {\"choices\":[{\"text\":\"kept\"}]}\n\ndata: [DONE]\n\n";
    let next = exchange.on_bytes(second, &mut |_| {});
    assert_eq!(next, Next::Finish(Conclusion::Answered));
    assert_eq!(exchange.answer().text, "kept");
}

#[test]
fn work_that_may_not_be_repeated_goes_on_without_its_caller() {
    let mut kept = started(ExchangeParams {
        streams: true,
        outlives_caller: true,
    });
    kept.on_head(&ok());
    assert_eq!(kept.on_caller_gone(), Next::Read);
    let mut passed = 0;
    let rest = b"id: 0\ndata: {\"choices\":[{\"text\":\"booked\"}]}\n\ndata: [DONE]\n\n";
    let next = kept.on_bytes(rest, &mut |_| passed += 1);
    assert_eq!(next, Next::Finish(Conclusion::Answered));
    assert_eq!((passed, kept.answer().text.as_str()), (0, "booked"));
    let mut left = started(streaming());
    assert_eq!(left.on_caller_gone(), Next::Finish(Conclusion::CallerGone));
}

impl Exchange {
    /// Ends every connection until the attempt counts as failed.
    fn on_end_for_good(&mut self) -> Next {
        let mut next = self.on_end(UpstreamEnd::Ended);
        while let Next::Call(_) = next {
            next = self.on_end(UpstreamEnd::NotConnected);
        }
        next
    }
}
