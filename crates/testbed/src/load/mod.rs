//! Generates load against routers, or against engines directly, and checks every answer.

mod caller;
mod report;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, Receiver, Sender};

use crate::workload::{WorkloadGenerator, WorkloadParams, WorkloadRequest};

pub use caller::{Caller, CallerParams};
pub use report::{histogram, LoadReport, Outcome, Percentiles, Recorder, Sample};

const STACK_BYTES: usize = 128 * 1024;

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct LoadParams {
    /// The generated workload.
    pub workload: WorkloadParams,
    /// Seed of all random samples.
    pub seed: u64,
    /// Mean number of requests per second of the Poisson process.
    pub requests_per_second: f64,
    /// Number of caller threads. A request that finds none free waits, and its latency includes the
    /// wait.
    pub callers: usize,
    /// How long requests are generated.
    pub duration: Duration,
    /// Parameters of each caller.
    pub caller: CallerParams,
}

struct Job {
    request: WorkloadRequest,
    due: Instant,
    number: u64,
}

/// Runs the load and returns its report. `progress` receives the number of requests sent and the
/// elapsed time about every 200 ms until all requests are handed out.
pub fn run(params: &LoadParams, mut progress: impl FnMut(u64, Duration)) -> LoadReport {
    let recorder = Arc::new(Recorder::default());
    let sent = Arc::new(AtomicU64::new(0));
    let finished = Arc::new(AtomicBool::new(false));
    let (sender, receiver) = bounded(params.callers * 4);
    let threads: Vec<_> = (0..params.callers)
        .map(|number| spawn_caller(number, params, &receiver, &recorder))
        .collect();
    let dispatching = {
        let (params, sent, finished) = (params.clone(), Arc::clone(&sent), Arc::clone(&finished));
        thread::spawn(move || {
            dispatch(&params, &sender, &sent);
            finished.store(true, Ordering::SeqCst);
        })
    };
    let started = Instant::now();
    while !finished.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(200));
        progress(sent.load(Ordering::SeqCst), started.elapsed());
    }
    let _ = dispatching.join();
    for thread in threads {
        let _ = thread.join();
    }
    recorder.report(started.elapsed())
}

fn spawn_caller(
    number: usize,
    params: &LoadParams,
    jobs: &Receiver<Job>,
    recorder: &Arc<Recorder>,
) -> thread::JoinHandle<()> {
    let (jobs, recorder) = (jobs.clone(), Arc::clone(recorder));
    let caller = Caller::new(params.caller.clone(), number);
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || {
            while let Ok(job) = jobs.recv() {
                let sample = caller.send_request(&job.request, job.number, job.due);
                recorder.add(&sample);
            }
        })
        .expect("spawning a caller thread")
}

fn dispatch(params: &LoadParams, jobs: &Sender<Job>, sent: &AtomicU64) {
    let mut generator = WorkloadGenerator::new(params.workload.clone(), params.seed);
    let started = Instant::now();
    let mut due = 0.0;
    loop {
        due += generator.next_gap(params.requests_per_second);
        if due > params.duration.as_secs_f64() {
            return;
        }
        let at = started + Duration::from_secs_f64(due);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let number = sent.fetch_add(1, Ordering::SeqCst);
        let request = generator.next_request(due);
        let job = Job {
            request,
            due: at,
            number,
        };
        if jobs.send(job).is_err() {
            return;
        }
    }
}
