//! The records that the log contains.

use crate::{
    ClientLimits, Digest, Incarnation, Key, Name, Node, Outcome, RefusedPlan, Route, RouteSplice,
    Service, Settlement, StoredResponse, Target, TextSplice, Ticket,
};
use serde::{Deserialize, Serialize};

/// One change of the state. Variants are stored by name, their fields by position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A complete plan replaces the one in force. Its text, services, routes and limits follow in
    /// later records of the same transaction.
    PlanStart {
        /// The plan's version.
        version: Name,
        /// Version of the plan that this one was made from; `None` for the first plan.
        base: Option<Name>,
    },
    /// The next chunk of the plan's text, appended to the earlier ones.
    PlanText(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A service of the plan, new or changed.
    Service(Service),
    /// The next route of the plan, appended to the earlier ones.
    Route(Route),
    /// A target, new or changed.
    Target(Target),
    /// The endpoint list no longer contains the target of this instance.
    TargetGone(Name),
    /// Probes of a target began to fail, or to succeed again.
    TargetDown {
        /// Instance of the target.
        instance: Name,
        /// Whether the probes fail.
        down: bool,
    },
    /// A data node that was granted a lease, new or changed.
    Node(Node),
    /// A data node was removed because its lease has ended.
    NodeGone(Incarnation),
    /// A one-time request is granted for a target.
    Ticket(Ticket),
    /// A ticket was settled.
    Settled {
        /// Idempotency key of the ticket.
        key: Name,
        /// How the request ended.
        settlement: Settlement,
        /// Response that repeats of the request get; `None` if none is stored.
        response: Option<StoredResponse>,
    },
    /// Tickets whose retention has ended are removed, by idempotency key.
    TicketsForgotten(Vec<Name>),
    /// A lock was granted or extended.
    Lock {
        /// Name of the lock.
        name: Name,
        /// Token of the lock's owner.
        holder: Name,
        /// Fencing token of the grant.
        fence: u64,
        /// How long the lock lasts without a renewal, in milliseconds.
        ttl_ms: u64,
    },
    /// A lock was released, or it expired.
    LockFreed {
        /// Name of the lock.
        name: Name,
    },
    /// A counter has a new value.
    Number {
        /// Name of the counter.
        name: Name,
        /// New value of the counter.
        value: u64,
    },
    /// A key has a new value, or was removed.
    Key {
        /// Name of the key.
        name: Name,
        /// New value of the key; `None` if the key was removed.
        key: Option<Key>,
    },
    /// The outcome of a call is stored for repeats of the call.
    Repeat {
        /// Id of the call.
        id: Name,
        /// Outcome that the call's client received.
        outcome: Outcome,
    },
    /// Outcomes whose retention has ended are removed, by call id.
    RepeatsForgotten(Vec<Name>),
    /// Events whose retention has ended are removed.
    HistoryTrimmed {
        /// Revision of the newest event that is removed.
        floor: u64,
    },
    /// The plan's limits for each client connection.
    #[serde(rename = "Callers")]
    ClientLimits(ClientLimits),
    /// The time that the log itself records advances. A change of leader may lose the time since
    /// the last era that the former leader recorded, but the clocks of successive controllers never
    /// count any time twice.
    Era {
        /// Number of eras, in units of `ERA_MS`.
        by: u64,
    },
    /// The plan of the open transaction is accepted. This record is in the same batch as the End.
    #[serde(rename = "PlanTaken")]
    PlanAccepted {
        /// The plan's version.
        version: Name,
        /// Version of the plan that this one was made from; `None` for the first plan.
        base: Option<Name>,
        /// SHA-256 digest of the plan's text as it was submitted.
        digest: Digest,
        /// Log offset of the batch with which the plan's transaction began.
        began_at: u64,
    },
    /// A plan was refused because its base was never accepted. It stays refused even if that base
    /// is accepted later.
    PlanRefused(RefusedPlan),
    /// A plan replaces the one in force as a delta: whatever no later record of the same
    /// transaction changes stays as it is.
    PlanDelta {
        /// The plan's version.
        version: Name,
        /// Version of the plan that this one was made from; `None` for the first plan.
        base: Option<Name>,
    },
    /// The plan no longer contains the service of this name.
    ServiceGone(Name),
    /// Splices of the plan's routes.
    RoutesPatch(Vec<RouteSplice>),
    /// Splices of the plan's text.
    TextPatch(Vec<TextSplice>),
}

impl Record {
    /// Returns whether data nodes need the record for routing. All other records stay within the
    /// control plane.
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
