//! Text and random identifiers.

use crate::macros::text_id;
use rand::Rng;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::{fmt, str::FromStr};

/// Longest text identifier, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Reason why a text is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The text is empty or longer than 64 bytes.
    #[error("an identifier has 1 to {MAX_ID_BYTES} characters, this one has {0}")]
    Length(usize),
    /// The text contains a character outside the allowed set.
    #[error("character {0:?} is not allowed; allowed: letters, digits, '-', '_', '.', ':'")]
    Character(char),
    /// The text is not a hexadecimal number.
    #[error("expected {0} hexadecimal digits")]
    Hex(usize),
}

fn check_text(text: &str) -> Result<(), ParseError> {
    if text.is_empty() || text.len() > MAX_ID_BYTES {
        return Err(ParseError::Length(text.len()));
    }
    match text.chars().find(|c| !is_id_char(*c)) {
        Some(c) => Err(ParseError::Character(c)),
        None => Ok(()),
    }
}

fn is_id_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':')
}

text_id! {
    /// Running process of ours: a gateway or a relay node.
    InstanceId;
    /// Availability zone.
    ZoneId;
    /// Region, a group of availability zones.
    RegionId;
    /// Organisation that sends requests.
    OrganisationId;
    /// Backend process that executes requests.
    EndpointId;
    /// Service that requests are addressed to.
    ServiceId;
    /// Version of an endpoint's software.
    Release;
    /// Priority tier of requests, declared in a service file.
    TierId;
    /// Key by which a caller marks repetitions of the same call.
    IdempotencyKey;
}

macro_rules! random_id {
    ($($(#[$meta:meta])* $name:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
            #[derive(SerializeDisplay, DeserializeFromStr)]
            pub struct $name(u128);

            impl $name {
                /// Identifier with the given number.
                #[must_use]
                pub const fn new(value: u128) -> Self {
                    Self(value)
                }

                /// Random identifier.
                pub fn random(rng: &mut impl Rng) -> Self {
                    Self(rng.random())
                }

                /// Number of the identifier.
                #[must_use]
                pub const fn get(self) -> u128 {
                    self.0
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    write!(f, "{:032x}", self.0)
                }
            }

            impl FromStr for $name {
                type Err = ParseError;

                fn from_str(text: &str) -> Result<Self, ParseError> {
                    u128::from_str_radix(text, 16)
                        .map(Self)
                        .map_err(|_| ParseError::Hex(32))
                }
            }
        )*
    };
}

random_id! {
    /// Accepted request.
    RequestId;
    /// Attempt at a conditional write; recognises the written row after a lost response.
    AttemptToken;
}
