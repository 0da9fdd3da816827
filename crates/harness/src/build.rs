//! Builds and locates the workspace's binaries.

use anyhow::{Context, Result, ensure};
use std::{
    path::{Path, PathBuf},
    process::Command,
    sync::OnceLock,
};

/// Build profile of the binaries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    /// For tests.
    Debug,
    /// For measurements.
    Release,
}

/// Root of the workspace.
pub fn root() -> &'static Path {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent();
    crates.and_then(Path::parent).unwrap_or(Path::new("."))
}

/// Environment variable with a folder of prebuilt binaries, used instead of building them.
const PREBUILT_VARIABLE: &str = "HARNESS_BINARIES";

fn build(profile: Profile) -> Result<PathBuf> {
    if let Some(folder) = std::env::var_os(PREBUILT_VARIABLE) {
        return Ok(folder.into());
    }
    let mut command = Command::new(std::env::var("CARGO").unwrap_or("cargo".into()));
    command.current_dir(root()).args(["build", "--workspace", "--bins", "--locked", "--quiet"]);
    if profile == Profile::Release {
        command.arg("--release");
    }
    ensure!(command.status().context("running cargo")?.success(), "the build failed");
    let target = std::env::var("CARGO_TARGET_DIR").map_or(root().join("target"), PathBuf::from);
    let folder = if profile == Profile::Release { "release" } else { "debug" };
    Ok(target.join(folder))
}

/// Path of a binary; builds all binaries of the profile on first use.
///
/// # Errors
/// The build failed.
pub fn binary(profile: Profile, name: &str) -> Result<PathBuf> {
    static DEBUG: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    static RELEASE: OnceLock<Result<PathBuf, String>> = OnceLock::new();
    let built = if profile == Profile::Debug { &DEBUG } else { &RELEASE };
    let folder = built.get_or_init(|| build(profile).map_err(|e| format!("{e:#}")));
    let folder = folder.as_ref().map_err(|e| anyhow::anyhow!("{e}"))?;
    Ok(folder.join(name))
}
