//! Tests which rules compile, and which requests they match.

use postbarrow_rules::{RequestFacts, Rule};

fn matches(text: &str, headers: &[(String, String)]) -> bool {
    let facts = RequestFacts { method: "POST", path: "/loans/7", headers };
    Rule::compile(text).expect("the rule compiles").matches(&facts)
}

#[test]
fn a_rule_matches_if_it_evaluates_to_true_and_never_on_an_error() {
    let headers = [("X-Store".to_string(), "till-4".to_string())];
    assert!(matches("method == 'POST' && path.startsWith('/loans')", &headers));
    assert!(matches("headers['x-store'].contains('till')", &headers));
    assert!(matches("'x-store' in headers", &headers));
    assert!(!matches("headers['x-absent'] == 'a'", &headers));
    assert!(!matches("headers['x-absent'] != 'a'", &headers));
    assert!(!matches("1 / 0 == 1", &headers));
}

#[test]
fn a_rule_that_is_too_costly_or_invalid_is_refused() {
    let refusal = |text: &str| Rule::compile(text).err().expect("the rule is refused").to_string();
    let deep = format!("{}true{}", "true == (".repeat(40), ")".repeat(40));
    let refusals = [
        refusal("[1, 2].all(x, x > 0)"),
        refusal("path.matches('(a+)+$')"),
        refusal("cookie == 'a'"),
        refusal("path"),
        refusal("method =="),
        refusal(&deep),
        refusal(&"a".repeat(600)),
    ];
    for text in &refusals {
        assert!(!text.is_empty());
    }
    assert!(refusals[0].contains("loops"), "{}", refusals[0]);
    assert!(refusals[1].contains("calls matches"), "{}", refusals[1]);
    assert!(refusals[2].contains("names cookie"), "{}", refusals[2]);
    assert!(refusals[3].contains("true or false"), "{}", refusals[3]);
    assert!(refusals[5].contains("deeper"), "{}", refusals[5]);
}

#[test]
fn the_deepest_text_within_bounds_does_not_overflow_the_stack() {
    let nested = format!("{}true{}", "true==(".repeat(8), ")".repeat(8));
    assert!(Rule::compile(&nested).is_ok());
    let signs = format!("{}true", "!".repeat(16));
    let ternary = format!("{}true", "true?true:".repeat(16));
    let chain = format!("{}true", "true==".repeat(80));
    let members = format!("path{}", ".a".repeat(250));
    let brackets = format!("{}{}true", "(".repeat(8), "true?(-".repeat(8));
    for text in [signs, ternary, chain, members, brackets] {
        let _matches = Rule::compile(&text)
            .map(|rule| rule.matches(&RequestFacts { method: "GET", path: "/", headers: &[] }));
    }
}

#[test]
fn the_text_of_a_refusal_names_what_is_not_allowed() {
    let refusal = |text: &str| Rule::compile(text).err().expect("the rule is refused").to_string();
    let nested = format!("{}true", "true == (".repeat(40));
    let deep = format!("path{} == 'a'", ".a".repeat(200));
    let texts = [
        ("a".repeat(600), "is longer than 512 bytes"),
        (nested, "has brackets nested deeper than 8"),
        ("!".repeat(100), "has more than 16 of ? ! -"),
        (deep, "is nested deeper than 24"),
        (
            "path.matches('a')".into(),
            "calls matches; allowed are size, contains, startsWith, endsWith",
        ),
        ("[1, 2].all(x, x > 0)".into(), "loops over a list, which is not allowed"),
        ("{'a': 1}".into(), "builds a map, which is not allowed"),
        ("cookie == 'a'".into(), "names cookie, which is none of method, path, headers"),
        ("path".into(), "does not give true or false"),
    ];
    for (text, expected) in texts {
        assert_eq!(refusal(&text), expected, "{text}");
    }
}
