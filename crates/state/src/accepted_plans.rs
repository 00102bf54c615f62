//! The plans that were accepted and those refused, so that one that is submitted again gets the
//! same answer.

use crate::{Digest, Name, State};
use postbarrow_constants::plans::{ACCEPTED_PLANS, REFUSED_PLANS};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A plan that was in force at some time, and may still be.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedPlan {
    /// The plan's version.
    pub version: Name,
    /// The version that it was made from; none for the first plan.
    pub base: Option<Name>,
    /// SHA-256 of the plan's text as it was submitted.
    pub digest: Digest,
    /// Log offset of the batch that began the plan.
    pub began_at: u64,
    /// Log offset of the batch that put the plan in force.
    pub ended_at: u64,
}

/// A plan that was refused while its base was unknown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusedPlan {
    /// The plan's version.
    pub version: Name,
    /// SHA-256 of the plan's text as it was submitted.
    pub digest: Digest,
}

impl State {
    /// Retains an unbroken chain of bases only: entries before a gap say nothing of the plans that
    /// were accepted within it, so they are removed.
    pub(crate) fn retain_accepted_plan(&mut self, accepted: AcceptedPlan) {
        let newest = self.accepted_plans.back().map(|newest| &newest.version);
        if newest != accepted.base.as_ref() {
            self.accepted_plans.clear();
        }
        self.accepted_plans.push_back(Arc::new(accepted));
        while self.accepted_plans.len() > ACCEPTED_PLANS {
            self.accepted_plans.pop_front();
        }
    }

    pub(crate) fn retain_refused_plan(&mut self, refused: RefusedPlan) {
        self.refused_plans.push_back(refused);
        while self.refused_plans.len() > REFUSED_PLANS {
            self.refused_plans.pop_front();
        }
    }

    /// The retained accepted plan of this version.
    pub fn accepted_plan(&self, version: &str) -> Option<&AcceptedPlan> {
        self.accepted_plans.iter().map(Arc::as_ref).find(|accepted| accepted.version == version)
    }

    /// Whether a plan is known to have been made from this base.
    pub fn is_built_upon(&self, base: Option<&str>) -> bool {
        let in_force = self.plan.as_ref().map(|plan| &plan.base);
        let accepted = self.accepted_plans.iter().map(|accepted| &accepted.base);
        accepted.chain(in_force).any(|known| known.as_deref() == base)
    }

    /// Whether the retained plans reach from the first plan to the one in force.
    pub fn remembers_every_plan(&self) -> bool {
        let newest = self.accepted_plans.back().map(|accepted| accepted.version.as_str());
        let first = self.accepted_plans.front();
        newest == self.plan_version() && first.is_none_or(|first| first.base.is_none())
    }

    /// Whether exactly this plan was refused.
    pub fn is_refused(&self, version: &str, digest: &Digest) -> bool {
        let same = |refused: &RefusedPlan| refused.version == version && refused.digest == *digest;
        self.refused_plans.iter().any(same)
    }
}
