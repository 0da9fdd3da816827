//! The settings file gets another grace period, and the machines are restarted in turn.

use anyhow::{Context, Result};
use fake_host::{Request, Store, Testbed, testbed};
use http::StatusCode;
use review_standins_2::{Case, Record, needs, run};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    time::{Duration, Instant},
};

/// Time for a process to become ready.
const READY_TIME: Duration = Duration::from_secs(10);
/// Delay after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Number of ends of its own after which a machine counts as faulty.
const ENDS: usize = 3;
/// Grace period in the settings at the start.
const GRACE: &str = "8";

/// Machine with one process, which the platform starts, stops and starts again.
struct Machine {
    name: String,
    program: PathBuf,
    folder: PathBuf,
    ip: IpAddr,
    ports: [u16; 4],
    store: SocketAddr,
    child: Option<Child>,
}

impl Machine {
    fn new(program: &Path, number: u8, store: &Store) -> Result<Self> {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 38, 9, number));
        let listeners = [(); 4].map(|()| TcpListener::bind((ip, 0)));
        let mut ports = [0; 4];
        for (port, listener) in ports.iter_mut().zip(&listeners) {
            let listener = listener.as_ref().map_err(|e| anyhow::anyhow!("binding {ip}: {e}"))?;
            *port = listener.local_addr()?.port();
        }
        UdpSocket::bind((ip, ports[3]))?;
        let folder = std::env::temp_dir().join(format!("review-9-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let (name, program) = (format!("edge-{number}"), program.to_owned());
        Ok(Self { name, program, folder, ip, ports, store: store.address, child: None })
    }

    fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports[0])
    }

    /// Writes the settings file, as on the wire page of saddlefit-nw but for addresses and the grace
    /// period.
    fn write_settings(&self, grace: &str) -> Result<()> {
        let Self { name, ip, store, ports: [callers, readiness, _, peers], .. } = self;
        let settings = format!(
            r#"node_name = "{name}"
role = "relay"
machine_class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "z1"
region = "r1"
port_range = [{peers},{peers}]
seeds = []
bootstrap = true
tolerance_member = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
guarantees = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[zones]
z1 = "r1"
z2 = "r1"
[listen]
frontend = "{ip}:{callers}"
readiness = "{ip}:{readiness}"
[limits]
cpu_quota = 0.25
cores = 1
memory_mb = 110
max_fds = 4200
bandwidth_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
stable_ms = 4000
drain_ms = 2500
grace_s = {grace}
loss_slack_ms = 200
config_apply_ms = 2500
rollback_slack_ms = 250
retry_ratio = 0.2
retry_window_s = 10
retry_burst = 54
recover_s = 12
reuse_window_s = 7.8
[platform]
address = "{store}"
form = "table"
"#
        );
        Ok(std::fs::write(self.folder.join("settings.toml"), settings)?)
    }

    fn start(&mut self) -> Result<()> {
        let child = Command::new(&self.program)
            .arg("--metrics-port")
            .arg(self.ports[2].to_string())
            .env("BAMBOOROAD_BOOT", self.folder.join("settings.toml"))
            .stdout(Stdio::null())
            .stderr(Stdio::inherit())
            .spawn()
            .context("starting the program")?;
        self.child = Some(child);
        Ok(())
    }

    fn signal(&self, name: &str) -> Result<()> {
        let id = self.child.as_ref().context("no process")?.id().to_string();
        let status = Command::new("kill").arg(format!("-{name}")).arg(id).status()?;
        needs(status.success(), "the signal is sent")
    }

    /// Exit code, if the process has ended by itself.
    fn ended(&mut self) -> Result<Option<i32>> {
        let status = self.child.as_mut().context("no process")?.try_wait()?;
        Ok(status.map(|status| status.code().unwrap_or(-1)))
    }

    /// Waits until the process is ready; its exit code, if it ends before.
    async fn wait_ready(&mut self) -> Result<Option<i32>> {
        let readiness = SocketAddr::new(self.ip, self.ports[1]);
        let until = Instant::now() + READY_TIME;
        while Instant::now() < until {
            if let Some(code) = self.ended()? {
                return Ok(Some(code));
            }
            let response = Request::new("/readyz", "").send(readiness).await;
            if response.is_ok_and(|response| response.status == StatusCode::OK) {
                return Ok(None);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        anyhow::bail!("{} is not ready within {READY_TIME:?}", self.name)
    }

    /// Stops the process like the platform before a restart.
    async fn stop(&mut self) -> Result<()> {
        self.signal("TERM")?;
        let until = Instant::now() + Duration::from_secs(9);
        while self.ended()?.is_none() {
            needs(Instant::now() < until, "the process ends within its grace period")?;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    async fn ask(&self, record: &Record, attempt: &str) -> bool {
        let request = Request::new("/once/", attempt).with_body(b"x");
        let status = request.send(self.callers()).await.map(|response| response.status);
        let seen = match &status {
            Ok(status) => format!("status {status}"),
            Err(error) => format!("no answer: {error:#}"),
        };
        record.add(format!("{}: request {attempt}: {seen}", self.name));
        status.is_ok_and(|status| status == StatusCode::OK)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The kill fails if the process has ended.
            child.kill().ok();
            child.wait().ok();
        }
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    run(play).await
}

async fn play(case: Case) -> Result<usize> {
    let record = &case.record;
    let mut bed = Testbed::unconfigured(2).await?;
    bed.configure(testbed::configuration());
    let mut machines = Vec::new();
    for number in 1..=2 {
        let mut machine = Machine::new(&case.program, number, &bed.store)?;
        machine.write_settings(GRACE)?;
        machine.start()?;
        needs(machine.wait_ready().await?.is_none(), "the process starts")?;
        needs(machine.ask(record, &format!("before-{number}")).await, "a request is served")?;
        machines.push(machine);
    }
    let grace = if case.trouble { "7.5" } else { "7" };
    for machine in &machines {
        machine.write_settings(grace)?;
        machine.signal("HUP")?;
        record.add(format!(
            "{}: the settings file says grace_s = {grace}; SIGHUP sent",
            machine.name
        ));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut faulty = 0;
    for machine in &mut machines {
        needs(machine.ended()?.is_none(), "the process still runs")?;
        machine.stop().await?;
        record.add(format!("{}: stopped by the platform, to be started again", machine.name));
        let mut ends = 0;
        while ends < ENDS {
            tokio::time::sleep(RESTART_DELAY).await;
            machine.start()?;
            match machine.wait_ready().await? {
                None => {
                    record.add(format!("{}: started and ready", machine.name));
                    break;
                }
                Some(code) => {
                    ends += 1;
                    record.add(format!(
                        "{}: started, ended by itself with code {code}",
                        machine.name
                    ));
                }
            }
        }
        faulty += usize::from(ends == ENDS);
    }
    for (number, machine) in machines.iter().enumerate() {
        machine.ask(record, &format!("after-{}", number + 1)).await;
    }
    record.add(format!("{faulty} of 2 machines: their process ended by itself {ENDS} times"));
    // The rule speaks of a tenth of the machines, two at least.
    Ok(if faulty >= 2 { faulty * ENDS } else { 0 })
}
