//! A relay process under test.

use anyhow::{Context, Result, bail};
use parking_lot::Mutex;
use serde_json::Value;
use std::{
    io::{BufRead, BufReader, Read},
    net::{IpAddr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread::JoinHandle,
    time::{Duration, Instant},
};
use tempfile::TempDir;

/// Longest wait for a log line or for the process to end.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Handle of a relay process, which is killed on drop.
#[derive(Debug)]
pub struct Node {
    /// Address that serves callers.
    pub callers: SocketAddr,
    /// Address of readiness checks.
    pub readiness: SocketAddr,
    /// Address that serves metrics.
    pub metrics: SocketAddr,
    /// Address that serves other nodes.
    pub peers: SocketAddr,
    program: Box<Path>,
    directory: TempDir,
    child: Child,
    lines: Lines,
    readers: Vec<JoinHandle<()>>,
}

/// Limits in a node's settings file.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Memory of the machine, in megabytes.
    pub memory_mb: u64,
    /// File descriptors of the process.
    pub max_fds: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 100, max_fds: 1_000 }
    }
}

/// Lines written by the process, across restarts.
type Lines = Arc<Mutex<Vec<String>>>;

/// Free and different ports of an address that only this process uses; the last one is free for TCP
/// and UDP.
fn free_ports(ip: IpAddr) -> Result<[u16; 4]> {
    let listeners = [(); 4].map(|()| TcpListener::bind((ip, 0)));
    let mut ports = [0; 4];
    for (port, listener) in ports.iter_mut().zip(&listeners) {
        let listener = listener.as_ref().map_err(|e| anyhow::anyhow!("binding {ip}: {e}"))?;
        *port = listener.local_addr()?.port();
    }
    UdpSocket::bind((ip, ports[3]))?;
    Ok(ports)
}

impl Node {
    /// Starts a process of `program` in `zone`, against the store at `store`.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start(program: &Path, name: &str, zone: &str, store: SocketAddr) -> Result<Self> {
        Self::start_with(program, name, zone, store, Limits::default())
    }

    /// Starts a process with other limits in its settings file.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start_with(
        program: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        limits: Limits,
    ) -> Result<Self> {
        Self::start_with_lines(program, name, zone, store, limits, ["", ""])
    }

    /// Starts a process that carries out rollouts.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start_with_rollouts(
        program: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> Result<Self> {
        let bounds = "canary_share = 0.1\ncanary_burst = 50\nrollback_ms = 5000\n";
        let lines = ["guarantees = [\"rollout\"]\n", bounds];
        Self::start_with_lines(program, name, zone, store, Limits::default(), lines)
    }

    /// Starts a process that learns the capacity of endpoints.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start_with_learning(
        program: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> Result<Self> {
        let lines = ["", "[scheduling]\nlearned_capacity = true\n"];
        Self::start_with_lines(program, name, zone, store, Limits::default(), lines)
    }

    /// Starts a process with further lines at the start of its settings and in their table of bounds.
    fn start_with_lines(
        program: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        limits: Limits,
        [first, bounds]: [&str; 2],
    ) -> Result<Self> {
        let Limits { memory_mb, max_fds } = limits;
        let ip = crate::unused_address();
        let [callers, readiness, metrics, peers] = free_ports(ip)?;
        let directory = tempfile::tempdir()?;
        let settings = format!(
            r#"{first}node_name = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "r1"
port_range = [{peers}, {peers}]
unknown_field = true
[zones]
z1 = "r1"
z2 = "r1"
z3 = "r2"
[listen]
frontend = "{ip}:{callers}"
readiness = "{ip}:{readiness}"
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
[bounds]
stable_ms = 4000
drain_ms = 2500
config_apply_ms = 2500
revoke_everywhere = false
retry_ratio = 0.2
retry_window_s = 10
retry_burst = 50
grace_s = 8
{bounds}[platform]
address = "{store}"
"#
        );
        std::fs::write(directory.path().join("settings.toml"), settings)?;
        let lines = Lines::default();
        let (child, readers) = spawn(program, directory.path(), metrics, &lines)?;
        Ok(Self {
            callers: SocketAddr::new(ip, callers),
            readiness: SocketAddr::new(ip, readiness),
            metrics: SocketAddr::new(ip, metrics),
            peers: SocketAddr::new(ip, peers),
            program: program.into(),
            directory,
            child,
            lines,
            readers,
        })
    }

    /// Replaces the value of a key in the settings file.
    ///
    /// # Errors
    /// The file has no such key, or cannot be written.
    pub fn set(&self, key: &str, value: &str) -> Result<()> {
        let path = self.settings();
        let text = std::fs::read_to_string(&path)?;
        let start = format!("{key} = ");
        let line = text.lines().find(|line| line.starts_with(&start));
        let line = line.with_context(|| format!("the settings have no {key}"))?;
        Ok(std::fs::write(path, text.replacen(line, &format!("{start}{value}"), 1))?)
    }

    /// Path of the settings file.
    #[must_use]
    pub fn settings(&self) -> PathBuf {
        self.directory.path().join("settings.toml")
    }

    /// Starts the process again after it has ended.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn restart(&mut self) -> Result<()> {
        let (metrics, directory) = (self.metrics.port(), self.directory.path());
        (self.child, self.readers) = spawn(&self.program, directory, metrics, &self.lines)?;
        Ok(())
    }

    /// Sends a signal, by its name for `kill`.
    ///
    /// # Errors
    /// The signal cannot be sent.
    pub fn signal(&self, name: &str) -> Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").arg(format!("-{name}")).arg(id).status()?;
        anyhow::ensure!(status.success(), "kill -{name}: {status}");
        Ok(())
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Largest resident set of the process so far, in bytes.
    ///
    /// # Errors
    /// The process has ended, or its status cannot be read.
    pub fn peak_resident(&self) -> Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next());
        let kilobytes: u64 = kilobytes.context("the status has no resident set")?.parse()?;
        Ok(kilobytes * 1_024)
    }

    /// Open file descriptors of the process.
    ///
    /// # Errors
    /// The process has ended, or its descriptors cannot be listed.
    pub fn descriptors(&self) -> Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Waits for the process to end and returns its exit code; `None` after a signal.
    ///
    /// # Errors
    /// The process does not end within the timeout.
    pub fn wait(&mut self) -> Result<Option<i32>> {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                for reader in self.readers.drain(..) {
                    // A reader that panicked reads no more lines, so its result does not matter.
                    reader.join().ok();
                }
                return Ok(status.code());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        bail!("the process did not end within {WAIT_TIMEOUT:?}")
    }

    /// Log lines so far that contain all of `words` and are JSON.
    #[must_use]
    pub fn log_lines(&self, words: &[&str]) -> Vec<Value> {
        let lines = self.lines.lock();
        let found = lines.iter().filter(|line| words.iter().all(|word| line.contains(word)));
        found.filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// All lines written so far.
    #[must_use]
    pub fn output(&self) -> Vec<String> {
        self.lines.lock().clone()
    }

    /// Waits for a log line that contains all of `words` and returns the newest one.
    ///
    /// # Errors
    /// No such line is written within the timeout.
    pub async fn wait_for_log(&self, words: &[&str]) -> Result<Value> {
        let until = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < until {
            if let Some(line) = self.log_lines(words).pop() {
                return Ok(line);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        bail!("no log line with {words:?} within {WAIT_TIMEOUT:?}")
    }
}

fn spawn(
    program: &Path,
    directory: &Path,
    metrics: u16,
    lines: &Lines,
) -> Result<(Child, Vec<JoinHandle<()>>)> {
    let mut child = Command::new(program)
        .arg("--metrics-port")
        .arg(metrics.to_string())
        .env("BAMBOOROAD_BOOT", directory.join("settings.toml"))
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .with_context(|| format!("starting {}", program.display()))?;
    let output = child.stdout.take().context("no standard output")?;
    let errors = child.stderr.take().context("no standard error")?;
    Ok((child, vec![collect_lines(output, lines), collect_lines(errors, lines)]))
}

/// Collects the lines of a stream on a new thread.
fn collect_lines(stream: impl Read + Send + 'static, lines: &Lines) -> JoinHandle<()> {
    let collected = Arc::clone(lines);
    std::thread::spawn(move || {
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            collected.lock().push(line);
        }
    })
}

impl Drop for Node {
    fn drop(&mut self) {
        // The kill fails if the process has already ended.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
