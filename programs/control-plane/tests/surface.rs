//! The operators' interface of a control plane: help texts, paths, headers and JSON keys.

mod local;
mod outer;

use local::{empty_folder, startup};
use outer::{help, listed_verbs, response};
use postbarrow_control_plane::ControlPlane;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_postbarrow-control-plane");
const VERBS: [&str; 8] =
    ["run", "check", "submit", "dry-run", "show", "targets", "members", "status"];
/// Number of attempts, far more than the cluster needs: reached only if the cluster hangs.
const ATTEMPTS: usize = 2_000;
const PAUSE: Duration = Duration::from_millis(10);
const PLAN: &str = r#"{"version":"v1","base":null,"services":{},"routes":[]}"#;

#[test]
fn help_of_every_verb() {
    let text = help(PROGRAM, &VERBS);
    assert_eq!(listed_verbs(&text), VERBS);
    insta::assert_snapshot!(text);
}

fn start(name: &str, folder: &Path, seeds: Vec<SocketAddr>) -> ControlPlane {
    ControlPlane::start(&startup(name, seeds, Some(folder.join(name))))
        .expect("the control plane starts")
}

#[test]
fn paths_headers_and_keys_of_the_operators_listener() {
    let folder = empty_folder("surface");
    let first = start("one", &folder, Vec::new());
    let seeds = vec![first.address()];
    let _others = ["two", "three"].map(|name| start(name, &folder, seeds.clone()));
    let address = first.http();
    let has_leader = (0..ATTEMPTS).any(|_| {
        std::thread::sleep(PAUSE);
        response(address, "GET", "/status", "").contains(" 200 ")
    });
    assert!(has_leader, "no member became the leader");
    let requests = [
        ("GET", "/plan", ""),
        ("POST", "/plans", "{}"),
        ("POST", "/plans?dry-run=true&allow-empty=true", PLAN),
        ("POST", "/plans", PLAN),
        ("POST", "/plans?most-lost=x", PLAN),
        ("POST", "/plans", r#"{"version":"v3","base":"v2","services":{},"routes":[]}"#),
        ("GET", "/plan", ""),
        ("GET", "/status", ""),
        ("GET", "/targets", ""),
        ("GET", "/members", ""),
        ("GET", "/plans", ""),
        ("POST", "/plan", ""),
        ("POST", "/status", ""),
        ("POST", "/targets", ""),
        ("POST", "/members", ""),
        ("GET", "/elsewhere", ""),
    ];
    let responses = requests.map(|(method, path, body)| {
        let text = response(address, method, path, body);
        // The rows that a new cluster reports depend on timing. Their keys are checked in the tests
        // of the controller, which reports them.
        let is_report = method == "GET" && ["/status", "/targets", "/members"].contains(&path);
        if is_report {
            text.split("\n{").next().expect("the response has a head").to_string() + "\n\n"
        } else {
            text
        }
    });
    insta::assert_snapshot!(responses.concat());
}
