//! Child processes of a fleet, ended with it.

use std::io::{self, BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

const POLL: Duration = Duration::from_millis(20);

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Runs this program again with other arguments; what it logs goes into a file.
    pub fn spawn(name: &str, arguments: &[&str], log: &Path) -> io::Result<Self> {
        Self::spawn_program(&std::env::current_exe()?, name, arguments, log)
    }

    /// Runs a program; what it logs goes into a file.
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

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The first line that it prints.
    pub fn first_line(&mut self) -> io::Result<String> {
        let output = self.child.stdout.take();
        let output = output.ok_or_else(|| io::Error::other("its output was read before"))?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        Ok(line.trim().to_owned())
    }

    /// Ends it without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        let pid = Pid::from_raw(self.child.id() as i32);
        let _ = kill(pid, Signal::SIGTERM);
    }

    /// True while it runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until it has ended; `None` when it has not in time.
    pub fn wait(&mut self, patience: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + patience;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                Ok(None) if Instant::now() < deadline => std::thread::sleep(POLL),
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
