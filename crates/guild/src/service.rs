//! Service files.
//!
//! ```toml
//! service = "bookdesk"
//! kind = "plain"
//! tiers = ["booking", "enquiry"]        # highest first
//! checks_fencing = false
//!
//! [[operation]]
//! method = "POST"
//! path = "/bookings"
//! idempotent = false
//! tier = "booking"
//! ```
//!
//! Endpoints are taken from the platform's directory by the service's name
//! unless the file lists them. Unknown keys are errors. Error messages contain
//! file, line, key and the allowed values.

use anyhow::{Result, anyhow, bail};
use serde::{Deserialize, Serialize};
use std::path::Path;
use units::{EndpointId, Rank, RegionId, ServiceId, TierId, ZoneId};

/// Maximum number of tiers that a service may declare.
pub const MAX_TIERS: usize = 5;

/// Kind of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines that serve chat completions.
    Model,
    /// Plain HTTP service.
    Plain,
}

/// Operation of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// HTTP method, in upper case.
    pub method: Box<str>,
    /// Path, or a path prefix followed by `*`.
    pub path: Box<str>,
    /// Whether a call may be repeated safely.
    pub idempotent: bool,
    /// Tier of requests that name none.
    #[serde(default)]
    pub tier: Option<TierId>,
}

/// Endpoint that the file lists instead of the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Name.
    pub id: EndpointId,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region.
    pub region: RegionId,
}

/// Service file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Name of the service.
    pub service: ServiceId,
    /// Kind of the service.
    pub kind: Kind,
    /// Model name that callers may use instead of the service's name.
    #[serde(default)]
    pub model: Option<Box<str>>,
    /// Tiers, highest first.
    pub tiers: Box<[TierId]>,
    /// Tier of requests that name none; by default the lowest one.
    #[serde(default)]
    pub default_tier: Option<TierId>,
    /// Whether endpoints reject orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Whether engines can resume an interrupted stream.
    #[serde(default)]
    pub resumable: bool,
    /// Whether endpoints may be ordered to switch to this service or away from it.
    #[serde(default)]
    pub movable: bool,
    /// Operations of a plain service.
    #[serde(default, rename = "operation")]
    pub operations: Box<[Operation]>,
    /// Endpoints; if empty, the directory is used.
    #[serde(default, rename = "endpoint")]
    pub endpoints: Box<[Endpoint]>,
}

impl File {
    /// Rank of a tier; zero is the highest.
    #[must_use]
    pub fn rank(&self, tier: &TierId) -> Option<Rank> {
        let position = self.tiers.iter().position(|t| t == tier)?;
        u8::try_from(position).ok().map(Rank)
    }

    /// Tier of requests that name none.
    #[must_use]
    pub fn fallback_tier(&self) -> &TierId {
        self.default_tier.as_ref().unwrap_or(&self.tiers[self.tiers.len() - 1])
    }

    /// Operation that matches a call.
    #[must_use]
    pub fn operation(&self, method: &str, path: &str) -> Option<&Operation> {
        self.operations.iter().find(|op| &*op.method == method && path_matches(&op.path, path))
    }
}

fn path_matches(pattern: &str, path: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => path.starts_with(prefix),
        None => pattern == path,
    }
}

/// Parses and validates the file at `path`.
///
/// # Errors
/// The first error, with file, line, key and the allowed values.
pub fn read(path: &Path) -> Result<File> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| anyhow!("{name}: {e}"))?;
    parse(&name, &text)
}

/// Parses and validates `text`; messages use `name` as the file name.
///
/// # Errors
/// The first error, with file, line, key and the allowed values.
pub fn parse(name: &str, text: &str) -> Result<File> {
    let file: File = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |span| line_at(text, span.start));
        anyhow!("{name}:{line}: {}", e.message())
    })?;
    check(&file).map_err(|error| {
        let line = line_of_key(text, error.key);
        anyhow!("{name}:{line}: key `{}`: {}", error.key, error.message)
    })?;
    Ok(file)
}

/// Invalid value of a key.
struct Invalid {
    key: &'static str,
    message: String,
}

fn invalid(key: &'static str, message: String) -> Result<(), Invalid> {
    Err(Invalid { key, message })
}

fn check(file: &File) -> Result<(), Invalid> {
    check_tiers(file)?;
    check_operations(file)?;
    check_endpoints(file)
}

fn check_tiers(file: &File) -> Result<(), Invalid> {
    if file.tiers.is_empty() || file.tiers.len() > MAX_TIERS {
        return invalid("tiers", format!("allowed: 1 to {MAX_TIERS} tiers, highest first"));
    }
    for (index, tier) in file.tiers.iter().enumerate() {
        if file.tiers[..index].contains(tier) {
            return invalid("tiers", format!("{tier} stands twice; allowed: each tier once"));
        }
    }
    match &file.default_tier {
        Some(tier) if file.rank(tier).is_none() => {
            invalid("default_tier", format!("{tier} is not declared; allowed: {}", tier_list(file)))
        }
        _ => Ok(()),
    }
}

fn check_operations(file: &File) -> Result<(), Invalid> {
    const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
    if file.kind == Kind::Model && !file.operations.is_empty() {
        return invalid("operation", "allowed only with kind = \"plain\"".into());
    }
    if file.movable && (file.kind == Kind::Plain || !file.endpoints.is_empty()) {
        let message = "allowed only for models whose endpoints the directory lists";
        return invalid("movable", message.into());
    }
    if file.kind == Kind::Plain && file.operations.is_empty() {
        return invalid("kind", "a plain service declares at least one [[operation]]".into());
    }
    for op in &file.operations {
        if !METHODS.contains(&&*op.method) {
            return invalid("method", format!("{}; allowed: {}", op.method, METHODS.join(", ")));
        }
        if !op.path.starts_with('/') {
            return invalid("path", format!("{}; allowed: a path that begins with /", op.path));
        }
        if let Some(tier) = op.tier.as_ref().filter(|tier| file.rank(tier).is_none()) {
            return invalid(
                "tier",
                format!("{tier} is not declared; allowed: {}", tier_list(file)),
            );
        }
    }
    Ok(())
}

fn check_endpoints(file: &File) -> Result<(), Invalid> {
    for (index, endpoint) in file.endpoints.iter().enumerate() {
        if file.endpoints[..index].iter().any(|other| other.id == endpoint.id) {
            return invalid("id", format!("{} stands twice; allowed: each once", endpoint.id));
        }
    }
    Ok(())
}

fn tier_list(file: &File) -> String {
    let names: Vec<&str> = file.tiers.iter().map(TierId::as_str).collect();
    names.join(", ")
}

fn line_at(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

fn line_of_key(text: &str, key: &str) -> usize {
    text.lines()
        .position(|line| {
            let line = line.trim_start().trim_start_matches('[');
            line.strip_prefix(key).is_some_and(|rest| rest.trim_start().starts_with(['=', ']']))
        })
        .map_or(1, |index| index + 1)
}

/// Reads the files in `paths`; of a folder, all `*.bamboo.toml` files in it and its subfolders.
///
/// # Errors
/// The first error, or that no service file was found.
pub fn read_all(paths: &[std::path::PathBuf]) -> Result<Vec<File>> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            read_folder(path, &mut files)?;
        } else {
            files.push(read(path)?);
        }
    }
    if files.is_empty() {
        bail!("no service file found; service files end in .bamboo.toml");
    }
    Ok(files)
}

fn read_folder(folder: &Path, files: &mut Vec<File>) -> Result<()> {
    let mut entries: Vec<_> = std::fs::read_dir(folder)?.collect::<Result<_, _>>()?;
    entries.sort_by_key(std::fs::DirEntry::path);
    for entry in entries {
        let path = entry.path();
        if path.is_dir() {
            read_folder(&path, files)?;
        } else if path.to_string_lossy().ends_with(".bamboo.toml") {
            files.push(read(&path)?);
        }
    }
    Ok(())
}
