//! Versions of locks' grants, by which the leader orders a release against the starts of the
//! lock's owner.
//!
//! An owner that starts its lock again gets the same fencing token as before. So the token does not
//! tell whether a release was sent before or after that start, and a release can arrive late: its
//! process or the leader was suspended, or it is sent again to a new leader. A release is executed
//! at once only if the owner has got the token by a single start, because then it was sent after
//! that start's outcome. Otherwise the leader returns the grant's version. The sender checks that
//! the owner still waits for the outcome, so that it has sent no later start, and repeats the
//! release with the version. Any start in between changes the version.

use postbarrow_state::{Call, GrantVersion, Name, Outcome, State};
use std::collections::BTreeMap;

/// Number of starts that an inherited grant counts as, since the real number is unknown.
const STARTS_OF_INHERITED_GRANT: u64 = 1;

/// The starts that one leader counted for each lock.
#[derive(Clone, Debug, Default)]
pub struct GrantVersions {
    term: u64,
    grants: BTreeMap<Name, Starts>,
}

/// The starts of one grant.
#[derive(Clone, Copy, Debug)]
struct Starts {
    fence: u64,
    count: u64,
}

impl GrantVersions {
    /// Creates the versions of the leader of this term, to which all existing grants are inherited.
    pub fn new(term: u64) -> GrantVersions {
        GrantVersions { term, grants: BTreeMap::new() }
    }

    /// Returns the version that the release of a lock must be confirmed with before it is executed;
    /// `None` if it may be executed, changes nothing, or is another call.
    pub fn required_confirmation(&self, state: &State, call: &Call) -> Option<GrantVersion> {
        let (name, holder, fence, confirmed) = match call {
            Call::Free { name, holder, fence } => (name, holder, *fence, None),
            Call::FreeConfirmed { name, holder, fence, version } => {
                (name, holder, *fence, Some(*version))
            }
            _ => return None,
        };
        let lock = state.locks.get(name)?;
        if lock.holder != *holder || lock.fence != fence {
            return None;
        }
        let starts = self.starts(name, fence);
        let version = GrantVersion { term: self.term, starts: starts.unwrap_or(0) };
        let is_ordered = starts == Some(1) || confirmed == Some(version);
        (!is_ordered).then_some(version)
    }

    /// Notes the outcome of a call. `state` does not contain the call's records yet, or the outcome
    /// is the stored one of a repeated call.
    pub fn on_outcome(&mut self, state: &State, call: &Call, outcome: &Outcome) {
        match (call, outcome) {
            (Call::Lock { name, .. }, Outcome::Locked { fence, .. }) => {
                self.on_start(state, name, *fence);
            }
            (
                Call::Free { name, fence, .. } | Call::FreeConfirmed { name, fence, .. },
                Outcome::Freed,
            ) if self.starts(name, *fence).is_some() => self.remove(name),
            _ => {}
        }
    }

    /// Forgets a lock that has no owner any more.
    pub fn remove(&mut self, name: &Name) {
        self.grants.remove(name);
    }

    fn on_start(&mut self, state: &State, name: &Name, fence: u64) {
        let is_new_grant = fence > state.fence;
        let is_owned = state.locks.get(name).is_some_and(|lock| lock.fence == fence);
        let earlier_starts = match self.starts(name, fence) {
            _ if is_new_grant => 0,
            _ if !is_owned => return,
            starts => starts.unwrap_or(STARTS_OF_INHERITED_GRANT),
        };
        self.grants.insert(name.clone(), Starts { fence, count: earlier_starts + 1 });
    }

    /// Returns the number of starts counted for the grant with this fencing token; `None` for an
    /// inherited grant without a start since.
    fn starts(&self, name: &Name, fence: u64) -> Option<u64> {
        self.grants.get(name).filter(|starts| starts.fence == fence).map(|starts| starts.count)
    }
}
