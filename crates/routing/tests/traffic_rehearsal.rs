//! A traffic rehearsal runs recent requests through two plans and counts the differences.

use postbarrow_plan::Plan;
use postbarrow_routing::{RecentRequests, RouteTraffic, Traffic};
use postbarrow_state::Sample;

const BEFORE: &str = r#"{"version":"a","base":null,
 "services":{"stock":{"labels":{"service":"stock"}},"ledger":{"labels":{"service":"ledger"}}},
 "routes":[
  {"path":"/stock/*","methods":["GET"],"kind":"lookup","service":"stock"},
  {"path":"/old","methods":["GET"],"kind":"lookup","service":"stock"},
  {"path":"/prices","methods":["GET"],"kind":"lookup","service":"stock"},
  {"path":"/transfers","methods":["POST"],"kind":"one-time","service":"ledger"}]}"#;

const AFTER: &str = r#"{"version":"b","base":"a",
 "services":{"stock":{"labels":{"service":"stock","tier":"gold"}},"ledger":{"labels":{"service":"ledger"}}},
 "routes":[
  {"path":"/stock/*","methods":["GET"],"kind":"lookup","service":"stock"},
  {"path":"/prices","methods":["GET"],"kind":"one-time","service":"ledger","limits":{"ratePerS":2}},
  {"path":"/new","methods":["GET"],"kind":"lookup","service":"ledger","when":"headers['x-store'] == 'a'"},
  {"path":"/transfers","methods":["POST"],"kind":"one-time","service":"ledger","limits":{"bodyBytes":100}}]}"#;

fn plan(text: &str) -> Plan {
    Plan::read(text.as_bytes()).unwrap()
}

fn sample(method: &str, path: &str, body_bytes: u64) -> Sample {
    Sample { method: method.into(), path: path.into(), headers: Vec::new(), body_bytes }
}

fn recent(samples: Vec<Sample>, observed: u64, seconds: u64) -> RecentRequests {
    RecentRequests { samples, observed, seconds }
}

#[test]
fn each_recent_request_that_a_plan_treats_differently_is_counted_for_its_route() {
    let samples = vec![
        sample("GET", "/stock/1", 0),
        sample("GET", "/old", 0),
        sample("GET", "/old", 0),
        sample("GET", "/prices", 0),
        sample("GET", "/nowhere", 0),
        sample("POST", "/transfers", 50),
        sample("POST", "/transfers", 500),
    ];
    let traffic = Traffic::compare(&plan(BEFORE), &plan(AFTER), &recent(samples, 70, 10));
    let row = |route: &str| traffic.routes.iter().find(|row| row.route == route).cloned().unwrap();
    assert_eq!(
        (traffic.compared, traffic.observed, traffic.lose_route, traffic.gain_route),
        (7, 70, 2, 0)
    );
    assert_eq!((row("GET /old").requests, row("GET /old").lose_route), (2, 2));
    let prices = row("GET /prices");
    assert_eq!((prices.change_service, prices.change_targets, prices.change_kind), (1, 1, 1));
    assert_eq!(
        row("GET /stock/*").change_targets,
        1,
        "the service selects its targets by other labels"
    );
    assert_eq!((row("POST /transfers").requests, row("POST /transfers").break_body_limit), (2, 1));
    assert_eq!(traffic.changed, 4);
    assert!(traffic.missing[0].contains("x-store"), "{:?}", traffic.missing);
}

#[test]
fn a_new_rate_is_compared_with_all_observed_requests_and_not_with_the_sample_alone() {
    let samples = || vec![sample("GET", "/prices", 0), sample("GET", "/stock/1", 0)];
    let limited = |observed| {
        Traffic::compare(&plan(BEFORE), &plan(AFTER), &recent(samples(), observed, 10)).limited
    };
    assert_eq!((limited(30), limited(60)), (0, 1), "half of 60 requests in 10 s exceed 2 a second");
}

#[test]
fn an_identical_plan_changes_nothing_and_an_empty_sample_is_reported_as_missing() {
    let same = Traffic::compare(
        &plan(BEFORE),
        &plan(BEFORE),
        &recent(vec![sample("GET", "/old", 0)], 1, 1),
    );
    assert_eq!((same.lose_route, same.changed, same.limited), (0, 0, 0));
    assert!(same.missing.is_empty(), "{:?}", same.missing);
    let empty = Traffic::compare(&plan(BEFORE), &plan(AFTER), &recent(Vec::new(), 0, 0));
    assert!(empty.missing.iter().any(|reason| reason.contains("no node")), "{:?}", empty.missing);
}

#[test]
fn only_headers_that_rules_read_are_reported_as_missing() {
    let rule = r#"headers['x-a'] == 'b' && \"x-c\" in headers || headers.host.startsWith('d') && path.contains('e')"#;
    let route = format!(
        r#"{{"path":"/r","methods":["GET"],"kind":"lookup","service":"stock","when":"{rule}"}}"#
    );
    let text = AFTER.replace(r#""routes":["#, &format!(r#""routes":[{route},"#));
    let traffic = Traffic::compare(
        &plan(BEFORE),
        &plan(&text),
        &recent(vec![sample("GET", "/old", 0)], 1, 1),
    );
    let missing_headers: Vec<&str> =
        traffic.missing.iter().filter_map(|reason| reason.split('"').nth(1)).collect();
    assert_eq!(missing_headers, ["host", "x-a", "x-c", "x-store"]);
}

#[test]
fn the_json_of_a_traffic_rehearsal_keeps_its_field_names() {
    let row = RouteTraffic {
        route: "GET /a".into(),
        requests: 1,
        lose_route: 2,
        change_service: 3,
        change_targets: 4,
        change_kind: 5,
        break_body_limit: 6,
        break_rate_limit: 7,
    };
    let traffic = Traffic {
        compared: 1,
        observed: 2,
        seconds: 3,
        gain_route: 4,
        lose_route: 5,
        changed: 6,
        limited: 7,
        routes: vec![row],
        missing: vec!["m".into()],
    };
    assert_eq!(
        facet_json::to_string(&traffic).unwrap(),
        r#"{"compared":1,"seen":2,"seconds":3,"gainRoute":4,"loseRoute":5,"changed":6,"limited":7,"routes":[{"route":"GET /a","asks":1,"loseRoute":2,"changeService":3,"changeTargets":4,"changeKind":5,"breakBodyLimit":6,"breakRateLimit":7}],"missing":["m"]}"#
    );
}
