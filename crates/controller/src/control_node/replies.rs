//! Sends responses, either at once or when the entries that they depend on are committed.

use crate::ControlNode;
use crate::leader_state::{Precondition, Reply};
use crate::origin::Origin;
use postbarrow_messages::{Message, Response};

impl ControlNode {
    /// Sends a response at once.
    pub(super) fn respond(&mut self, origin: Origin, response: Response) {
        self.send(origin.to, Message::Response { key: origin.key, response });
    }

    /// Sends the response once the entry that was written for this request is committed.
    pub(super) fn reply_at(
        &mut self,
        now_ms: u64,
        offset: u64,
        origin: Origin,
        response: Response,
    ) {
        self.reply(now_ms, Reply { origin, offset, condition: Precondition::OwnEntry, response });
    }

    /// Sends a response for which nothing was written: a refusal, a repeat or a conflict. It
    /// depends on the proposed state, so it waits until all entries written so far are committed,
    /// and is sent only while the leader has its lease.
    pub(super) fn reply_when_committed(&mut self, now_ms: u64, origin: Origin, response: Response) {
        let offset = self.consensus.last_index();
        self.reply(now_ms, Reply { origin, offset, condition: Precondition::Lease, response });
    }

    fn reply(&mut self, now_ms: u64, reply: Reply) {
        if self.consensus.commit_index() >= reply.offset {
            self.send_reply(now_ms, reply);
        } else if let Some(leader) = &mut self.leader {
            leader.writer.add_reply(reply);
        }
    }

    /// Sends the pending replies whose log offset is committed.
    pub(super) fn send_committed_replies(&mut self, now_ms: u64) {
        let commit_index = self.consensus.commit_index();
        let Some(leader) = &mut self.leader else { return };
        for reply in leader.writer.take_committed_replies(commit_index) {
            self.send_reply(now_ms, reply);
        }
    }

    fn send_reply(&mut self, now_ms: u64, reply: Reply) {
        let origin = reply.origin;
        let response = reply.response_when_committed(self.has_lease(now_ms));
        self.respond(origin, response);
    }
}
