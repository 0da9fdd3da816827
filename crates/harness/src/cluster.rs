//! A cluster of gateways with its platform and endpoints.

use crate::{
    build::{Profile, binary, root},
    client::Client,
    process::Process,
};
use anyhow::{Context, Result, bail};
use link::Authority;
use serde_json::Value;
use std::{
    collections::HashMap,
    fmt::Write as _,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};
use tempfile::TempDir;

/// Longest wait for all gateways to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(40);

/// Processes of a cluster and their settings.
#[derive(Debug, Clone)]
pub struct Topology {
    /// Build profile of the binaries.
    pub profile: Profile,
    /// Fleet file.
    pub fleet: PathBuf,
    /// Folder of service files.
    pub services: PathBuf,
    /// Number of gateways.
    pub gateways: usize,
    /// Policy that the gateways choose endpoints by.
    pub policy: Box<str>,
    /// Availability zone and region of the gateways, assigned in turn.
    pub locations: Vec<(String, String)>,
    /// Lines of the `[limits]` table in the gateways' settings.
    pub limits: Box<str>,
    /// Delay before the directory shows a change, in milliseconds.
    pub directory_lag_ms: u64,
    /// Endpoints that run in a process each; if not empty, the fleet's other endpoints are not
    /// started.
    pub isolated: Vec<String>,
}

impl Topology {
    /// Cluster of the roofcare example with this number of gateways, spread over three zones.
    #[must_use]
    pub fn new(gateways: usize) -> Self {
        let roofcare = root().join("examples/roofcare");
        Self {
            profile: Profile::Debug,
            fleet: roofcare.join("fleet.toml"),
            services: roofcare.join("services"),
            gateways,
            policy: "permits".into(),
            locations: vec![
                ("adajan".into(), "tapi-west".into()),
                ("rander".into(), "tapi-west".into()),
                ("naroda".into(), "sabar-north".into()),
            ],
            limits: "".into(),
            directory_lag_ms: 300,
            isolated: Vec::new(),
        }
    }

    /// Replaces the fleet by the one in `text`, written to a file in `folder`.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn with_fleet(mut self, folder: &Path, text: &str) -> Result<Self> {
        self.fleet = folder.join("fleet.toml");
        std::fs::write(&self.fleet, text)?;
        Ok(self)
    }

    /// Sets the lines of the `[limits]` table.
    #[must_use]
    pub fn with_limits(mut self, lines: &str) -> Self {
        self.limits = lines.into();
        self
    }
}

/// Gateway process with its addresses.
#[derive(Debug)]
pub struct Gateway {
    /// Process.
    pub process: Process,
    /// Address that serves callers.
    pub callers: SocketAddr,
    /// Address that serves operators.
    pub operators: SocketAddr,
    /// Address that peers connect to.
    pub peers: SocketAddr,
}

/// Running cluster with its platform and endpoints.
#[derive(Debug)]
pub struct Cluster {
    /// Topology it was started with.
    pub topology: Topology,
    /// Folder of keys and settings.
    pub folder: TempDir,
    /// Process of the platform.
    pub platform: Process,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Processes that host the endpoints.
    pub endpoints: Vec<Process>,
    /// Address for control requests to the endpoints of the first process.
    pub control_address: SocketAddr,
    /// Address of each endpoint.
    pub endpoint_addresses: HashMap<String, SocketAddr>,
    /// Gateways.
    pub gateways: Vec<Gateway>,
    authority: Authority,
    started: usize,
}

/// Address at the end of a line of output.
fn address_in(line: &str) -> Result<SocketAddr> {
    let last = line.split_whitespace().last().unwrap_or_default();
    last.parse().with_context(|| format!("no address in {line:?}"))
}

fn text(path: &Path) -> &str {
    path.to_str().unwrap_or_default()
}

fn start_endpoints(topology: &Topology, platform: SocketAddr) -> Result<Vec<Process>> {
    let binary = binary(topology.profile, "fake-engine")?;
    let platform = platform.to_string();
    let common = ["--fleet", text(&topology.fleet), "--platform", &platform];
    if topology.isolated.is_empty() {
        return Ok(vec![Process::start(&binary, &common)?]);
    }
    let start = |name: &String| {
        let mut arguments = common.to_vec();
        arguments.extend(["--alone", name]);
        Process::start(&binary, &arguments)
    };
    topology.isolated.iter().map(start).collect()
}

impl Cluster {
    /// Starts all processes, publishes the service files and waits until every gateway is ready.
    ///
    /// # Errors
    /// A process does not start, the publication fails, or a gateway is not ready in time.
    pub async fn start(topology: Topology) -> Result<Self> {
        let mut cluster = Self::start_without_gateways(topology)?;
        cluster.publish(&[])?;
        for _ in 0..cluster.topology.gateways {
            cluster.add_gateway()?;
        }
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Starts platform and endpoints only, and publishes nothing.
    ///
    /// # Errors
    /// A process does not start in time.
    pub fn start_without_gateways(topology: Topology) -> Result<Self> {
        let lag = topology.directory_lag_ms.to_string();
        let platform = Process::start(
            &binary(topology.profile, "fake-platform")?,
            &["--directory-lag-ms", &lag],
        )?;
        let platform_address = address_in(&platform.wait_for_line("listening")?)?;
        let endpoints = start_endpoints(&topology, platform_address)?;
        let control_address = address_in(&endpoints[0].wait_for_line("listening")?)?;
        let mut endpoint_addresses = HashMap::new();
        for process in &endpoints {
            process.wait_for_line("listening")?;
            for line in process.lines().iter().filter(|line| line.starts_with("endpoint ")) {
                let name = line.split_whitespace().nth(1).unwrap_or_default();
                endpoint_addresses.insert(name.to_owned(), address_in(line)?);
            }
        }
        let folder = TempDir::new()?;
        let authority = Authority::generate()?;
        std::fs::write(folder.path().join("authority.pem"), authority.pem())?;
        Ok(Self {
            topology,
            folder,
            platform,
            platform_address,
            endpoints,
            control_address,
            endpoint_addresses,
            gateways: Vec::new(),
            authority,
            started: 0,
        })
    }

    /// Runs the `bambooroad` command line; returns its exit code (-1 after a signal) and output.
    ///
    /// # Errors
    /// The command cannot be started.
    pub fn run_cli(&self, arguments: &[&str]) -> Result<(i32, String)> {
        let binary = binary(self.topology.profile, "bambooroad")?;
        let output = std::process::Command::new(binary).args(arguments).output()?;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text += &String::from_utf8_lossy(&output.stderr);
        Ok((output.status.code().unwrap_or(-1), text))
    }

    /// Publishes the topology's service files, with further arguments; returns the output.
    ///
    /// # Errors
    /// The command failed.
    pub fn publish(&self, extra: &[&str]) -> Result<String> {
        let table = self.platform_address.to_string();
        let mut arguments = vec!["publish", "--table", &table];
        arguments.extend(extra);
        arguments.push(text(&self.topology.services));
        let (code, output) = self.run_cli(&arguments)?;
        anyhow::ensure!(code == 0, "publish: {output}");
        Ok(output)
    }

    /// Starts another gateway and returns its index.
    ///
    /// # Errors
    /// The gateway does not start in time.
    pub fn add_gateway(&mut self) -> Result<usize> {
        self.started += 1;
        let name = format!("gw-{}", self.started);
        let (certificate, key) = self.authority.issue()?;
        let path = |suffix: &str| self.folder.path().join(format!("{name}{suffix}"));
        std::fs::write(path(".pem"), certificate)?;
        std::fs::write(path(".key.pem"), key)?;
        let settings = self.settings(&name);
        std::fs::write(path(".toml"), settings)?;
        let binary = binary(self.topology.profile, "bamboo-gateway")?;
        let process = Process::start(&binary, &["--settings", text(&path(".toml"))])?;
        let line = process.wait_for_line("\"name\":\"Started\"")?;
        let started: Value = serde_json::from_str(&line)?;
        let address = |key: &str| -> Result<SocketAddr> {
            Ok(started[key].as_str().unwrap_or_default().parse()?)
        };
        let (callers, operators) = (address("callers")?, address("operators")?);
        let peers = address("peers")?;
        self.gateways.push(Gateway { process, callers, operators, peers });
        Ok(self.gateways.len() - 1)
    }

    fn settings(&self, name: &str) -> String {
        let location = &self.topology.locations[(self.started - 1) % self.topology.locations.len()];
        let folder = self.folder.path().display();
        let seeds: Vec<String> =
            self.gateways.iter().take(2).map(|gateway| format!("\"{}\"", gateway.peers)).collect();
        let mut settings = String::new();
        let _ = write!(
            settings,
            "instance = \"{name}\"\nzone = \"{}\"\nregion = \"{}\"\npolicy = \"{}\"\n\
             [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             [peers]\ncertificate = \"{folder}/{name}.pem\"\nkey = \"{folder}/{name}.key.pem\"\n\
             authorities = [\"{folder}/authority.pem\"]\nseeds = [{}]\n\
             [platform]\ntable = \"{platform}\"\nobjects = \"{platform}\"\n\
             directory = \"{platform}\"\nregister = true\n[limits]\n{}\n",
            location.0,
            location.1,
            self.topology.policy,
            seeds.join(", "),
            self.topology.limits,
            platform = self.platform_address,
        );
        settings
    }

    /// Waits until every gateway is ready and knows all gateways and endpoints.
    ///
    /// # Errors
    /// The timeout passed.
    pub async fn wait_ready(&self) -> Result<()> {
        let client = Client::new().await?;
        let until = Instant::now() + READY_TIMEOUT;
        for gateway in &self.gateways {
            while !self.is_ready(&client, gateway.operators).await {
                if Instant::now() > until {
                    let status = client.get(gateway.operators, "/status").await?.body;
                    bail!("gateway not ready: {status}");
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    async fn is_ready(&self, client: &Client, operators: SocketAddr) -> bool {
        let Ok(response) = client.get(operators, "/status").await else {
            return false;
        };
        let status = response.json();
        let alive = status["members"].as_array().map_or(0, |members| {
            members.iter().filter(|member| member["state"] == "Alive").count()
        });
        let endpoints = status["endpoints"].as_array().map_or(0, Vec::len);
        status["ready"] == true
            && alive == self.gateways.len()
            && endpoints == self.endpoint_addresses.len()
    }

    /// Sets the failures that the platform simulates, as JSON.
    ///
    /// # Errors
    /// The platform does not respond or refuses the request.
    pub async fn control_platform(&self, client: &Client, switches: &str) -> Result<()> {
        let response = client.post(self.platform_address, "/control", switches).await?;
        anyhow::ensure!(response.status == 200, "control: {}", response.body);
        Ok(())
    }

    /// Applies a control request, as JSON, to an endpoint of the first process.
    ///
    /// # Errors
    /// The endpoint's process does not respond or refuses the request.
    pub async fn control_endpoint(
        &self,
        client: &Client,
        endpoint: &str,
        control: &str,
    ) -> Result<()> {
        let path = format!("/control/{endpoint}");
        let response = client.post(self.control_address, &path, control).await?;
        anyhow::ensure!(response.status == 200, "control: {}", response.body);
        Ok(())
    }

    /// Statistics of the endpoints of the first process, by endpoint.
    ///
    /// # Errors
    /// The endpoints' process does not respond.
    pub async fn stats(&self, client: &Client) -> Result<Value> {
        Ok(client.get(self.control_address, "/stats").await?.json())
    }

    /// Status of a gateway.
    ///
    /// # Errors
    /// The gateway does not respond.
    pub async fn status(&self, client: &Client, gateway: usize) -> Result<Value> {
        Ok(client.get(self.gateways[gateway].operators, "/status").await?.json())
    }
}
