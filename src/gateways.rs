//! `status` and `drain`: calls to gateways.

use crate::{
    Result,
    output::{Failure, Output},
    platform,
};
use codes::Code;
use ntex::{client::Client, http::StatusCode, util::Bytes};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};

/// Time for one call.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Gateways that a command speaks to.
#[derive(Debug, Default)]
pub struct Gateways {
    /// Operators' addresses.
    pub gateway: Vec<SocketAddr>,
    /// Directory to take them from.
    pub directory: Option<SocketAddr>,
}

/// show what gateways know
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

/// give an endpoint no new work
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainOptions {
    /// operators' address of a gateway; may be given several times
    #[argh(option)]
    gateway: Vec<SocketAddr>,
    /// directory that lists the gateways
    #[argh(option)]
    directory: Option<SocketAddr>,
    /// give it work again
    #[argh(switch)]
    undo: bool,
    /// endpoint
    #[argh(positional)]
    endpoint: String,
}

impl Gateways {
    /// Operators' addresses.
    pub async fn addresses(&self) -> std::result::Result<Vec<SocketAddr>, Failure> {
        let mut addresses = self.gateway.clone();
        if let Some(directory) = self.directory {
            let list = platform::directory(directory).await?.list().await;
            let list = list.map_err(|e| Failure::new(Code::StoreUnavailable, format!("{e:#}")))?;
            addresses.extend(list.listings.iter().filter_map(|listing| listing.operator));
        }
        if addresses.is_empty() {
            let detail = "no gateway is given or listed";
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

/// Sends a call to a gateway.
pub async fn post(
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
) -> std::result::Result<Bytes, Failure> {
    let client = Client::new().await;
    exchange(client.post(format!("http://{address}{path}")), body).await
}

async fn read_status(address: SocketAddr) -> std::result::Result<Value, Failure> {
    let client = Client::new().await;
    let body = exchange(client.get(format!("http://{address}/status")), Vec::new()).await?;
    serde_json::from_slice(&body).map_err(|e| Failure::new(Code::GatewayUnreachable, e))
}

/// Runs `status`.
pub async fn status(options: &StatusOptions, output: &Output) -> Result {
    let gateways = Gateways { gateway: options.gateway.clone(), directory: options.directory };
    let mut found = Vec::new();
    let mut lines = Vec::new();
    for address in gateways.addresses().await? {
        match read_status(address).await {
            Ok(status) => {
                lines.push(line(&status));
                found.push(status);
            }
            Err(failure) => {
                lines.push(format!("{address}  unreachable: {}", failure.detail));
                found.push(json!({"operator": address, "unreachable": failure.detail}));
            }
        }
    }
    output.print(&lines.join("\n"), &json!(found));
    Ok(())
}

fn line(status: &Value) -> String {
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

/// Runs `drain`.
pub async fn drain(options: &DrainOptions, output: &Output) -> Result {
    let gateways = Gateways { gateway: options.gateway.clone(), directory: options.directory };
    let path = format!("/drain/{}", options.endpoint);
    let mut last = Failure::new(Code::GatewayUnreachable, "no gateway answered");
    for address in gateways.addresses().await? {
        let client = Client::new().await;
        let url = format!("http://{address}{path}");
        let request = if options.undo { client.delete(url) } else { client.post(url) };
        match exchange(request, Vec::new()).await {
            Ok(_) => {
                let verb = if options.undo { "gets work again" } else { "gets no new work" };
                let text = format!("{} {verb}; told {address}", options.endpoint);
                output.print(&text, &json!({"endpoint": options.endpoint, "told": address}));
                return Ok(());
            }
            Err(failure) => last = failure,
        }
    }
    Err(last)
}
