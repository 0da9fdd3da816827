//! Stand-ins for model engines and plain services.
//!
//! One process hosts the endpoints of a fleet file, each on its own port and
//! thread. Engines use continuous batching: each step prefills a chunk of the
//! prompts and generates one token for every prefilled request; requests beyond
//! the batch size wait in a queue that callers cannot see. Control requests
//! crash, slow down or freeze an endpoint, cut its connections, or make it
//! leave.

mod admin;
mod batch;
mod endpoint;
mod fleet;
mod plain;
mod stats;

use anyhow::{Context, Result};
use fleet::Fleet;
use std::{net::SocketAddr, path::PathBuf};

/// Stand-in for engines and plain services.
#[derive(argh::FromArgs)]
struct Options {
    /// fleet file
    #[argh(option)]
    fleet: PathBuf,
    /// platform to register with
    #[argh(option)]
    platform: Option<SocketAddr>,
    /// host only this endpoint, and end the process when it crashes
    #[argh(option)]
    alone: Option<String>,
    /// address for control requests
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
}

#[ntex::main]
async fn main() -> Result<()> {
    let options: Options = argh::from_env();
    let text = std::fs::read_to_string(&options.fleet).context("reading the fleet file")?;
    let mut fleet: Fleet = serde_json::from_value(toml::from_str(&text)?)?;
    if let Some(alone) = &options.alone {
        fleet.endpoints.retain(|spec| spec.id.as_str() == alone);
        fleet.endpoints.iter_mut().for_each(|spec| spec.aborts = true);
    }
    let endpoints = endpoint::start_all(&fleet, options.platform)?;
    if let Some(platform) = options.platform {
        admin::register(platform, &endpoints).await?;
    }
    admin::serve(options.listen, endpoints, options.platform).await
}
