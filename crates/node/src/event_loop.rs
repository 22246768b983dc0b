//! The event loop that runs a daemon's actors, and the handle through which other threads post
//! tasks to it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, unbounded, Receiver, RecvTimeoutError, Sender};
use signal_hook::consts::{SIGINT, SIGTERM};
use stakker::Stakker;

/// After one task, up to this many queued tasks run before the actors do, so that changes that
/// arrive together share one disk sync.
const MAX_BATCH: usize = 256;

/// Longest wait for a task, so that the loop checks for signals at least this often.
const MAX_WAIT: Duration = Duration::from_millis(50);

type Task<C> = Box<dyn FnOnce(&mut Stakker, &C) + Send>;

/// Posts tasks to the loop from other threads.
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
    /// Runs a task on the loop's thread. The task is dropped if the loop has ended.
    pub fn post(&self, task: impl FnOnce(&mut Stakker, &C) + Send + 'static) {
        let _ = self.sender.send(Box::new(task));
    }

    /// Runs a task on the loop's thread and waits until a result is sent to the sender that the
    /// task receives. Returns `None` if the sender is dropped first, as when the loop has ended.
    pub fn post_and_wait<T: Send + 'static>(
        &self,
        task: impl FnOnce(&mut Stakker, &C, Sender<T>) + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = bounded(1);
        self.post(move |stakker, context| task(stakker, context, sender));
        receiver.recv().ok()
    }
}

/// The event loop of one daemon.
pub struct EventLoop<C> {
    stakker: Stakker,
    receiver: Receiver<Task<C>>,
    stop_flag: Arc<AtomicBool>,
}

impl<C: 'static> EventLoop<C> {
    /// Creates a loop and a handle to it.
    pub fn new() -> (Self, LoopHandle<C>) {
        let (sender, receiver) = unbounded();
        let event_loop = Self {
            stakker: Stakker::new(Instant::now()),
            receiver,
            stop_flag: Arc::new(AtomicBool::new(false)),
        };
        (event_loop, LoopHandle { sender })
    }

    /// Returns the actor runtime, to create actors before the loop runs.
    pub fn stakker(&mut self) -> &mut Stakker {
        &mut self.stakker
    }

    /// Returns the flag that ends the loop when set.
    pub fn stop_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.stop_flag)
    }

    /// Runs until the stop flag is set or all handles are dropped. `on_signal` is called once,
    /// after the first stop signal.
    pub fn run(mut self, context: &C, signals: &Signals, on_signal: impl FnOnce(&mut Stakker, &C)) {
        let mut on_signal = Some(on_signal);
        while !self.stop_flag.load(Ordering::SeqCst) {
            let wait = self.stakker.next_wait_max(Instant::now(), MAX_WAIT, false);
            match self.receiver.recv_timeout(wait) {
                Ok(task) => {
                    task(&mut self.stakker, context);
                    self.run_queued_tasks(context);
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

    fn run_queued_tasks(&mut self, context: &C) {
        for _ in 0..MAX_BATCH {
            match self.receiver.try_recv() {
                Ok(task) => task(&mut self.stakker, context),
                Err(_) => return,
            }
        }
    }
}

/// Records whether the process has received a stop signal.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
}

impl Signals {
    /// Installs handlers for SIGTERM and SIGINT.
    pub fn install() -> std::io::Result<Self> {
        let signals = Self::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&signals.stop))?;
        }
        Ok(signals)
    }

    /// Returns true once a stop signal was received.
    pub fn stop_requested(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }
}
