//! Text and bytes of listings, which nodes of older builds compare and read.

use super::support::{listing, release};
use sched::fleet::Listing;

const TEXT: &str = "Listing { id: EndpointId(\"e-1\"), service: ServiceId(\"llm\"), address: \
                    10.0.0.1:80, zone: ZoneId(\"z\"), slots: 10, leaving: false, born: None }";
const BYTES: &[u8] = b"\x03e-1\x03llm\x00\x0a\x00\x00\x01\x50\x01z\x0a\x00\x00";
const BORN_BYTES: &[u8] = b"\x03e-1\x03llm\x00\x0a\x00\x00\x01\x50\x01z\x0a\x00\x01\xac\x02";

fn plain() -> Listing {
    Listing { release: None, ..listing(1, "v1", "z") }
}

/// Guards against nodes of two builds that take equal directories for different ones.
#[test]
fn text_without_a_release_is_that_of_older_builds() {
    assert_eq!(format!("{:?}", plain()), TEXT);
    let born = format!("{:?}", Listing { born: Some(300), ..plain() });
    assert_eq!(born, TEXT.replace("born: None", "born: Some(300)"));
    let released = format!("{:?}", listing(1, "v1", "z"));
    assert_eq!(released, TEXT.replace(" }", ", release: Release(\"v1\") }"));
}

/// Guards against bytes that an older build cannot read.
#[test]
fn bytes_without_a_release_are_those_of_older_builds() {
    assert_eq!(postcard::to_stdvec(&plain()).unwrap(), BYTES);
    let born = Listing { born: Some(300), ..plain() };
    assert_eq!(postcard::to_stdvec(&born).unwrap(), BORN_BYTES);
    assert_eq!(postcard::from_bytes::<Listing>(BYTES).unwrap(), plain());
    assert_eq!(postcard::from_bytes::<Listing>(BORN_BYTES).unwrap(), born);
}

/// Guards against a release that is lost between nodes.
#[test]
fn a_release_is_kept() {
    for born in [None, Some(300)] {
        let listing = Listing { born, release: Some(release("v2")), ..plain() };
        let bytes = postcard::to_stdvec(&listing).unwrap();
        assert_eq!(postcard::from_bytes::<Listing>(&bytes).unwrap(), listing);
    }
}
