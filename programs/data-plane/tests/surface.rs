//! Tests of the outer interface of a data plane: the help text, the paths that the node serves
//! itself, and the keys of its JSON bodies.

#[path = "../../control-plane/tests/local/mod.rs"]
mod local;
#[path = "../../control-plane/tests/outer/mod.rs"]
mod outer;

use local::startup;
use outer::{help, response};
use postbarrow_data_plane::DataPlane;

const PROGRAM: &str = env!("CARGO_BIN_EXE_postbarrow-data-plane");

#[test]
fn the_help() {
    insta::assert_snapshot!(help(PROGRAM, &[]));
}

/// Starts a node without a controller: invalid calls are rejected before a controller is needed.
fn start_node() -> DataPlane {
    DataPlane::start(&startup("node", Vec::new(), None)).expect("the node starts")
}

#[test]
fn own_paths_and_headers() {
    let node = start_node();
    let address = node.http();
    let requests = [
        ("GET", "/ready"),
        ("POST", "/ready"),
        ("GET", "/elsewhere"),
        ("POST", "/coordination/locks/a"),
        ("PUT", "/coordination/locks/a"),
        ("DELETE", "/coordination/locks/a"),
        ("PATCH", "/coordination/locks/a"),
        ("PATCH", "/coordination/numbers/a"),
        ("PUT", "/coordination/keys/a"),
        ("PATCH", "/coordination/keys/a"),
        ("GET", "/coordination/watch/others"),
        ("GET", "/coordination/watch/keys?after=x"),
        ("GET", "/coordination/elsewhere"),
    ];
    let responses = requests.map(|(method, path)| response(address, method, path, ""));
    insta::assert_snapshot!(responses.concat());
}
