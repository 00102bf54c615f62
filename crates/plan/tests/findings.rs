//! Which findings the checks of a plan report, and which paths patterns match.

use postbarrow_plan::{Pattern, Plan};

const INVALID_PLAN: &str = r#"{
  "version": "",
  "bsae": "v0",
  "services": {
    "catalogue": {"labels": {"service": "catalogue"}},
    "ledger": {"labels": {}},
    "photos": {"label": {"service": "photos"}}
  },
  "routes": [
    {"path": "stock", "methods": ["GET", "get"], "kind": "lookup", "service": "catalogue"},
    {"path": "/a/*/b", "methods": [], "kind": "twice", "service": "nobody"},
    {"path": "/x", "methods": ["POST"], "kind": "lookup", "service": "ledger",
     "limits": {"bodyBytes": -1, "deadlineMs": 0, "rate": 5}, "when": "path == "},
    {"path": "/y/{id}", "methods": ["GET"], "kind": "lookup", "service": "ledger"},
    {"path": "/y/{name}", "methods": ["GET"], "kind": "lookup", "service": "ledger"},
    {"path": "/ready", "methods": ["GET"], "kind": "lookup", "service": "ledger"}
  ]
}"#;

#[test]
fn every_finding_is_reported_with_its_json_path_and_line() {
    let findings = Plan::read(INVALID_PLAN.as_bytes()).unwrap_err();
    insta::assert_snapshot!(findings.to_string());
}

#[test]
fn malformed_json_is_reported_as_one_finding_with_its_line() {
    let findings = Plan::read(b"{\n \"version\": \"v1\",\n oops\n}").unwrap_err();
    assert_eq!(findings.findings.len(), 1);
    assert_eq!(findings.findings[0].line, Some(3));
    assert!(Plan::read(&[0xff, 0xfe]).is_err());
    let duplicate_field = "{\"version\":\"a\",\"version\":\"b\",\"services\":{},\"routes\":[]}";
    assert!(
        Plan::read(duplicate_field.as_bytes()).unwrap_err().to_string().contains("stands twice")
    );
}

#[test]
fn patterns_match_raw_segments() {
    let matches = |pattern: &str, path: &str| Pattern::read(pattern).unwrap().matches(path);
    assert!(matches("/a/{x}/c", "/a/b%2F/c"));
    assert!(!matches("/a/{x}", "/a/"));
    assert!(!matches("/a/{x}", "/a/.."));
    assert!(matches("/a/*", "/a/b/c"));
    assert!(matches("/a/*", "/a/"));
    assert!(!matches("/a/*", "/a"));
    assert!(!matches("/a", "/a/"));
}

#[test]
fn the_error_text_of_an_invalid_pattern_says_what_is_not_allowed() {
    let error_text = |pattern: &str| Pattern::read(pattern).unwrap_err().to_string();
    assert_eq!(error_text("a"), "must begin with /");
    assert_eq!(error_text("/a?b"), "must be a raw path without query, fragment or spaces");
    assert_eq!(error_text("/a/../b"), "must not hold . or .. as a segment");
    assert_eq!(error_text("/a/*/b"), "\"*\" is neither a name, {name} nor a last *");
}

#[test]
fn weights_that_are_all_zero_are_reported_as_one_finding() {
    let plan = r#"{"version":"v1","services":{"s":{"labels":{"service":"s"}}},"routes":[
        {"path":"/a","methods":["GET"],"kind":"lookup","shares":[{"service":"s","share":0}]}]}"#;
    let findings = Plan::read(plan.as_bytes()).unwrap_err();
    assert_eq!(findings.to_string(), "$.routes[0].shares (line 2): has no weight above 0");
}
