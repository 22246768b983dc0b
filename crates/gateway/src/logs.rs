//! Structured logs on standard output: limited in volume, and written without blocking.

use std::io::{self, Write};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use nix::fcntl::{fcntl, FcntlArg, OFlag};
use tracing_subscriber::fmt::MakeWriter;

/// Sustained limit, in lines per second.
const LINES_PER_SECOND: f64 = 200.0;
/// Lines that may be written in a burst.
const BURST_LINES: f64 = 400.0;

/// A token bucket of log lines.
struct LineBudget {
    lines: f64,
    updated: Instant,
    suppressed: u64,
}

/// Standard output with a limited rate of lines. The number of suppressed lines is written before the next line.
#[derive(Clone)]
struct BoundedStdout(Arc<Mutex<LineBudget>>);

impl BoundedStdout {
    fn new() -> Self {
        Self(Arc::new(Mutex::new(LineBudget {
            lines: BURST_LINES,
            updated: Instant::now(),
            suppressed: 0,
        })))
    }

    /// Admits a line and returns how many lines were suppressed before it; `None` when this one is suppressed too.
    fn admit(&self) -> Option<u64> {
        let mut budget = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let passed = now.duration_since(budget.updated).as_secs_f64();
        budget.updated = now;
        budget.lines = (budget.lines + passed * LINES_PER_SECOND).min(BURST_LINES);
        if budget.lines < 1.0 {
            budget.suppressed += 1;
            return None;
        }
        budget.lines -= 1.0;
        Some(std::mem::take(&mut budget.suppressed))
    }

    fn restore_suppressed(&self, lines: u64) {
        let mut budget = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        budget.suppressed += lines;
    }
}

impl Write for BoundedStdout {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let Some(suppressed) = self.admit() else {
            return Ok(line.len());
        };
        let note = match suppressed {
            0 => String::new(),
            count => format!("event=\"lines_suppressed\" count={count}\n"),
        };
        let mut output = note.into_bytes();
        output.extend_from_slice(line);
        // The descriptor is non-blocking: lines are lost when the reader does not keep up.
        if nix::unistd::write(io::stdout(), &output).is_err() {
            self.restore_suppressed(suppressed + 1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for BoundedStdout {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Starts logging. Only the first call in a process has an effect.
pub fn start() {
    let stdout = io::stdout().as_raw_fd();
    if let Ok(flags) = fcntl(stdout, FcntlArg::F_GETFL) {
        let flags = OFlag::from_bits_truncate(flags) | OFlag::O_NONBLOCK;
        let _ = fcntl(stdout, FcntlArg::F_SETFL(flags));
    }
    let _ = tracing_subscriber::fmt()
        .with_max_level(tracing::Level::INFO)
        .with_writer(BoundedStdout::new())
        .with_target(false)
        .with_ansi(false)
        .try_init();
}
