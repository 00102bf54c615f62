//! The replicated state, and queries on it.

use crate::{
    AcceptedPlan, ClientLimits, Event, Incarnation, Key, Lock, Name, Node, Outcome, PlanHead,
    RefusedPlan, Route, Service, Target, Ticket,
};
use imbl::{OrdMap, Vector};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The result of applying all records of the log in order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The plan in force; `None` before the first plan was accepted.
    pub plan: Option<Arc<PlanHead>>,
    /// The text of the plan in force, in chunks of bounded size.
    pub plan_text: Vector<Arc<Vec<u8>>>,
    /// Services of the plan in force, by name.
    pub services: OrdMap<Name, Arc<Service>>,
    /// Routes of the plan in force, in the plan's order.
    pub routes: Vector<Arc<Route>>,
    /// Targets of the endpoint list, by instance.
    pub targets: OrdMap<Name, Arc<Target>>,
    /// Data nodes that were granted a lease and have not been removed since, by incarnation.
    pub nodes: OrdMap<Incarnation, Arc<Node>>,
    /// Tickets of one-time requests, by idempotency key.
    pub tickets: OrdMap<Name, Arc<Ticket>>,
    /// Locks that have an owner, by name.
    pub locks: OrdMap<Name, Lock>,
    /// Values of the counters, by name.
    pub numbers: OrdMap<Name, u64>,
    /// Values of the keys, by name.
    pub keys: OrdMap<Name, Arc<Key>>,
    /// Stored outcomes of calls, by call id; a repeated call gets the stored outcome.
    pub stored_outcomes: OrdMap<Name, Arc<Outcome>>,
    /// Retained events of locks, numbers and keys, oldest first.
    pub history: Vector<Arc<Event>>,
    /// Highest revision whose event is no longer available.
    pub history_floor: u64,
    /// Revision of the newest event; 0 before the first.
    pub revision: u64,
    /// The highest fencing token granted so far.
    pub fence: u64,
    /// The time that the log itself records, in units of `ERA_MS` since its start.
    #[serde(default)]
    pub era: u64,
    /// Total size in bytes of the responses stored with tickets.
    #[serde(default)]
    pub stored_response_bytes: u64,
    /// Call ids of `stored_outcomes`, oldest first, each with the era in which its outcome was
    /// stored.
    #[serde(default)]
    pub stored_outcome_queue: Vector<(u64, Name)>,
    /// Limits of the plan in force for each client connection.
    #[serde(default)]
    pub client_limits: ClientLimits,
    /// The most recently accepted plans, oldest first; the base of each is the plan before it.
    #[serde(default)]
    pub accepted_plans: Vector<Arc<AcceptedPlan>>,
    /// The plans most recently refused because their base was never accepted, oldest first.
    #[serde(default)]
    pub refused_plans: Vector<RefusedPlan>,
}

impl State {
    /// Returns the version of the plan in force; `None` before the first plan.
    pub fn plan_version(&self) -> Option<&str> {
        self.plan.as_ref().map(|plan| plan.version.as_str())
    }

    /// Returns whether both states have the same plan, including its text and the offset of the
    /// batch that began it.
    pub fn has_same_plan_as(&self, other: &State) -> bool {
        self.plan == other.plan
            && self.client_limits == other.client_limits
            && self.services == other.services
            && self.routes == other.routes
            && self.plan_text == other.plan_text
    }

    /// Returns the part of the state that data nodes need: everything that a record for which
    /// `Record::is_routing_update` is true can change, without the plan's text.
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

    /// Returns the text of the plan in force, byte for byte as it was submitted.
    pub fn plan_text(&self) -> Vec<u8> {
        self.plan_text.iter().flat_map(|chunk| chunk.iter().copied()).collect()
    }

    /// Returns the targets that may run the service's requests, ordered by instance.
    pub fn live_targets(&self, service: &Service) -> Vec<Arc<Target>> {
        self.targets.values().filter(|target| target.is_live_for(service)).cloned().collect()
    }
}
