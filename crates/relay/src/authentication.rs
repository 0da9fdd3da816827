//! Message authentication between nodes.
//!
//! Messages end with a truncated HMAC-SHA-256 under the secret that the nodes
//! share through the store.

use anyhow::{Context, Result, ensure};
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of a message's truncated HMAC, in bytes.
const MAC_BYTES: usize = 16;

type HmacSha256 = Hmac<Sha256>;

/// Appends the HMAC of `bytes` to them.
///
/// # Errors
/// The secret is not a valid key.
pub fn append_hmac(mut bytes: Vec<u8>, secret: &[u8]) -> Result<Vec<u8>> {
    let mut mac = HmacSha256::new_from_slice(secret).context("HMAC key")?;
    mac.update(&bytes);
    bytes.extend_from_slice(&mac.finalize().into_bytes()[..MAC_BYTES]);
    Ok(bytes)
}

/// Verifies the HMAC at the end of a message and returns the bytes before it.
///
/// # Errors
/// The message is too short, or its HMAC is invalid.
pub fn verify_hmac<'a>(message: &'a [u8], secret: &[u8]) -> Result<&'a [u8]> {
    ensure!(message.len() > MAC_BYTES, "message of {} bytes is too short", message.len());
    let (bytes, code) = message.split_at(message.len() - MAC_BYTES);
    let mut mac = HmacSha256::new_from_slice(secret).context("HMAC key")?;
    mac.update(bytes);
    mac.verify_truncated_left(code).context("verifying the HMAC")?;
    Ok(bytes)
}
