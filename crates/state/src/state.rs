//! The state, and what is read from it.

use crate::{
    AcceptedPlan, ClientLimits, Event, Incarnation, Key, Lock, Name, Node, Outcome, PlanHead,
    RefusedPlan, Route, Service, Target, Ticket,
};
use imbl::{OrdMap, Vector};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The result of all the log's records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The plan in force; none before the first.
    pub plan: Option<Arc<PlanHead>>,
    /// The text of the plan in force, in chunks.
    pub plan_text: Vector<Arc<Vec<u8>>>,
    /// The plan's services by name.
    pub services: OrdMap<Name, Arc<Service>>,
    /// The plan's routes in their order.
    pub routes: Vector<Arc<Route>>,
    /// The endpoint list's targets by instance.
    pub targets: OrdMap<Name, Arc<Target>>,
    /// Data nodes that have a lease.
    pub nodes: OrdMap<Incarnation, Arc<Node>>,
    /// Tickets of one-time requests by idempotency key.
    pub tickets: OrdMap<Name, Arc<Ticket>>,
    /// Locks by name.
    pub locks: OrdMap<Name, Lock>,
    /// Counters by name.
    pub numbers: OrdMap<Name, u64>,
    /// Keys by name.
    pub keys: OrdMap<Name, Arc<Key>>,
    /// Outcomes of calls by the call's id, for calls that are repeated.
    pub repeats: OrdMap<Name, Arc<Outcome>>,
    /// Events of locks, numbers and keys, oldest first.
    pub history: Vector<Arc<Event>>,
    /// Events up to this revision are no longer available.
    pub history_floor: u64,
    /// The newest event's revision.
    pub revision: u64,
    /// The newest fencing token.
    pub fence: u64,
    /// The log's own time, in units of `ERA_MS`.
    #[serde(default)]
    pub era: u64,
    /// Bytes of all stored responses.
    #[serde(default)]
    pub stored_response_bytes: u64,
    /// Ids of `repeats`, oldest first, each with the era of its outcome.
    #[serde(default)]
    pub repeat_queue: Vector<(u64, Name)>,
    /// The plan's limits for each client.
    #[serde(default)]
    pub client_limits: ClientLimits,
    /// The plans accepted last, oldest first, each with the one before it as its base.
    #[serde(default)]
    pub accepted_plans: Vector<Arc<AcceptedPlan>>,
    /// The plans refused last because their base was never accepted, oldest first.
    #[serde(default)]
    pub refused_plans: Vector<RefusedPlan>,
}

impl State {
    /// The version of the plan in force.
    pub fn plan_version(&self) -> Option<&str> {
        self.plan.as_ref().map(|plan| plan.version.as_str())
    }

    /// Whether both have the same plan, with its text and the batch that began it.
    pub fn has_plan_of(&self, other: &State) -> bool {
        self.plan == other.plan
            && self.client_limits == other.client_limits
            && self.services == other.services
            && self.routes == other.routes
            && self.plan_text == other.plan_text
    }

    /// What data nodes need: all that a `Record::is_routing_update` can change.
    pub fn routing_view(&self) -> State {
        State {
            plan: self.plan.clone(),
            services: self.services.clone(),
            routes: self.routes.clone(),
            targets: self.targets.clone(),
            nodes: self.nodes.clone(),
            client_limits: self.client_limits.clone(),
            ..State::default()
        }
    }

    /// The text of the plan in force, byte for byte as submitted.
    pub fn plan_text(&self) -> Vec<u8> {
        self.plan_text.iter().flat_map(|chunk| chunk.iter().copied()).collect()
    }

    /// The targets that may run a service's requests, in the order of their instances.
    pub fn live_targets(&self, service: &Service) -> Vec<Arc<Target>> {
        self.targets.values().filter(|target| target.is_live_for(service)).cloned().collect()
    }
}
