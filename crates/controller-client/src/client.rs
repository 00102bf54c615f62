//! The client of the controller: its state, and its interface to the process that owns it.

use crate::pending_request::PendingRequest;
use postbarrow_constants::consensus::CONTACT_LOST_MS;
use postbarrow_messages::{Message, Request, Response};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A client of the controller, with its pending requests and the last known address of the
/// controller.
#[derive(Clone, Debug, Default)]
pub struct ControllerClient {
    pub(crate) pending: BTreeMap<u64, PendingRequest>,
    pub(crate) controller: Option<SocketAddr>,
    members: Vec<SocketAddr>,
    /// Index of the member that requests are sent to while no controller is known, modulo the
    /// number of members.
    next_member: usize,
    /// Since when this process, a member of the log, has had no leader. `None` while it has one,
    /// and in processes that are not members.
    leaderless_since_ms: Option<u64>,
}

/// An action that the client requests from its owner.
pub enum Effect {
    /// Send a request.
    Send {
        /// Address of the control node.
        to: SocketAddr,
        /// Request with its key.
        message: Message,
    },
    /// Answer a request, which ends it.
    Answer {
        /// Key of the request.
        key: u64,
        /// Response of the controller, or `Unavailable` or `TimedOut` if the client concluded that.
        response: Response,
    },
}

impl ControllerClient {
    /// Records the control plane's members, unless the list is empty, and the controller, unless it
    /// is `None`. If the controller changes, every pending request is due at once. A process that
    /// is a member of the log no longer counts as leaderless.
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
                request.schedule_send_at(now_ms);
                request.unanswered_copies = 0;
            }
        }
    }

    /// Notes that this process, a member of the log, has had no leader since `since_ms`. Requests
    /// are delayed until it has one, because a member of the log is the first to learn of a new
    /// leader. After `CONTACT_LOST_MS` each is answered as unavailable, unless it was sent to a
    /// process that may have accepted it.
    pub fn on_leader_lost(&mut self, since_ms: u64) {
        self.controller = None;
        self.leaderless_since_ms = Some(since_ms);
    }

    /// Sends a request, and resends it until it is answered or `timeout_ms` have passed. No pending
    /// request may have the same key.
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

    /// Drops a request whose client has departed: no further copy is sent, and the request gets no
    /// answer. Copies that were sent may still take effect.
    pub fn withdraw(&mut self, key: u64) {
        self.pending.remove(&key);
    }

    /// Drops the known controller, because it did not answer other requests of the owner either.
    pub fn forget_controller(&mut self) {
        self.controller = None;
    }

    /// Returns whether this member of the log has had no leader for `CONTACT_LOST_MS` or more,
    /// longer than an ordinary election takes.
    pub fn is_cut_off(&self, now_ms: u64) -> bool {
        self.leaderless_since_ms.is_some_and(|since_ms| now_ms >= since_ms + CONTACT_LOST_MS)
    }

    /// Returns the address of the known controller, which requests are sent to; `None` if it is not
    /// known.
    pub fn controller(&self) -> Option<SocketAddr> {
        self.controller
    }

    /// Returns the number of pending requests.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether this member of the log has no leader, so that nothing is sent.
    pub(crate) fn is_leaderless(&self) -> bool {
        self.leaderless_since_ms.is_some()
    }

    /// Returns the address that requests are sent to: the controller, or the next member while no
    /// controller is known.
    pub(crate) fn receiver(&self) -> Option<SocketAddr> {
        let next_member = self.next_member % self.members.len().max(1);
        self.controller.or_else(|| self.members.get(next_member).copied())
    }

    pub(crate) fn advance_member(&mut self) {
        self.next_member += 1;
    }
}
