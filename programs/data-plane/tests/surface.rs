//! The outer interface of a data plane: the help, its own paths, and the keys of JSON.

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

/// A node without a controller; invalid calls are rejected before one is needed.
fn start() -> DataPlane {
    DataPlane::start(&startup("node", Vec::new(), None)).expect("it starts")
}

#[test]
fn own_paths_and_headers() {
    let node = start();
    let address = node.http();
    let empty = [
        ("GET", "/ready"),
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
    let responses = empty.map(|(method, path)| response(address, method, path, ""));
    insta::assert_snapshot!(responses.concat());
}
