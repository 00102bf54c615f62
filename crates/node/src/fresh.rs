use crate::{DataNode, Effect};
use postbarrow_constants::nodes::*;
use postbarrow_messages::{Fresh, FreshAsk, Message};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

struct Grant {
    sentMs: u64,
    watermark: u64,
}

/// Questions about freshness, and the holds their answers gave.
pub(crate) struct FreshBook {
    number: u64,
    sentMs: BTreeMap<u64, u64>,
    grants: VecDeque<Grant>,
    term: u64,
    controller: Option<SocketAddr>,
    members: Vec<SocketAddr>,
    /// Named by others since the last grant; tried, not believed.
    introduced: Vec<SocketAddr>,
    dueMs: u64,
    grantedMs: u64,
    toldHoldMs: u64,
    pub holdMs: u64,
    /// Whether the log was told last that this node serves.
    pub saidServes: bool,
}

impl FreshBook {
    pub fn new(nowMs: u64) -> Self {
        FreshBook {
            number: 0,
            sentMs: BTreeMap::new(),
            grants: VecDeque::new(),
            term: 0,
            controller: None,
            members: Vec::new(),
            introduced: Vec::new(),
            dueMs: nowMs,
            grantedMs: 0,
            toldHoldMs: 0,
            holdMs: NODE_HOLD_MS,
            saidServes: false,
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
    pub fn hold_until(&self, published: u64) -> u64 {
        let covered = self.grants.iter().rev().find(|grant| grant.watermark <= published);
        covered.map_or(0, |grant| grant.sentMs + self.holdMs)
    }

    pub fn watermark(&self) -> u64 {
        self.grants.back().map_or(0, |grant| grant.watermark)
    }

    pub fn controller(&self) -> Option<SocketAddr> {
        self.controller
    }
}

impl DataNode {
    pub(crate) fn fresh_pulse(&mut self, nowMs: u64) {
        if nowMs < self.fresh.dueMs {
            return;
        }
        if nowMs > self.fresh.grantedMs + FRESH_WAIT_MS {
            self.fresh.controller = None;
            self.desk.doubt();
        }
        let seeks = self.fresh.controller.is_none();
        self.fresh.dueMs = nowMs + if seeks { FRESH_SEEK_MS } else { FRESH_MS };
        let holdMs = self.fresh.holdMs;
        self.fresh.sentMs.retain(|_, sentMs| nowMs < *sentMs + holdMs);
        self.fresh.grants.retain(|grant| nowMs < grant.sentMs + holdMs);
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
        self.fresh.number += 1;
        let number = self.fresh.number;
        self.fresh.sentMs.insert(number, nowMs);
        let ask = FreshAsk {
            number,
            node: self.own.clone(),
            published: self.published,
            version: self.tail.image().plan.as_ref().map(|plan| plan.version.clone()),
            ready: self.is_ready(nowMs),
            failing: self.failing(),
            suspects: self.watch.suspects(nowMs),
            recent: std::mem::take(&mut self.recent),
            seen: std::mem::take(&mut self.seen),
        };
        for address in to {
            self.send(address, Message::Fresh(ask.clone()));
        }
    }

    /// A sentence whenever this node begins or ceases to serve.
    pub(crate) fn say_serves(&mut self, nowMs: u64) {
        let serves = nowMs < self.hold_until() && self.tail.image().plan.is_some();
        if serves == self.fresh.saidServes {
            return;
        }
        self.fresh.saidServes = serves;
        let version = self.tail.image().plan_version().unwrap_or_default().to_string();
        self.effects.push(Effect::Say(match serves {
            true => format!("serves, plan {version}"),
            false => "sheds, no controller's word covers it".into(),
        }));
    }

    pub(crate) fn on_fresh(&mut self, nowMs: u64, from: SocketAddr, number: u64, fresh: Fresh) {
        match fresh {
            Fresh::Granted { term, watermark, members } => {
                if term < self.fresh.term {
                    return;
                }
                let Some(sentMs) = self.fresh.sentMs.get(&number).copied() else { return };
                if term > self.fresh.term || self.fresh.controller != Some(from) {
                    self.tailDueMs = nowMs;
                }
                self.fresh.term = term;
                self.fresh.controller = Some(from);
                self.fresh.members = members;
                self.fresh.introduced.clear();
                self.fresh.grantedMs = nowMs;
                let newer = self.fresh.grants.back().is_none_or(|last| last.sentMs <= sentMs);
                if newer {
                    self.fresh.grants.push_back(Grant { sentMs, watermark });
                }
                self.desk.learn(nowMs, Some(from), &self.fresh.members);
                self.tell_hold();
            }
            Fresh::NotController { controller, members } => {
                if !members.is_empty() {
                    self.fresh.members = members;
                }
                if self.fresh.controller == Some(from) {
                    self.fresh.controller = controller;
                }
                self.desk.learn(nowMs, None, &self.fresh.members);
            }
        }
    }

    pub(crate) fn tell_hold(&mut self) {
        let untilMs = self.hold_until();
        if untilMs > self.fresh.toldHoldMs {
            self.fresh.toldHoldMs = untilMs;
            self.effects.push(Effect::Hold { untilMs });
        }
    }
}
