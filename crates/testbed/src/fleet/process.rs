//! Child processes that are killed when dropped.

use std::io::{self, BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Runs the current executable with other arguments. Its stderr goes to the file `log`.
    pub fn spawn(name: &str, arguments: &[&str], log: &Path) -> io::Result<Self> {
        Self::spawn_program(&std::env::current_exe()?, name, arguments, log)
    }

    /// Runs a program. Its stderr goes to the file `log`.
    pub fn spawn_program(
        program: &Path,
        name: &str,
        arguments: &[&str],
        log: &Path,
    ) -> io::Result<Self> {
        let log = std::fs::File::create(log)?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    /// Returns the name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the first line that the process prints and returns it. Fails when called again.
    pub fn first_line(&mut self) -> io::Result<String> {
        let output = self.child.stdout.take();
        let output = output.ok_or_else(|| io::Error::other("the first line was already read"))?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        Ok(line.trim().to_owned())
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let pid = Pid::from_raw(self.child.id() as i32);
        let _ = kill(pid, Signal::SIGTERM);
    }

    /// Returns true while the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the exit. Returns `None` after the timeout or when waiting fails.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                Ok(None) if Instant::now() < deadline => std::thread::sleep(POLL_INTERVAL),
                _ => return None,
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
