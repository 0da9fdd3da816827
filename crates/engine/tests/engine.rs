//! Decoding of split streams, classification of send errors, parsing of requests.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use engine::{Client, Error, chat, client::Call, merge::Merger, sse::Decoder};
use ntex::http::Method;
use proptest::prelude::*;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
};
use units::RequestId;

proptest! {
    /// However the bytes are split, the events are the same and no byte is lost.
    #[test]
    fn pieces_do_not_matter(
        texts in prop::collection::vec("[a-z{}:\" ]{0,20}", 1..20),
        cuts in prop::collection::vec(1usize..30, 1..80),
        crlf in any::<bool>(),
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let stream: String =
            texts.iter().enumerate().map(|(i, t)| format!("id: {i}{end}data: {t}{end}{end}")).collect();
        let whole = Decoder::new().push(stream.as_bytes());
        let mut decoder = Decoder::new();
        let mut events = Vec::new();
        let mut rest = stream.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, tail) = rest.split_at((*cut).min(rest.len()));
            events.extend(decoder.push(piece));
            rest = tail;
        }
        prop_assert_eq!(&events, &whole);
        prop_assert_eq!(events.len(), texts.len());
        let raw: Vec<u8> = events.into_iter().flat_map(|event| event.raw).collect();
        prop_assert_eq!(raw, stream.as_bytes());
    }

    /// Any body is parsed or rejected without a panic.
    #[test]
    fn any_body_is_judged(body in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = chat::parse(&body);
        let _ = chat::as_stream(&body);
    }
}

#[test]
fn a_shared_beginning_shares_its_hashes() {
    let body = |end: &str| {
        let text = "a".repeat(5000);
        format!(
            "{{\"model\":\"m\",\"messages\":[{{\"role\":\"user\",\"content\":\"{text}{end}\"}}]}}"
        )
    };
    let first = chat::parse(body("x").as_bytes()).unwrap();
    let second = chat::parse(body("y, and more").as_bytes()).unwrap();
    assert_eq!(first.prefixes[..4], second.prefixes[..4]);
    assert!(first.prefixes.len() >= 4);
}

#[test]
fn chunks_merge_into_an_answer() {
    let mut merger = Merger::new();
    let chunk = |delta: &str, finish: &str| {
        format!(
            "{{\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\"delta\":{delta},\"finish_reason\":{finish}}}]}}"
        )
    };
    merger.push(chunk("{\"role\":\"assistant\",\"content\":\"a\"}", "null").as_bytes());
    merger.push(chunk("{\"content\":\"b\"}", "null").as_bytes());
    merger.push(chunk("{}", "\"stop\"").as_bytes());
    let response = merger.finish();
    assert_eq!(response["object"], "chat.completion");
    assert_eq!(response["choices"][0]["message"]["content"], "ab");
    assert_eq!(response["choices"][0]["message"]["role"], "assistant");
    assert_eq!(response["choices"][0]["finish_reason"], "stop");
}

fn call() -> Call {
    Call {
        method: Method::POST,
        path: "/x".into(),
        media_type: "application/json".into(),
        body: "{}".into(),
        request: RequestId::new(1),
        idempotency_key: None,
    }
}

/// Server that handles one connection with `handle`.
fn server(handle: impl FnOnce(std::net::TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || handle(listener.accept().unwrap().0));
    address
}

#[ntex::test]
async fn a_refused_connection_is_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = Client::new().await.unwrap();
    let error = client.send(address, &call()).await.unwrap_err();
    assert!(matches!(error, Error::Unsent(_)), "{error:?}");
}

/// The HTTP client reports these with the same error type as a refused connection.
#[ntex::test]
async fn a_connection_that_ends_after_the_request_is_lost() {
    let client = Client::new().await.unwrap();
    let read_then_close = server(|mut stream| {
        let mut bytes = [0; 1024];
        let _ = stream.read(&mut bytes);
    });
    let close_at_once = server(drop);
    let truncated_response = server(|mut stream| {
        let mut bytes = [0; 1024];
        let _ = stream.read(&mut bytes);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-le");
    });
    for address in [read_then_close, close_at_once, truncated_response] {
        let error = client.send(address, &call()).await.unwrap_err();
        assert!(matches!(error, Error::Lost(_)), "{error:?}");
    }
}

/// Server that reads a request, responds with `response` and closes the connection at once.
fn serve_once(response: &'static [u8]) -> SocketAddr {
    server(move |mut stream| {
        let mut bytes = Vec::new();
        let mut piece = [0; 1024];
        while !bytes.ends_with(b"{}") {
            let read = stream.read(&mut piece).unwrap();
            bytes.extend_from_slice(&piece[..read]);
        }
        let _ = stream.write_all(response);
    })
}

#[ntex::test]
async fn a_body_cut_short_is_an_error() {
    let client = Client::new().await.unwrap();
    let address = serve_once(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nonly this");
    let complete = match client.send(address, &call()).await {
        Ok(response) => response.body().await.is_ok(),
        Err(error) => {
            assert!(matches!(error, Error::Lost(_)), "{error:?}");
            false
        }
    };
    assert!(!complete);
}

#[ntex::test]
async fn a_whole_answer_before_the_end_of_its_connection_is_whole() {
    let client = Client::new().await.unwrap();
    for _ in 0..20 {
        let address = serve_once(
            b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 9\r\n\r\nall of it",
        );
        let response = client.send(address, &call()).await.unwrap();
        assert_eq!(response.body().await.unwrap(), "all of it");
    }
}
