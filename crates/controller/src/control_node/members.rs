//! Operators' report of the log's members.

use crate::ControlNode;
use crate::operator_body::json;
use crate::origin::Origin;
use facet::Facet;
use postbarrow_consensus::Member;

#[derive(Facet)]
#[facet(rename_all = "camelCase")]
struct MemberRow {
    id: String,
    address: String,
    /// The member's role: `controller`, `voter` or `learner`.
    role: String,
    /// Time since the member's last response, in milliseconds; 0 for the controller itself.
    silent_ms: u64,
    /// Number of entries in the controller's log that the member has not confirmed.
    lag_entries: u64,
}

impl MemberRow {
    fn new(member: &Member, role: &str, silent_ms: u64, lag_entries: u64) -> Self {
        MemberRow {
            id: format!("{:016x}", member.id),
            address: member.address.to_string(),
            role: role.into(),
            silent_ms,
            lag_entries,
        }
    }
}

#[derive(Facet)]
struct MembersReport {
    members: Vec<MemberRow>,
}

impl ControlNode {
    pub(super) fn on_members(&mut self, now_ms: u64, origin: Origin) {
        let voters = self.consensus.members();
        let mut members = vec![MemberRow::new(&self.own, "controller", 0, 0)];
        for follower in self.consensus.followers(now_ms) {
            let is_voter = voters.iter().any(|voter| voter.id == follower.member.id);
            let role = if is_voter { "voter" } else { "learner" };
            let (silent_ms, lag_entries) = (follower.silent_ms, follower.lag_entries);
            members.push(MemberRow::new(&follower.member, role, silent_ms, lag_entries));
        }
        self.respond(origin, json(200, &MembersReport { members }));
    }
}
