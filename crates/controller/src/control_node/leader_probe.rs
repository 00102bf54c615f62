//! Answers leader probes for a former member at this node's address.

use crate::ControlNode;
use postbarrow_consensus::{self as consensus, Member, MemberId};
use postbarrow_messages::Message;

impl ControlNode {
    /// Answers a leader probe for the member that had this address before its disk was lost. Its
    /// process has ended, so it no longer leads; no other message to it can be answered.
    pub(super) fn on_probe_of_former_member(
        &mut self,
        prober: Member,
        former: MemberId,
        round: u64,
    ) {
        let from = Member { id: former, address: self.own.address };
        let message = consensus::Message::LeaderProbeResponse { term: 0, round, not_leading: true };
        self.send(prober.address, Message::Consensus { from, to: prober.id, message });
    }
}
