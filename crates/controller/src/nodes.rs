use crate::ControlNode;
use postbarrow_constants::nodes::*;
use postbarrow_membership::watchers;
use postbarrow_messages::{LeaseRequest, LeaseResponse, Message};
use postbarrow_state::{Incarnation, Name, Record, Settlement, State};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What the controller last heard of one data node.
pub(crate) struct NodeReport {
    pub last_ms: u64,
    pub published: u64,
    pub version: Option<Name>,
    pub ready: bool,
    pub failing: BTreeSet<Name>,
    pub suspects: Vec<Incarnation>,
}

impl NodeReport {
    pub fn at(now_ms: u64) -> Self {
        NodeReport {
            last_ms: now_ms,
            published: 0,
            version: None,
            ready: false,
            failing: BTreeSet::new(),
            suspects: Vec::new(),
        }
    }
}

impl ControlNode {
    pub(crate) fn on_lease_request(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        request: LeaseRequest,
    ) {
        let members: Vec<SocketAddr> =
            self.consensus.members().iter().map(|member| member.address).collect();
        if !self.has_lease(now_ms) || !self.knows_targets(now_ms) {
            let controller = self.consensus.leader().map(|leader| leader.address);
            let controller = controller.filter(|address| *address != self.own.address);
            let response = LeaseResponse::NotController { controller, members };
            return self
                .send(from, Message::LeaseResponse { number: request.number, fresh: response });
        }
        let number = request.number;
        self.register(now_ms, request);
        let response = LeaseResponse::Granted {
            term: self.consensus.term(),
            watermark: self.image_offset,
            members,
        };
        self.send(from, Message::LeaseResponse { number, fresh: response });
    }

    /// What the list showed while nobody held must be known before any node may serve by it.
    fn knows_targets(&self, now_ms: u64) -> bool {
        let Some(leader) = &self.leader else { return false };
        let Some(since_ms) = leader.lease_since_ms else { return false };
        leader.scan.completed_ms.is_some() || now_ms >= since_ms + LIST_FIRST_SCAN_WAIT_MS
    }

    /// A hold that is gained, or gained again, begins with nothing known: neither what the list
    /// showed meanwhile, nor which nodes asked in vain.
    pub(crate) fn lease_tick(&mut self, now_ms: u64) {
        let leased = self.has_lease(now_ms);
        let gained = self.leader.as_ref().is_some_and(|leader| leader.lease_since_ms.is_none());
        let received = if leased && gained { self.take_handover_state(now_ms) } else { None };
        let Some(leader) = &mut self.leader else { return };
        match (leased, leader.lease_since_ms) {
            (false, _) => leader.lease_since_ms = None,
            (true, None) => {
                leader.lease_since_ms = Some(now_ms);
                leader.nodes.values_mut().for_each(|report| report.last_ms = now_ms);
                match received {
                    Some(received) => leader.scan.continue_from(received),
                    None => leader.scan.start_anew(now_ms),
                }
            }
            (true, Some(_)) => {}
        }
    }

    fn register(&mut self, now_ms: u64, request: LeaseRequest) {
        let known = self.current().and_then(|state| state.nodes.get(&request.node.incarnation));
        let is_unregistered = known.is_none_or(|known| **known != request.node);
        if is_unregistered && !self.is_open() {
            self.log_line(format!(
                "node {} joins from {}",
                request.node.name, request.node.address
            ));
            self.propose(now_ms, vec![Record::Node(request.node.clone())]);
        }
        let Some(leader) = &mut self.leader else { return };
        leader.samples.take(now_ms, request.samples, request.request_count);
        let report = NodeReport {
            last_ms: now_ms,
            published: request.published,
            version: request.version,
            ready: request.ready,
            failing: request.failing.into_iter().collect(),
            suspects: request.suspects,
        };
        leader.nodes.insert(request.node.incarnation, report);
    }

    pub(crate) fn node_tick(&mut self, now_ms: u64) {
        let open = self.is_open();
        let Some(leader) = &mut self.leader else { return };
        if open || now_ms < leader.condition_due_ms {
            return;
        }
        leader.condition_due_ms = now_ms + LEASE_RENEW_MS;
        let Some(state) = leader.writer.as_ref().map(|writer| writer.current().clone()) else {
            return;
        };
        leader.nodes.retain(|node, _| state.nodes.contains_key(node));
        for node in state.nodes.keys() {
            leader.nodes.entry(*node).or_insert_with(|| NodeReport::at(now_ms));
        }
        let silent =
            leader.nodes.iter().filter(|(_, report)| now_ms > report.last_ms + NODE_EXPIRY_MS);
        let mut gone: BTreeSet<Incarnation> = silent.map(|(node, _)| *node).collect();
        gone.extend(suspected(now_ms, &leader.nodes));
        let mut records: Vec<Record> = gone.iter().map(|node| Record::NodeGone(*node)).collect();
        if !gone.is_empty() {
            records.extend(unknown_settlements(&state, |node| gone.contains(&node)));
            self.log_line(format!("{} nodes are gone", gone.len()));
        }
        records.extend(self.target_conditions(now_ms, &state));
        if !records.is_empty() {
            self.propose(now_ms, records);
        }
    }

    /// A target is down while more than half of the heard nodes fail to probe it.
    fn target_conditions(&self, now_ms: u64, state: &State) -> Vec<Record> {
        let Some(leader) = &self.leader else { return Vec::new() };
        let reporting: Vec<&NodeReport> = leader
            .nodes
            .values()
            .filter(|report| now_ms <= report.last_ms + REPORT_RETENTION_MS)
            .collect();
        if reporting.is_empty() {
            return Vec::new();
        }
        let mut records = Vec::new();
        for (instance, target) in &state.targets {
            let failing =
                reporting.iter().filter(|report| report.failing.contains(instance)).count();
            let down = failing * 2 > reporting.len();
            if down != target.down {
                records.push(Record::TargetDown { instance: instance.clone(), down });
            }
        }
        records
    }

    pub(crate) fn node_reports(&self) -> Option<&BTreeMap<Incarnation, NodeReport>> {
        self.leader.as_ref().map(|leader| &leader.nodes)
    }
}

/// Silent here beyond its lease, and on the ring in the eyes of most of its watchers.
fn suspected(now_ms: u64, nodes: &BTreeMap<Incarnation, NodeReport>) -> Vec<Incarnation> {
    let ring: Vec<Incarnation> = nodes.keys().copied().collect();
    let silent = nodes.iter().filter(|(_, report)| now_ms > report.last_ms + NODE_LEASE_MS * 3 / 2);
    silent
        .filter(|(node, _)| {
            let watchers = watchers(**node, &ring);
            let agree = watchers.iter().filter(|watcher| {
                nodes.get(watcher).is_some_and(|report| report.suspects.contains(node))
            });
            agree.count() * 2 > watchers.len()
        })
        .map(|(node, _)| *node)
        .collect()
}

/// Settles what nodes that are gone left open: nobody can say whether it ran.
pub(crate) fn unknown_settlements(state: &State, of: impl Fn(Incarnation) -> bool) -> Vec<Record> {
    state
        .tickets
        .values()
        .filter(|ticket| ticket.settlement.is_none() && of(ticket.node))
        .map(|ticket| Record::Settled {
            key: ticket.key.clone(),
            settlement: Settlement::Unknown,
            response: None,
        })
        .collect()
}
