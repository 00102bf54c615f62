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
        mismatch: None,
        retry_after: false,
    }
}

fn execution() -> RecordedExecution {
    RecordedExecution {
        id: "a".into(),
        instance: "ledger-1".into(),
        method: "POST".into(),
        digest: "d".into(),
        target: "/t".into(),
    }
}

fn violations(request: ClientRequest, executions: &[RecordedExecution]) -> Vec<String> {
    check(&[request], executions, &Budget { seconds: 1.0, allowance: 0.0, noisy_attempts: 0 })
}

#[test]
fn consistent_requests_and_executions_have_no_violation() {
    assert!(violations(request(Kind::Posting, Outcome::Ran), &[execution()]).is_empty());
    assert!(violations(request(Kind::Posting, Outcome::Unknown), &[execution()]).is_empty());
    assert!(violations(request(Kind::Posting, Outcome::Unknown), &[]).is_empty());
    assert!(violations(request(Kind::Posting, Outcome::NotRun), &[]).is_empty());
}

#[test]
fn each_sort_of_violation_is_found() {
    let posting = |outcome| request(Kind::Posting, outcome);
    let expect = |violations: Vec<String>, text: &str| {
        assert!(violations.iter().any(|found| found.contains(text)), "{violations:?}");
    };
    expect(violations(posting(Outcome::Ran), &[execution(), execution()]), "ran 2 times");
    expect(violations(posting(Outcome::NotRun), &[execution()]), "reported as not run");
    expect(violations(posting(Outcome::Ran), &[]), "no target ran it");
    expect(
        violations(posting(Outcome::Ran), &[RecordedExecution { id: "b".into(), ..execution() }]),
        "no client sent",
    );
    expect(
        violations(
            posting(Outcome::Ran),
            &[RecordedExecution { digest: "e".into(), ..execution() }],
        ),
        "altered",
    );
    expect(
        violations(
            posting(Outcome::Ran),
            &[RecordedExecution { target: "/u".into(), ..execution() }],
        ),
        "altered",
    );
    let misrouted = RecordedExecution { instance: "photos-1".into(), ..execution() };
    expect(violations(posting(Outcome::Ran), &[misrouted]), "another service");
    let truncated = ClientRequest {
        mismatch: Some("the body does not match its digest".into()),
        ..posting(Outcome::Ran)
    };
    expect(violations(truncated, &[execution()]), "does not match its digest");
    let lookup = request(Kind::Lookup, Outcome::Ran);
    let again = RecordedExecution { instance: "catalogue-1".into(), ..execution() };
    expect(violations(lookup, &[again.clone(), again.clone(), again]), "extra runs");
}
