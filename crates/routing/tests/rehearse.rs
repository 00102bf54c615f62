use postbarrow_plan::Plan;
use postbarrow_routing::{RecentRequests, Traffic};
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

fn recent(samples: Vec<Sample>, seen: u64, seconds: u64) -> RecentRequests {
    RecentRequests { samples, observed: seen, seconds }
}

#[test]
fn each_recent_ask_that_would_fare_otherwise_is_counted_at_its_route() {
    let samples = vec![
        sample("GET", "/stock/1", 0),
        sample("GET", "/old", 0),
        sample("GET", "/old", 0),
        sample("GET", "/prices", 0),
        sample("GET", "/nowhere", 0),
        sample("POST", "/transfers", 50),
        sample("POST", "/transfers", 500),
    ];
    let told = Traffic::of(&plan(BEFORE), &plan(AFTER), &recent(samples, 70, 10));
    let row = |route: &str| told.routes.iter().find(|row| row.route == route).cloned().unwrap();
    assert_eq!((told.compared, told.observed, told.lose_route, told.gain_route), (7, 70, 2, 0));
    assert_eq!((row("GET /old").requests, row("GET /old").lose_route), (2, 2));
    let prices = row("GET /prices");
    assert_eq!((prices.change_service, prices.change_targets, prices.change_kind), (1, 1, 1));
    assert_eq!(row("GET /stock/*").change_targets, 1, "other labels choose its targets");
    assert_eq!((row("POST /transfers").requests, row("POST /transfers").break_body_limit), (2, 1));
    assert_eq!(told.changed, 4);
    assert!(told.missing[0].contains("x-store"), "{:?}", told.missing);
}

#[test]
fn a_new_rate_is_measured_by_all_that_was_seen_and_not_by_the_sample_alone() {
    let samples = || vec![sample("GET", "/prices", 0), sample("GET", "/stock/1", 0)];
    let limited =
        |seen| Traffic::of(&plan(BEFORE), &plan(AFTER), &recent(samples(), seen, 10)).limited;
    assert_eq!((limited(30), limited(60)), (0, 1), "half of 60 in 10 s is over 2 a second");
}

#[test]
fn a_plan_against_itself_changes_nothing_and_no_sample_is_told_as_missing() {
    let same =
        Traffic::of(&plan(BEFORE), &plan(BEFORE), &recent(vec![sample("GET", "/old", 0)], 1, 1));
    assert_eq!((same.lose_route, same.changed, same.limited), (0, 0, 0));
    assert!(same.missing.is_empty(), "{:?}", same.missing);
    let none = Traffic::of(&plan(BEFORE), &plan(AFTER), &recent(Vec::new(), 0, 0));
    assert!(none.missing.iter().any(|why| why.contains("no node")), "{:?}", none.missing);
}

#[test]
fn only_headers_that_rules_read_are_named() {
    let rule = r#"headers['x-a'] == 'b' && \"x-c\" in headers || headers.host.startsWith('d') && path.contains('e')"#;
    let route = format!(
        r#"{{"path":"/r","methods":["GET"],"kind":"lookup","service":"stock","when":"{rule}"}}"#
    );
    let text = AFTER.replace(r#""routes":["#, &format!(r#""routes":[{route},"#));
    let told =
        Traffic::of(&plan(BEFORE), &plan(&text), &recent(vec![sample("GET", "/old", 0)], 1, 1));
    let named: Vec<&str> = told.missing.iter().filter_map(|why| why.split('"').nth(1)).collect();
    assert_eq!(named, ["host", "x-a", "x-c", "x-store"]);
}
