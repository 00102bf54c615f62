//! Answers a leader probe for a member that this process replaced.

use crate::ControlNode;
use postbarrow_consensus::{self as consensus, Member, MemberId};
use postbarrow_messages::Message;

impl ControlNode {
    /// Another member was at this address before and lost its disk: it leads no more, for its
    /// process has ended. Nothing else can be answered for it.
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
