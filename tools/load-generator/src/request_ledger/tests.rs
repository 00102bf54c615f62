//! Tests of `request_ledger`.

use super::*;

fn request(kind: Kind, outcome: Outcome) -> ClientRequest {
    ClientRequest {
        id: "a".into(),
        kind,
        method: "POST",
        target: "/t".into(),
        digest: "d".into(),
        key: None,
        outcomes: vec![outcome],
        status: 200,
        took_ms: 1.0,
        wrong: None,
        retry_after: false,
    }
}

fn run() -> Run {
    Run {
        id: "a".into(),
        instance: "ledger-1".into(),
        method: "POST".into(),
        digest: "d".into(),
        target: "/t".into(),
    }
}

fn violations(request: ClientRequest, runs: &[Run]) -> Vec<String> {
    check(&[request], runs, &Budget { seconds: 1.0, allowance: 0.0, noisy_attempts: 0 })
}

#[test]
fn consistent_requests_and_executions_have_no_violation() {
    assert!(violations(request(Kind::Posting, Outcome::Ran), &[run()]).is_empty());
    assert!(violations(request(Kind::Posting, Outcome::Unknown), &[run()]).is_empty());
    assert!(violations(request(Kind::Posting, Outcome::Unknown), &[]).is_empty());
    assert!(violations(request(Kind::Posting, Outcome::NotRun), &[]).is_empty());
}

#[test]
fn each_planted_violation_is_found() {
    let posting = |outcome| request(Kind::Posting, outcome);
    let has = |violations: Vec<String>, text: &str| {
        assert!(violations.iter().any(|found| found.contains(text)), "{violations:?}");
    };
    has(violations(posting(Outcome::Ran), &[run(), run()]), "ran 2 times");
    has(violations(posting(Outcome::NotRun), &[run()]), "told not run");
    has(violations(posting(Outcome::Ran), &[]), "no target gave");
    has(violations(posting(Outcome::Ran), &[Run { id: "b".into(), ..run() }]), "no client sent");
    has(violations(posting(Outcome::Ran), &[Run { digest: "e".into(), ..run() }]), "altered");
    has(violations(posting(Outcome::Ran), &[Run { target: "/u".into(), ..run() }]), "altered");
    let misrouted = Run { instance: "photos-1".into(), ..run() };
    has(violations(posting(Outcome::Ran), &[misrouted]), "another service");
    let truncated =
        ClientRequest { wrong: Some("a body is not whole".into()), ..posting(Outcome::Ran) };
    has(violations(truncated, &[run()]), "not whole");
    let lookup = request(Kind::Lookup, Outcome::Ran);
    let again = Run { instance: "catalogue-1".into(), ..run() };
    has(violations(lookup, &[again.clone(), again.clone(), again]), "extra tries");
}
