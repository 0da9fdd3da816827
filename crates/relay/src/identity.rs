//! Traits by which a request is recognised when endpoints crash under it.
//!
//! Whatever an endpoint can tell two requests apart by may decide whether it
//! crashes. A request therefore has nested traits, see [`Trait`]: what older
//! builds compare, the target, and the target with the header fields that
//! endpoints receive. Fields that are new in each attempt, or that the system
//! sets, belong to none of them. Fields that trace a request through systems are
//! mostly new in each attempt, too, but not always; a request that has them gets
//! a variant with and one without them.
//!
//! The number of traits does not depend on what a caller sends, apart from the
//! parts of its prompt, and the body is hashed once.

use crate::{headers::Codec, reply};
use http::{HeaderMap, HeaderName, Method, Uri, header};
use sched::quarantine::Trait;
use units::Fingerprint;
use xxhash_rust::xxh3::Xxh3;

/// Fields that trace a request: W3C Trace Context and Baggage, B3, RFC 9110 and 7239, and customary
/// ones.
const TRACE_FIELDS: [&str; 14] = [
    "b3",
    "baggage",
    "date",
    "forwarded",
    "traceparent",
    "tracestate",
    "via",
    "x-b3-parentspanid",
    "x-b3-sampled",
    "x-b3-spanid",
    "x-b3-traceid",
    "x-correlation-id",
    "x-forwarded-for",
    "x-request-id",
];

/// What a caller sent.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Identifier of the organisation; empty for anonymous requests.
    pub organisation: &'a str,
    /// Host that selected the route.
    pub host: &'a str,
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub uri: &'a Uri,
    /// Header fields.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Organisation, path and body. Nodes compare it, so all builds must agree on it.
    #[must_use]
    pub fn content(&self) -> Fingerprint {
        let mut hash = Xxh3::new();
        hash.update(self.organisation.as_bytes());
        hash.update(self.uri.path().as_bytes());
        hash.update(self.body);
        Fingerprint(hash.digest())
    }

    /// Traits, the wider ones first. `content` is that of this request. Nodes compare them, so all
    /// builds must agree on them.
    #[must_use]
    pub fn traits(&self, content: Fingerprint, codec: &dyn Codec) -> Vec<Trait> {
        let target = self.target(content);
        let mut names: Vec<&HeaderName> =
            reply::end_to_end_names(self.headers).filter(|name| !is_implied(name, codec)).collect();
        names.sort_unstable_by_key(|name| name.as_str());
        let variant = |names: &[&HeaderName]| Trait::Variant { target, fields: self.fields(names) };
        let mut traits = vec![Trait::Shared(content), Trait::Target(target), variant(&names)];
        let all = names.len();
        names.retain(|name| !TRACE_FIELDS.contains(&name.as_str()));
        if names.len() < all {
            traits.push(variant(&names));
        }
        traits
    }

    fn target(&self, content: Fingerprint) -> Fingerprint {
        let mut hash = Xxh3::new();
        hash.update(&content.0.to_le_bytes());
        // The content does not tell where the path ends.
        hash.update(&length(self.body));
        for text in [self.host, self.method.as_str(), self.uri.path()] {
            add(&mut hash, text.as_bytes());
        }
        if let Some(query) = self.uri.query() {
            add(&mut hash, query.as_bytes());
        }
        Fingerprint(hash.digest())
    }

    fn fields(&self, names: &[&HeaderName]) -> Fingerprint {
        let mut hash = Xxh3::new();
        for name in names {
            for value in self.headers.get_all(*name) {
                add(&mut hash, name.as_str().as_bytes());
                add(&mut hash, value.as_bytes());
            }
        }
        Fingerprint(hash.digest())
    }
}

/// Whether a field is part of the target already, or is no property of the request.
fn is_implied(name: &HeaderName, codec: &dyn Codec) -> bool {
    let implied = [header::HOST, header::CONTENT_LENGTH, header::EXPECT];
    implied.contains(name) || codec.is_transient(name)
}

fn length(bytes: &[u8]) -> [u8; 8] {
    (bytes.len() as u64).to_le_bytes()
}

/// Adds a field with its length, so that the fields after it cannot be taken for a part of it.
fn add(hash: &mut Xxh3, bytes: &[u8]) {
    hash.update(&length(bytes));
    hash.update(bytes);
}
