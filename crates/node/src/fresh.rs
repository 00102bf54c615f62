use crate::{DataNode, Effect};
use postbarrow_constants::nodes::*;
use postbarrow_messages::{Fresh, FreshAsk, Message};
use postbarrow_state::Incarnation;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// One answer of the controller, counted from when its request was sent.
struct Grant {
    sent_ms: u64,
    watermark: u64,
}

/// Questions about freshness, and the leases their answers gave.
pub(crate) struct FreshBook {
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
    pub hold_ms: u64,
    /// Whether the log was told last that this node serves.
    pub said_serves: bool,
}

impl FreshBook {
    pub fn new(now_ms: u64, incarnation: Incarnation) -> Self {
        FreshBook {
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
            hold_ms: NODE_LEASE_MS,
            said_serves: false,
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
        covered.map_or(0, |grant| grant.sent_ms + self.hold_ms)
    }

    pub fn watermark(&self) -> u64 {
        self.grants.back().map_or(0, |grant| grant.watermark)
    }

    pub fn controller(&self) -> Option<SocketAddr> {
        self.controller
    }
}

impl DataNode {
    pub(crate) fn fresh_tick(&mut self, now_ms: u64) {
        if now_ms < self.fresh.due_ms {
            return;
        }
        if now_ms > self.fresh.granted_ms + FRESH_WAIT_MS {
            self.fresh.controller = None;
            self.controller_client.doubt();
        }
        let seeks = self.fresh.controller.is_none();
        self.fresh.due_ms = now_ms + if seeks { FRESH_SEEK_MS } else { FRESH_MS };
        let hold_ms = self.fresh.hold_ms;
        self.fresh.sent_ms.retain(|_, sent_ms| now_ms < *sent_ms + hold_ms);
        self.fresh.grants.retain(|grant| now_ms < grant.sent_ms + hold_ms);
        let to = match self.fresh.controller {
            Some(controller) => vec![controller],
            None => {
                let mut all = self.fresh.members.clone();
                all.extend(&self.fresh.introduced);
                all.extend(&self.seeds);
                all.sort_unstable();
                all.dedup();
                for address in all.clone() {
                    self.send(address, Message::Introduce);
                }
                all
            }
        };
        self.fresh.number = self.fresh.number.wrapping_add(1);
        let number = self.fresh.number;
        self.fresh.sent_ms.insert(number, now_ms);
        let request = FreshAsk {
            number,
            node: self.own.clone(),
            published: self.published,
            version: self.tail.image().plan.as_ref().map(|plan| plan.version.clone()),
            ready: self.is_ready(now_ms),
            failing: self.failing(),
            suspects: self.watch.suspects(now_ms),
            recent: std::mem::take(&mut self.recent),
            seen: std::mem::take(&mut self.seen),
        };
        for address in to {
            self.send(address, Message::Fresh(request.clone()));
        }
    }

    /// A sentence whenever this node begins or ceases to serve.
    pub(crate) fn say_serves(&mut self, now_ms: u64) {
        let serves = now_ms < self.lease_until() && self.tail.image().plan.is_some();
        if serves == self.fresh.said_serves {
            return;
        }
        self.fresh.said_serves = serves;
        let version = self.tail.image().plan_version().unwrap_or_default().to_string();
        self.effects.push(Effect::Say(match serves {
            true => format!("serves, plan {version}"),
            false => "sheds, no controller's word covers it".into(),
        }));
    }

    pub(crate) fn on_fresh(&mut self, now_ms: u64, from: SocketAddr, number: u64, fresh: Fresh) {
        match fresh {
            Fresh::Granted { term, watermark, members } => {
                if term < self.fresh.term {
                    return;
                }
                let Some(sent_ms) = self.fresh.sent_ms.get(&number).copied() else { return };
                if term > self.fresh.term || self.fresh.controller != Some(from) {
                    self.tail_due_ms = now_ms;
                }
                self.fresh.term = term;
                self.fresh.controller = Some(from);
                self.fresh.members = members;
                self.fresh.introduced.clear();
                self.fresh.granted_ms = now_ms;
                let newer = self.fresh.grants.back().is_none_or(|last| last.sent_ms <= sent_ms);
                if newer {
                    self.fresh.grants.push_back(Grant { sent_ms, watermark });
                }
                self.controller_client.learn(now_ms, Some(from), &self.fresh.members);
                self.announce_lease();
            }
            Fresh::NotController { controller, members } => {
                if !members.is_empty() {
                    self.fresh.members = members;
                }
                if self.fresh.controller == Some(from) {
                    self.fresh.controller = controller;
                }
                self.controller_client.learn(now_ms, None, &self.fresh.members);
            }
        }
    }

    pub(crate) fn announce_lease(&mut self) {
        let until_ms = self.lease_until();
        if until_ms > self.fresh.announced_lease_ms {
            self.fresh.announced_lease_ms = until_ms;
            self.effects.push(Effect::Lease { until_ms });
        }
    }
}
