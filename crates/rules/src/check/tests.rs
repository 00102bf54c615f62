//! Tests of `check`.

use crate::{RequestFacts, Rule};

fn holds(text: &str, headers: &[(String, String)]) -> bool {
    let facts = RequestFacts { method: "POST", path: "/loans/7", headers };
    Rule::compile(text).expect("compiles").matches(&facts)
}

#[test]
fn a_clear_true_routes_and_an_error_never_does() {
    let headers = [("X-Store".to_string(), "till-4".to_string())];
    assert!(holds("method == 'POST' && path.startsWith('/loans')", &headers));
    assert!(holds("headers['x-store'].contains('till')", &headers));
    assert!(holds("'x-store' in headers", &headers));
    assert!(!holds("headers['x-absent'] == 'a'", &headers));
    assert!(!holds("headers['x-absent'] != 'a'", &headers));
    assert!(!holds("1 / 0 == 1", &headers));
}

#[test]
fn what_costs_too_much_or_means_nothing_is_refused_when_read() {
    let refusal = |text: &str| Rule::compile(text).err().expect("is refused");
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
fn the_worst_text_within_bounds_does_not_overflow_the_stack() {
    let nested = format!("{}true{}", "true==(".repeat(8), ")".repeat(8));
    assert!(Rule::compile(&nested).is_ok());
    let signs = format!("{}true", "!".repeat(16));
    let ternary = format!("{}true", "true?true:".repeat(16));
    let chain = format!("{}true", "true==".repeat(80));
    let members = format!("path{}", ".a".repeat(250));
    let brackets = format!("{}{}true", "(".repeat(8), "true?(-".repeat(8));
    for text in [signs, ternary, chain, members, brackets] {
        let _read = Rule::compile(&text)
            .map(|rule| rule.matches(&RequestFacts { method: "GET", path: "/", headers: &[] }));
    }
}
