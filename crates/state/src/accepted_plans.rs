//! The plans that were taken and those refused for good, so that one sent again gets the same answer.

use crate::{Digest, Name, State};
use postbarrow_constants::plans::{ACCEPTED_PLANS, REFUSED_PLANS};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A plan that was in force at some time, and may still be.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedPlan {
    pub version: Name,
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
    pub version: Name,
    /// SHA-256 of the plan's text as it was submitted.
    pub digest: Digest,
}

impl State {
    /// Keeps the ledger one unbroken chain of bases: entries before a gap say nothing of what was
    /// taken within it, so they go.
    pub(crate) fn remember_accepted(&mut self, taken: AcceptedPlan) {
        let newest = self.accepted_plans.back().map(|newest| &newest.version);
        if newest != taken.base.as_ref() {
            self.accepted_plans.clear();
        }
        self.accepted_plans.push_back(Arc::new(taken));
        while self.accepted_plans.len() > ACCEPTED_PLANS {
            self.accepted_plans.pop_front();
        }
    }

    pub(crate) fn remember_refused(&mut self, refused: RefusedPlan) {
        self.refused_plans.push_back(refused);
        while self.refused_plans.len() > REFUSED_PLANS {
            self.refused_plans.pop_front();
        }
    }

    /// The remembered plan of this version.
    pub fn accepted_plan(&self, version: &str) -> Option<&AcceptedPlan> {
        self.accepted_plans.iter().map(Arc::as_ref).find(|taken| taken.version == version)
    }

    /// Whether a plan is known to have been built on this base.
    pub fn is_built_upon(&self, base: Option<&str>) -> bool {
        let in_force = self.plan.as_ref().map(|plan| &plan.base);
        let taken = self.accepted_plans.iter().map(|taken| &taken.base);
        taken.chain(in_force).any(|known| known.as_deref() == base)
    }

    /// Whether the ledger goes back to the first plan and up to the one in force.
    pub fn remembers_every_plan(&self) -> bool {
        let newest = self.accepted_plans.back().map(|taken| taken.version.as_str());
        let first = self.accepted_plans.front();
        newest == self.plan_version() && first.is_none_or(|first| first.base.is_none())
    }

    /// Whether this very plan was refused for good.
    pub fn is_refused(&self, version: &str, digest: &Digest) -> bool {
        let same = |refused: &RefusedPlan| refused.version == version && refused.digest == *digest;
        self.refused_plans.iter().any(same)
    }
}
