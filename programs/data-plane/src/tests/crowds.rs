use super::rig::*;
use crate::fair::{Counted, is_over_share};
use postbarrow_constants::traffic::*;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::Ordering::Relaxed;

fn rig() -> (ScriptedTarget, Rig) {
    let found = ScriptedTarget::start("s-1", "s", vec![Script::Whole("fine")]);
    let rig = Rig::new(vec![target("s-1", "s", found.address)], yes);
    (found, rig)
}

#[test]
fn one_client_with_more_than_its_share_is_shed_and_others_are_not() {
    let (_found, rig) = rig();
    let own = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let shared = rig.shared.clone();
    let count = shared.clients.of(own);
    let mine: Vec<Counted<'_>> =
        (0..REQUESTS_IN_FLIGHT * CLIENT_SHARE_PERCENT / 100).map(|_| Counted::one(count)).collect();
    assert!(rig.get("/look/1").starts_with("HTTP/1.1 200"), "places are plenty");
    shared.requests_at_work.store(REQUESTS_IN_FLIGHT / 2 + 1, Relaxed);
    let told = rig.get("/look/1");
    assert!(told.starts_with("HTTP/1.1 503") && told.contains("Retry-After"), "{told}");
    drop(mine);
    assert!(rig.get("/look/1").starts_with("HTTP/1.1 200"), "another client has places");
    shared.requests_at_work.store(0, Relaxed);
}

#[test]
fn one_route_with_more_than_its_share_leaves_places_to_others() {
    let (_found, rig) = rig();
    let table = rig.shared.table.load_full();
    let postbarrow_routing::RouteMatch::Route(entry) = table.find("GET", "/look/1", &[]) else {
        panic!("no route")
    };
    for _ in 0..REQUESTS_IN_FLIGHT * ROUTE_SHARE_PERCENT / 100 {
        entry.compiled.limits.enter(1, 1).unwrap();
    }
    rig.shared.requests_at_work.store(REQUESTS_IN_FLIGHT / 2 + 1, Relaxed);
    assert!(rig.get("/look/1").starts_with("HTTP/1.1 503"));
    assert!(rig.post("", "a").starts_with("HTTP/1.1 200"), "the other route has places");
    rig.shared.requests_at_work.store(0, Relaxed);
}

#[test]
fn nobody_is_over_a_share_while_half_is_free() {
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
fn a_response_beyond_the_nodes_memory_is_given_up_and_its_memory_comes_back() {
    let (found, rig) = rig();
    let all = rig.shared.responses.reserve(BODIES_BYTES as u64).expect("all of it");
    let told = rig.get("/look/1");
    assert!(told.starts_with("HTTP/1.1 502"), "{told}");
    let posted = rig.post("", "a");
    assert!(posted.contains("Postbarrow-Outcome: unknown"), "it ran: {posted}");
    drop(all);
    assert!(rig.get("/look/1").starts_with("HTTP/1.1 200"));
    assert!(rig.shared.responses.reserve(BODIES_BYTES as u64).is_some(), "all is free again");
    assert!(found.runs() >= 3);
}

#[test]
fn a_plan_bounds_heads_and_idle_times_of_callers() {
    let found = ScriptedTarget::start("s-1", "s", vec![Script::Whole("x")]);
    let rig = Rig::new(vec![target("s-1", "s", found.address)], yes);
    let state = rig.shared.table.load().state.as_ref().clone();
    let callers = postbarrow_state::ClientLimits {
        head_bytes: Some(300),
        head_wait_ms: Some(50),
        idle_ms: Some(1),
    };
    let state = postbarrow_state::State { client_limits: callers, ..state };
    let table = postbarrow_routing::Table::new(state.into(), 2, &rig.shared.table.load());
    rig.shared.table.store(table.into());
    let long = format!("GET /look/1 HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n", "a".repeat(400));
    assert!(rig.raw(long.as_bytes()).starts_with("HTTP/1.1 431"));
    let mut idle = std::net::TcpStream::connect(rig.http).unwrap();
    let mut told = String::new();
    std::io::Read::read_to_string(&mut idle, &mut told).unwrap();
    assert_eq!(told, "", "an idle connection is closed without a word");
    let mut slow = std::net::TcpStream::connect(rig.http).unwrap();
    std::io::Write::write_all(&mut slow, b"GET /look/1").unwrap();
    let _ = std::io::Read::read_to_string(&mut slow, &mut told);
    assert!(told.is_empty() || told.starts_with("HTTP/1.1 408"), "{told}");
    assert_eq!(found.runs(), 0);
}
