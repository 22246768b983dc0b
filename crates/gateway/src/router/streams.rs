//! Records which software version began the streams of this router, and finds out where other routers' streams began.

use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use drumshore_gateway_core::{
    Choice, Message, SoftwareKey, StreamKey, StreamOrigin, StreamPublisher,
};
use drumshore_wire::List;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep, timeout};

use super::control_links::Links;
use super::forward::Call;
use super::Router;

/// How long control machines may take to answer; one of them may be cut off.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before control machines are asked again: the origin may still be on its way to them.
const LOOKUP_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Origins in one message.
const MAX_BATCH: usize = 1_000;
/// An origin is kept a little longer than the caller waits, which accounts for the time until the caller returns.
const LIFETIME_MARGIN: Duration = Duration::from_secs(1);

/// Receives the answers of control machines to one lookup.
type Answers = UnboundedSender<Option<SoftwareKey>>;

/// The origins of streams as this router knows and asks for them.
pub(super) struct Streams {
    publisher: RefCell<StreamPublisher>,
    links: OnceCell<Rc<Links>>,
    /// Lookups in progress.
    lookups: RefCell<HashMap<StreamKey, Vec<Answers>>>,
}

/// Where the origin of a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// This router began the stream.
    Own,
    /// A control machine knows it.
    Control,
    /// Nobody who answered knows it.
    Unknown,
}

impl Source {
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Control => "control",
            Self::Unknown => "unknown",
        }
    }
}

/// The result of looking for the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Found {
    /// The software version that began the stream.
    pub software: Option<SoftwareKey>,
    pub source: Source,
    /// Questions sent to control machines.
    pub asked: usize,
    /// Answers received, known or not.
    pub answered: usize,
}

impl Found {
    /// Nobody was asked.
    pub const NOTHING: Self = Self {
        software: None,
        source: Source::Unknown,
        asked: 0,
        answered: 0,
    };

    /// This result after an earlier one of the same stream.
    pub fn after(self, earlier: Self) -> Self {
        Self {
            asked: earlier.asked + self.asked,
            answered: earlier.answered + self.answered,
            ..self
        }
    }

    /// The name of the outcome in metrics.
    fn outcome(&self) -> &'static str {
        match self.source {
            Source::Own => "own",
            Source::Control => "control",
            Source::Unknown if self.asked == 0 => "not_linked",
            Source::Unknown if self.answered < self.asked => "unanswered",
            Source::Unknown => "unknown",
        }
    }
}

impl Streams {
    /// Routers with different seeds tell different control machines.
    pub fn new(seed: u64) -> Self {
        Self {
            publisher: RefCell::new(StreamPublisher::new(seed)),
            links: OnceCell::new(),
            lookups: RefCell::default(),
        }
    }

    /// Sets the links that messages about streams are sent on.
    pub fn set_links(&self, links: &Rc<Links>) {
        let _ = self.links.set(Rc::clone(links));
    }

    /// The links that messages about streams are sent on; `None` before they are started.
    pub fn links(&self) -> Option<&Rc<Links>> {
        self.links.get()
    }

    /// Passes the answer of a control machine to the lookups that wait for it.
    pub fn on_answer(&self, stream: StreamKey, software: Option<SoftwareKey>) {
        for answers in self.lookups.borrow().get(&stream).into_iter().flatten() {
            // A lookup that has ended needs no answer.
            let _ = answers.send(software);
        }
    }
}

/// A lookup in progress; dropping it ends it.
struct Lookup<'a> {
    streams: &'a Streams,
    stream: StreamKey,
    answers: UnboundedReceiver<Option<SoftwareKey>>,
    answered: usize,
}

impl<'a> Lookup<'a> {
    fn begin(streams: &'a Streams, stream: StreamKey) -> Self {
        let (sender, answers) = mpsc::unbounded_channel();
        let mut lookups = streams.lookups.borrow_mut();
        lookups.entry(stream).or_default().push(sender);
        Self {
            streams,
            stream,
            answers,
            answered: 0,
        }
    }

    /// The first version that one of `asked` control machines knows.
    async fn first_known(&mut self, asked: usize) -> Option<SoftwareKey> {
        for _ in 0..asked {
            let answer = self.answers.recv().await?;
            self.answered += 1;
            if answer.is_some() {
                return answer;
            }
        }
        None
    }
}

impl Drop for Lookup<'_> {
    fn drop(&mut self) {
        self.answers.close();
        let mut lookups = self.streams.lookups.borrow_mut();
        if let Some(waiting) = lookups.get_mut(&self.stream) {
            waiting.retain(|answers| !answers.is_closed());
            if waiting.is_empty() {
                lookups.remove(&self.stream);
            }
        }
    }
}

/// Records where a stream began whose answer is forwarded to the caller, or where a stream went on that the caller
/// took up.
pub(super) fn record(router: &Router, call: &Call, choice: &Choice) {
    let now = router.clock.now();
    let core = router.core.borrow();
    let stream = match &call.take_up {
        None => core.stream_key(&call.admission, &call.id),
        // A caller may name any attempt, also one that has not begun a stream yet.
        Some(take_up) => take_up.known_stream,
    };
    let Some(stream) = stream else {
        return;
    };
    let lifetime = call.caller_deadline.since(now) + LIFETIME_MARGIN;
    let origin = core.stream_origin(&call.admission, choice, stream, lifetime);
    drop(core);
    let streams = &router.streams;
    let holders = streams.publisher.borrow_mut().record(now, &origin).to_vec();
    let message = Message::StreamOrigins(List::new(vec![origin]));
    for holder in holders {
        if let Some(links) = streams.links.get() {
            links.send(holder, &message);
        }
    }
}

/// Tells control machines that hold copies from now on of all streams of this router.
pub(super) fn on_links_changed(router: &Router, links: &Links) {
    let mut publisher = router.streams.publisher.borrow_mut();
    let new_holders = publisher.set_linked(links.with_streams());
    if new_holders.is_empty() {
        return;
    }
    let live: Vec<StreamOrigin> = publisher.live(router.clock.now()).collect();
    for batch in live.chunks(MAX_BATCH) {
        let message = Message::StreamOrigins(List::new(batch.to_vec()));
        for holder in &new_holders {
            links.send(*holder, &message);
        }
    }
}

/// Finds out which software version began a stream. Control machines are asked up to `rounds` times.
pub(super) async fn find(router: &Router, stream: StreamKey, rounds: u32) -> Found {
    let found = find_uncounted(router, stream, rounds).await;
    router.metrics.streams.count_lookup(found.outcome());
    found
}

async fn find_uncounted(router: &Router, stream: StreamKey, rounds: u32) -> Found {
    let streams = &router.streams;
    let own = streams.publisher.borrow().find(router.clock.now(), stream);
    if own.is_some() {
        return Found {
            software: own,
            source: Source::Own,
            ..Found::NOTHING
        };
    }
    let mut found = Found::NOTHING;
    for round in 0..rounds {
        if round > 0 {
            sleep(LOOKUP_RETRY_DELAY).await;
        }
        let mut lookup = Lookup::begin(streams, stream);
        let asked = streams.links.get().map_or(0, |links| {
            let message = Message::FetchStreamOrigin(stream);
            let controls = links.with_streams().into_iter();
            controls.filter(|to| links.send(*to, &message)).count()
        });
        let answer = timeout(LOOKUP_TIMEOUT, lookup.first_known(asked)).await;
        found.asked += asked;
        found.answered += lookup.answered;
        if let Ok(Some(software)) = answer {
            return Found {
                software: Some(software),
                source: Source::Control,
                ..found
            };
        }
    }
    found
}
