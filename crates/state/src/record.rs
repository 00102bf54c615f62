//! The records of the log.

use crate::{
    ClientLimits, Digest, Incarnation, Key, Name, Node, Outcome, RefusedPlan, Route, RouteSplice,
    Service, Settlement, StoredResponse, Target, TextSplice, Ticket,
};
use serde::{Deserialize, Serialize};

/// One change of the state. Variants are stored by name, their fields by position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A plan replaces the one in force; its text, services, routes and limits follow.
    PlanStart {
        /// The plan's version.
        version: Name,
        /// The version that it was made from.
        base: Option<Name>,
    },
    /// The next chunk of the plan's text.
    PlanText(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A service of the plan, new or changed.
    Service(Service),
    /// The next route of the plan.
    Route(Route),
    /// A target, new or changed.
    Target(Target),
    /// A target that the endpoint list no longer has.
    TargetGone(Name),
    /// Probes of a target began to fail, or to succeed again.
    TargetDown {
        /// The target.
        instance: Name,
        /// Whether they fail.
        down: bool,
    },
    /// A data node that got its first lease.
    Node(Node),
    /// A data node whose lease has ended.
    NodeGone(Incarnation),
    /// A one-time request is granted for a target.
    Ticket(Ticket),
    /// How a ticket ended.
    Settled {
        /// The ticket's idempotency key.
        key: Name,
        /// How it ended.
        settlement: Settlement,
        /// What repeats of the request get.
        response: Option<StoredResponse>,
    },
    /// Tickets whose retention has ended.
    TicketsForgotten(Vec<Name>),
    /// A lock was granted or extended.
    Lock {
        /// The lock.
        name: Name,
        /// Its owner.
        holder: Name,
        /// The fencing token of the grant.
        fence: u64,
        /// How long it lasts without a renewal.
        ttl_ms: u64,
    },
    /// A lock was released, or it ran out.
    LockFreed {
        /// The lock.
        name: Name,
    },
    /// A counter has a new value.
    Number {
        /// The counter.
        name: Name,
        /// Its value.
        value: u64,
    },
    /// A key has a new value.
    Key {
        /// The key.
        name: Name,
        /// Its value; none: it was removed.
        key: Option<Key>,
    },
    /// The outcome of a call, for repeats of it.
    Repeat {
        /// The call's id.
        id: Name,
        /// What its client was answered.
        outcome: Outcome,
    },
    /// Outcomes of calls whose retention has ended, by the calls' ids.
    RepeatsForgotten(Vec<Name>),
    /// Events whose retention has ended.
    HistoryTrimmed {
        /// The newest such event's revision.
        floor: u64,
    },
    /// The limits for each client under this plan.
    #[serde(rename = "Callers")]
    ClientLimits(ClientLimits),
    /// The log's own time advances, by a time that its controllers' clocks never counted twice.
    Era {
        /// In units of `ERA_MS`.
        by: u64,
    },
    /// The open transaction's plan is accepted; stands in the same batch as the End.
    #[serde(rename = "PlanTaken")]
    PlanAccepted {
        /// The plan's version.
        version: Name,
        /// The version that it was made from.
        base: Option<Name>,
        /// SHA-256 of the plan's text as it was submitted.
        digest: Digest,
        /// Log offset of the batch that began the plan.
        began_at: u64,
    },
    /// A plan was refused for a base that may still come; it stays refused when the base does.
    PlanRefused(RefusedPlan),
    /// A plan made from the one in force: what no later record of its transaction names stays.
    PlanDelta {
        /// The plan's version.
        version: Name,
        /// The version that it was made from.
        base: Option<Name>,
    },
    /// A service that the plan no longer has.
    ServiceGone(Name),
    /// Changes of the plan's routes.
    RoutesPatch(Vec<RouteSplice>),
    /// Changes of the plan's text.
    TextPatch(Vec<TextSplice>),
}

impl Record {
    /// Whether data nodes need it for routing; the rest stays with the control plane.
    pub fn is_routing_update(&self) -> bool {
        matches!(
            self,
            Record::PlanStart { .. }
                | Record::PlanDelta { .. }
                | Record::ServiceGone(_)
                | Record::RoutesPatch(_)
                | Record::ClientLimits(_)
                | Record::Service(_)
                | Record::Route(_)
                | Record::Target(_)
                | Record::TargetGone(_)
                | Record::TargetDown { .. }
                | Record::Node(_)
                | Record::NodeGone(_)
        )
    }
}
