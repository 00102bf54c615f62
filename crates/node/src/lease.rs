//! The node's lease: until when the node may serve requests from its image.
//!
//! A node serves only while it is sure that no newer plan is in force elsewhere. It renews its
//! lease with the controller every [`LEASE_RENEW_MS`] (150 ms). Each grant names a watermark: the
//! log offset that the published image must reach.
//!
//! - The lease ends `NODE_LEASE_MS` (1 s) after the node *sent* the granted request, not after the
//!   response arrived: the controller may have granted it at any time between the two.
//! - A grant counts only once the published image reaches its watermark.
//! - Grants of a controller with an older term are ignored.
//! - Request numbers start at the incarnation, which is random, so that a grant to an earlier
//!   incarnation at this address matches no request and is ignored.
//!
//! If the controller grants nothing for [`CONTROLLER_WAIT_MS`] (300 ms), the node sends lease
//! requests to all control nodes that it knows, every [`CONTROLLER_SEARCH_MS`] (50 ms), until one
//! grants a lease.

use postbarrow_constants::nodes::{
    CONTROLLER_SEARCH_MS, CONTROLLER_WAIT_MS, INTRODUCTIONS_MAX, LEASE_RENEW_MS, NODE_LEASE_MS,
};
use postbarrow_state::Incarnation;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// A grant of the controller, valid from the time at which its request was sent.
struct Grant {
    sent_ms: u64,
    watermark: u64,
}

/// The content of a grant: the controller's term, the watermark and the control nodes.
pub(crate) struct GrantedLease {
    pub term: u64,
    pub watermark: u64,
    pub members: Vec<SocketAddr>,
}

/// Lease requests that are due; all of them have the same number.
pub(crate) struct Renewal {
    pub number: u64,
    /// The controller, or all known control nodes and seeds while no controller is known.
    pub to: Vec<SocketAddr>,
    /// Whether no controller is known: each receiver is then also sent a request for an
    /// introduction.
    pub is_search: bool,
}

/// Lease requests in flight, and the leases that were granted.
pub(crate) struct NodeLease {
    /// Number of the newest lease request.
    last_number: u64,
    /// When each pending lease request was sent, by its number.
    sent_ms_by_number: BTreeMap<u64, u64>,
    grants: VecDeque<Grant>,
    term: u64,
    controller: Option<SocketAddr>,
    members: Vec<SocketAddr>,
    /// Control nodes that introductions named since the last grant. The node sends requests for
    /// leases and introductions to them, but does not count them as members.
    introduced: Vec<SocketAddr>,
    renewal_due_ms: u64,
    last_granted_ms: u64,
    last_announced_end_ms: u64,
    duration_ms: u64,
}

impl NodeLease {
    /// Creates the state of a node without a lease, whose first renewal is due at once.
    pub fn new(now_ms: u64, incarnation: Incarnation) -> Self {
        NodeLease {
            last_number: incarnation,
            sent_ms_by_number: BTreeMap::new(),
            grants: VecDeque::new(),
            term: 0,
            controller: None,
            members: Vec::new(),
            introduced: Vec::new(),
            renewal_due_ms: now_ms,
            last_granted_ms: 0,
            last_announced_end_ms: 0,
            duration_ms: NODE_LEASE_MS,
        }
    }

    /// Sets how long a grant is valid; the default is `NODE_LEASE_MS`.
    pub fn set_duration_ms(&mut self, duration_ms: u64) {
        self.duration_ms = duration_ms;
    }

    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    pub fn controller(&self) -> Option<SocketAddr> {
        self.controller
    }

    /// Returns the log offset that the image must reach for the newest grant; 0 without a grant.
    pub fn watermark(&self) -> u64 {
        self.grants.back().map_or(0, |grant| grant.watermark)
    }

    /// Returns when the lease ends for an image published up to this offset; 0 without a lease.
    pub fn until_ms(&self, published: u64) -> u64 {
        let covered = self.grants.iter().rev().find(|grant| grant.watermark <= published);
        covered.map_or(0, |grant| grant.sent_ms + self.duration_ms)
    }

    /// Returns the lease's end if it is later than the last announced end, and records it as
    /// announced.
    pub fn announce(&mut self, published: u64) -> Option<u64> {
        let until_ms = self.until_ms(published);
        (until_ms > self.last_announced_end_ms).then(|| {
            self.last_announced_end_ms = until_ms;
            until_ms
        })
    }

    /// Returns whether lease requests are due.
    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.renewal_due_ms
    }

    /// Returns whether no lease was granted for `CONTROLLER_WAIT_MS`; if so, the controller is
    /// forgotten.
    pub fn drop_unresponsive_controller(&mut self, now_ms: u64) -> bool {
        let is_unresponsive = now_ms > self.last_granted_ms + CONTROLLER_WAIT_MS;
        if is_unresponsive {
            self.controller = None;
        }
        is_unresponsive
    }

    /// Returns the requests that are due now, and discards expired requests and grants.
    pub fn renew(&mut self, now_ms: u64, seeds: &[SocketAddr]) -> Renewal {
        let is_search = self.controller.is_none();
        self.renewal_due_ms =
            now_ms + if is_search { CONTROLLER_SEARCH_MS } else { LEASE_RENEW_MS };
        let duration_ms = self.duration_ms;
        self.sent_ms_by_number.retain(|_, sent_ms| now_ms < *sent_ms + duration_ms);
        self.grants.retain(|grant| now_ms < grant.sent_ms + duration_ms);
        let to = match self.controller {
            Some(controller) => vec![controller],
            None => self.known_control_nodes(seeds),
        };
        self.last_number = self.last_number.wrapping_add(1);
        self.sent_ms_by_number.insert(self.last_number, now_ms);
        Renewal { number: self.last_number, to, is_search }
    }

    fn known_control_nodes(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut known = self.members.clone();
        known.extend(&self.introduced);
        known.extend(seeds);
        known.sort_unstable();
        known.dedup();
        known
    }

    /// Stores control nodes that another process named, up to `INTRODUCTIONS_MAX` of them.
    pub fn on_introduction(&mut self, control_addresses: &[SocketAddr]) {
        for address in control_addresses {
            let is_known = self.members.contains(address) || self.introduced.contains(address);
            if !is_known && self.introduced.len() < INTRODUCTIONS_MAX {
                self.introduced.push(*address);
            }
        }
    }

    /// Handles a grant. Returns whether it is from a new controller or term, and none if it is
    /// ignored: its term is older, or its number belongs to no pending request.
    pub fn on_granted(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        number: u64,
        granted: GrantedLease,
    ) -> Option<bool> {
        let GrantedLease { term, watermark, members } = granted;
        if term < self.term {
            return None;
        }
        let sent_ms = self.sent_ms_by_number.get(&number).copied()?;
        let is_new_controller = term > self.term || self.controller != Some(from);
        self.term = term;
        self.controller = Some(from);
        self.members = members;
        self.introduced.clear();
        self.last_granted_ms = now_ms;
        if self.grants.back().is_none_or(|last| last.sent_ms <= sent_ms) {
            self.grants.push_back(Grant { sent_ms, watermark });
        }
        Some(is_new_controller)
    }

    /// Handles the response of a control node that is not the controller.
    pub fn on_not_controller(
        &mut self,
        from: SocketAddr,
        controller: Option<SocketAddr>,
        members: Vec<SocketAddr>,
    ) {
        if !members.is_empty() {
            self.members = members;
        }
        if self.controller == Some(from) {
            self.controller = controller;
        }
    }
}
