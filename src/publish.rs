//! `publish` and `log`: the guild's configuration.

use crate::{
    Result, check,
    gateways::{self, Gateways},
    output::{Failure, Output},
    platform,
};
use codes::Code;
use guild::Head;
use rand::Rng;
use serde_json::json;
use std::{net::SocketAddr, path::PathBuf};
use store::publish::{self, Error, Published};
use units::{AttemptToken, Version};

/// Gateways that are told at once; they tell the others.
const TOLD: usize = 3;

/// put service files in force for the guild, as one version
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Options {
    /// address of the platform's table
    #[argh(option)]
    table: SocketAddr,
    /// address of the object store; the table's when absent
    #[argh(option)]
    objects: Option<SocketAddr>,
    /// address of the directory, to tell gateways at once; the table's when absent
    #[argh(option)]
    directory: Option<SocketAddr>,
    /// who publishes
    #[argh(option, default = "\"operator\".into()")]
    author: String,
    /// version that must be in force before; publishing on another one is refused
    #[argh(option)]
    base: Option<Version>,
    /// service files, or folders with *.bamboo.toml files
    #[argh(positional)]
    paths: Vec<PathBuf>,
}

/// list publications, newest first
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "log")]
pub struct LogOptions {
    /// address of the platform's table
    #[argh(option)]
    table: SocketAddr,
    /// most publications to list
    #[argh(option, default = "20")]
    limit: u64,
}

/// Runs `publish`.
pub async fn run(options: &Options, output: &Output) -> Result {
    let files = check::read(&options.paths)?;
    let table = platform::table(options.table).await?;
    let objects = platform::objects(options.objects.unwrap_or(options.table)).await?;
    let token = AttemptToken::new(rand::rng().random());
    let author = &options.author;
    let published = publish::publish(&table, &objects, files, author, options.base, token)
        .await
        .map_err(|fault| failure(&fault))?;
    let directory = options.directory.unwrap_or(options.table);
    let told = tell(directory, &published).await;
    let head = &published.head;
    let text = format!("version {} is accepted; {told} gateways told", head.version);
    output.print(&text, &json!({"version": head.version, "digest": head.digest, "told": told}));
    Ok(())
}

fn failure(fault: &Error) -> Failure {
    let code = match fault {
        Error::Conflict(_) => Code::PublishConflict,
        Error::Unavailable(_) => Code::StoreUnavailable,
        Error::InDoubt(_) => Code::PublishInDoubt,
    };
    Failure::new(code, fault)
}

/// Hands the document to a few gateways, so that it spreads although the store may go down now.
async fn tell(directory: SocketAddr, published: &Published) -> usize {
    let gateways = Gateways { gateway: Vec::new(), directory: Some(directory) };
    let Ok(addresses) = gateways.addresses().await else {
        return 0;
    };
    let mut told = 0;
    for address in addresses {
        let sent = gateways::post(address, "/publication", published.bytes.clone()).await;
        told += usize::from(sent.is_ok());
        if told == TOLD {
            break;
        }
    }
    told
}

/// Runs `log`.
pub async fn log(options: &LogOptions, output: &Output) -> Result {
    let table = platform::table(options.table).await?;
    let heads = publish::log(&table, options.limit)
        .await
        .map_err(|e| Failure::new(Code::StoreUnavailable, format!("{e:#}")))?;
    let lines: Vec<String> = heads.iter().map(line).collect();
    output.print(&lines.join("\n"), &json!(heads));
    Ok(())
}

fn line(head: &Head) -> String {
    format!("{:>6}  {}  {}", head.version.get(), head.digest, head.author)
}
