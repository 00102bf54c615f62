//! A control-plane node without I/O: the log's member, and its single writer while it leads.

mod asks;
mod calls;
mod commit;
mod forget;
mod greet;
mod handover;
mod lead;
mod list;
mod made;
mod nodes;
mod operator;
mod pace;
mod page;
mod recent;
mod status;
mod submit;
mod targets;
mod tickets;
mod types;
mod walk;
mod watches;

pub use commit::Snap;
pub use page::{Listed, read_page};
pub use types::{Effect, Fetched, Input, PageResult};

pub(crate) use types::Origin;

use greet::Book;
use handover::Handed;
use lead::Lead;
use postbarrow_consensus::{
    self as consensus, Consensus, Effect as LogEffect, Member, Recovered, Role,
};
use postbarrow_constants::consensus::{LOG_BYTES, LOG_SPREAD};
use postbarrow_constants::coordination::HISTORY_KEEP_MS;
use postbarrow_constants::nodes::LIST_GAP_MS;
use postbarrow_membership::{Deliver, Relay};
use postbarrow_messages::{Envelope, ImageFrame, Message, Response};
use postbarrow_state::State;
use postbarrow_transactions::Tail;
use std::net::SocketAddr;

pub struct ControlNode {
    own: Member,
    consensus: Consensus,
    tail: Tail<State>,
    newsOffset: u64,
    imageOffset: u64,
    relay: Relay,
    lead: Option<Lead>,
    book: Book,
    stopping: bool,
    handed: Option<Handed>,
    logBytes: u64,
    logBoundBytes: u64,
    lastPulseMs: u64,
    listGapMs: u64,
    historyMs: u64,
    effects: Vec<Effect>,
}

impl ControlNode {
    pub fn new(
        own: Member,
        recovered: Recovered,
        seeds: &[SocketAddr],
        seed: u64,
        nowMs: u64,
    ) -> Self {
        let snapshot = recovered.snapshot.clone();
        let logBytes = recovered.entries.iter().map(|entry| entry.size() as u64).sum();
        let mut node = ControlNode {
            own,
            consensus: Consensus::new(own.id, recovered, seed, nowMs),
            tail: Tail::new(0, State::default()),
            newsOffset: 0,
            imageOffset: 0,
            relay: Relay::default(),
            lead: None,
            book: Book::new(seeds, own.address),
            stopping: false,
            handed: None,
            logBytes,
            logBoundBytes: LOG_BYTES + own.id % LOG_SPREAD * (LOG_BYTES / LOG_SPREAD),
            lastPulseMs: nowMs,
            listGapMs: LIST_GAP_MS,
            historyMs: HISTORY_KEEP_MS,
            effects: Vec::new(),
        };
        if let Some(snapshot) = snapshot {
            node.restore(&snapshot);
        }
        node
    }

    pub fn handle(&mut self, nowMs: u64, input: Input) -> Vec<Effect> {
        match input {
            Input::Pulse => self.pulse(nowMs),
            Input::Stop => self.stop(nowMs),
            Input::Seeds(seeds) => self.book.meet(&seeds),
            Input::Receive(envelope) => self.receive(nowMs, envelope),
            Input::Synced(sequence) => self.log(nowMs, consensus::Input::Synced(sequence)),
            Input::Page(result) => self.on_page(nowMs, result),
            Input::Encoded { index, state } => self.on_encoded(nowMs, index, state),
        }
        self.deliver(nowMs);
        std::mem::take(&mut self.effects)
    }

    fn receive(&mut self, nowMs: u64, envelope: Envelope) {
        let Envelope { from, message } = envelope;
        match message {
            Message::Consensus { from, to, message } if to == self.own.id => {
                self.log(nowMs, consensus::Input::Receive { from, message })
            }
            Message::Consensus { from, to, message: consensus::Message::Who { round, .. } } => {
                self.vouch(from, to, round)
            }
            Message::Greet(greet) => self.on_greet(nowMs, from, greet),
            Message::Form(members) => self.log(nowMs, consensus::Input::Form(members)),
            Message::Introduce => self.introduce(from),
            Message::Introduction { control, formed } => self.on_introduction(control, formed),
            Message::Fresh(ask) => self.on_fresh(nowMs, from, ask),
            Message::Tail { after } => {
                if self.lead.as_ref().is_some_and(|lead| lead.ready) {
                    self.relay.on_tail(nowMs, from, after);
                }
            }
            Message::Ask { key, ask } => self.on_ask(nowMs, Origin { to: from, key }, ask),
            Message::Consensus { .. }
            | Message::FreshResponse { .. }
            | Message::News { .. }
            | Message::Image(_)
            | Message::Beat { .. }
            | Message::Response { .. } => {}
        }
    }

    fn pulse(&mut self, nowMs: u64) {
        let gapMs = nowMs.saturating_sub(self.lastPulseMs);
        self.lastPulseMs = nowMs;
        self.log(nowMs, consensus::Input::Pulse);
        self.greet_pulse(nowMs);
        if !self.is_leaving() {
            self.lead_pulse(nowMs, gapMs);
        }
        self.hand_over_pulse(nowMs);
        self.compact();
    }

    /// Runs the log and carries out what it asks for. Writes and sends go out in the log's own
    /// order before anything else, for what a commit sets off may write again.
    fn log(&mut self, nowMs: u64, input: consensus::Input) {
        let mut later = Vec::new();
        for effect in self.consensus.handle(nowMs, input) {
            match effect {
                LogEffect::Send { to, message } => {
                    let message = Message::Consensus { from: self.own, to: to.id, message };
                    self.send(to.address, message);
                }
                LogEffect::Write { sequence, write } => {
                    if let consensus::Write::Append(entries) = &write {
                        self.logBytes +=
                            entries.iter().map(|entry| entry.size() as u64).sum::<u64>();
                    }
                    self.effects.push(Effect::Write { sequence, write });
                }
                other => later.push(other),
            }
        }
        for effect in later {
            match effect {
                LogEffect::Commit(entries) => self.on_commit(nowMs, entries),
                LogEffect::Restore(snapshot) => self.restore(&snapshot),
                LogEffect::Role(role) => self.on_role(nowMs, role),
                LogEffect::Handed { note, lateMs } => self.on_handed(nowMs, &note, lateMs),
                LogEffect::Send { .. } | LogEffect::Write { .. } => {}
            }
        }
        self.take_over(nowMs);
    }

    fn on_role(&mut self, nowMs: u64, role: Role) {
        match role {
            Role::Leader => {
                self.say(format!("leads term {}", self.consensus.term()));
                self.lead = Some(Lead::new(self.consensus.term(), nowMs, self.listGapMs));
            }
            _ => self.step_down(),
        }
    }

    fn deliver(&mut self, nowMs: u64) {
        if !self.lead.as_ref().is_some_and(|lead| lead.ready) {
            return;
        }
        for deliver in self.relay.deliver(nowMs, self.newsOffset) {
            match deliver {
                Deliver::News { to, entries } => self.send(to, Message::News { entries }),
                Deliver::Image { to } => {
                    let state = rmp_serde::to_vec(&self.tail.image().news_only());
                    let state = state.expect("a state encodes into memory");
                    let offset = self.imageOffset;
                    self.send(to, Message::Image(ImageFrame { offset, state }));
                    self.relay.moved(to, offset);
                }
            }
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.effects.push(Effect::Send { to, message });
    }

    fn respond(&mut self, origin: Origin, response: Response) {
        self.send(origin.to, Message::Response { key: origin.key, response });
    }

    fn say(&mut self, text: String) {
        self.effects.push(Effect::Say(text));
    }

    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }
    pub fn committed(&self) -> &State {
        self.tail.image()
    }
    pub fn tail(&self) -> &Tail<State> {
        &self.tail
    }
    pub fn is_leading(&self) -> bool {
        self.lead.as_ref().is_some_and(|lead| lead.ready)
    }
    pub fn holds(&self, nowMs: u64) -> bool {
        self.is_leading() && nowMs < self.consensus.hold_until()
    }
    /// Clients' questions waiting for the open transaction, and the longest wait so far.
    pub fn stall_ms(&self) -> u64 {
        self.lead.as_ref().map_or(0, |lead| lead.longestStallMs)
    }
}
