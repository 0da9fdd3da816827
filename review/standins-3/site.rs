//! A small deployment: store, workers and relay processes on loopback addresses.

use crate::{client::Request, options::Options, store::Store, worker::micros};
use std::{
    env, fs,
    io::{BufRead, BufReader, Result, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Interval at which workers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Silence after which the store drops an entry.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// One line of what a worker saw.
#[derive(Debug, Clone)]
pub struct Seen {
    pub micros: u128,
    pub what: String,
    pub attempt: String,
}

/// What the client of an attempt saw.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub micros: u128,
    pub attempt: String,
    /// Whether the whole answer of a worker came.
    pub served: bool,
}

/// Record of a run, written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<(u128, String)>>>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    start: u128,
}

impl Record {
    fn new() -> Self {
        Self { lines: Arc::default(), outcomes: Arc::default(), start: micros() }
    }

    pub fn add(&self, text: impl Into<String>) {
        self.add_at(micros(), text);
    }

    pub fn add_at(&self, at: u128, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// Records what the client of an attempt saw.
    pub fn end(&self, attempt: &str, served: bool, text: &str) {
        let micros = micros();
        self.add_at(micros, format!("client: {attempt} {text}"));
        let attempt = attempt.to_owned();
        self.outcomes.lock().unwrap().push(Outcome { micros, attempt, served });
    }

    pub fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes.lock().unwrap().clone()
    }

    /// Seconds since the start of the run.
    fn seconds(&self, at: u128) -> f64 {
        (at as f64 - self.start as f64) / 1e6
    }

    pub fn write(&self, path: &str) -> Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let mut file = fs::File::create(path)?;
        for (at, text) in lines {
            writeln!(file, "{:8.3} s  {text}", self.seconds(at))?;
        }
        Ok(())
    }
}

unsafe extern "C" {
    /// With [`PR_SET_PDEATHSIG`], sets the signal that a process gets when its parent ends.
    fn prctl(option: i32, argument: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

struct WorkerProcess {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    options: Options,
    slots: u32,
    child: Option<Child>,
    born: u128,
    beats: u64,
    last_beat: Instant,
    /// When the store last took a ping.
    heard: Instant,
    ended: Option<Instant>,
    listed: bool,
    generation: u32,
}

pub struct Site {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub record: Record,
    seen: Arc<Mutex<Vec<Seen>>>,
    workers: Arc<Mutex<Vec<WorkerProcess>>>,
    directory: PathBuf,
    next_ip: u8,
    stopping: Arc<AtomicBool>,
}

/// Relay process.
pub struct Node {
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// Loopback address of one machine of this run.
fn ip(number: u8) -> IpAddr {
    let [.., a, b] = process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 100 + a % 100, b, number))
}

fn free_port(ip: IpAddr) -> Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

fn spawn_node(settings: &PathBuf, log: &PathBuf) -> Result<Child> {
    let output = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new("target/release/bamboo-relay");
    // SAFETY: the call is allowed between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command
        .env_clear()
        .env("PATH", env::var("PATH").unwrap_or_default())
        .env("BAMBOOROAD_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()
}

impl Node {
    /// Starts the process again after it has ended.
    fn restart(&mut self) -> Result<()> {
        self.child.wait()?;
        self.child = spawn_node(&self.settings, &self.log)?;
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let answer = Request::new("GET", "/readyz", "-", 1_000).send(self.readiness);
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Site {
    pub fn start() -> Result<Self> {
        let directory = env::temp_dir().join(format!("review-3-{}", process::id()));
        fs::create_dir_all(&directory)?;
        let workers: Arc<Mutex<Vec<WorkerProcess>>> = Arc::default();
        let store = Store::start(ip(1))?;
        let site = Self {
            store,
            nodes: Vec::new(),
            record: Record::new(),
            seen: Arc::default(),
            workers,
            directory,
            next_ip: 2,
            stopping: Arc::default(),
        };
        let (workers, store, record, seen) =
            (site.workers.clone(), site.store.clone(), site.record.clone(), site.seen.clone());
        let stopping = Arc::clone(&site.stopping);
        thread::spawn(move || {
            while !stopping.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                for worker in workers.lock().unwrap().iter_mut() {
                    worker.attend(&store, &record, &seen);
                }
            }
        });
        Ok(site)
    }

    fn next_ip(&mut self) -> IpAddr {
        self.next_ip += 1;
        ip(self.next_ip)
    }

    /// Adds a worker that is started again some seconds after a crash.
    pub fn add_worker(&mut self, service: &str, zone: &str, slots: u32, options: &Options) {
        let ip = self.next_ip();
        let mut worker = WorkerProcess {
            id: String::new(),
            service: service.into(),
            zone: zone.into(),
            address: SocketAddr::new(ip, 0),
            options: options.clone(),
            slots,
            child: None,
            born: 0,
            beats: 0,
            last_beat: Instant::now(),
            heard: Instant::now(),
            ended: None,
            listed: false,
            generation: 0,
        };
        worker.launch(&self.record, &self.seen);
        self.workers.lock().unwrap().push(worker);
    }

    /// Starts a relay process.
    pub fn add_node(&mut self, zone: &str, more: &str) -> Result<()> {
        let ip = self.next_ip();
        let name = format!("edge-{zone}-{}", self.nodes.len() + 1);
        let (front, readiness, admin, peers) =
            (free_port(ip)?, free_port(ip)?, free_port(ip)?, free_port(ip)?);
        let settings = self.directory.join(format!("{name}.toml"));
        fs::write(
            &settings,
            format!(
                r#"node_name = "{name}"
role = "relay"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "r1"
port_range = [{peers},{peers}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
guarantees = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[zones]
z1 = "r1"
z2 = "r1"
z3 = "r2"
[listen]
frontend = "{ip}:{front}"
readiness = "{ip}:{readiness}"
admin = "{ip}:{admin}"
[limits]
cpu_quota = 0.25
cores = 1
memory_mb = 110
max_fds = 4200
bandwidth_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 2500
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2500
rollback_slack_ms = 250
max_stretch_ms = 6000
revoke_everywhere = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_burst = 54
quota_window_s = 8
quota_overshoot = 0.1
quota_burst = 140000
recover_s = 12
max_relay_ms = 250
reuse_window_s = 7.8
{more}[platform]
address = "{}"
form = "table"
"#,
                self.store.address
            ),
        )?;
        let log = self.directory.join(format!("{name}.log"));
        let child = spawn_node(&settings, &log)?;
        self.nodes.push(Node {
            front: SocketAddr::new(ip, front),
            readiness: SocketAddr::new(ip, readiness),
            settings,
            log,
            child,
        });
        Ok(())
    }

    /// Kills all nodes at once and starts them again after a delay.
    pub fn kill_nodes(&mut self, delay: Duration) -> Result<()> {
        for node in &mut self.nodes {
            node.child.kill()?;
        }
        self.record.add("all nodes are killed");
        for node in &mut self.nodes {
            node.child.wait()?;
        }
        thread::sleep(delay);
        for node in &mut self.nodes {
            node.restart()?;
        }
        self.record.add("all nodes start again");
        Ok(())
    }

    /// Waits until all nodes are ready; false if that takes too long.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.nodes.iter().all(Node::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// What workers saw, in order.
    pub fn seen(&self) -> Vec<Seen> {
        let mut seen = self.seen.lock().unwrap().clone();
        seen.sort_by_key(|seen| seen.micros);
        seen
    }
}

impl Drop for Site {
    /// Ends all processes.
    fn drop(&mut self) {
        self.nodes.clear();
        self.stopping.store(true, Ordering::SeqCst);
        for worker in self.workers.lock().unwrap().iter_mut() {
            if let Some(mut child) = worker.child.take() {
                child.kill().ok();
                child.wait().ok();
            }
            worker.ended = None;
        }
        if env::var("KEEP").is_err() {
            fs::remove_dir_all(&self.directory).ok();
        }
    }
}

impl WorkerProcess {
    /// Starts the process under a new id.
    fn launch(&mut self, record: &Record, seen: &Arc<Mutex<Vec<Seen>>>) {
        self.generation += 1;
        let number = self.address.ip().to_string().rsplit('.').next().unwrap_or("0").to_owned();
        self.id = format!("i-{number}-{}", self.generation);
        let port = free_port(self.address.ip()).unwrap_or(9_000);
        self.address.set_port(port);
        let options = self.options.clone();
        let options = options.with("address", self.address).with("id", &self.id);
        let options = options.with("slots", self.slots);
        let program = env::current_exe().expect("own program");
        let mut command = Command::new(program);
        command.arg("worker").args(options.words()).stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn().expect("worker process");
        let output = child.stdout.take().expect("piped");
        let (id, seen, lines) = (self.id.clone(), Arc::clone(seen), record.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(std::result::Result::ok) {
                let mut words = line.split(' ');
                let mut word = || words.next().unwrap_or("").to_owned();
                let at: u128 = word().parse().unwrap_or(0);
                let (what, attempt, path) = (word(), word(), word());
                lines.add_at(at, format!("worker {id}: {what} {attempt} {path}"));
                seen.lock().unwrap().push(Seen { micros: at, what, attempt });
            }
        });
        self.child = Some(child);
        self.born = micros() / 1_000;
        (self.ended, self.beats) = (None, 0);
        // The first entry is written once the worker listens.
        let until = Instant::now() + Duration::from_secs(2);
        while Instant::now() < until && std::net::TcpStream::connect(self.address).is_err() {
            thread::sleep(Duration::from_millis(5));
        }
        self.last_beat = Instant::now().checked_sub(HEARTBEAT).unwrap_or_else(Instant::now);
        record.add(format!("worker {} starts at {}", self.id, self.address));
    }

    /// Writes the entry, notices a crash, and starts the process again some seconds later.
    fn attend(&mut self, store: &Store, record: &Record, seen: &Arc<Mutex<Vec<Seen>>>) {
        let back_after = Duration::from_millis(2_500);
        if let Some(child) = &mut self.child
            && child.try_wait().ok().flatten().is_some()
        {
            self.child = None;
            self.ended = Some(Instant::now());
            record.add(format!("worker {} has ended", self.id));
        }
        if self.child.is_some() && self.last_beat.elapsed() >= HEARTBEAT {
            self.last_beat = Instant::now();
            self.beats += 1;
            let entry = format!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"1","concurrency":{},"state":"ready","warmup_left_ms":0,"seq":{},"born":{}}}"#,
                self.service, self.address, self.zone, self.slots, self.beats, self.born
            );
            if store.ping(&self.id, &entry) {
                if !self.listed {
                    record.add(format!("store: the entry of {} is written", self.id));
                }
                self.listed = true;
                self.heard = Instant::now();
            }
        }
        // After three intervals of silence the entry lapses, also while the store is away.
        if self.listed && self.heard.elapsed() >= EXPIRY {
            self.listed = false;
            record.add(format!("store: the entry of {} lapses", self.id));
            store.remove("servers", &self.id);
        }
        let Some(ended) = self.ended else { return };
        if ended.elapsed() >= back_after {
            if self.listed {
                // The new lifetime has an id of its own; the old entry lapses at its time.
                let (store, id) = (store.clone(), self.id.clone());
                let left = EXPIRY.saturating_sub(self.heard.elapsed());
                thread::spawn(move || {
                    thread::sleep(left);
                    store.remove("servers", &id);
                });
                self.listed = false;
            }
            self.launch(record, seen);
        }
    }
}
