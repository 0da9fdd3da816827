//! Error messages of service files contain file, line, key and the allowed values.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use guild::service::parse;

fn error(text: &str) -> String {
    parse("x.bamboo.toml", text).unwrap_err().to_string()
}

const GOOD: &str = "service = \"desk\"\nkind = \"plain\"\ntiers = [\"high\", \"low\"]\n\
                    checks_fencing = false\n[[operation]]\nmethod = \"POST\"\npath = \"/x\"\n\
                    idempotent = false\n";

#[test]
fn a_good_file() {
    let file = parse("x", GOOD).unwrap();
    assert_eq!(file.tiers.len(), 2);
    assert_eq!(file.fallback_tier().as_str(), "low");
    assert!(!file.operation("POST", "/x").unwrap().idempotent);
    assert!(file.operation("GET", "/x").is_none());
}

#[test]
fn faults() {
    let error_of = |from: &str, to: &str| error(&GOOD.replace(from, to));
    insta::assert_snapshot!(error_of("kind", "sort"), @"x.bamboo.toml:2: unknown field `sort`, expected one of `service`, `kind`, `model`, `tiers`, `default_tier`, `checks_fencing`, `resumable`, `movable`, `operation`, `endpoint`");
    insta::assert_snapshot!(error_of("\"plain\"", "\"other\""), @"x.bamboo.toml:2: unknown variant `other`, expected `model` or `plain`");
    insta::assert_snapshot!(error_of("\"high\", \"low\"", "\"a\", \"a\""), @"x.bamboo.toml:3: key `tiers`: a stands twice; allowed: each tier once");
    insta::assert_snapshot!(error_of("\"high\", \"low\"", ""), @"x.bamboo.toml:3: key `tiers`: allowed: 1 to 5 tiers, highest first");
    insta::assert_snapshot!(error_of("\"POST\"", "\"FETCH\""), @"x.bamboo.toml:6: key `method`: FETCH; allowed: GET, POST, PUT, PATCH, DELETE");
    insta::assert_snapshot!(error_of("\"/x\"", "\"x\""), @"x.bamboo.toml:7: key `path`: x; allowed: a path that begins with /");
    insta::assert_snapshot!(error_of("false\n[[", "false\ndefault_tier = \"mid\"\n[["), @"x.bamboo.toml:5: key `default_tier`: mid is not declared; allowed: high, low");
    insta::assert_snapshot!(error_of("\"desk\"", "\"a desk\""), @"x.bamboo.toml:1: character ' ' is not allowed; allowed: letters, digits, '-', '_', '.', ':'");
}
