//! A control-plane node without I/O: the log's member, and its single writer while it leads.

mod builder;
mod commit;
mod contact;
mod coordination;
mod discovery;
mod endpoint_list;
mod endpoint_list_scan;
mod leader_state;
mod leadership_transfer;
mod list_page;
mod nodes;
mod operator;
mod plan_delta;
mod poll_rate;
mod reply;
mod request_samples;
mod requests;
mod retention;
mod status;
mod submission;
mod submit;
mod targets;
mod tickets;
mod types;
mod watches;

pub use commit::PendingSnapshot;
pub use contact::Contact;
pub use coordination::decide;
pub use list_page::{ListPage, read_page};
pub use submission::{RefusalReason, SubmissionDecision, decide_submission, text_digest};
pub use types::{Effect, Fetched, Input, PageResult};

pub(crate) use types::Origin;

use discovery::PeerDirectory;
use leader_state::LeaderState;
use leadership_transfer::ReceivedHandover;
use postbarrow_consensus::{
    self as consensus, Consensus, Effect as LogEffect, Member, RecoveredState, Role,
};
use postbarrow_constants::consensus::{LOG_BYTES, LOG_SPREAD};
use postbarrow_constants::coordination::HISTORY_RETENTION_MS;
use postbarrow_constants::nodes::LIST_GAP_MS;
use postbarrow_membership::{Delivery, Relay};
use postbarrow_messages::{EncodedImage, Envelope, Message, Response};
use postbarrow_state::State;
use postbarrow_transactions::Tail;
use std::net::SocketAddr;

pub struct ControlNode {
    own: Member,
    consensus: Consensus,
    tail: Tail<State>,
    update_offset: u64,
    image_offset: u64,
    relay: Relay,
    encoded: EncodedImage,
    leader: Option<LeaderState>,
    directory: PeerDirectory,
    stopping: bool,
    received_handover: Option<ReceivedHandover>,
    /// Bytes of log since the last snapshot, and how many of them make the next one due.
    log_bytes: u64,
    log_bound_bytes: u64,
    /// Since when a snapshot is being encoded.
    encoding_ms: Option<u64>,
    last_tick_ms: u64,
    /// When a leader was heard last, this node itself included.
    leader_contact_ms: u64,
    list_gap_ms: u64,
    history_ms: u64,
    effects: Vec<Effect>,
}

impl ControlNode {
    pub fn new(
        own: Member,
        recovered: RecoveredState,
        seeds: &[SocketAddr],
        seed: u64,
        now_ms: u64,
    ) -> Self {
        let snapshot = recovered.snapshot.clone();
        let log_bytes = recovered.entries.iter().map(|entry| entry.size() as u64).sum();
        let mut node = ControlNode {
            own,
            consensus: Consensus::new(own.id, recovered, seed, now_ms),
            tail: Tail::new(0, State::default()),
            update_offset: 0,
            image_offset: 0,
            relay: Relay::default(),
            encoded: EncodedImage::default(),
            leader: None,
            directory: PeerDirectory::new(seeds, own.address),
            stopping: false,
            received_handover: None,
            log_bytes,
            log_bound_bytes: LOG_BYTES + own.id % LOG_SPREAD * (LOG_BYTES / LOG_SPREAD),
            encoding_ms: None,
            last_tick_ms: now_ms,
            leader_contact_ms: now_ms,
            list_gap_ms: LIST_GAP_MS,
            history_ms: HISTORY_RETENTION_MS,
            effects: Vec::new(),
        };
        if let Some(snapshot) = snapshot {
            node.restore(&snapshot);
        }
        node
    }

    pub fn handle(&mut self, now_ms: u64, input: Input) -> Vec<Effect> {
        match input {
            Input::Tick => self.tick(now_ms),
            Input::Stop => self.stop(now_ms),
            Input::Seeds(seeds) => self.directory.set_seeds(&seeds),
            Input::Receive(envelope) => self.receive(now_ms, envelope),
            Input::Synced(sequence) => self.log(now_ms, consensus::Input::Synced(sequence)),
            Input::Page(result) => self.on_page(now_ms, result),
            Input::Encoded { index, state } => self.on_encoded(now_ms, index, state),
        }
        self.deliver(now_ms);
        std::mem::take(&mut self.effects)
    }

    fn receive(&mut self, now_ms: u64, envelope: Envelope) {
        let Envelope { from, message } = envelope;
        match message {
            Message::Consensus { from, to, message } if to == self.own.id => {
                self.log(now_ms, consensus::Input::Receive { from, message })
            }
            Message::Consensus {
                from,
                to,
                message: consensus::Message::LeaderProbe { round, .. },
            } => self.on_probe_of_predecessor(from, to, round),
            Message::DiscoveryAnnouncement(announcement) => {
                self.on_discovery(now_ms, from, announcement)
            }
            Message::Bootstrap(members) => self.log(now_ms, consensus::Input::Bootstrap(members)),
            Message::Introduce => self.introduce(from),
            Message::Introduction { control, formed } => self.on_introduction(control, formed),
            Message::LeaseRequest(request) => self.on_lease_request(now_ms, from, request),
            Message::Tail { after } => {
                if self.leader.as_ref().is_some_and(|leader| leader.ready) {
                    self.relay.on_tail(now_ms, from, after);
                }
            }
            Message::Request { key, request } => {
                self.on_request(now_ms, Origin { to: from, key }, request)
            }
            Message::Consensus { .. }
            | Message::LeaseResponse { .. }
            | Message::Updates { .. }
            | Message::Image(_)
            | Message::Heartbeat { .. }
            | Message::Response { .. } => {}
        }
    }

    fn tick(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        self.log(now_ms, consensus::Input::Tick);
        self.contact_tick(now_ms, gap_ms);
        self.discovery_tick(now_ms);
        if !self.is_departing() {
            self.leader_tick(now_ms, gap_ms);
        }
        self.leadership_transfer_tick(now_ms);
        self.compact(now_ms);
    }

    /// Runs the log and carries out what it asks for. Writes and sends go out in the log's own
    /// order before anything else, for what a commit sets off may write again.
    fn log(&mut self, now_ms: u64, input: consensus::Input) {
        let mut later = Vec::new();
        for effect in self.consensus.handle(now_ms, input) {
            match effect {
                LogEffect::Send { to, message } => {
                    let message = Message::Consensus { from: self.own, to: to.id, message };
                    self.send(to.address, message);
                }
                LogEffect::Write { sequence, write } => {
                    if let consensus::Write::Append(entries) = &write {
                        self.log_bytes +=
                            entries.iter().map(|entry| entry.size() as u64).sum::<u64>();
                    }
                    self.effects.push(Effect::Write { sequence, write });
                }
                other => later.push(other),
            }
        }
        for effect in later {
            match effect {
                LogEffect::Commit(entries) => self.on_commit(now_ms, entries),
                LogEffect::Restore(snapshot) => self.restore(&snapshot),
                LogEffect::Role(role) => self.on_role(now_ms, role),
                LogEffect::LeadershipReceived { note, late_ms } => {
                    self.on_leadership_received(now_ms, &note, late_ms)
                }
                LogEffect::Send { .. } | LogEffect::Write { .. } => {}
            }
        }
        self.finish_take_over(now_ms);
    }

    fn on_role(&mut self, now_ms: u64, role: Role) {
        match role {
            Role::Leader => {
                self.log_line(format!("leads term {}", self.consensus.term()));
                self.leader =
                    Some(LeaderState::new(self.consensus.term(), now_ms, self.list_gap_ms));
            }
            _ => self.step_down(),
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        if !self.leader.as_ref().is_some_and(|leader| leader.ready) {
            return;
        }
        self.encoded.forget_before(self.image_offset);
        for deliver in self.relay.deliver(now_ms, self.update_offset, self.image_offset) {
            match deliver {
                Delivery::Updates { to, entries } => self.send(to, Message::Updates { entries }),
                Delivery::Image { to } => {
                    let offset = self.image_offset;
                    let frame = self.encoded.frame(offset, || self.tail.image().routing_view());
                    self.send(to, Message::Image(frame));
                    self.relay.on_image_sent(now_ms, to, offset);
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

    fn log_line(&mut self, text: String) {
        self.effects.push(Effect::Log(text));
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
        self.leader.as_ref().is_some_and(|leader| leader.ready)
    }
    pub fn has_lease(&self, now_ms: u64) -> bool {
        self.is_leading() && now_ms < self.consensus.lease_until()
    }
    /// Images encoded for nodes so far.
    pub fn images_encoded(&self) -> u64 {
        self.encoded.encodings()
    }
    /// Clients' questions waiting for the open transaction, and the longest wait so far.
    pub fn stall_ms(&self) -> u64 {
        self.leader.as_ref().map_or(0, |leader| leader.longest_stall_ms)
    }
}
