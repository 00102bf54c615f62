//! Tests of the order between a lock's release and the starts of the lock's owner.

mod harness;

use harness::{Harness, recovered};
use postbarrow_messages::{Request, Response};
use postbarrow_state::{Call, GrantVersion, Name, Outcome};

const TTL_MS: u64 = 60_000;
const FREED: Response = Response::Outcome(Outcome::Freed);

fn start(holder: &str) -> Call {
    Call::Lock { name: "l".into(), holder: holder.into(), ttl_ms: TTL_MS }
}

fn locked(fence: u64) -> Response {
    Response::Outcome(Outcome::Locked { fence, ttl_ms: TTL_MS })
}

fn release(fence: u64) -> Call {
    Call::Free { name: "l".into(), holder: "a".into(), fence }
}

fn confirmed_release(fence: u64, version: GrantVersion) -> Call {
    Call::FreeConfirmed { name: "l".into(), holder: "a".into(), fence, version }
}

/// Sends calls to a node, each under a key of its own.
struct Caller {
    harness: Harness,
    last_key: u64,
}

impl Caller {
    fn new(harness: Harness) -> Caller {
        Caller { harness, last_key: 100 }
    }

    fn call_with_id(&mut self, id: Option<&str>, call: Call) -> Response {
        self.last_key += 1;
        self.harness.request(self.last_key, Request::Call { id: id.map(Name::from), call });
        self.harness.run_until_idle();
        self.harness.response(self.last_key).expect("the call is answered").clone()
    }

    fn call(&mut self, call: Call) -> Response {
        self.call_with_id(None, call)
    }

    /// Sends a call that must be confirmed, and returns the version.
    fn required_version(&mut self, call: Call) -> GrantVersion {
        match self.call(call) {
            Response::ConfirmClient { version } => version,
            response => panic!("no confirmation is required: {response:?}"),
        }
    }

    fn is_owned(&self) -> bool {
        self.harness.state().locks.contains_key("l")
    }
}

#[test]
fn a_release_after_a_single_start_needs_no_confirmation() {
    let mut caller = Caller::new(Harness::serving());
    for fence in 1..4 {
        assert_eq!(caller.call(start("a")), locked(fence));
        assert_eq!(caller.call(release(fence)), FREED);
    }
}

/// Guards against two owners of one lock: a release that was sent before its caller departed ends
/// the hold that the caller got again under the same fencing token.
#[test]
fn a_release_older_than_the_newest_start_of_its_owner_changes_nothing() {
    let mut caller = Caller::new(Harness::serving());
    assert_eq!(caller.call(start("a")), locked(1));
    assert_eq!(caller.call(start("a")), locked(1));
    let version = caller.required_version(release(1));
    assert!(caller.is_owned(), "the release was executed without a confirmation");
    assert_eq!(caller.call(start("b")), Response::Outcome(Outcome::LockedByOther { fence: 1 }));
    assert_eq!(caller.call(start("a")), locked(1));
    let newer = caller.required_version(confirmed_release(1, version));
    assert_ne!(newer, version, "a start changes the version");
    assert!(caller.is_owned(), "the release was executed with the version before a start");
    assert_eq!(caller.call(confirmed_release(1, newer)), FREED);
    assert_eq!(caller.call(start("b")), locked(2));
}

#[test]
fn a_start_that_is_repeated_under_its_id_counts_as_a_later_start() {
    let mut caller = Caller::new(Harness::serving());
    assert_eq!(caller.call_with_id(Some("start"), start("a")), locked(1));
    assert_eq!(caller.call_with_id(Some("start"), start("a")), locked(1));
    let version = caller.required_version(release(1));
    assert_eq!(caller.call(confirmed_release(1, version)), FREED);
    let again = caller.call_with_id(Some("start"), start("a"));
    assert_eq!(again, locked(1), "the stored outcome, which grants nothing anew");
    assert!(!caller.is_owned());
    assert_eq!(caller.call(start("a")), locked(2));
    assert_eq!(caller.call(release(2)), FREED, "the repeated start counts for its own grant only");
}

/// Guards against a release that is sent again to a new leader, which doesn't know the starts that
/// the former leader answered.
#[test]
fn a_new_leader_requires_a_confirmation_with_a_version_of_its_own() {
    let mut former = Caller::new(Harness::serving());
    assert_eq!(former.call(start("a")), locked(1));
    assert_eq!(former.call(start("a")), locked(1));
    let former_version = former.required_version(release(1));
    let (entries, term) = (former.harness.entries.clone(), former.harness.node.consensus().term());
    let mut harness = Harness::new(recovered(&[1], entries, term));
    harness.become_leader();
    let mut caller = Caller::new(harness);
    let version = caller.required_version(release(1));
    assert_ne!(caller.required_version(confirmed_release(1, former_version)), former_version);
    assert_eq!(caller.call(start("a")), locked(1));
    let newer = caller.required_version(confirmed_release(1, version));
    assert!(caller.is_owned());
    assert_eq!(caller.call(confirmed_release(1, newer)), FREED);
}

#[test]
fn a_release_by_another_caller_or_of_another_grant_needs_no_confirmation() {
    let not_owner = Response::Outcome(Outcome::NotOwner);
    let mut caller = Caller::new(Harness::serving());
    assert_eq!(caller.call(release(1)), not_owner);
    (0..2).for_each(|_| assert_eq!(caller.call(start("a")), locked(1)));
    let by_other = Call::Free { name: "l".into(), holder: "b".into(), fence: 1 };
    assert_eq!(caller.call(by_other), not_owner);
    assert_eq!(caller.call(release(7)), not_owner);
    assert!(caller.is_owned());
}

/// Guards against a version that recurs: a release by another caller must not reset the count, or a
/// late release with an earlier version would match after the next start.
#[test]
fn a_release_by_another_caller_does_not_change_the_version() {
    let mut caller = Caller::new(Harness::serving());
    (0..2).for_each(|_| assert_eq!(caller.call(start("a")), locked(1)));
    let version = caller.required_version(release(1));
    let by_other = Call::Free { name: "l".into(), holder: "b".into(), fence: 1 };
    assert_eq!(caller.call(by_other), Response::Outcome(Outcome::NotOwner));
    assert_eq!(caller.required_version(release(1)), version);
    assert_eq!(caller.call(start("a")), locked(1));
    assert_ne!(caller.required_version(confirmed_release(1, version)), version);
    assert!(caller.is_owned());
}

#[test]
fn the_starts_of_an_expired_grant_do_not_count_for_the_next_one() {
    let mut caller = Caller::new(Harness::serving());
    let brief = || Call::Lock { name: "l".into(), holder: "a".into(), ttl_ms: 500 };
    (0..2).for_each(|_| drop(caller.call(brief())));
    while caller.is_owned() {
        caller.harness.run_until_idle();
    }
    assert_eq!(caller.call(start("a")), locked(2));
    assert_eq!(caller.call(release(2)), FREED);
}
