//! Guards against a submission that is accepted by the listener and never reaches a controller in
//! another process, because no frame can carry it: the operator got 504 until it gave up.

use super::*;
use postbarrow_constants::plans::PLAN_TEXT_BYTES;
use postbarrow_messages::{Envelope, Message, Request, to_frame};

const OPTIONS: SubmitOptions = SubmitOptions { dry_run: false, allow_empty: true };

/// Returns a plan of one service, with a text of this length at least, whose routes name a service
/// of this length.
fn plan(text_bytes: usize, service_bytes: usize, routes: usize) -> Plan {
    let service = "s".repeat(service_bytes);
    let rows: Vec<String> = (0..routes)
        .map(|at| {
            format!(r#"{{"path":"/{at}","methods":["GET"],"kind":"lookup","service":"{service}"}}"#)
        })
        .collect();
    let text = format!(
        r#"{{"version":"v1","base":null,"services":{{"{service}":{{"labels":{{"service":"s"}}}}}},"routes":[{}]}}"#,
        rows.join(",")
    );
    let padding = " ".repeat(text_bytes.saturating_sub(text.len()));
    Plan::read((text + &padding).as_bytes()).unwrap_or_else(|_| panic!("the plan has findings"))
}

fn frame_fits(plan: &Plan) -> bool {
    let submission = Submission {
        version: plan.version.as_str().into(),
        base: None,
        records: plan.records(),
        dry_run: false,
        allow_empty: true,
    };
    let message = Message::Request { key: u64::MAX, request: Request::Submit(submission) };
    let from = "[2001:db8::1]:65535".parse().expect("the address is valid");
    to_frame(&Envelope { from, message }).is_ok()
}

#[test]
fn a_plan_of_the_largest_text_whose_routes_repeat_it_is_refused() {
    let service_bytes = 15_000;
    let plan = plan(PLAN_TEXT_BYTES - 100_000, service_bytes, 1_000);
    assert!(!frame_fits(&plan));
    let refused = to_submission(&plan, OPTIONS).expect_err("the submission exceeds a frame");
    assert!(refused.size_bytes > SUBMISSION_BYTES);
}

#[test]
fn every_submission_within_the_bound_fits_a_frame() {
    let service_bytes = 15_000;
    let is_accepted = |routes: &usize| {
        to_submission(&plan(PLAN_TEXT_BYTES - 4_000, service_bytes, *routes), OPTIONS).is_ok()
    };
    let numbers_of_routes: Vec<usize> = (490..600).collect();
    let accepted = numbers_of_routes.partition_point(is_accepted);
    assert!(accepted < numbers_of_routes.len(), "no number of routes exceeds the bound");
    let largest = plan(PLAN_TEXT_BYTES - 4_000, service_bytes, numbers_of_routes[accepted - 1]);
    assert!(to_submission(&largest, OPTIONS).is_ok() && frame_fits(&largest));
}
