use crate::operator::json;
use crate::{ControlNode, Origin};
use facet::Facet;
use postbarrow_constants::coordination::{STORED_RESPONSES_BYTES, TICKETS};

#[derive(Facet)]
#[facet(rename_all = "camelCase")]
struct MemberRow {
    id: String,
    address: String,
    role: String,
    silent_ms: u64,
    lag_entries: u64,
}

#[derive(Facet)]
struct MembersReport {
    members: Vec<MemberRow>,
}

#[derive(Facet)]
#[facet(rename_all = "camelCase")]
struct NodeRow {
    name: String,
    incarnation: String,
    address: String,
    http: String,
    zone: String,
    ready: bool,
    published: u64,
    version: Option<String>,
    silent_ms: u64,
}

#[derive(Facet)]
#[facet(rename_all = "camelCase")]
struct StatusReport {
    controller: String,
    term: u64,
    log_end: u64,
    watermark: u64,
    #[facet(rename = "newsWatermark")]
    update_watermark: u64,
    #[facet(rename = "holdLeftMs")]
    lease_remaining_ms: u64,
    version: Option<String>,
    open_transaction: Option<String>,
    open_ms: Option<u64>,
    longest_stall_ms: u64,
    tickets: u64,
    open_tickets: u64,
    #[facet(rename = "ticketsMost")]
    max_tickets: u64,
    #[facet(rename = "keptBytes")]
    stored_response_bytes: u64,
    #[facet(rename = "keptBytesMost")]
    max_stored_response_bytes: u64,
    /// Responses not kept, and asks and calls shed, for want of space under this controller.
    #[facet(rename = "unkept")]
    responses_not_stored: u64,
    #[facet(rename = "shed")]
    requests_shed: u64,
    locks: u64,
    keys: u64,
    numbers: u64,
    revision: u64,
    history_floor: u64,
    nodes: Vec<NodeRow>,
}

impl ControlNode {
    pub(crate) fn on_members(&mut self, now_ms: u64, origin: Origin) {
        let voters = self.consensus.members();
        let mut members = vec![MemberRow {
            id: format!("{:016x}", self.own.id),
            address: self.own.address.to_string(),
            role: "controller".into(),
            silent_ms: 0,
            lag_entries: 0,
        }];
        for (member, silent_ms, lag) in self.consensus.followers(now_ms) {
            let voter = voters.iter().any(|known| known.id == member.id);
            members.push(MemberRow {
                id: format!("{:016x}", member.id),
                address: member.address.to_string(),
                role: if voter { "voter".into() } else { "learner".into() },
                silent_ms,
                lag_entries: lag,
            });
        }
        self.respond(origin, json(200, &MembersReport { members }));
    }

    pub(crate) fn on_status(&mut self, now_ms: u64, origin: Origin) {
        let state = self.committed();
        let reports = self.node_reports();
        let row = |node: &postbarrow_state::Node| {
            let report = reports.and_then(|reports| reports.get(&node.incarnation));
            NodeRow {
                name: node.name.to_string(),
                incarnation: format!("{:016x}", node.incarnation),
                address: node.address.to_string(),
                http: node.http.to_string(),
                zone: node.zone.to_string(),
                ready: report.is_some_and(|report| report.ready),
                published: report.map_or(0, |report| report.published),
                version: report.and_then(|report| report.version.as_ref()).map(ToString::to_string),
                silent_ms: report.map_or(0, |report| now_ms.saturating_sub(report.last_ms)),
            }
        };
        let leader = self.leader.as_ref();
        let writer = leader.and_then(|leader| leader.writer.as_ref());
        let body = StatusReport {
            controller: self.own.address.to_string(),
            term: self.consensus.term(),
            log_end: self.consensus.last_index(),
            watermark: self.consensus.commit_index(),
            update_watermark: self.image_offset,
            lease_remaining_ms: self.consensus.lease_until().saturating_sub(now_ms),
            version: state.plan_version().map(str::to_string),
            open_transaction: self.tail.open_transaction_name().map(str::to_string),
            open_ms: writer.and_then(|writer| writer.open_duration_ms(now_ms)),
            longest_stall_ms: self.stall_ms(),
            tickets: state.tickets.len() as u64,
            open_tickets: state
                .tickets
                .values()
                .filter(|ticket| ticket.settlement.is_none())
                .count() as u64,
            max_tickets: TICKETS as u64,
            stored_response_bytes: state.stored_response_bytes,
            max_stored_response_bytes: STORED_RESPONSES_BYTES,
            responses_not_stored: leader.map_or(0, |leader| leader.responses_not_stored),
            requests_shed: leader.map_or(0, |leader| leader.requests_shed),
            locks: state.locks.len() as u64,
            keys: state.keys.len() as u64,
            numbers: state.numbers.len() as u64,
            revision: state.revision,
            history_floor: state.history_floor,
            nodes: state.nodes.values().map(|node| row(node)).collect(),
        };
        self.respond(origin, json(200, &body));
    }
}
