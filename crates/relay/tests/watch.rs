//! Reading whole tables from a faulty store.

#![allow(clippy::unwrap_used, reason = "test helpers")]

use anyhow::{Result, bail};
use relay::{
    Configuration,
    watch::{Error, Page, Row, Store, Table, read_table},
};
use sched::fleet::Listing;
use std::{cell::RefCell, collections::VecDeque, time::Duration};
use units::Version;

/// Store that answers with a fixed sequence of pages.
struct Script {
    pages: RefCell<VecDeque<Result<Page, Error>>>,
    requested: RefCell<Vec<Option<Box<str>>>>,
}

impl Script {
    fn new(pages: Vec<Result<Page, Error>>) -> Self {
        Self { pages: RefCell::new(pages.into()), requested: RefCell::default() }
    }
}

impl Store for Script {
    async fn read(&self, _: Table, after: Option<&str>) -> Result<Page, Error> {
        self.requested.borrow_mut().push(after.map(Into::into));
        self.pages.borrow_mut().pop_front().unwrap()
    }

    async fn follow(&self, _: Table, _: Version, _: Duration) -> Result<Page, Error> {
        Err(Error::HistoryLost)
    }

    async fn write(&self, _: &str, _: &[u8], _: bool) -> Result<(), Error> {
        Ok(())
    }

    async fn delete(&self, _: &str, _: Version) -> Result<(), Error> {
        Ok(())
    }

    fn decode_configuration(&self, _: &[u8]) -> Result<Configuration> {
        bail!("not used by these tests")
    }

    fn decode_listing(&self, _: &str, _: &[u8]) -> Result<Listing> {
        bail!("not used by these tests")
    }
}

fn page(keys: &[&str], version: u64, has_more: bool) -> Page {
    let row = |key: &&str| Row { key: (*key).into(), value: None, version: Version(version) };
    Page { rows: keys.iter().map(row).collect(), version: Version(version), has_more }
}

fn read(store: &Script, min_version: u64) -> Result<(Vec<Row>, Version), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(read_table(store, Table::Endpoints, Version(min_version)))
}

/// Changes made between two pages are followed from the first page's version.
#[test]
fn pages_are_joined_at_the_version_of_the_first() {
    let store = Script::new(vec![Ok(page(&["a", "b"], 7, true)), Ok(page(&["c"], 9, false))]);
    let (rows, version) = read(&store, 0).unwrap();
    assert_eq!(rows.len(), 3);
    assert_eq!(version, Version(7));
    assert_eq!(*store.requested.borrow(), [None, Some("b".into())]);
}

#[test]
fn older_page_is_not_taken_over() {
    let store = Script::new(vec![Ok(page(&["a"], 7, false))]);
    assert!(matches!(read(&store, 8), Err(Error::Unavailable(_))));
}

#[test]
fn fault_between_pages_is_passed_on() {
    let error = Error::Unavailable("gone".into());
    let store = Script::new(vec![Ok(page(&["a"], 7, true)), Err(error.clone())]);
    assert_eq!(read(&store, 0), Err(error));
}
