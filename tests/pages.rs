//! Documentation pages and example files match the code.
//!
//! Guards against rendered pages, the summary, the list of crates and the
//! example settings that were not updated with a change.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use codes::{Code, Event};
use std::{fs, path::Path};

fn page(name: &str) -> String {
    fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join(name)).unwrap()
}

/// Compares a page with the rendered text; with `RENDER_PAGES` set, writes the page first, as
/// described in CONTRIBUTING.md.
fn check(name: &str, rendered: &str) {
    if std::env::var_os("RENDER_PAGES").is_some() {
        fs::write(Path::new(env!("CARGO_MANIFEST_DIR")).join(name), rendered).unwrap();
    }
    assert_eq!(page(name), rendered, "{name}: run RENDER_PAGES=1 cargo test --test pages");
}

#[test]
fn result_codes() {
    check("docs/result-codes.md", &Code::page());
}

#[test]
fn events() {
    check("docs/events.md", &Event::page());
}

#[test]
fn the_summary_names_every_page() {
    let summary = page("docs/SUMMARY.md");
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    for entry in fs::read_dir(folder).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        assert!(name == "SUMMARY.md" || summary.contains(&name), "SUMMARY.md lacks {name}");
    }
}

#[test]
fn every_crate_has_its_readme_line() {
    let contributing = page("CONTRIBUTING.md");
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("crates");
    for entry in fs::read_dir(folder).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        assert!(contributing.contains(&format!("`{name}`")), "CONTRIBUTING.md lacks {name}");
    }
}

#[test]
fn examples_are_valid() {
    for deployment in ["roofcare", "saddlewright"] {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(deployment);
        let files = guild::service::read_all(&[folder.join("services")]).unwrap();
        assert_eq!(files.len(), 2);
        let gateway = harness::binary(harness::Profile::Debug, "bamboo-gateway").unwrap();
        let settings = folder.join("gateway.toml");
        let status = std::process::Command::new(gateway)
            .args(["--settings", settings.to_str().unwrap(), "--check-settings"])
            .status()
            .unwrap();
        assert!(status.success(), "{deployment}");
    }
}
