//! Tests of `book`.

use super::*;

fn ask(kind: Kind, told: Told) -> Ask {
    Ask {
        id: "a".into(),
        kind,
        method: "POST",
        target: "/t".into(),
        digest: "d".into(),
        key: None,
        told: vec![told],
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

fn found(ask: Ask, runs: &[Run]) -> Vec<String> {
    check(&[ask], runs, &Budget { seconds: 1.0, allowance: 0.0, greedy: 0 })
}

#[test]
fn a_clean_book_has_no_violation() {
    assert!(found(ask(Kind::Posting, Told::Ran), &[run()]).is_empty());
    assert!(found(ask(Kind::Posting, Told::Unknown), &[run()]).is_empty());
    assert!(found(ask(Kind::Posting, Told::Unknown), &[]).is_empty());
    assert!(found(ask(Kind::Posting, Told::NotRun), &[]).is_empty());
}

#[test]
fn each_planted_violation_is_found() {
    let posting = |told| ask(Kind::Posting, told);
    let has = |violations: Vec<String>, text: &str| {
        assert!(violations.iter().any(|found| found.contains(text)), "{violations:?}");
    };
    has(found(posting(Told::Ran), &[run(), run()]), "ran 2 times");
    has(found(posting(Told::NotRun), &[run()]), "told not run");
    has(found(posting(Told::Ran), &[]), "no target gave");
    has(found(posting(Told::Ran), &[Run { id: "b".into(), ..run() }]), "no client sent");
    has(found(posting(Told::Ran), &[Run { digest: "e".into(), ..run() }]), "altered");
    has(found(posting(Told::Ran), &[Run { target: "/u".into(), ..run() }]), "altered");
    let strange = Run { instance: "photos-1".into(), ..run() };
    has(found(posting(Told::Ran), &[strange]), "another service");
    let cut = Ask { wrong: Some("a body is not whole".into()), ..posting(Told::Ran) };
    has(found(cut, &[run()]), "not whole");
    let lookup = ask(Kind::Lookup, Told::Ran);
    let again = Run { instance: "catalogue-1".into(), ..run() };
    has(found(lookup, &[again.clone(), again.clone(), again]), "extra tries");
}
