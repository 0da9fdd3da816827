//! Exit codes and error messages of the binaries.
//!
//! Guards against a gateway that starts with invalid settings, an error that
//! names neither file nor key, and a publication that is reported as failed
//! but is recorded.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use harness::{Cluster, Profile, Topology, binary};
use std::{path::Path, process::Command};

fn run(name: &str, arguments: &[&str]) -> (i32, String) {
    let output = Command::new(binary(Profile::Debug, name).unwrap()).args(arguments).output();
    let output = output.unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

#[test]
fn settings_are_checked_as_a_whole() {
    let folder = tempfile::TempDir::new().unwrap();
    let path = folder.path().join("gateway.toml");
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/roofcare/gateway.toml");
    let good = std::fs::read_to_string(example).unwrap();
    let cases = [
        ("policy = \"permits\"", "policy = \"best\"", "unknown variant `best`"),
        ("body = 1048576", "body = 0", "key `limits.body`"),
        ("body = 1048576", "bodies = 1", "unknown field `bodies`"),
        ("requests = 4096", "requests = 0", "`limits.requests`"),
        (
            "default_deadline_ms = 60000",
            "default_deadline_ms = 9000000",
            "`limits.default_deadline_ms`",
        ),
        ("peers = \"10.0.0.1:7400\"", "peers = \"0.0.0.0:7400\"", "`listen.peers`"),
        ("instance = \"roof-gw-1\"", "instance = \"a b\"", "character ' ' is not allowed"),
    ];
    for (from, to, message) in cases {
        assert!(good.contains(from), "{from}");
        std::fs::write(&path, good.replace(from, to)).unwrap();
        let (code, text) = run("bamboo-gateway", &["--settings", path.to_str().unwrap()]);
        assert_eq!(code, 2, "{text}");
        assert!(text.contains("5005") && text.contains(message), "{text}");
        assert!(text.contains("gateway.toml"), "{text}");
        assert!(!text.contains("Started"), "{text}");
    }
}

#[test]
fn an_invalid_service_file_ends_with_two() {
    let folder = tempfile::TempDir::new().unwrap();
    let path = folder.path().join("x.bamboo.toml");
    std::fs::write(&path, "service = \"x\"\nkind = \"model\"\ntiers = []\nchecks_fencing = true\n")
        .unwrap();
    let (code, text) = run("bambooroad", &["check", path.to_str().unwrap()]);
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("x.bamboo.toml:3: key `tiers`"), "{text}");
    let (code, text) = run("bambooroad", &["--json", "check", path.to_str().unwrap()]);
    assert_eq!(code, 2);
    let problem: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(problem["code"], 5001);
}

/// Guards against service files that are valid one by one and contradict each other.
#[test]
fn check_reports_findings_and_differences() {
    let folder = tempfile::TempDir::new().unwrap();
    let write = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    };
    let file = |name: &str, model: &str| {
        format!(
            "service = \"{name}\"\nkind = \"model\"\nmodel = \"{model}\"\ntiers = [\"a\"]\n\
             checks_fencing = true\n"
        )
    };
    let (one, two) = (write("1.toml", &file("one", "m")), write("2.toml", &file("two", "m")));
    let old = write("old.toml", &file("one", "n"));
    let (code, text) = run("bambooroad", &["check", &one, &two]);
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("error: two: the model name m already selects one"), "{text}");
    let (code, text) = run("bambooroad", &["--json", "check", &one, &two]);
    let problem: serde_json::Value = serde_json::from_str(&text).unwrap();
    let finding = &problem["report"]["findings"][0];
    assert_eq!((code, &problem["code"], &finding["place"]), (2, &5001.into(), &"two".into()));
    let (code, text) = run("bambooroad", &["check", "--in-force", &old, &one]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains(r#"service "one": model "n" -> "m""#), "{text}");
    let names = std::fs::read_dir(folder.path()).unwrap().count();
    assert_eq!((names, std::fs::read_to_string(&old).unwrap()), (3, file("one", "n")));
}

#[ntex::test]
async fn an_unreachable_store_ends_with_one_and_publishes_nothing() {
    let cluster = Cluster::start_without_gateways(Topology::new(0)).unwrap();
    let client = harness::Client::new().await.unwrap();
    cluster.control_platform(&client, "{\"outage\": true}").await.unwrap();
    let table = cluster.platform_address.to_string();
    let services = cluster.topology.services.to_str().unwrap().to_owned();
    let publish = ["--json", "publish", "--table", &table, &services];
    let (code, text) = cluster.run_cli(&publish).unwrap();
    assert_eq!(code, 1, "{text}");
    let problem: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!((&problem["code"], &problem["executed"]), (&5003.into(), &"never".into()));
    cluster.control_platform(&client, "{}").await.unwrap();
    let (code, text) = cluster.run_cli(&["log", "--table", &table]).unwrap();
    assert_eq!((code, text.trim()), (0, ""));
}
