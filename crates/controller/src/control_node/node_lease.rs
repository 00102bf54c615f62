//! Where a data node is granted its lease.

use crate::ControlNode;
use crate::leader_state::NodeReport;
use postbarrow_constants::nodes::LIST_FIRST_SCAN_WAIT_MS;
use postbarrow_messages::{LeaseRequest, LeaseResponse, Message};
use postbarrow_state::Record;
use std::net::SocketAddr;

impl ControlNode {
    /// Only the leader within its own lease grants one to a node.
    pub(super) fn on_lease_request(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        request: LeaseRequest,
    ) {
        let (number, members) = (request.number, self.member_addresses());
        let response = if self.has_lease(now_ms) && self.knows_targets(now_ms) {
            self.on_node_report(now_ms, request);
            let watermark = self.updates.image_offset();
            LeaseResponse::Granted { term: self.consensus.term(), watermark, members }
        } else {
            LeaseResponse::NotController { controller: self.other_leader(), members }
        };
        self.send(from, Message::LeaseResponse { number, response });
    }

    /// What the endpoint list showed while nobody had the lease must be known before any node serves
    /// by it; but an unreachable list stops the service only for a while.
    fn knows_targets(&self, now_ms: u64) -> bool {
        let Some(leader) = &self.leader else { return false };
        let Some(since_ms) = leader.lease_since_ms else { return false };
        leader.endpoint_list.completed_ms().is_some()
            || now_ms >= since_ms + LIST_FIRST_SCAN_WAIT_MS
    }

    /// Registers a new or changed node, and takes its report.
    fn on_node_report(&mut self, now_ms: u64, mut request: LeaseRequest) {
        let node = &request.node;
        let known = self.current().and_then(|state| state.nodes.get(&node.incarnation));
        let is_unregistered = known.is_none_or(|known| **known != *node);
        if is_unregistered && !self.has_open_transaction() {
            self.log_line(format!("node joined name={} address={}", node.name, node.address));
            self.propose(now_ms, vec![Record::Node(node.clone())]);
        }
        let Some(leader) = &mut self.leader else { return };
        let samples = std::mem::take(&mut request.samples);
        leader.samples.add(now_ms, samples, request.request_count);
        let incarnation = request.node.incarnation;
        leader.nodes.record(incarnation, NodeReport::of(now_ms, request));
    }
}
