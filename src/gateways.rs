//! `status` and `drain`: requests to the gateways' operator addresses.

use crate::{
    Result,
    output::{Failure, Output},
    platform,
};
use codes::Code;
use ntex::{client::Client, http::StatusCode, util::Bytes};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};

/// Timeout of one request to a gateway.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Gateways that a command addresses.
#[derive(Debug, Default)]
pub struct Gateways {
    /// Operator addresses given on the command line.
    pub given: Vec<SocketAddr>,
    /// Directory that lists further gateways.
    pub directory: Option<SocketAddr>,
}

/// show the status of gateways
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusOptions {
    /// operators' address of a gateway; may be given several times
    #[argh(option)]
    gateway: Vec<SocketAddr>,
    /// directory that lists the gateways
    #[argh(option)]
    directory: Option<SocketAddr>,
}

/// stop sending new work to an endpoint
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainOptions {
    /// operators' address of a gateway; may be given several times
    #[argh(option)]
    gateway: Vec<SocketAddr>,
    /// directory that lists the gateways
    #[argh(option)]
    directory: Option<SocketAddr>,
    /// lift the drain: send work to the endpoint again
    #[argh(switch)]
    undo: bool,
    /// identifier of the endpoint
    #[argh(positional)]
    endpoint: String,
}

impl Gateways {
    /// Operator addresses, those given on the command line first.
    pub async fn addresses(&self) -> std::result::Result<Vec<SocketAddr>, Failure> {
        let mut addresses = self.given.clone();
        if let Some(directory) = self.directory {
            let list = platform::directory(directory).await?.list().await;
            let list = list.map_err(|e| Failure::new(Code::StoreUnavailable, format!("{e:#}")))?;
            addresses.extend(list.listings.iter().filter_map(|listing| listing.operator));
        }
        if addresses.is_empty() {
            let detail = "no gateway was given and none is listed in a directory";
            return Err(Failure::new(Code::GatewayUnreachable, detail));
        }
        Ok(addresses)
    }
}

async fn exchange(
    request: ntex::client::ClientRequest,
    body: Vec<u8>,
) -> std::result::Result<Bytes, Failure> {
    let unreachable = |detail: String| Failure::new(Code::GatewayUnreachable, detail);
    let timeout = ntex::time::Millis(u32::try_from(TIMEOUT.as_millis()).unwrap_or(u32::MAX));
    let response = request.timeout(timeout).send_body(body).await;
    let response = response.map_err(|e| unreachable(e.to_string()))?;
    let status = response.status();
    let body = response.body().await.map_err(|e| unreachable(e.to_string()))?;
    if status.is_success() || status == StatusCode::ACCEPTED {
        return Ok(body);
    }
    Err(unreachable(format!("{status}: {}", String::from_utf8_lossy(&body))))
}

/// Sends a POST request to a gateway.
pub async fn post(
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> std::result::Result<Bytes, Failure> {
    let client = Client::new().await;
    exchange(client.post(format!("http://{address}{path}")), body).await
}

async fn fetch_status(address: SocketAddr) -> std::result::Result<Value, Failure> {
    let client = Client::new().await;
    let body = exchange(client.get(format!("http://{address}/status")), Vec::new()).await?;
    serde_json::from_slice(&body).map_err(|e| Failure::new(Code::GatewayUnreachable, e))
}

/// Runs `status`.
pub async fn status(options: &StatusOptions, output: &Output) -> Result {
    let gateways = Gateways { given: options.gateway.clone(), directory: options.directory };
    let mut statuses = Vec::new();
    let mut lines = Vec::new();
    for address in gateways.addresses().await? {
        match fetch_status(address).await {
            Ok(status) => {
                lines.push(format_status(&status));
                statuses.push(status);
            }
            Err(failure) => {
                lines.push(format!("{address}  unreachable: {}", failure.detail));
                statuses.push(json!({"operator": address, "unreachable": failure.detail}));
            }
        }
    }
    output.print(&lines.join("\n"), &json!(statuses));
    Ok(())
}

fn format_status(status: &Value) -> String {
    let text = |key: &str| status[key].to_string().replace('"', "");
    let alive = status["members"]
        .as_array()
        .map_or(0, |members| members.iter().filter(|member| member["state"] == "Alive").count());
    format!(
        "{:<12} ready={} version={} members={alive} in_progress={} waiting={} whole={} refused={} cut={} store_up={}",
        text("instance"),
        text("ready"),
        text("version"),
        text("in_progress"),
        status["desk"]["waiting"],
        text("whole"),
        text("refused"),
        text("cut"),
        text("store_up"),
    )
}

/// Runs `drain`: tries the gateways in turn until one accepts the drain, which it forwards to its
/// peers.
pub async fn drain(options: &DrainOptions, output: &Output) -> Result {
    let gateways = Gateways { given: options.gateway.clone(), directory: options.directory };
    let path = format!("/drain/{}", options.endpoint);
    let mut last = Failure::new(Code::GatewayUnreachable, "no gateway responded");
    for address in gateways.addresses().await? {
        let client = Client::new().await;
        let url = format!("http://{address}{path}");
        let request = if options.undo { client.delete(url) } else { client.post(url) };
        match exchange(request, Vec::new()).await {
            Ok(_) => {
                let state = if options.undo { "drain lifted" } else { "draining" };
                let text = format!("{}: {state}; accepted by {address}", options.endpoint);
                output.print(&text, &json!({"endpoint": options.endpoint, "told": address}));
                return Ok(());
            }
            Err(failure) => last = failure,
        }
    }
    Err(last)
}
