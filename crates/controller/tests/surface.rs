//! The JSON keys of a controller's responses to operators, with at least one row of each kind.

mod cluster;
mod harness;
#[path = "../../../programs/control-plane/tests/outer/mod.rs"]
mod outer;

use cluster::Cluster;
use harness::*;
use postbarrow_messages::{Request, Response, Submission};

fn body_shape(cluster: &mut Cluster, title: &str, key: u64, request: Request) -> String {
    cluster.harness.request(key, request);
    cluster.run_until_idle();
    match cluster.harness.response(key) {
        Some(Response::Operator { status, body }) => {
            let body = String::from_utf8_lossy(body);
            format!("$ {title}\n{status}\n{}\n", outer::shape(&body))
        }
        other => panic!("{title}: {other:?}"),
    }
}

#[test]
fn keys_of_operators_json() {
    let mut cluster = Cluster::serving();
    let dry_run = Submission { dry_run: true, ..submission(&plan("v1", None, 2, "ledger")) };
    let requests = [
        ("show without a plan", Request::Show),
        ("dry run", Request::Submit(dry_run)),
        ("submit", Request::Submit(submission(&plan("v1", None, 2, "ledger")))),
        ("submit on another base", Request::Submit(submission(&plan("v3", Some("v2"), 1, "x")))),
        ("status", Request::Status),
        ("members", Request::Members),
        ("targets", Request::Targets),
    ];
    let answers: Vec<String> = (1..)
        .zip(requests)
        .map(|(key, (title, request))| body_shape(&mut cluster, title, key, request))
        .collect();
    insta::assert_snapshot!(answers.concat());
}
