//! The data nodes' reports: which nodes have departed, and which targets are down.

use postbarrow_constants::nodes::*;
use postbarrow_membership::watchers;
use postbarrow_messages::LeaseRequest;
use postbarrow_state::{Incarnation, Name, Record, Settlement, State};
use std::collections::{BTreeMap, BTreeSet};

/// The last report of one data node.
pub(crate) struct NodeReport {
    /// When it arrived.
    pub last_ms: u64,
    /// The offset of the node's image.
    pub published: u64,
    /// The version of the plan that the node follows.
    pub version: Option<Name>,
    pub ready: bool,
    /// Targets that fail the node's probes.
    failing: BTreeSet<Name>,
    /// Neighbours on the ring that sent it no heartbeat.
    suspects: Vec<Incarnation>,
}

impl NodeReport {
    /// Of a node that has not reported to this leader.
    fn none(now_ms: u64) -> Self {
        NodeReport {
            last_ms: now_ms,
            published: 0,
            version: None,
            ready: false,
            failing: BTreeSet::new(),
            suspects: Vec::new(),
        }
    }

    pub fn of(now_ms: u64, request: LeaseRequest) -> Self {
        NodeReport {
            last_ms: now_ms,
            published: request.published,
            version: request.version,
            ready: request.ready,
            failing: request.failing.into_iter().collect(),
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
    pub fn of(now_ms: u64, state: &State) -> Self {
        let reports = state.nodes.keys().map(|node| (*node, NodeReport::none(now_ms))).collect();
        NodeRegistry { reports, check_due_ms: 0 }
    }

    pub fn report(&self, node: Incarnation) -> Option<&NodeReport> {
        self.reports.get(&node)
    }

    pub fn record(&mut self, node: Incarnation, report: NodeReport) {
        self.reports.insert(node, report);
    }

    /// Without the lease requests were refused, so that time counts for no node.
    pub fn on_lease_gained(&mut self, now_ms: u64) {
        self.reports.values_mut().for_each(|report| report.last_ms = now_ms);
    }

    pub fn is_check_due(&self, now_ms: u64) -> bool {
        now_ms >= self.check_due_ms
    }

    pub fn schedule_check(&mut self, now_ms: u64) {
        self.check_due_ms = now_ms + LEASE_RENEW_MS;
    }

    /// Follows the state: drops removed nodes, and counts the time of added ones from now.
    pub fn follow(&mut self, now_ms: u64, state: &State) {
        self.reports.retain(|node, _| state.nodes.contains_key(node));
        for node in state.nodes.keys() {
            self.reports.entry(*node).or_insert_with(|| NodeReport::none(now_ms));
        }
    }

    /// Nodes without a report for long, or for a shorter time while their watchers on the ring
    /// suspect them as well.
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

    /// Whether most of the node's watchers on the ring suspect it.
    fn is_suspected(&self, node: Incarnation) -> bool {
        let ring: Vec<Incarnation> = self.reports.keys().copied().collect();
        let watchers = watchers(node, &ring);
        let suspecting = watchers.iter().filter(|watcher| {
            self.reports.get(watcher).is_some_and(|report| report.suspects.contains(&node))
        });
        suspecting.count() * 2 > watchers.len()
    }

    /// Records of the targets whose condition changed: one is down while more than half of the
    /// reporting nodes fail to probe it.
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

/// Settles the open tickets of departed nodes: nobody can say whether their requests ran.
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
