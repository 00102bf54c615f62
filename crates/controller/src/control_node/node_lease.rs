//! Grants leases to data nodes.

use crate::ControlNode;
use crate::leader_state::NodeReport;
use postbarrow_constants::nodes::LIST_FIRST_SCAN_WAIT_MS;
use postbarrow_messages::{LeaseRequest, LeaseResponse, Message};
use postbarrow_state::Record;
use std::net::SocketAddr;

impl ControlNode {
    /// Answers a data node's lease request. Only a leader that has its own lease grants one.
    pub(super) fn on_lease_request(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        request: LeaseRequest,
    ) {
        let (number, members) = (request.number, self.member_addresses());
        let response = if self.has_lease(now_ms) && self.is_first_scan_done_or_overdue(now_ms) {
            self.on_node_report(now_ms, request);
            let watermark = self.updates.image_offset();
            LeaseResponse::Granted { term: self.consensus.term(), watermark, members }
        } else {
            LeaseResponse::NotController { controller: self.other_leader(), members }
        };
        self.send(from, Message::LeaseResponse { number, response });
    }

    /// Returns whether data nodes may serve by the targets in the state. The endpoint list may have
    /// changed while no leader had a lease, so it must have been scanned once since this leader's
    /// lease began. After `LIST_FIRST_SCAN_WAIT_MS` an unreachable list no longer stops the
    /// service.
    fn is_first_scan_done_or_overdue(&self, now_ms: u64) -> bool {
        let Some(leader) = &self.leader else { return false };
        let Some(since_ms) = leader.lease_since_ms else { return false };
        leader.endpoint_list.completed_ms().is_some()
            || now_ms >= since_ms + LIST_FIRST_SCAN_WAIT_MS
    }

    /// Registers the node if it is new or changed, and records its report.
    fn on_node_report(&mut self, now_ms: u64, mut request: LeaseRequest) {
        let node = &request.node;
        let known = self.proposed_state().and_then(|state| state.nodes.get(&node.incarnation));
        let is_unregistered = known.is_none_or(|known| **known != *node);
        if is_unregistered && !self.has_open_transaction() {
            self.log_line(format!("node joined name={} address={}", node.name, node.address));
            self.propose(now_ms, vec![Record::Node(node.clone())]);
        }
        let Some(leader) = &mut self.leader else { return };
        let samples = std::mem::take(&mut request.samples);
        leader.samples.add(now_ms, samples, request.request_count);
        let incarnation = request.node.incarnation;
        leader.nodes.record(incarnation, NodeReport::from_request(now_ms, request));
    }
}
