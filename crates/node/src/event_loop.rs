//! The thread that runs a daemon's actors, and how other threads reach it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, unbounded, Receiver, RecvTimeoutError, Sender};
use signal_hook::consts::{SIGINT, SIGTERM};
use stakker::Stakker;

/// Tasks taken in before the actors run, so that what arrives together shares one sync.
const BATCH: usize = 256;

/// The loop wakes at least this often, to look for signals.
const LONGEST_WAIT: Duration = Duration::from_millis(50);

type Task<C> = Box<dyn FnOnce(&mut Stakker, &C) + Send>;

/// Reaches the loop from other threads.
pub struct LoopHandle<C> {
    sender: Sender<Task<C>>,
}

impl<C> Clone for LoopHandle<C> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
        }
    }
}

impl<C: 'static> LoopHandle<C> {
    /// Runs a task on the loop's thread. Nothing happens when the loop has ended.
    pub fn post(&self, task: impl FnOnce(&mut Stakker, &C) + Send + 'static) {
        let _ = self.sender.send(Box::new(task));
    }

    /// Runs a task on the loop's thread that hands its result to a sender, and waits for it;
    /// `None` when the loop has ended.
    pub fn ask<T: Send + 'static>(
        &self,
        task: impl FnOnce(&mut Stakker, &C, Sender<T>) + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = bounded(1);
        self.post(move |stakker, context| task(stakker, context, sender));
        receiver.recv().ok()
    }
}

/// The loop of one daemon.
pub struct EventLoop<C> {
    stakker: Stakker,
    receiver: Receiver<Task<C>>,
    over: Arc<AtomicBool>,
}

impl<C: 'static> EventLoop<C> {
    /// A loop and the handle that reaches it.
    pub fn new() -> (Self, LoopHandle<C>) {
        let (sender, receiver) = unbounded();
        let event_loop = Self {
            stakker: Stakker::new(Instant::now()),
            receiver,
            over: Arc::new(AtomicBool::new(false)),
        };
        (event_loop, LoopHandle { sender })
    }

    /// The actor runtime, to create actors before the loop runs.
    pub fn stakker(&mut self) -> &mut Stakker {
        &mut self.stakker
    }

    /// Ends the loop when set.
    pub fn over(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.over)
    }

    /// Runs until it is over. `on_signal` is called once, when the process is told to stop.
    pub fn run(mut self, context: &C, signals: &Signals, on_signal: impl FnOnce(&mut Stakker, &C)) {
        let mut on_signal = Some(on_signal);
        while !self.over.load(Ordering::SeqCst) {
            let wait = self
                .stakker
                .next_wait_max(Instant::now(), LONGEST_WAIT, false);
            match self.receiver.recv_timeout(wait) {
                Ok(task) => {
                    task(&mut self.stakker, context);
                    self.take_in_more(context);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if signals.stop_requested() {
                if let Some(on_signal) = on_signal.take() {
                    on_signal(&mut self.stakker, context);
                }
            }
            self.stakker.run(Instant::now(), false);
        }
    }

    fn take_in_more(&mut self, context: &C) {
        for _ in 0..BATCH {
            match self.receiver.try_recv() {
                Ok(task) => task(&mut self.stakker, context),
                Err(_) => return,
            }
        }
    }
}

/// Tells whether the process was asked to stop.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
}

impl Signals {
    /// Listens for SIGTERM and SIGINT.
    pub fn install() -> std::io::Result<Self> {
        let signals = Self::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&signals.stop))?;
        }
        Ok(signals)
    }

    /// True once the process was asked to stop.
    pub fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }
}
