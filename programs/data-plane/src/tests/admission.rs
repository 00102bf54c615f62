//! Tests of admission: shares of clients and routes, memory budgets, and limits that the plan sets.

use super::rig::*;
use crate::admission::{Permit, is_over_share};
use postbarrow_constants::traffic::*;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::Ordering::Relaxed;

fn rig() -> (ScriptedTarget, Rig) {
    let scripted = ScriptedTarget::start("s-1", "s", vec![Script::Complete("fine")]);
    let rig = Rig::new(vec![target("s-1", "s", scripted.address)], grant_all);
    (scripted, rig)
}

#[test]
fn client_over_its_share_is_shed_and_others_are_admitted() {
    let (_target, rig) = rig();
    let client_address = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let shared = rig.shared.clone();
    let count = shared.admission.requests_by_client.for_client(client_address);
    let client_permits: Vec<Permit<'_>> = (0..REQUESTS_IN_FLIGHT * CLIENT_SHARE_PERCENT / 100)
        .map(|_| Permit::acquire(count))
        .collect();
    assert!(
        rig.get("/look/1").starts_with("HTTP/1.1 200"),
        "no share is enforced while capacity is free"
    );
    shared.admission.requests.store(REQUESTS_IN_FLIGHT / 2 + 1, Relaxed);
    let reply = rig.get("/look/1");
    assert!(reply.starts_with("HTTP/1.1 503") && reply.contains("Retry-After"), "{reply}");
    drop(client_permits);
    assert!(
        rig.get("/look/1").starts_with("HTTP/1.1 200"),
        "a client within its share was not admitted"
    );
    shared.admission.requests.store(0, Relaxed);
}

#[test]
fn route_over_its_share_is_shed_and_others_are_admitted() {
    let (_target, rig) = rig();
    let table = rig.shared.routing.load_full();
    let postbarrow_routing::RouteMatch::Route(entry) = table.find("GET", "/look/1", &[]) else {
        panic!("no route")
    };
    for _ in 0..REQUESTS_IN_FLIGHT * ROUTE_SHARE_PERCENT / 100 {
        entry.compiled.limits.try_acquire(1, 1).unwrap();
    }
    rig.shared.admission.requests.store(REQUESTS_IN_FLIGHT / 2 + 1, Relaxed);
    assert!(rig.get("/look/1").starts_with("HTTP/1.1 503"));
    assert!(
        rig.post("", "a").starts_with("HTTP/1.1 200"),
        "a route within its share was not admitted"
    );
    rig.shared.admission.requests.store(0, Relaxed);
}

#[test]
fn share_is_enforced_only_while_over_half_the_capacity_is_used() {
    assert!(!is_over_share(
        REQUESTS_IN_FLIGHT / 2,
        REQUESTS_IN_FLIGHT,
        REQUESTS_IN_FLIGHT,
        CLIENT_SHARE_PERCENT
    ));
    assert!(is_over_share(
        REQUESTS_IN_FLIGHT / 2 + 1,
        REQUESTS_IN_FLIGHT,
        REQUESTS_IN_FLIGHT,
        CLIENT_SHARE_PERCENT
    ));
    assert!(!is_over_share(
        REQUESTS_IN_FLIGHT,
        REQUESTS_IN_FLIGHT / 4,
        REQUESTS_IN_FLIGHT,
        CLIENT_SHARE_PERCENT
    ));
}

#[test]
fn response_over_the_memory_budget_fails_and_its_memory_is_released() {
    let (scripted, rig) = rig();
    let reservation = rig
        .shared
        .memory
        .response_bodies
        .reserve(BODIES_BYTES as u64)
        .expect("the whole budget is free");
    let reply = rig.get("/look/1");
    assert!(reply.starts_with("HTTP/1.1 502"), "{reply}");
    let posted = rig.post("", "a");
    assert!(
        posted.contains("Postbarrow-Outcome: unknown"),
        "the target may have run the request: {posted}"
    );
    drop(reservation);
    assert!(rig.get("/look/1").starts_with("HTTP/1.1 200"));
    assert!(
        rig.shared.memory.response_bodies.reserve(BODIES_BYTES as u64).is_some(),
        "memory of failed responses was not released"
    );
    assert!(scripted.runs() >= 3);
}

#[test]
fn plan_limits_client_heads_and_idle_times() {
    let scripted = ScriptedTarget::start("s-1", "s", vec![Script::Complete("x")]);
    let rig = Rig::new(vec![target("s-1", "s", scripted.address)], grant_all);
    let state = rig.shared.routing.load().state.as_ref().clone();
    let plan_limits = postbarrow_state::ClientLimits {
        head_bytes: Some(300),
        head_wait_ms: Some(50),
        idle_ms: Some(1),
    };
    let state = postbarrow_state::State { client_limits: plan_limits, ..state };
    rig.shared.publish(state.into(), 2);
    let long = format!("GET /look/1 HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n", "a".repeat(400));
    assert!(rig.raw(long.as_bytes()).starts_with("HTTP/1.1 431"));
    let mut idle = std::net::TcpStream::connect(rig.http).unwrap();
    let mut reply = String::new();
    std::io::Read::read_to_string(&mut idle, &mut reply).unwrap();
    assert_eq!(reply, "", "an idle connection must be closed without a response");
    let mut slow = std::net::TcpStream::connect(rig.http).unwrap();
    std::io::Write::write_all(&mut slow, b"GET /look/1").unwrap();
    let _ = std::io::Read::read_to_string(&mut slow, &mut reply);
    assert!(reply.is_empty() || reply.starts_with("HTTP/1.1 408"), "{reply}");
    assert_eq!(scripted.runs(), 0);
}
