//! What the log says: plans, targets, nodes, tickets, locks, numbers and keys, in persistent maps.

mod accepted_plans;
mod apply;
mod coordination;
mod patch;
mod records;
mod sample;

pub use accepted_plans::{AcceptedPlan, RefusedPlan};
pub use coordination::*;
pub use patch::{RouteSplice, Splice, TextSplice};
pub use records::*;
pub use sample::Sample;

use compact_str::CompactString;
use imbl::{OrdMap, Vector};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

pub type Name = CompactString;
pub type Incarnation = u64;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    pub plan: Option<Arc<PlanHead>>,
    pub plan_text: Vector<Arc<Vec<u8>>>,
    pub services: OrdMap<Name, Arc<Service>>,
    pub routes: Vector<Arc<Route>>,
    pub targets: OrdMap<Name, Arc<Target>>,
    pub nodes: OrdMap<Incarnation, Arc<Node>>,
    pub tickets: OrdMap<Name, Arc<Ticket>>,
    pub locks: OrdMap<Name, Lock>,
    pub numbers: OrdMap<Name, u64>,
    pub keys: OrdMap<Name, Arc<Key>>,
    pub repeats: OrdMap<Name, Arc<Outcome>>,
    pub history: Vector<Arc<Event>>,
    /// Events at and below this revision are no longer told.
    pub history_floor: u64,
    pub revision: u64,
    pub fence: u64,
    #[serde(default)]
    pub era: u64,
    /// Bytes of kept responses in all.
    #[serde(default)]
    pub stored_response_bytes: u64,
    /// Remembered calls, oldest first, by the era of their result.
    #[serde(default)]
    pub repeat_queue: Vector<(u64, Name)>,
    #[serde(default)]
    pub callers: ClientLimits,
    /// The plans taken last, oldest first, each built on the one before it.
    #[serde(default)]
    pub accepted_plans: Vector<Arc<AcceptedPlan>>,
    /// The plans refused last because their base was never taken, oldest first.
    #[serde(default)]
    pub refused_plans: Vector<RefusedPlan>,
}

impl State {
    pub fn plan_version(&self) -> Option<&str> {
        self.plan.as_ref().map(|plan| plan.version.as_str())
    }

    /// Whether both hold the same plan, its text and the batch that began it included.
    pub fn has_plan_of(&self, other: &State) -> bool {
        self.plan == other.plan
            && self.callers == other.callers
            && self.services == other.services
            && self.routes == other.routes
            && self.plan_text == other.plan_text
    }

    /// What data nodes keep: all that `Record::is_news` can change.
    pub fn routing_view(&self) -> State {
        State {
            plan: self.plan.clone(),
            services: self.services.clone(),
            routes: self.routes.clone(),
            targets: self.targets.clone(),
            nodes: self.nodes.clone(),
            callers: self.callers.clone(),
            ..State::default()
        }
    }

    pub fn plan_text(&self) -> Vec<u8> {
        self.plan_text.iter().flat_map(|part| part.iter().copied()).collect()
    }

    /// Targets of a service by its labels; draining, down and gone ones are not live.
    pub fn live_targets(&self, service: &Service) -> Vec<Arc<Target>> {
        self.targets.values().filter(|target| target.is_live_for(service)).cloned().collect()
    }
}

impl Target {
    pub fn matches(&self, service: &Service) -> bool {
        service.labels.iter().all(|(label, value)| match label.as_str() {
            "service" => self.service == *value,
            "zone" => self.zone == *value,
            _ => self.labels.get(label) == Some(value),
        })
    }

    pub fn is_live_for(&self, service: &Service) -> bool {
        !self.draining && !self.down && self.matches(service)
    }
}
