//! What the operator's door says without a controller.

use super::*;

const PLAN: &str = "{\"version\":\"v1\",\"base\":null,\"services\":{},\"routes\":[]}";

fn door(method: &str, url: &str, told: &Told) -> (u16, bool) {
    let body = if method == "POST" { PLAN.as_bytes().to_vec() } else { Vec::new() };
    let request = HttpRequest::fake_http(method, url, Vec::new(), body);
    let response = serve(&request, &|_, _| told.clone());
    let back = response.headers.iter().any(|(name, _)| name == "Retry-After");
    (response.status_code, back)
}

fn all(told: &Told) -> Vec<(u16, bool)> {
    let reads = ["/plan", "/targets", "/members", "/status"].map(|url| door("GET", url, told));
    let submissions = ["/plans", "/plans?dry-run"].map(|url| door("POST", url, told));
    reads.into_iter().chain(submissions).collect()
}

#[test]
fn what_nobody_took_is_a_503_with_a_time_to_come_back() {
    assert!(all(&Told::Unavailable).iter().all(|told| *told == (503, true)));
}

#[test]
fn what_may_have_been_taken_gets_no_clear_answer() {
    assert!(all(&Told::TimedOut).iter().all(|told| *told == (504, true)));
}

#[test]
fn a_plan_with_bounds_is_not_refused_for_want_of_a_controller_to_measure_by() {
    for told in [Told::Unavailable, Told::TimedOut] {
        assert_eq!(door("POST", "/plans?most-lost=0", &told), (503, true), "it was never sent");
    }
}
