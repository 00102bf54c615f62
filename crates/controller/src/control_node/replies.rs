//! When a response is sent.

use crate::ControlNode;
use crate::leader_state::{Cover, Reply};
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
        self.reply(now_ms, Reply { origin, offset, cover: Cover::OwnEntry, response });
    }

    /// For a response for which nothing is written: a refusal, a repeat, a conflict. It rests on
    /// the optimistic state, so it waits until all of that is committed, and is sent only within
    /// the lease.
    pub(super) fn reply_when_committed(&mut self, now_ms: u64, origin: Origin, response: Response) {
        let offset = self.consensus.last_index();
        self.reply(now_ms, Reply { origin, offset, cover: Cover::Lease, response });
    }

    fn reply(&mut self, now_ms: u64, reply: Reply) {
        if self.consensus.commit_index() >= reply.offset {
            self.send_reply(now_ms, reply);
        } else if let Some(leader) = &mut self.leader {
            leader.writer.add_reply(reply);
        }
    }

    /// Sends the replies whose offset is committed now.
    pub(super) fn send_committed_replies(&mut self, now_ms: u64) {
        let commit_index = self.consensus.commit_index();
        let Some(leader) = &mut self.leader else { return };
        for reply in leader.writer.take_committed_replies(commit_index) {
            self.send_reply(now_ms, reply);
        }
    }

    fn send_reply(&mut self, now_ms: u64, reply: Reply) {
        let origin = reply.origin;
        let response = reply.when_committed(self.has_lease(now_ms));
        self.respond(origin, response);
    }
}
