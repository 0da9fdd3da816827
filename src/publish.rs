//! `publish` and `log`: the cluster's configuration.

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

/// Gateways that receive a publication directly; they forward it to the others.
const PUSH_TARGETS: usize = 3;

/// publish service files to the cluster as one version
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Options {
    /// address of the platform's table
    #[argh(option)]
    table: SocketAddr,
    /// address of the object store; defaults to that of the table
    #[argh(option)]
    objects: Option<SocketAddr>,
    /// address of the directory that lists the gateways to notify; defaults to that of the table
    #[argh(option)]
    directory: Option<SocketAddr>,
    /// author recorded with the publication
    #[argh(option, default = "\"operator\".into()")]
    author: String,
    /// version that this publication replaces; refused if another one is in force
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
    /// largest number of publications to list
    #[argh(option, default = "20")]
    limit: u64,
}

/// Runs `publish`.
pub async fn run(options: &Options, output: &Output) -> Result {
    let files = check::read_files(&options.paths)?;
    let table = platform::table(options.table).await?;
    let objects = platform::objects(options.objects.unwrap_or(options.table)).await?;
    let token = AttemptToken::new(rand::rng().random());
    let author = &options.author;
    let published = publish::publish(&table, &objects, files, author, options.base, token)
        .await
        .map_err(|error| failure(&error))?;
    let directory = options.directory.unwrap_or(options.table);
    let accepted = push(directory, &published).await;
    let head = &published.head;
    let text = format!("version {} is accepted; sent to {accepted} gateways", head.version);
    output.print(&text, &json!({"version": head.version, "digest": head.digest, "told": accepted}));
    Ok(())
}

fn failure(error: &Error) -> Failure {
    let code = match error {
        Error::Conflict(_) => Code::PublishConflict,
        Error::Unavailable(_) => Code::StoreUnavailable,
        Error::InDoubt(_) => Code::PublishInDoubt,
    };
    Failure::new(code, error)
}

/// Sends the publication to [`PUSH_TARGETS`] gateways, so that it spreads even if the store fails
/// now. Returns the number of gateways that accepted it.
async fn push(directory: SocketAddr, published: &Published) -> usize {
    let gateways = Gateways { given: Vec::new(), directory: Some(directory) };
    let Ok(addresses) = gateways.addresses().await else {
        return 0;
    };
    let mut accepted = 0;
    for address in addresses {
        let sent = gateways::post(address, "/publication", published.bytes.clone()).await;
        accepted += usize::from(sent.is_ok());
        if accepted == PUSH_TARGETS {
            break;
        }
    }
    accepted
}

/// Runs `log`.
pub async fn log(options: &LogOptions, output: &Output) -> Result {
    let table = platform::table(options.table).await?;
    let heads = publish::log(&table, options.limit)
        .await
        .map_err(|e| Failure::new(Code::StoreUnavailable, format!("{e:#}")))?;
    let lines: Vec<String> = heads.iter().map(format_head).collect();
    output.print(&lines.join("\n"), &json!(heads));
    Ok(())
}

fn format_head(head: &Head) -> String {
    format!("{:>6}  {}  {}", head.version.get(), head.digest, head.author)
}
