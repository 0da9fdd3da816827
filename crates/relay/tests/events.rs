//! Decoding of events from chunks of any size.

#![allow(clippy::unwrap_used, reason = "test helpers")]

use bytes::Bytes;
use proptest::{prelude::*, test_runner::RngSeed};
use relay::events::{Decoder, Error};

fn event(number: u64) -> String {
    format!("id: {number}\ndata: some words of {number}\n\n")
}

fn stream(numbers: std::ops::Range<u64>) -> String {
    numbers.map(event).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default()
    })]

    /// However the stream is cut into chunks, every event comes out complete, in order and once.
    #[test]
    fn pieces_do_not_matter(cuts in prop::collection::vec(1_usize..40, 1..80)) {
        let whole = stream(1..20);
        let mut decoder = Decoder::new(None);
        let mut decoded = Vec::new();
        let mut rest = whole.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            rest = after;
            let events = decoder.push(Bytes::copy_from_slice(piece)).unwrap();
            prop_assert!(events.bytes.is_empty() || events.bytes.ends_with(b"\n\n"));
            decoded.extend_from_slice(&events.bytes);
        }
        prop_assert_eq!(decoded, whole.as_bytes());
        prop_assert_eq!(decoder.finish(), Ok(()));
        prop_assert_eq!(decoder.last(), Some(19));
    }
}

fn push(decoder: &mut Decoder, text: &str) -> Result<u32, Error> {
    decoder.push(Bytes::copy_from_slice(text.as_bytes())).map(|batch| batch.count)
}

#[test]
fn gap_and_repetition_break_a_stream() {
    for wrong in [5, 2, 1] {
        let mut decoder = Decoder::new(None);
        assert_eq!(push(&mut decoder, &stream(1..3)), Ok(2));
        let broken = push(&mut decoder, &event(wrong));
        assert_eq!(broken, Err(Error::Gap { last: 2, found: wrong }));
    }
}

#[test]
fn resumed_stream_goes_on_after_the_last_event() {
    let mut decoder = Decoder::new(Some(7));
    assert!(push(&mut decoder, &event(7)).is_err());
    assert_eq!(push(&mut decoder, &event(8)), Ok(1));
}

#[test]
fn torn_event_is_dropped_before_a_resumption() {
    let mut decoder = Decoder::new(None);
    assert_eq!(push(&mut decoder, "id: 1\ndata: a\n\nid: 2\nda"), Ok(1));
    assert_eq!(decoder.finish(), Err(Error::Truncated));
    decoder.discard_partial();
    assert_eq!(push(&mut decoder, &event(2)), Ok(1));
    assert_eq!(decoder.finish(), Ok(()));
}

#[test]
fn event_without_a_number_breaks_a_stream() {
    let mut decoder = Decoder::new(None);
    assert_eq!(push(&mut decoder, "data: x\n\n"), Err(Error::Unnumbered));
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut decoder = Decoder::new(None);
    assert_eq!(push(&mut decoder, "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n"), Ok(2));
}

/// A valid event and one out of order arrive in the same piece: the valid one is forwarded, since a
/// resumed stream continues after it.
#[test]
fn event_before_a_gap_is_not_lost() {
    let mut decoder = Decoder::new(None);
    assert_eq!(push(&mut decoder, &(stream(1..4) + &event(7))), Ok(3));
    assert_eq!(decoder.last(), Some(3));
    let gap = Error::Gap { last: 3, found: 7 };
    assert_eq!(decoder.error(), Some(gap));
    assert_eq!(push(&mut decoder, &event(4)), Err(gap));
    assert_eq!(decoder.finish(), Err(gap));
    decoder.discard_partial();
    assert_eq!(push(&mut decoder, &stream(4..6)), Ok(2), "resumed");
}

/// No number follows the largest one.
#[test]
fn event_after_the_largest_number_is_a_gap() {
    let mut decoder = Decoder::new(Some(u64::MAX));
    let gap = Error::Gap { last: u64::MAX, found: 0 };
    assert_eq!(decoder.push(Bytes::from(event(0))), Err(gap));
}
