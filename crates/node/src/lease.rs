use crate::{DataNode, Effect};
use postbarrow_constants::nodes::*;
use postbarrow_messages::{LeaseRequest, LeaseResponse, Message};
use postbarrow_state::Incarnation;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// One answer of the controller, counted from when its request was sent.
struct Grant {
    sent_ms: u64,
    watermark: u64,
}

/// Questions about freshness, and the leases their answers gave.
pub(crate) struct NodeLease {
    /// Of the newest request. Each life begins at its incarnation, which is random, so that an
    /// answer to an earlier life at this address is nobody's.
    number: u64,
    sent_ms: BTreeMap<u64, u64>,
    grants: VecDeque<Grant>,
    term: u64,
    controller: Option<SocketAddr>,
    members: Vec<SocketAddr>,
    /// Named by others since the last grant; tried, not believed.
    introduced: Vec<SocketAddr>,
    due_ms: u64,
    granted_ms: u64,
    announced_lease_ms: u64,
    pub lease_ms: u64,
    /// Whether the log was told last that this node serves.
    pub logged_serving: bool,
}

impl NodeLease {
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
            announced_lease_ms: 0,
            lease_ms: NODE_LEASE_MS,
            logged_serving: false,
        }
    }

    pub fn members(&self) -> &[SocketAddr] {
        &self.members
    }

    pub fn on_introduction(&mut self, control: &[SocketAddr]) {
        for address in control {
            let known = self.members.contains(address) || self.introduced.contains(address);
            if !known && self.introduced.len() < INTRODUCTIONS {
                self.introduced.push(*address);
            }
        }
    }

    /// Counted from when the question was sent, and only for an image up to its watermark.
    pub fn lease_until(&self, published: u64) -> u64 {
        let covered = self.grants.iter().rev().find(|grant| grant.watermark <= published);
        covered.map_or(0, |grant| grant.sent_ms + self.lease_ms)
    }

    pub fn watermark(&self) -> u64 {
        self.grants.back().map_or(0, |grant| grant.watermark)
    }

    pub fn controller(&self) -> Option<SocketAddr> {
        self.controller
    }
}

impl DataNode {
    pub(crate) fn lease_tick(&mut self, now_ms: u64) {
        if now_ms < self.lease.due_ms {
            return;
        }
        if now_ms > self.lease.granted_ms + CONTROLLER_WAIT_MS {
            self.lease.controller = None;
            self.controller_client.suspect_controller();
        }
        let seeks = self.lease.controller.is_none();
        self.lease.due_ms = now_ms + if seeks { CONTROLLER_SEARCH_MS } else { LEASE_RENEW_MS };
        let hold_ms = self.lease.lease_ms;
        self.lease.sent_ms.retain(|_, sent_ms| now_ms < *sent_ms + hold_ms);
        self.lease.grants.retain(|grant| now_ms < grant.sent_ms + hold_ms);
        let to = match self.lease.controller {
            Some(controller) => vec![controller],
            None => {
                let mut all = self.lease.members.clone();
                all.extend(&self.lease.introduced);
                all.extend(&self.seeds);
                all.sort_unstable();
                all.dedup();
                for address in all.clone() {
                    self.send(address, Message::Introduce);
                }
                all
            }
        };
        self.lease.number = self.lease.number.wrapping_add(1);
        let number = self.lease.number;
        self.lease.sent_ms.insert(number, now_ms);
        let request = LeaseRequest {
            number,
            node: self.own.clone(),
            published: self.published,
            version: self.tail.image().plan.as_ref().map(|plan| plan.version.clone()),
            ready: self.is_ready(now_ms),
            failing: self.failing(),
            suspects: self.watch.suspects(now_ms),
            samples: std::mem::take(&mut self.recent),
            request_count: std::mem::take(&mut self.seen),
        };
        for address in to {
            self.send(address, Message::LeaseRequest(request.clone()));
        }
    }

    /// A sentence whenever this node begins or ceases to serve.
    pub(crate) fn say_serves(&mut self, now_ms: u64) {
        let serves = now_ms < self.lease_until() && self.tail.image().plan.is_some();
        if serves == self.lease.logged_serving {
            return;
        }
        self.lease.logged_serving = serves;
        let version = self.tail.image().plan_version().unwrap_or_default().to_string();
        self.effects.push(Effect::Log(match serves {
            true => format!("serves, plan {version}"),
            false => "sheds, no controller's word covers it".into(),
        }));
    }

    pub(crate) fn on_lease_response(
        &mut self,
        now_ms: u64,
        from: SocketAddr,
        number: u64,
        fresh: LeaseResponse,
    ) {
        match fresh {
            LeaseResponse::Granted { term, watermark, members } => {
                if term < self.lease.term {
                    return;
                }
                let Some(sent_ms) = self.lease.sent_ms.get(&number).copied() else { return };
                if term > self.lease.term || self.lease.controller != Some(from) {
                    self.tail_due_ms = now_ms;
                }
                self.lease.term = term;
                self.lease.controller = Some(from);
                self.lease.members = members;
                self.lease.introduced.clear();
                self.lease.granted_ms = now_ms;
                let newer = self.lease.grants.back().is_none_or(|last| last.sent_ms <= sent_ms);
                if newer {
                    self.lease.grants.push_back(Grant { sent_ms, watermark });
                }
                self.controller_client.on_members(now_ms, Some(from), &self.lease.members);
                self.announce_lease();
            }
            LeaseResponse::NotController { controller, members } => {
                if !members.is_empty() {
                    self.lease.members = members;
                }
                if self.lease.controller == Some(from) {
                    self.lease.controller = controller;
                }
                self.controller_client.on_members(now_ms, None, &self.lease.members);
            }
        }
    }

    pub(crate) fn announce_lease(&mut self) {
        let until_ms = self.lease_until();
        if until_ms > self.lease.announced_lease_ms {
            self.lease.announced_lease_ms = until_ms;
            self.effects.push(Effect::Lease { until_ms });
        }
    }
}
