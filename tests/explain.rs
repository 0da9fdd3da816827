//! `bambooroad explain` selects the log lines of one request and the state of its node.
//!
//! Guards against lines of another node, endpoint or request in the output,
//! state that the node logged only after the request's first line, and a result
//! code that is not described. The messages and keys matched here are those of
//! logs already written by older builds.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use harness::{Profile, binary};
use std::process::Command;

/// Log of two nodes as a collector writes it, with a time and a node name before each object.
const LOG: &str = r#"
0.1 n-1 {"msg":"started","ts":"t1","instance":"n-1","event":100}
0.2 n-1 {"msg":"configuration in force","ts":"t2","instance":"n-1","version":3}
0.2 n-2 {"msg":"configuration in force","ts":"t2","instance":"n-2","version":4}
0.3 n-1 {"msg":"endpoint listed","ts":"t3","instance":"n-1","endpoint":"e-1","leaving":false}
0.3 n-1 {"msg":"endpoint listed","ts":"t3","instance":"n-1","endpoint":"e-2","leaving":false}
0.4 n-1 {"msg":"store lost","ts":"t4","instance":"n-1","table":"Endpoints"}
0.5 n-1 {"msg":"routed","ts":"t5","instance":"n-1","request":"r-1","endpoint":"e-1","waited_ms":3}
not a line of a node
0.6 n-1 {"msg":"endpoint gone","ts":"t6","instance":"n-1","endpoint":"e-1"}
0.7 n-1 {"msg":"attempt failed","ts":"t7","instance":"n-1","request":"r-1","endpoint":"e-1"}
0.8 n-1 {"msg":"refused","ts":"t8","instance":"n-1","request":"r-1","code":4002,"cause":"cut"}
"#;

fn explain(request: &str) -> (i32, String) {
    let folder = tempfile::TempDir::new().unwrap();
    let path = folder.path().join("nodes.log");
    std::fs::write(&path, LOG).unwrap();
    let program = binary(Profile::Debug, "bambooroad").unwrap();
    let output = Command::new(program).args(["explain", request]).arg(path).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

#[test]
fn request_is_shown_with_what_its_node_believed() {
    let (code, text) = explain("r-1");
    assert_eq!(code, 0, "{text}");
    insta::assert_snapshot!(text, @r#"
    node state before the request:
      t1 n-1 started: 
      t2 n-1 configuration in force: version=3
      t3 n-1 endpoint listed: endpoint="e-1" leaving=false
      t4 n-1 store lost: table="Endpoints"
    log lines of the request:
      t5 n-1 routed: endpoint="e-1" waited_ms=3
      t7 n-1 attempt failed: endpoint="e-1"
      t8 n-1 refused: cause="cut" code=4002
    result: 4002 Answer cut: executed unknown
    "#);
}

#[test]
fn request_without_a_line_is_said_to_have_none() {
    let (code, text) = explain("r-2");
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("5007") && text.contains("r-2"), "{text}");
}
