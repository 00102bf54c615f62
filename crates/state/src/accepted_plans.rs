//! The accepted and refused plans that the state retains, so that a plan that is submitted again
//! gets the same response.

use crate::{Digest, Name, State};
use postbarrow_constants::plans::{ACCEPTED_PLANS_MAX, REFUSED_PLANS_MAX};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A plan that was accepted; it is or was in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedPlan {
    /// The plan's version.
    pub version: Name,
    /// Version of the plan that this one was made from; `None` for the first plan.
    pub base: Option<Name>,
    /// SHA-256 digest of the plan's text as it was submitted.
    pub digest: Digest,
    /// Log offset of the batch with which the plan's transaction began.
    pub began_at: u64,
    /// Log offset of the batch that ended the transaction and put the plan in force.
    pub ended_at: u64,
}

/// A plan that was refused because its base had never been accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusedPlan {
    /// The plan's version.
    pub version: Name,
    /// SHA-256 digest of the plan's text as it was submitted.
    pub digest: Digest,
}

impl State {
    /// Adds an accepted plan and removes the oldest beyond `ACCEPTED_PLANS_MAX`. If the newest
    /// retained plan is not the base of this one, all earlier ones are removed: they say nothing
    /// about the plans that were accepted in between.
    pub(crate) fn retain_accepted_plan(&mut self, accepted: AcceptedPlan) {
        let newest = self.accepted_plans.back().map(|newest| &newest.version);
        if newest != accepted.base.as_ref() {
            self.accepted_plans.clear();
        }
        self.accepted_plans.push_back(Arc::new(accepted));
        while self.accepted_plans.len() > ACCEPTED_PLANS_MAX {
            self.accepted_plans.pop_front();
        }
    }

    /// Adds a refused plan and removes the oldest beyond `REFUSED_PLANS_MAX`.
    pub(crate) fn retain_refused_plan(&mut self, refused: RefusedPlan) {
        self.refused_plans.push_back(refused);
        while self.refused_plans.len() > REFUSED_PLANS_MAX {
            self.refused_plans.pop_front();
        }
    }

    /// Returns the retained accepted plan of this version, if there is one.
    pub fn accepted_plan(&self, version: &str) -> Option<&AcceptedPlan> {
        self.accepted_plans.iter().map(Arc::as_ref).find(|accepted| accepted.version == version)
    }

    /// Returns whether the plan in force or a retained accepted plan was made from this base.
    pub fn has_plan_based_on(&self, base: Option<&str>) -> bool {
        let in_force = self.plan.as_ref().map(|plan| &plan.base);
        let accepted = self.accepted_plans.iter().map(|accepted| &accepted.base);
        accepted.chain(in_force).any(|known| known.as_deref() == base)
    }

    /// Returns whether the retained accepted plans are complete: from the first plan to the one in
    /// force.
    pub fn has_complete_plan_history(&self) -> bool {
        let newest = self.accepted_plans.back().map(|accepted| accepted.version.as_str());
        let first = self.accepted_plans.front();
        newest == self.plan_version() && first.is_none_or(|first| first.base.is_none())
    }

    /// Returns whether a plan of this version with this text digest was refused.
    pub fn is_refused(&self, version: &str, digest: &Digest) -> bool {
        let is_same =
            |refused: &RefusedPlan| refused.version == version && refused.digest == *digest;
        self.refused_plans.iter().any(is_same)
    }
}
