//! Operators' report of the leader: its log, lease, storage limits and data nodes.

use crate::ControlNode;
use crate::leader_state::NodeReport;
use crate::operator_body::json;
use crate::origin::Origin;
use facet::Facet;
use postbarrow_constants::coordination::{STORED_RESPONSES_BYTES, TICKETS_MAX};
use postbarrow_state::Node;

#[derive(Facet)]
#[facet(rename_all = "camelCase")]
struct NodeRow {
    name: String,
    incarnation: String,
    address: String,
    http: String,
    zone: String,
    ready: bool,
    /// Log offset of the image that the node serves from, in its last report.
    published: u64,
    /// Version of the plan that the node serves by, in its last report.
    version: Option<String>,
    /// Time since the node's last report, in milliseconds.
    silent_ms: u64,
}

#[derive(Facet)]
#[facet(rename_all = "camelCase")]
struct StatusReport {
    controller: String,
    term: u64,
    /// Index of the last entry in this node's log.
    log_end: u64,
    /// Commit index of the log.
    watermark: u64,
    /// Log offset that a data node's image must have reached before the node serves requests.
    #[facet(rename = "newsWatermark")]
    update_watermark: u64,
    #[facet(rename = "holdLeftMs")]
    lease_remaining_ms: u64,
    version: Option<String>,
    /// Name of the open transaction; `None` if none is open.
    open_transaction: Option<String>,
    /// How long the transaction has been open, in milliseconds.
    open_ms: Option<u64>,
    /// Longest time that a request has waited for an open transaction since this node became the
    /// leader, in milliseconds.
    longest_stall_ms: u64,
    tickets: u64,
    open_tickets: u64,
    #[facet(rename = "ticketsMost")]
    max_tickets: u64,
    #[facet(rename = "keptBytes")]
    stored_response_bytes: u64,
    #[facet(rename = "keptBytesMost")]
    max_stored_response_bytes: u64,
    /// Responses not stored for lack of space since this node became the leader.
    #[facet(rename = "unkept")]
    responses_not_stored: u64,
    /// Requests and calls shed for lack of space since this node became the leader.
    #[facet(rename = "shed")]
    requests_shed: u64,
    locks: u64,
    keys: u64,
    numbers: u64,
    revision: u64,
    history_floor: u64,
    nodes: Vec<NodeRow>,
}

impl NodeRow {
    fn new(now_ms: u64, node: &Node, report: Option<&NodeReport>) -> Self {
        let version = report.and_then(|report| report.version.as_ref());
        NodeRow {
            name: node.name.to_string(),
            incarnation: format!("{:016x}", node.incarnation),
            address: node.address.to_string(),
            http: node.http.to_string(),
            zone: node.zone.to_string(),
            ready: report.is_some_and(|report| report.ready),
            published: report.map_or(0, |report| report.published),
            version: version.map(ToString::to_string),
            silent_ms: report.map_or(0, |report| now_ms.saturating_sub(report.last_ms)),
        }
    }
}

impl ControlNode {
    pub(super) fn on_status(&mut self, now_ms: u64, origin: Origin) {
        let report = self.status_report(now_ms);
        self.respond(origin, json(200, &report));
    }

    fn status_report(&self, now_ms: u64) -> StatusReport {
        let state = self.committed();
        let leader = self.leader.as_ref();
        let open_tickets = state.tickets.values().filter(|ticket| ticket.settlement.is_none());
        StatusReport {
            controller: self.own.address.to_string(),
            term: self.consensus.term(),
            log_end: self.consensus.last_index(),
            watermark: self.consensus.commit_index(),
            update_watermark: self.updates.image_offset(),
            lease_remaining_ms: self.consensus.lease_until_ms().saturating_sub(now_ms),
            version: state.plan_version().map(str::to_string),
            open_transaction: self.tail.open_transaction_name().map(str::to_string),
            open_ms: leader.and_then(|leader| leader.writer.open_duration_ms(now_ms)),
            longest_stall_ms: self.longest_stall_ms(),
            tickets: state.tickets.len() as u64,
            open_tickets: open_tickets.count() as u64,
            max_tickets: TICKETS_MAX as u64,
            stored_response_bytes: state.stored_response_bytes,
            max_stored_response_bytes: STORED_RESPONSES_BYTES,
            responses_not_stored: leader.map_or(0, |leader| leader.shedding.responses),
            requests_shed: leader.map_or(0, |leader| leader.shedding.requests),
            locks: state.locks.len() as u64,
            keys: state.keys.len() as u64,
            numbers: state.numbers.len() as u64,
            revision: state.revision,
            history_floor: state.history_floor,
            nodes: self.node_rows(now_ms),
        }
    }

    fn node_rows(&self, now_ms: u64) -> Vec<NodeRow> {
        let report = |node: &Node| self.leader.as_ref()?.nodes.report(node.incarnation);
        let nodes = self.committed().nodes.values();
        nodes.map(|node| NodeRow::new(now_ms, node, report(node))).collect()
    }
}
