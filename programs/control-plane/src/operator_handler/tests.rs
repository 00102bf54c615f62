//! Tests of `operator_handler` without a controller.

use super::*;
use crate::RequestSender;
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::head::parse;
use std::sync::mpsc::channel;

const PLAN: &str = "{\"version\":\"v1\",\"base\":null,\"services\":{},\"routes\":[]}";

fn serve_with(method: &str, url: &str, controller: &Response) -> (u16, bool) {
    let head = format!("{method} {url} HTTP/1.1\r\nHost: x\r\n\r\n");
    let (head, _) = parse(head.as_bytes()).unwrap().unwrap();
    let (commands, _) = channel();
    let request = ClientRequest {
        head: &head,
        body: if method == "POST" { PLAN.as_bytes() } else { &[] },
        request_sender: &RequestSender::new(commands),
        client: &ClientWatch::without_client(),
    };
    let response = serve(&request, &|_| controller.clone());
    let has_retry_after = response.headers.iter().any(|(name, _)| name == "Retry-After");
    (response.status, has_retry_after)
}

fn serve_all(controller: &Response) -> Vec<(u16, bool)> {
    let reads =
        ["/plan", "/targets", "/members", "/status"].map(|url| serve_with("GET", url, controller));
    let submissions = ["/plans", "/plans?dry-run"].map(|url| serve_with("POST", url, controller));
    reads.into_iter().chain(submissions).collect()
}

#[test]
fn an_unsent_request_gets_503_with_retry_after() {
    assert!(serve_all(&Response::Unavailable).iter().all(|response| *response == (503, true)));
}

#[test]
fn a_request_that_may_have_executed_gets_504_with_retry_after() {
    assert!(serve_all(&Response::TimedOut).iter().all(|response| *response == (504, true)));
}

#[test]
fn a_bounded_plan_gets_503_not_422_without_a_controller() {
    for controller in [Response::Unavailable, Response::TimedOut] {
        assert_eq!(
            serve_with("POST", "/plans?most-lost=0", &controller),
            (503, true),
            "503 states that the plan was not submitted"
        );
    }
}
