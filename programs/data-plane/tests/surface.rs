//! The outer interface of a data plane: the help, its own paths, and the keys of JSON.

#[path = "../../control-plane/tests/outer/mod.rs"]
mod outer;

use outer::{help, response};
use postbarrow_data_plane::DataPlane;
use postbarrow_startup::{Bounds, Startup};
use std::net::SocketAddr;

const PROGRAM: &str = env!("CARGO_BIN_EXE_postbarrow-data-plane");

#[test]
fn the_help() {
    insta::assert_snapshot!(help(PROGRAM, &[]));
}

/// A node without a controller; invalid calls are rejected before one is needed.
fn start() -> DataPlane {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let startup = Startup {
        name: "node".into(),
        zone: "a".into(),
        address: any,
        bind: None,
        http: any,
        readiness: None,
        seeds: Vec::new(),
        data: None,
        may_bootstrap: true,
        observer: false,
        bootstrap_members: None,
        endpoint_list_url: None,
        log: None,
        level: log::LevelFilter::Off,
        bounds: Bounds::default(),
    };
    DataPlane::start(&startup).expect("it starts")
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
