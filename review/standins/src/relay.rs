//! Relay processes, started with the command of the deploy file.

use crate::{net, record::Record};
use anyhow::{Context, Result, bail, ensure};
use std::{
    fs::File,
    net::{IpAddr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Command of the deploy file, relative to the repository's root.
const PROGRAM: &str = "target/release/bamboo-relay";
/// Longest wait for a process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// `stable_ms` of the settings, with a margin.
const STABLE_TIME: Duration = Duration::from_millis(4_200);
/// Interval of readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Port that the deploy file gives to the metrics page.
const METRICS_PORT: u16 = 9464;

/// Temporary folder with the settings of a process; removed on drop.
#[derive(Debug)]
struct Directory(PathBuf);

impl Directory {
    fn create(name: &str) -> Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).with_context(|| format!("creating {}", path.display()))?;
        Ok(Self(path))
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        // A folder that stays behind does no harm.
        std::fs::remove_dir_all(&self.0).ok();
    }
}

/// Relay process; killed on drop.
#[derive(Debug)]
pub struct Relay {
    /// Name of the node.
    pub name: String,
    /// Address that serves callers.
    pub callers: SocketAddr,
    readiness: SocketAddr,
    child: Child,
    record: Rc<Record>,
    _directory: Directory,
}

fn unused_address() -> Result<IpAddr> {
    for _ in 0..200 {
        let ip = net::unused_address();
        if [8221, 8224, METRICS_PORT, 7600]
            .iter()
            .all(|port| TcpListener::bind((ip, *port)).is_ok())
        {
            return Ok(ip);
        }
    }
    bail!("no loopback address with free ports")
}

fn settings(name: &str, ip: IpAddr, zone: &str, store: SocketAddr) -> String {
    format!(
        r#"node_name = "{name}"
role = "relay"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "tapi-west"
port_range = [7600,7615]
seeds = []
bootstrap = true
tolerance_member = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
guarantees = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[zones]
adajan = "tapi-west"
naroda = "sabar-north"
rander = "tapi-west"
[listen]
frontend = "{ip}:8221"
readiness = "{ip}:8224"
[limits]
cpu_quota = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
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
reuse_window_s = 10
[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
transaction_ms = 5.0
partition_writes_s = 200
max_row_bytes = 65536
cross_partition = false
history_s = 20
max_blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
"#
    )
}

fn spawn(name: &str, directory: &Path) -> Result<Child> {
    // REVIEW_LOGS names a folder that keeps what the processes write.
    let output = match std::env::var_os("REVIEW_LOGS") {
        Some(folder) => {
            let path = PathBuf::from(folder).join(name);
            Stdio::from(File::options().create(true).append(true).open(path)?)
        }
        None => Stdio::null(),
    };
    Command::new(PROGRAM)
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("BAMBOOROAD_BOOT", directory.join("settings.toml"))
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(Stdio::null())
        .spawn()
        .with_context(|| format!("starting {PROGRAM} in the repository's root"))
}

impl Relay {
    /// Starts a process.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start(record: &Rc<Record>, name: &str, zone: &str, store: SocketAddr) -> Result<Self> {
        let ip = unused_address()?;
        let directory = Directory::create(name)?;
        let path = directory.0.as_path().join("settings.toml");
        std::fs::write(path, settings(name, ip, zone, store))?;
        let child = spawn(name, directory.0.as_path())?;
        record.write(&format!("started {name} at {ip}"));
        Ok(Self {
            name: name.to_owned(),
            callers: SocketAddr::new(ip, 8221),
            readiness: SocketAddr::new(ip, 8224),
            child,
            record: Rc::clone(record),
            _directory: directory,
        })
    }

    /// Waits until the process is ready for callers.
    ///
    /// # Errors
    /// It is not ready in time.
    pub async fn wait_ready(&self) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if self.is_ready().await.unwrap_or(false) {
                return Ok(());
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        bail!("{} is not ready", self.name)
    }

    /// Waits until the process is ready and has run undisturbed for `stable_ms`.
    ///
    /// # Errors
    /// It is not ready in time.
    pub async fn wait_stable(&self) -> Result<()> {
        self.wait_ready().await?;
        tokio::time::sleep(STABLE_TIME).await;
        Ok(())
    }

    async fn is_ready(&self) -> Result<bool> {
        let mut stream = TcpStream::connect(self.readiness).await?;
        stream
            .write_all(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            .await?;
        let mut text = Vec::new();
        stream.read_to_end(&mut text).await?;
        Ok(text.starts_with(b"HTTP/1.1 200"))
    }

    /// Sends a signal, by its name for `kill`.
    ///
    /// # Errors
    /// The signal cannot be sent.
    pub fn signal(&self, name: &str) -> Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").arg(format!("-{name}")).arg(id).status()?;
        ensure!(status.success(), "kill -{name}: {status}");
        self.record.write(&format!("sent SIG{name} to {}", self.name));
        Ok(())
    }

    /// How the process has ended; none while it runs.
    ///
    /// # Errors
    /// Its state cannot be read.
    pub fn ended(&mut self) -> Result<Option<String>> {
        Ok(self.child.try_wait()?.map(|status| status.to_string()))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // The kill fails if the process has already ended.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
