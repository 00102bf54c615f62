//! Answers of a leader: when each may be told, and what is told once it may not.

use crate::{ControlNode, Origin};
use postbarrow_messages::Response;

/// What makes an answer true at the moment it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cover {
    /// The entry was written for this very question, so that its commit in this term proves that
    /// nobody else led in between.
    OwnEntry,
    /// The answer rests on older entries: another leader may have changed them since, unless the
    /// hold lasts at the moment of the answer.
    Lease,
}

/// An answer that waits until the log is committed up to an offset.
pub(crate) struct Reply {
    pub origin: Origin,
    offset: u64,
    cover: Cover,
    response: Response,
}

impl Reply {
    /// The answer of a leader that is deposed: only what was written for the question may yet be
    /// committed by another.
    pub fn when_deposed(&self) -> Response {
        match self.cover {
            Cover::OwnEntry => Response::Lost,
            Cover::Lease => Response::NotController { controller: None },
        }
    }
}

impl ControlNode {
    /// Tells the response once the entry that was written for this question is committed.
    pub(crate) fn reply_at(
        &mut self,
        now_ms: u64,
        offset: u64,
        origin: Origin,
        response: Response,
    ) {
        self.reply(now_ms, Reply { origin, offset, cover: Cover::OwnEntry, response });
    }

    /// For a response for which nothing is written: a refusal, a repeat, a conflict. It rests on
    /// optimistic state, so it waits until all of that is committed, and is told only within the
    /// hold.
    pub(crate) fn reply_when_committed(&mut self, now_ms: u64, origin: Origin, response: Response) {
        let offset = self.consensus.last_index();
        self.reply(now_ms, Reply { origin, offset, cover: Cover::Lease, response });
    }

    fn reply(&mut self, now_ms: u64, reply: Reply) {
        if self.consensus.commit_index() >= reply.offset {
            return self.send_reply(now_ms, reply);
        }
        if let Some(leader) = &mut self.leader {
            leader.replies.push_back(reply);
        }
    }

    /// The answers whose offset is committed now.
    pub(crate) fn send_committed_replies(&mut self, now_ms: u64) {
        let commit = self.consensus.commit_index();
        let Some(leader) = &mut self.leader else { return };
        let replies = std::mem::take(&mut leader.replies);
        let (due, waiting): (Vec<Reply>, Vec<Reply>) =
            replies.into_iter().partition(|reply| reply.offset <= commit);
        leader.replies = waiting.into();
        due.into_iter().for_each(|reply| self.send_reply(now_ms, reply));
    }

    fn send_reply(&mut self, now_ms: u64, reply: Reply) {
        let covered = reply.cover == Cover::OwnEntry || self.has_lease(now_ms);
        let response = if covered { reply.response } else { reply.when_deposed() };
        self.respond(reply.origin, response);
    }
}
