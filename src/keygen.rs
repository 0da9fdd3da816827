//! `keygen`: generates a certificate authority and the gateways' certificates.

use crate::{
    Result,
    output::{Failure, Output},
};
use codes::Code;
use link::Authority;
use serde_json::json;
use std::{fs, path::PathBuf};

/// generate a certificate authority and certificates for gateways
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "keygen")]
pub struct Options {
    /// folder to write the files to
    #[argh(option)]
    folder: PathBuf,
    /// names of the gateways
    #[argh(positional)]
    names: Vec<String>,
}

/// Runs the command. The authority's private key is not stored: rotation creates a new authority.
pub fn run(options: &Options, output: &Output) -> Result {
    write(options).map_err(|e| Failure::new(Code::InvalidSettings, format!("{e:#}")))?;
    let text = format!("{} certificates in {}", options.names.len(), options.folder.display());
    output.print(&text, &json!({"certificates": options.names}));
    Ok(())
}

fn write(options: &Options) -> anyhow::Result<()> {
    fs::create_dir_all(&options.folder)?;
    let authority = Authority::generate()?;
    fs::write(options.folder.join("authority.pem"), authority.pem())?;
    for name in &options.names {
        let (certificate, key) = authority.issue()?;
        fs::write(options.folder.join(format!("{name}.pem")), certificate)?;
        fs::write(options.folder.join(format!("{name}.key.pem")), key)?;
    }
    Ok(())
}
