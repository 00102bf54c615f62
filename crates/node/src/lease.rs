//! The node's lease: until when it may serve requests by its image.
//!
//! A node serves only while it is sure that no newer plan is in force elsewhere. It renews its lease
//! at the controller every [`LEASE_RENEW_MS`] (150 ms); the controller grants with a watermark, the
//! offset that the image must reach.
//!
//! - The lease ends `NODE_LEASE_MS` (1 s) after the node *sent* the granted request, not after the
//!   response arrived: the controller may have decided any time between.
//! - A grant counts only once the published image reaches its watermark.
//! - Grants of a controller with an older term are ignored.
//! - Numbers of requests start at the incarnation, which is random, so that a grant to an earlier
//!   incarnation at this address counts for nobody.
//!
//! Without a response for [`CONTROLLER_WAIT_MS`] (300 ms) the node requests leases of all control
//! nodes it knows, every [`CONTROLLER_SEARCH_MS`] (50 ms), until one of them grants.

use postbarrow_constants::nodes::{
    CONTROLLER_SEARCH_MS, CONTROLLER_WAIT_MS, INTRODUCTIONS, LEASE_RENEW_MS, NODE_LEASE_MS,
};
use postbarrow_state::Incarnation;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// One grant of the controller, valid from when its request was sent.
struct Grant {
    sent_ms: u64,
    watermark: u64,
}

/// What the controller grants with a lease.
pub(crate) struct GrantedLease {
    pub term: u64,
    pub watermark: u64,
    pub members: Vec<SocketAddr>,
}

/// Lease requests that are due, with one number for all.
pub(crate) struct Renewal {
    pub number: u64,
    /// The controller, or all that may know one.
    pub to: Vec<SocketAddr>,
    /// No controller is known: each gets a request for an introduction too.
    pub is_search: bool,
}

/// Lease requests on their way, and the leases that were granted.
pub(crate) struct NodeLease {
    /// Of the newest request.
    number: u64,
    sent_ms: BTreeMap<u64, u64>,
    grants: VecDeque<Grant>,
    term: u64,
    controller: Option<SocketAddr>,
    members: Vec<SocketAddr>,
    /// Named by others since the last grant; requests go there, and nothing else relies on them.
    introduced: Vec<SocketAddr>,
    due_ms: u64,
    granted_ms: u64,
    announced_until_ms: u64,
    duration_ms: u64,
}

impl NodeLease {
    /// No lease yet; the first renewal is due at once.
    pub fn new(now_ms: u64, incarnation: Incarnation) -> Self {
        NodeLease {
            number: incarnation,
            sent_ms: BTreeMap::new(),
            grants: VecDeque::new(),
            term: 0,
            controller: None,
            members: Vec::new(),
            introduced: Vec::new(),
            due_ms: now_ms,
            granted_ms: 0,
            announced_until_ms: 0,
            duration_ms: NODE_LEASE_MS,
        }
    }

    /// Sets how long a grant is valid, instead of `NODE_LEASE_MS`.
    pub fn set_duration_ms(&mut self, duration_ms: u64) {
        self.duration_ms = duration_ms;
    }

    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    pub fn controller(&self) -> Option<SocketAddr> {
        self.controller
    }

    /// Up to where in the log the newest grant needs the image.
    pub fn watermark(&self) -> u64 {
        self.grants.back().map_or(0, |grant| grant.watermark)
    }

    /// When the lease ends for an image published up to this offset; 0 without a lease.
    pub fn until_ms(&self, published: u64) -> u64 {
        let covered = self.grants.iter().rev().find(|grant| grant.watermark <= published);
        covered.map_or(0, |grant| grant.sent_ms + self.duration_ms)
    }

    /// The lease's end, if it is later than the last one that was announced.
    pub fn announce(&mut self, published: u64) -> Option<u64> {
        let until_ms = self.until_ms(published);
        (until_ms > self.announced_until_ms).then(|| {
            self.announced_until_ms = until_ms;
            until_ms
        })
    }

    /// Whether lease requests are due.
    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.due_ms
    }

    /// Forgets a controller that has granted nothing for too long; whether it did.
    pub fn drop_unresponsive_controller(&mut self, now_ms: u64) -> bool {
        let is_unresponsive = now_ms > self.granted_ms + CONTROLLER_WAIT_MS;
        if is_unresponsive {
            self.controller = None;
        }
        is_unresponsive
    }

    /// The requests that are due now; forgets requests and grants that are too old to count.
    pub fn renew(&mut self, now_ms: u64, seeds: &[SocketAddr]) -> Renewal {
        let is_search = self.controller.is_none();
        self.due_ms = now_ms + if is_search { CONTROLLER_SEARCH_MS } else { LEASE_RENEW_MS };
        let duration_ms = self.duration_ms;
        self.sent_ms.retain(|_, sent_ms| now_ms < *sent_ms + duration_ms);
        self.grants.retain(|grant| now_ms < grant.sent_ms + duration_ms);
        let to = match self.controller {
            Some(controller) => vec![controller],
            None => self.all_known(seeds),
        };
        self.number = self.number.wrapping_add(1);
        self.sent_ms.insert(self.number, now_ms);
        Renewal { number: self.number, to, is_search }
    }

    fn all_known(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut known = self.members.clone();
        known.extend(&self.introduced);
        known.extend(seeds);
        known.sort_unstable();
        known.dedup();
        known
    }

    /// Another process named control nodes.
    pub fn on_introduction(&mut self, control: &[SocketAddr]) {
        for address in control {
            let is_known = self.members.contains(address) || self.introduced.contains(address);
            if !is_known && self.introduced.len() < INTRODUCTIONS {
                self.introduced.push(*address);
            }
        }
    }

    /// A grant arrived; whether it is of a new controller or term, or none if it doesn't count.
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
        let sent_ms = self.sent_ms.get(&number).copied()?;
        let is_new_controller = term > self.term || self.controller != Some(from);
        self.term = term;
        self.controller = Some(from);
        self.members = members;
        self.introduced.clear();
        self.granted_ms = now_ms;
        if self.grants.back().is_none_or(|last| last.sent_ms <= sent_ms) {
            self.grants.push_back(Grant { sent_ms, watermark });
        }
        Some(is_new_controller)
    }

    /// A control node answered that it is not the controller.
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
