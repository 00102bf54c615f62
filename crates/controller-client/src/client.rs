//! The client: its pending requests, and where the controller is as far as is known.

use crate::pending_request::PendingRequest;
use postbarrow_constants::consensus::CONTACT_LOST_MS;
use postbarrow_messages::{Message, Request, Response};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Pending requests, and where the controller is as far as is known.
#[derive(Clone, Debug, Default)]
pub struct ControllerClient {
    pub(crate) pending: BTreeMap<u64, PendingRequest>,
    pub(crate) controller: Option<SocketAddr>,
    members: Vec<SocketAddr>,
    /// Which member is sent to next while no controller is known.
    next_member: usize,
    /// Since when this member of the log is without a leader; none for others, and while it has one.
    leaderless_since_ms: Option<u64>,
}

/// What the owner of a client does next.
pub enum Effect {
    /// Send a request.
    Send {
        /// A control node.
        to: SocketAddr,
        /// The request with its key.
        message: Message,
    },
    /// A request has ended.
    Answer {
        /// The request's.
        key: u64,
        /// The controller's response, or what the client concludes.
        response: Response,
    },
}

impl ControllerClient {
    /// Takes over what was learnt of the control plane; a new controller is sent every pending
    /// request at once. Ends the time in which a member of the log was without a leader.
    pub fn on_members(
        &mut self,
        now_ms: u64,
        controller: Option<SocketAddr>,
        members: &[SocketAddr],
    ) {
        if !members.is_empty() {
            self.members = members.to_vec();
        }
        self.leaderless_since_ms = None;
        if controller.is_some() && controller != self.controller {
            self.controller = controller;
            for request in self.pending.values_mut() {
                request.send_at(now_ms);
                request.unanswered_copies = 0;
            }
        }
    }

    /// A member of the log has been without a leader since then. Requests are delayed until it
    /// has one, for the log is the first to know of a leader; after `CONTACT_LOST_MS` they are
    /// answered as unavailable, unless one was sent to a process that may have accepted it.
    pub fn on_leader_lost(&mut self, since_ms: u64) {
        self.controller = None;
        self.leaderless_since_ms = Some(since_ms);
    }

    /// Sends a request until it is answered, or for `timeout_ms`. Its key must be unused.
    pub fn send_request(
        &mut self,
        now_ms: u64,
        key: u64,
        request: Request,
        timeout_ms: u64,
    ) -> Vec<Effect> {
        self.pending.insert(key, PendingRequest::new(now_ms, request, timeout_ms));
        self.tick(now_ms)
    }

    /// Drops a request whose client has departed: no further copy is sent, and it gets no answer.
    /// The copies that were sent may still take effect.
    pub fn withdraw(&mut self, key: u64) {
        self.pending.remove(&key);
    }

    /// The controller did not answer others' requests either.
    pub fn suspect_controller(&mut self) {
        self.controller = None;
    }

    /// Whether there was no contact with a leader for longer than an ordinary election takes.
    pub fn is_cut_off(&self, now_ms: u64) -> bool {
        self.leaderless_since_ms.is_some_and(|since_ms| now_ms >= since_ms + CONTACT_LOST_MS)
    }

    /// Where requests are sent first.
    pub fn controller(&self) -> Option<SocketAddr> {
        self.controller
    }

    /// Number of pending requests.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Whether this member of the log is without a leader, so that nothing is sent.
    pub(crate) fn is_leaderless(&self) -> bool {
        self.leaderless_since_ms.is_some()
    }

    /// The controller, or the member whose turn it is.
    pub(crate) fn receiver(&self) -> Option<SocketAddr> {
        let next_member = self.next_member % self.members.len().max(1);
        self.controller.or_else(|| self.members.get(next_member).copied())
    }

    pub(crate) fn advance_member(&mut self) {
        self.next_member += 1;
    }
}
