//! What the operator's door says without a controller.

use super::*;
use crate::RequestSender;
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::head::parse;
use std::sync::mpsc::channel;

const PLAN: &str = "{\"version\":\"v1\",\"base\":null,\"services\":{},\"routes\":[]}";

fn door(method: &str, url: &str, told: &Response) -> (u16, bool) {
    let head = format!("{method} {url} HTTP/1.1\r\nHost: x\r\n\r\n");
    let (head, _) = parse(head.as_bytes()).unwrap().unwrap();
    let (commands, _) = channel();
    let request = ClientRequest {
        head: &head,
        body: if method == "POST" { PLAN.as_bytes() } else { &[] },
        requests: &RequestSender::new(commands),
        client: &ClientWatch::nobody(),
    };
    let response = serve(&request, &|_| told.clone());
    let back = response.headers.iter().any(|(name, _)| name == "Retry-After");
    (response.status, back)
}

fn all(told: &Response) -> Vec<(u16, bool)> {
    let reads = ["/plan", "/targets", "/members", "/status"].map(|url| door("GET", url, told));
    let submissions = ["/plans", "/plans?dry-run"].map(|url| door("POST", url, told));
    reads.into_iter().chain(submissions).collect()
}

#[test]
fn what_nobody_took_is_a_503_with_a_time_to_come_back() {
    assert!(all(&Response::Unavailable).iter().all(|told| *told == (503, true)));
}

#[test]
fn what_may_have_been_taken_gets_no_clear_answer() {
    assert!(all(&Response::TimedOut).iter().all(|told| *told == (504, true)));
}

#[test]
fn a_plan_with_bounds_is_not_refused_for_want_of_a_controller_to_measure_by() {
    for told in [Response::Unavailable, Response::TimedOut] {
        assert_eq!(door("POST", "/plans?most-lost=0", &told), (503, true), "it was never sent");
    }
}
