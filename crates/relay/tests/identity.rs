//! Traits by which requests are told apart when endpoints crash under them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri};
use relay::{Codec, headers::Outbound, identity, request, response};
use sched::quarantine::Trait;
use units::Fingerprint;

/// Field that is new in each attempt.
const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt-id");

#[derive(Debug)]
struct Headers;

impl Codec for Headers {
    fn decode_request(&self, _: &HeaderMap) -> Result<request::Head, Box<str>> {
        Err("not used by these tests".into())
    }

    fn rewrite_request(&self, _: &mut HeaderMap, _: &Outbound<'_>) {}

    fn is_transient(&self, name: &HeaderName) -> bool {
        *name == ATTEMPT
    }

    fn decode_response(&self, _: StatusCode, _: &HeaderMap) -> response::Head {
        response::Head::default()
    }

    fn rewrite_refusal(&self, _: &mut HeaderMap, _: &str) {}
}

#[derive(Debug, Clone)]
struct Request {
    organisation: &'static str,
    host: &'static str,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: &'static [u8],
}

impl Request {
    fn new(uri: &str) -> Self {
        Self {
            organisation: "org-1",
            host: "a.example",
            method: Method::POST,
            uri: uri.parse().unwrap(),
            headers: HeaderMap::new(),
            body: b"visit 13",
        }
    }

    fn with_header(mut self, name: &str, value: &str) -> Self {
        let name: HeaderName = name.parse().unwrap();
        self.headers.append(name, HeaderValue::from_str(value).unwrap());
        self
    }

    fn identity(&self) -> identity::Request<'_> {
        let Self { organisation, host, method, uri, headers, body } = self;
        identity::Request { organisation, host, method, uri, headers, body }
    }

    fn traits(&self) -> Vec<Trait> {
        let identity = self.identity();
        identity.traits(identity.content(), &Headers)
    }

    /// Content, target and variant.
    fn nested(&self) -> [Trait; 3] {
        self.traits()[..3].try_into().unwrap()
    }
}

fn base() -> Request {
    Request::new("/book/a?id=7").with_header("accept", "text/plain")
}

/// A deadly request was cleared by sound ones that differ from it in one of these.
#[test]
fn requests_with_another_target_differ() {
    let others = [
        Request { host: "b.example", ..base() },
        Request { method: Method::PUT, ..base() },
        Request { uri: "/book/a?id=8".parse().unwrap(), ..base() },
        Request { uri: "/book/a".parse().unwrap(), ..base() },
        Request { uri: "/book/a?".parse().unwrap(), ..base() },
    ];
    let [content, target, variant] = base().nested();
    for other in &others {
        let [other_content, other_target, other_variant] = other.nested();
        assert_eq!(content, other_content, "{other:?}");
        assert_ne!(target, other_target, "{other:?}");
        assert_ne!(variant, other_variant, "{other:?}");
    }
    let foreign = Request { organisation: "org-2", ..base() };
    let elsewhere = Request { uri: "/book/b?id=7".parse().unwrap(), ..base() };
    let changed = Request { body: b"visit 14", ..base() };
    for other in [foreign, elsewhere, changed] {
        let others = other.nested();
        assert!([content, target, variant].iter().all(|own| !others.contains(own)), "{other:?}");
    }
}

/// The end of the path and the start of the body are the same text.
#[test]
fn path_and_body_are_kept_apart() {
    let first = Request { body: b"13/x", ..Request::new("/book/visit-") };
    let second = Request { body: b"/x", ..Request::new("/book/visit-13") };
    assert_eq!(first.nested()[0], second.nested()[0], "the trait of older builds");
    assert_ne!(first.nested()[1], second.nested()[1]);
}

#[test]
fn requests_with_other_header_fields_share_their_target() {
    let others = [
        base().with_header("accept", "text/html"),
        base().with_header("x-model", "m"),
        base().with_header("x-prompt-prefix", "5a4ed1:60,91bd3f:250"),
        Request::new("/book/a?id=7").with_header("accept", "text/html"),
        Request::new("/book/a?id=7"),
    ];
    let [content, target, variant] = base().nested();
    for other in &others {
        let [other_content, other_target, other_variant] = other.nested();
        assert_eq!((content, target), (other_content, other_target), "{other:?}");
        assert_ne!(variant, other_variant, "{other:?}");
    }
}

/// A request that comes again is another attempt, on another connection.
#[test]
fn repeats_are_recognised() {
    let first = base().with_header("x-model", "m");
    let repeat = Request::new("/book/a?id=7")
        .with_header("x-model", "m")
        .with_header("accept", "text/plain")
        .with_header("x-attempt-id", "2")
        .with_header("content-length", "8")
        .with_header("expect", "100-continue")
        .with_header("host", "a.example")
        .with_header("connection", "x-hop")
        .with_header("x-hop", "2")
        .with_header("transfer-encoding", "chunked");
    assert_eq!(first.traits(), repeat.traits());
}

/// Callers that trace their requests send another trace each time.
#[test]
fn fields_that_trace_a_request_do_not_hide_it() {
    let traced = |number: u32| base().with_header("traceparent", &format!("00-{number:032x}-1-01"));
    let (first, second) = (traced(1).traits(), traced(2).traits());
    assert_ne!(first[2], second[2]);
    assert_eq!(first[3], second[3]);
    assert_eq!(first[3], base().traits()[2], "the variant without a trace");
}

/// Callers choose how many header fields they send.
#[test]
fn the_number_of_traits_does_not_grow_with_header_fields() {
    let many = (0..200).fold(base(), |request, number| {
        request.with_header(&format!("x-field-{number}"), &number.to_string())
    });
    assert_eq!(many.traits().len(), 3);
    assert_eq!(many.with_header("tracestate", "a=1").traits().len(), 4);
}

/// Nodes of older builds compare this trait.
#[test]
fn content_is_what_older_builds_compute() {
    let look_up = Request { body: b"", ..Request::new("/lookup/record?id=7") };
    assert_eq!(look_up.identity().content(), Fingerprint(0xccf7_fff4_1af3_657e));
}
