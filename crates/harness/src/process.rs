//! A child process and its standard output.

use anyhow::{Context, Result, bail};
use std::{
    io::{BufRead, BufReader},
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// Longest wait for an expected line of output.
const LINE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which output and state of the process are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Signal to a child process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM.
    Terminate,
    /// SIGKILL.
    Kill,
    /// SIGSTOP: pause the process.
    Stop,
    /// SIGCONT: resume a paused process.
    Continue,
}

impl Signal {
    const fn name(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// Child process, killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    reading_stopped: Arc<AtomicBool>,
}

impl Process {
    /// Starts `binary` with `arguments`.
    ///
    /// # Errors
    /// The process cannot be started.
    pub fn start(binary: &Path, arguments: &[&str]) -> Result<Self> {
        let mut child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("starting {}", binary.display()))?;
        let output = child.stdout.take().context("the child has no output")?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let reading_stopped = Arc::new(AtomicBool::new(false));
        let (sink, stopped) = (Arc::clone(&lines), Arc::clone(&reading_stopped));
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                sink.lock().unwrap_or_else(PoisonError::into_inner).push(line);
            }
        });
        Ok(Self { child, lines, reading_stopped })
    }

    /// Closes the reading end of the output pipe at the next line.
    pub fn stop_reading(&self) {
        self.reading_stopped.store(true, Ordering::Relaxed);
    }

    /// Lines written so far.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits for a line that contains `text` and returns the first one.
    ///
    /// # Errors
    /// No such line was written within the timeout.
    pub fn wait_for_line(&self, text: &str) -> Result<String> {
        let until = Instant::now() + LINE_TIMEOUT;
        while Instant::now() < until {
            if let Some(line) = self.lines().into_iter().find(|line| line.contains(text)) {
                return Ok(line);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        bail!("no line with {text:?}; the last are {:?}", self.lines().iter().rev().take(5))
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal.name(), &id]).status()?;
        anyhow::ensure!(status.success(), "kill {} {id} failed", signal.name());
        Ok(())
    }

    /// Waits for the process to end and returns its exit code; `None` after a signal.
    ///
    /// # Errors
    /// The process does not end within `limit`.
    pub fn wait(&mut self, limit: Duration) -> Result<Option<i32>> {
        let until = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.code());
            }
            if Instant::now() > until {
                bail!("the process did not end within {limit:?}");
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// CPU time used so far, user and system.
    ///
    /// # Errors
    /// `/proc` cannot be read.
    pub fn cpu_time(&self) -> Result<Duration> {
        /// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`).
        const TICKS_PER_S: f64 = 100.0;
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
        let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
        let total = ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0);
        Ok(Duration::from_secs_f64(total / TICKS_PER_S))
    }

    /// Resident memory in bytes.
    ///
    /// # Errors
    /// `/proc` cannot be read.
    pub fn resident_bytes(&self) -> Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        let kib: u64 =
            line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or(0);
        Ok(kib * 1024)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
