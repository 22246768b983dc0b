//! The metrics of a process, served in the OpenMetrics text format.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use drumshore_gateway_core::Leave;
use hyper::{Request, Response};
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::answer::{self, AnswerBody};

mod clients;
mod counters;
mod crashes;
mod event_loop;
mod stop;
mod streams;
mod tenant_demands;

pub(crate) use clients::ClientMetrics;
pub(crate) use counters::Counters;
pub(crate) use crashes::CrashMetrics;
pub(crate) use event_loop::EventLoopMetrics;
pub(crate) use stop::StopMetrics;
pub(crate) use streams::StreamMetrics;
pub(crate) use tenant_demands::{TenantDemandGauges, MAX_DEMAND_LABELS};

const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 10.0,
];

/// The outcome of a request, attempt or decision.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct OutcomeLabel {
    /// One of a fixed set of names.
    pub outcome: &'static str,
}

/// What marked the end of an answer's body, and how the body ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AnswerEndLabel {
    framing: &'static str,
    outcome: &'static str,
}

/// Tenants with their own counters; the others share one.
const MAX_TENANT_LABELS: usize = 64;
/// The label of all further tenants.
const OTHER_TENANTS: &str = "other";

/// A back end.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct BackEndLabel {
    /// The name of the incarnation.
    pub back_end: String,
}

/// A header that the gateway does not know.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct NameLabel {
    /// The header's name, or one name for all beyond a limit.
    pub name: String,
}

/// A tenant with a limit, and the outcome of its requests.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct TenantLabel {
    /// The tenant, or [`OTHER_TENANTS`].
    pub tenant: String,
    /// One of a fixed set of names.
    pub outcome: &'static str,
}

/// The metrics of one process.
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by the outcome that was answered.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Attempts at back ends by outcome.
    pub attempts: Family<OutcomeLabel, Counter>,
    /// Seconds from the request to the head of the answer.
    pub latency: Histogram,
    /// Answers that missed a target, by target.
    late_answers: Family<OutcomeLabel, Counter>,
    /// Bodies of back ends' answers by how they ended.
    answer_ends: Family<AnswerEndLabel, Counter>,
    /// Answers whose end nothing marked, by what was found of their back end.
    unmarked_ends: Family<OutcomeLabel, Counter>,
    /// Answers of back ends that exceeded a limit, by limit.
    answer_limits_exceeded: Family<OutcomeLabel, Counter>,
    /// Streams that went on at another back end.
    pub streams: StreamMetrics,
    /// What back ends were serving when they crashed.
    pub crashes: CrashMetrics,
    /// How late the event loop runs.
    pub event_loop: EventLoopMetrics,
    /// Requests that are open, also when the process stops.
    pub stop: StopMetrics,
    /// What is held for clients.
    pub clients: ClientMetrics,
    /// Units of the limits of tenants, admitted and refused.
    limit_units: Family<TenantLabel, Counter>,
    /// Tenants with their own counters.
    labelled_tenants: RefCell<BTreeSet<String>>,
    /// Back ends whose connections broke, by the result of probing their address.
    broken_back_ends: Family<OutcomeLabel, Counter>,
    probed_back_ends: Family<OutcomeLabel, Counter>,
    /// Checks of paths to pools.
    path_checks: Family<OutcomeLabel, Counter>,
    /// Attempts to forward a request to another router.
    forwarded_requests: Family<OutcomeLabel, Counter>,
    /// Notices of back ends in their answers, by kind.
    back_end_notices: Family<OutcomeLabel, Counter>,
    /// Back ends that this router learned to be leaving or gone, by how it learned it.
    leaves: Family<OutcomeLabel, Counter>,
    /// Unknown headers in back ends' answers, by name.
    unknown_headers: Family<NameLabel, Counter>,
    /// Unknown fields of documents, by path.
    unknown_fields: Family<NameLabel, Counter>,
    /// Bytes sent over links to other processes, by kind of message; the kind `dropped` counts messages.
    pub link_bytes: Counters,
    /// Requests to control machines for changes, and the outcomes of the answers.
    fetches: Family<OutcomeLabel, Counter>,
    /// Decisions of a control machine by outcome.
    pub decisions: Family<OutcomeLabel, Counter>,
    /// Time factors of back ends, relative to the mean of their pool.
    back_end_speeds: Family<BackEndLabel, Gauge<f64, AtomicU64>>,
    /// Revision of the router's view or of the control machine's state.
    pub revision: Gauge,
    /// Milliseconds since the view was last confirmed to be current.
    pub view_age_ms: Gauge,
    /// Tenants' demand for pools that are nearly full, and their shares.
    pub tenant_demands: TenantDemandGauges,
}

impl Metrics {
    pub fn new() -> Rc<Self> {
        let requests = Family::default();
        let attempts = Family::default();
        let latency = Histogram::new(LATENCY_BUCKETS);
        let late_answers = Family::default();
        let answer_ends = Family::default();
        let unmarked_ends = Family::default();
        let answer_limits_exceeded = Family::default();
        let streams = StreamMetrics::default();
        let crashes = CrashMetrics::default();
        let event_loop = EventLoopMetrics::default();
        let stop = StopMetrics::default();
        let clients = ClientMetrics::default();
        let limit_units = Family::default();
        let broken_back_ends = Family::default();
        let probed_back_ends = Family::default();
        let path_checks = Family::default();
        let forwarded_requests = Family::default();
        let back_end_notices = Family::default();
        let leaves = Family::default();
        let unknown_headers = Family::default();
        let unknown_fields = Family::default();
        let link_bytes = Counters::default();
        let fetches = Family::default();
        let decisions = Family::default();
        let back_end_speeds = Family::default();
        let revision = Gauge::default();
        let view_age_ms = Gauge::default();
        let tenant_demands = TenantDemandGauges::default();
        let mut registry = Registry::with_prefix("drumshore_gateway");
        registry.register("requests", "Requests by answer", Clone::clone(&requests));
        registry.register("attempts", "Attempts by end", Clone::clone(&attempts));
        registry.register("answer_head_seconds", "Time to the head", latency.clone());
        registry.register(
            "late_answers",
            "Answers that missed a target",
            Clone::clone(&late_answers),
        );
        registry.register(
            "answer_ends",
            "Bodies of back ends' answers, by framing and end",
            Clone::clone(&answer_ends),
        );
        registry.register(
            "unmarked_ends",
            "Answers whose end nothing marked, by what was found of their back end",
            Clone::clone(&unmarked_ends),
        );
        registry.register(
            "answer_limits_exceeded",
            "Answers of back ends and stores that exceeded a limit, by limit",
            Clone::clone(&answer_limits_exceeded),
        );
        streams.register(&mut registry);
        crashes.register(&mut registry);
        event_loop.register(&mut registry);
        stop.register(&mut registry);
        clients.register(&mut registry);
        registry.register(
            "limit_units",
            "Units of tenants' limits",
            Clone::clone(&limit_units),
        );
        registry.register(
            "broken_back_ends",
            "Back ends whose connections broke, by finding",
            Clone::clone(&broken_back_ends),
        );
        registry.register(
            "probed_back_ends",
            "Back ends that sent nothing with requests in flight, by finding",
            Clone::clone(&probed_back_ends),
        );
        registry.register(
            "path_checks",
            "Checks of the path to the back ends of a pool",
            Clone::clone(&path_checks),
        );
        registry.register(
            "forwarded_requests",
            "Attempts to forward a request to another router",
            Clone::clone(&forwarded_requests),
        );
        registry.register(
            "back_end_notices",
            "What back ends said of themselves in answers",
            Clone::clone(&back_end_notices),
        );
        registry.register(
            "leaves",
            "Back ends that were learned to be leaving or gone, by source",
            Clone::clone(&leaves),
        );
        registry.register(
            "unknown_headers",
            "Headers of back ends' answers that nobody reads",
            Clone::clone(&unknown_headers),
        );
        registry.register(
            "unknown_fields",
            "Fields of heartbeats and configurations that nobody reads",
            Clone::clone(&unknown_fields),
        );
        registry.register(
            "link_bytes",
            "Bytes to other processes, by kind of message; of the kind dropped, messages",
            link_bytes.0.clone(),
        );
        registry.register(
            "fetches",
            "Questions for changes of the view, and answers by outcome",
            Clone::clone(&fetches),
        );
        registry.register("decisions", "Control decisions", Clone::clone(&decisions));
        registry.register(
            "back_end_time_factor",
            "Time that a back end takes for a piece of work, relative to the mean of its pool",
            Clone::clone(&back_end_speeds),
        );
        registry.register("revision", "Revision held", revision.clone());
        registry.register("view_age_ms", "Age of the view", view_age_ms.clone());
        tenant_demands.register(&mut registry);
        Rc::new(Self {
            registry,
            requests,
            attempts,
            latency,
            late_answers,
            answer_ends,
            unmarked_ends,
            answer_limits_exceeded,
            streams,
            crashes,
            event_loop,
            stop,
            clients,
            limit_units,
            labelled_tenants: RefCell::default(),
            broken_back_ends,
            probed_back_ends,
            path_checks,
            forwarded_requests,
            back_end_notices,
            leaves,
            unknown_headers,
            unknown_fields,
            link_bytes,
            fetches,
            decisions,
            back_end_speeds,
            revision,
            view_age_ms,
            tenant_demands,
        })
    }

    pub fn count_request(&self, outcome: &'static str, latency: Duration) {
        self.requests.get_or_create(&OutcomeLabel { outcome }).inc();
        self.latency.observe(latency.as_secs_f64());
    }

    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub fn count_late(&self, outcome: &'static str) {
        let label = OutcomeLabel { outcome };
        self.late_answers.get_or_create(&label).inc();
    }

    pub fn count_answer_end(&self, framing: &'static str, outcome: &'static str) {
        let label = AnswerEndLabel { framing, outcome };
        self.answer_ends.get_or_create(&label).inc();
    }

    pub fn count_unmarked_end(&self, outcome: &'static str) {
        let label = OutcomeLabel { outcome };
        self.unmarked_ends.get_or_create(&label).inc();
    }

    pub fn count_answer_limit_exceeded(&self, outcome: &'static str) {
        let label = OutcomeLabel { outcome };
        self.answer_limits_exceeded.get_or_create(&label).inc();
    }

    pub fn count_limit_units(&self, tenant: &str, outcome: &'static str, units: u32) {
        let mut labelled = self.labelled_tenants.borrow_mut();
        if labelled.len() < MAX_TENANT_LABELS && !labelled.contains(tenant) {
            labelled.insert(tenant.to_owned());
        }
        let is_labelled = labelled.contains(tenant);
        let tenant = if is_labelled { tenant } else { OTHER_TENANTS }.to_owned();
        let label = TenantLabel { tenant, outcome };
        let counter = self.limit_units.get_or_create(&label);
        counter.inc_by(u64::from(units));
    }

    pub fn count_back_end_broken(&self, outcome: &'static str) {
        let label = OutcomeLabel { outcome };
        self.broken_back_ends.get_or_create(&label).inc();
    }

    pub fn count_back_end_probed(&self, outcome: &'static str) {
        let label = OutcomeLabel { outcome };
        self.probed_back_ends.get_or_create(&label).inc();
    }

    pub fn count_path_check(&self, outcome: &'static str) {
        let label = OutcomeLabel { outcome };
        self.path_checks.get_or_create(&label).inc();
    }

    pub fn count_forwarded(&self, outcome: &'static str) {
        let label = OutcomeLabel { outcome };
        self.forwarded_requests.get_or_create(&label).inc();
    }

    pub fn count_notice(&self, outcome: &'static str) {
        let label = OutcomeLabel { outcome };
        self.back_end_notices.get_or_create(&label).inc();
    }

    pub fn count_leave(&self, leave: Leave) {
        let outcome = match leave {
            Leave::Announced => "announced",
            Leave::Draining => "draining",
            Leave::Removed => "removed",
        };
        self.leaves.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub fn count_unknown_header(&self, name: &str) {
        let label = NameLabel {
            name: name.to_owned(),
        };
        self.unknown_headers.get_or_create(&label).inc();
    }

    pub fn count_unknown_field(&self, name: &str) {
        let label = NameLabel {
            name: name.to_owned(),
        };
        self.unknown_fields.get_or_create(&label).inc();
    }

    pub fn count_fetch(&self, outcome: &'static str) {
        self.fetches.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub fn count_decision(&self, outcome: &'static str) {
        self.decisions
            .get_or_create(&OutcomeLabel { outcome })
            .inc();
    }

    /// Replaces the time factors of back ends.
    pub fn set_back_end_speeds<'a>(&self, speeds: impl Iterator<Item = (&'a str, f64)>) {
        self.back_end_speeds.clear();
        for (back_end, time_factor) in speeds {
            let back_end = back_end.to_owned();
            let gauge = self
                .back_end_speeds
                .get_or_create(&BackEndLabel { back_end });
            gauge.set(time_factor);
        }
    }

    /// Answers any request with all metrics.
    pub fn answer<B>(&self, _request: &Request<B>) -> Response<AnswerBody> {
        let mut text = String::new();
        if encode(&mut text, &self.registry).is_err() {
            return answer::plain(hyper::StatusCode::INTERNAL_SERVER_ERROR, "");
        }
        answer::typed(CONTENT_TYPE, text)
    }
}
