//! Tracks the data nodes' reports: which nodes have departed, and which targets are down.

use postbarrow_constants::nodes::*;
use postbarrow_membership::watchers;
use postbarrow_messages::LeaseRequest;
use postbarrow_state::{Incarnation, Name, Record, Settlement, State};
use std::collections::{BTreeMap, BTreeSet};

/// The last report of one data node.
pub(crate) struct NodeReport {
    /// When the report arrived, in milliseconds of this leader's clock.
    pub last_ms: u64,
    /// The log offset of the image that the node serves from.
    pub published: u64,
    /// The version of the plan that the node serves by; `None` without a plan or a report.
    pub version: Option<Name>,
    pub ready: bool,
    /// Targets that fail the node's probes.
    failing: BTreeSet<Name>,
    /// Neighbours on the ring whose heartbeats the node misses.
    suspects: Vec<Incarnation>,
}

impl NodeReport {
    /// Creates the entry of a node that has not reported to this leader yet. The time without a
    /// report starts now.
    fn unreported(now_ms: u64) -> Self {
        NodeReport {
            last_ms: now_ms,
            published: 0,
            version: None,
            ready: false,
            failing: BTreeSet::new(),
            suspects: Vec::new(),
        }
    }

    pub fn from_request(now_ms: u64, request: LeaseRequest) -> Self {
        NodeReport {
            last_ms: now_ms,
            published: request.image_offset,
            version: request.version,
            ready: request.ready,
            failing: request.failing_targets.into_iter().collect(),
            suspects: request.suspects,
        }
    }
}

/// All data nodes that the leader knows, with their last reports.
#[derive(Default)]
pub(crate) struct NodeRegistry {
    reports: BTreeMap<Incarnation, NodeReport>,
    check_due_ms: u64,
}

impl NodeRegistry {
    pub fn from_state(now_ms: u64, state: &State) -> Self {
        let reports =
            state.nodes.keys().map(|node| (*node, NodeReport::unreported(now_ms))).collect();
        NodeRegistry { reports, check_due_ms: 0 }
    }

    pub fn report(&self, node: Incarnation) -> Option<&NodeReport> {
        self.reports.get(&node)
    }

    pub fn record(&mut self, node: Incarnation, report: NodeReport) {
        self.reports.insert(node, report);
    }

    /// Restarts the time since each node's last report. While this leader had no lease, it refused
    /// the nodes' requests, so that time must not count against them.
    pub fn on_lease_gained(&mut self, now_ms: u64) {
        self.reports.values_mut().for_each(|report| report.last_ms = now_ms);
    }

    pub fn is_check_due(&self, now_ms: u64) -> bool {
        now_ms >= self.check_due_ms
    }

    pub fn schedule_check(&mut self, now_ms: u64) {
        self.check_due_ms = now_ms + LEASE_RENEW_MS;
    }

    /// Updates the registry to the nodes in the state: drops removed nodes and adds new ones, whose
    /// time since the last report counts from now.
    pub fn sync_with_state(&mut self, now_ms: u64, state: &State) {
        self.reports.retain(|node, _| state.nodes.contains_key(node));
        for node in state.nodes.keys() {
            self.reports.entry(*node).or_insert_with(|| NodeReport::unreported(now_ms));
        }
    }

    /// Returns the nodes without a report for `NODE_EXPIRY_MS`, or for one and a half lease times
    /// if most of their watchers on the ring suspect them too.
    pub fn departed(&self, now_ms: u64) -> BTreeSet<Incarnation> {
        let mut departed = self.unresponsive(now_ms, NODE_EXPIRY_MS);
        let suspected = self.unresponsive(now_ms, NODE_LEASE_MS * 3 / 2);
        departed.extend(suspected.into_iter().filter(|node| self.is_suspected(*node)));
        departed
    }

    fn unresponsive(&self, now_ms: u64, bound_ms: u64) -> BTreeSet<Incarnation> {
        let late = self.reports.iter().filter(|(_, report)| now_ms > report.last_ms + bound_ms);
        late.map(|(node, _)| *node).collect()
    }

    /// Returns whether most of the node's watchers on the ring suspect it.
    fn is_suspected(&self, node: Incarnation) -> bool {
        let ring: Vec<Incarnation> = self.reports.keys().copied().collect();
        let watchers = watchers(node, &ring);
        let suspecting = watchers.iter().filter(|watcher| {
            self.reports.get(watcher).is_some_and(|report| report.suspects.contains(&node))
        });
        suspecting.count() * 2 > watchers.len()
    }

    /// Returns records of the targets whose condition changed. A target is down while more than
    /// half of the nodes with a recent report fail to probe it.
    pub fn target_conditions(&self, now_ms: u64, state: &State) -> Vec<Record> {
        let reporting: Vec<&NodeReport> = self
            .reports
            .values()
            .filter(|report| now_ms <= report.last_ms + REPORT_RETENTION_MS)
            .collect();
        if reporting.is_empty() {
            return Vec::new();
        }
        let mut records = Vec::new();
        for (instance, target) in &state.targets {
            let failing = reporting.iter().filter(|report| report.failing.contains(instance));
            let down = failing.count() * 2 > reporting.len();
            if down != target.down {
                records.push(Record::TargetDown { instance: instance.clone(), down });
            }
        }
        records
    }
}

/// Returns records that settle the open tickets of departed nodes as unknown, since no remaining
/// node knows whether their requests ran.
pub(crate) fn unknown_settlements(
    state: &State,
    is_departed: impl Fn(Incarnation) -> bool,
) -> Vec<Record> {
    state
        .tickets
        .values()
        .filter(|ticket| ticket.settlement.is_none() && is_departed(ticket.node))
        .map(|ticket| Record::Settled {
            key: ticket.key.clone(),
            settlement: Settlement::Unknown,
            response: None,
        })
        .collect()
}
