use crate::{Event, Incarnation, Key, Name, Outcome, RefusedPlan, RouteSplice, TextSplice};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

pub type Labels = BTreeMap<Name, Name>;
pub type Digest = [u8; 32];

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanHead {
    pub version: Name,
    pub base: Option<Name>,
    /// Log offset of the batch that began this plan.
    pub offset: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub name: Name,
    pub labels: Labels,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    Lookup,
    OneTime,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub path: Name,
    pub methods: Vec<Name>,
    pub kind: RouteKind,
    pub service: Name,
    pub when: Option<String>,
    pub body_bytes: u64,
    pub rate_per_s: Option<u64>,
    pub concurrency: Option<u64>,
    pub deadline_ms: u64,
    /// Only asks for this host; none: for any.
    #[serde(default)]
    pub host: Option<Name>,
    /// Services that share the route's asks by weight; empty: `service` takes all.
    #[serde(default)]
    pub weighted_services: Vec<WeightedService>,
    /// Goes of one ask at most; none: the node's own bound.
    #[serde(default)]
    pub max_attempts: Option<u64>,
    /// Within this time a response has its full worth.
    #[serde(default)]
    pub latency_target_ms: Option<u64>,
    /// 0 goes first where places run short.
    #[serde(default)]
    pub priority: u64,
}

/// Bounds of requests; what a plan leaves open is the node's own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientLimits {
    pub head_bytes: Option<u64>,
    pub head_wait_ms: Option<u64>,
    pub idle_ms: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    pub service: Name,
    pub weight: u64,
}

impl Route {
    /// Every service that may run an ask of this route.
    pub fn services(&self) -> Vec<&Name> {
        match self.weighted_services.is_empty() {
            true => vec![&self.service],
            false => {
                let some = self.weighted_services.iter().filter(|share| share.weight > 0);
                some.map(|share| &share.service).collect()
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    pub instance: Name,
    pub service: Name,
    pub address: SocketAddr,
    pub zone: Name,
    pub labels: Labels,
    pub draining: bool,
    pub down: bool,
    /// Asks it works on beside each other; 0: the list does not tell.
    #[serde(default)]
    pub slots: u64,
    /// Just started, and slow for a while.
    #[serde(default)]
    pub warming_up: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    pub incarnation: Incarnation,
    pub name: Name,
    pub address: SocketAddr,
    pub http: SocketAddr,
    pub zone: Name,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    Ran,
    Unsent,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl StoredResponse {
    pub fn size(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| name.len() + value.len());
        headers.sum::<usize>() + self.body.len()
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    pub key: Name,
    pub digest: Digest,
    pub service: Name,
    pub instance: Name,
    pub node: Incarnation,
    /// The node's own number of this go; no two goes share one.
    pub number: u64,
    pub settlement: Option<Settlement>,
    pub response: Option<Arc<StoredResponse>>,
    /// The log's own time when it was settled.
    #[serde(default)]
    pub era: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    PlanStart {
        version: Name,
        base: Option<Name>,
    },
    PlanText(#[serde(with = "serde_bytes")] Vec<u8>),
    Service(Service),
    Route(Route),
    Target(Target),
    TargetGone(Name),
    TargetDown {
        instance: Name,
        down: bool,
    },
    Node(Node),
    NodeGone(Incarnation),
    Ticket(Ticket),
    Settled {
        key: Name,
        settlement: Settlement,
        response: Option<StoredResponse>,
    },
    TicketsForgotten(Vec<Name>),
    Lock {
        name: Name,
        holder: Name,
        fence: u64,
        ttl_ms: u64,
    },
    LockFreed {
        name: Name,
    },
    Number {
        name: Name,
        value: u64,
    },
    Key {
        name: Name,
        key: Option<Key>,
    },
    Repeat {
        id: Name,
        outcome: Outcome,
    },
    RepeatsForgotten(Vec<Name>),
    HistoryTrimmed {
        floor: u64,
    },
    /// What every caller is held to under this plan.
    #[serde(rename = "Callers")]
    ClientLimits(ClientLimits),
    /// The log's own time goes on: so long, by its controllers' clocks, that none counted twice.
    Era {
        by: u64,
    },
    /// The open transaction's plan is taken; it stands in the same batch as the end.
    #[serde(rename = "PlanTaken")]
    PlanAccepted {
        version: Name,
        base: Option<Name>,
        digest: Digest,
        /// Log offset of the batch that began the plan.
        began_at: u64,
    },
    /// A plan was refused for a base that may still come; it stays refused when the base does.
    PlanRefused(RefusedPlan),
    /// A plan made from the one in force: what no later record of its transaction names stays.
    PlanDelta {
        version: Name,
        base: Option<Name>,
    },
    ServiceGone(Name),
    RoutesPatch(Vec<RouteSplice>),
    TextPatch(Vec<TextSplice>),
}

impl Record {
    /// What data nodes need for routing; the rest stays with the control plane.
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

pub type Events = Vec<Arc<Event>>;
