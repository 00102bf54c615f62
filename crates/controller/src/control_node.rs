//! The control node: dispatches each input to its handler and returns the resulting effects.

mod apply_failure;
mod calls;
mod compaction;
mod contact;
mod discovery;
mod endpoint_list;
mod leader_probe;
mod leadership_transfer;
mod lease;
mod lock_expiry;
mod log_commit;
mod members;
mod node_expiry;
mod node_lease;
mod plan;
mod plan_abort;
mod plan_commit;
mod proposal;
mod replies;
mod requests;
mod retention;
mod settings;
mod status;
mod submissions;
mod targets;
mod term;
mod tickets;
mod watches;

use crate::endpoint_list::ReceivedHandover;
use crate::leader_contact::LeaderContact;
use crate::leader_settings::LeaderSettings;
use crate::leader_state::LeaderState;
use crate::origin::Origin;
use crate::peer_directory::PeerDirectory;
use crate::routing_updates::RoutingUpdates;
use crate::snapshot_schedule::SnapshotSchedule;
use crate::{ApplyFailure, Effect, Input};
use postbarrow_consensus::{
    self as consensus, Consensus, Effect as LogEffect, Entry, Member, RecoveredState,
};
use postbarrow_messages::{Envelope, Message};
use postbarrow_state::State;
use postbarrow_transactions::Tail;
use std::net::SocketAddr;

/// A control-plane node: a member of the replicated log, a node that is joining it, or an observer,
/// which never becomes a member.
pub struct ControlNode {
    /// This node's member id and address.
    own: Member,
    consensus: Consensus,
    /// Reader of the committed log; its image is the committed state.
    tail: Tail<State>,
    updates: RoutingUpdates,
    snapshots: SnapshotSchedule,
    directory: PeerDirectory,
    contact: LeaderContact,
    settings: LeaderSettings,
    /// The leader's working state; `None` while this node does not lead.
    leader: Option<LeaderState>,
    /// The endpoint list's scan state that a former leader sent with its leadership transfer.
    received_handover: Option<ReceivedHandover>,
    is_stopping: bool,
    /// Why the committed log can't be applied; `None` while it can.
    apply_failure: Option<ApplyFailure>,
    /// Effects of the input that is being handled, in the order in which they are to be carried
    /// out.
    effects: Vec<Effect>,
}

impl ControlNode {
    /// Creates a node from the state recovered from its disk. `seeds` are addresses of nodes that
    /// may introduce it to other control nodes; `seed` seeds its random numbers; `now_ms` is the
    /// current time of the clock that `handle` is given.
    pub fn new(
        own: Member,
        recovered: RecoveredState,
        seeds: &[SocketAddr],
        seed: u64,
        now_ms: u64,
    ) -> Self {
        let snapshot = recovered.snapshot.clone();
        let log_bytes = size_bytes(&recovered.entries);
        let mut node = ControlNode {
            own,
            consensus: Consensus::new(own.id, recovered, seed, now_ms),
            tail: Tail::new(0, State::default()),
            updates: RoutingUpdates::default(),
            snapshots: SnapshotSchedule::new(own.id, log_bytes),
            directory: PeerDirectory::new(seeds, own.address),
            contact: LeaderContact::new(now_ms),
            settings: LeaderSettings::default(),
            leader: None,
            received_handover: None,
            is_stopping: false,
            apply_failure: None,
            effects: Vec::new(),
        };
        if let Some(snapshot) = snapshot {
            node.restore(now_ms, &snapshot);
        }
        node
    }

    /// Handles one input at `now_ms`, in milliseconds of a monotonic clock, and returns the effects
    /// to be carried out, in order.
    ///
    /// A committed entry or a snapshot that this release can't decode or apply makes the member
    /// step aside; see [`ControlNode::apply_failure`].
    pub fn handle(&mut self, now_ms: u64, input: Input) -> Vec<Effect> {
        match input {
            Input::Tick => self.tick(now_ms),
            Input::Stop => self.stop(now_ms),
            Input::Seeds(seeds) => self.directory.set_seeds(&seeds),
            Input::Receive(envelope) => self.receive(now_ms, envelope),
            Input::Synced(sequence) => self.step(now_ms, consensus::Input::Synced(sequence)),
            Input::Page(result) => self.on_fetched(now_ms, result),
            Input::Encoded { index, state } => self.on_encoded(now_ms, index, state),
        }
        self.send_updates(now_ms);
        std::mem::take(&mut self.effects)
    }

    fn receive(&mut self, now_ms: u64, envelope: Envelope) {
        let Envelope { from, message } = envelope;
        match message {
            Message::Consensus { from, to, message } if to == self.own.id => {
                self.step(now_ms, consensus::Input::Receive { from, message })
            }
            Message::Consensus {
                from,
                to,
                message: consensus::Message::LeaderProbe { round, .. },
            } => self.on_probe_of_former_member(from, to, round),
            Message::DiscoveryAnnouncement(announcement) => {
                self.on_announcement(now_ms, from, announcement)
            }
            Message::Bootstrap(members) => self.step(now_ms, consensus::Input::Bootstrap(members)),
            Message::Introduce => self.send_introduction(from),
            Message::Introduction { control_addresses, log_exists } => {
                self.on_introduction(control_addresses, log_exists)
            }
            Message::LeaseRequest(request) => self.on_lease_request(now_ms, from, request),
            Message::Tail { after } => {
                if self.is_leading() {
                    self.updates.on_tail(now_ms, from, after);
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
        let gap_ms = self.contact.on_tick(now_ms);
        self.step(now_ms, consensus::Input::Tick);
        self.contact_tick(now_ms, gap_ms);
        self.discovery_tick(now_ms);
        if self.is_leading() && !self.is_departing() {
            self.leader_tick(now_ms, gap_ms);
        }
        self.leadership_transfer_tick(now_ms);
        self.compact(now_ms);
    }

    fn leader_tick(&mut self, now_ms: u64, gap_ms: u64) {
        self.lease_tick(now_ms);
        self.lock_expiry_tick(now_ms, gap_ms);
        self.plan_abort_tick(now_ms);
        self.endpoint_list_tick(now_ms);
        self.node_expiry_tick(now_ms);
        self.retention_tick(now_ms);
        self.watch_tick(now_ms);
    }

    /// Passes an input to the consensus module and carries out its effects. Writes and sends are
    /// emitted first, in the order consensus returned them, because handling the other effects,
    /// such as a commit, may write again.
    fn step(&mut self, now_ms: u64, input: consensus::Input) {
        let mut deferred = Vec::new();
        for effect in self.consensus.handle(now_ms, input) {
            match effect {
                LogEffect::Send { to, message } => {
                    let message = Message::Consensus { from: self.own, to: to.id, message };
                    self.send(to.address, message);
                }
                LogEffect::Write { sequence, write } => {
                    if let consensus::Write::Append(entries) = &write {
                        self.snapshots.on_append(size_bytes(entries));
                    }
                    self.effects.push(Effect::Write { sequence, write });
                }
                other => deferred.push(other),
            }
        }
        for effect in deferred {
            match effect {
                LogEffect::Commit(entries) => self.on_commit(now_ms, entries),
                LogEffect::Restore(snapshot) => self.restore(now_ms, &snapshot),
                LogEffect::Role(role) => self.on_role(now_ms, role),
                LogEffect::LeadershipReceived { handover_state, late_ms } => {
                    self.on_leadership_received(now_ms, &handover_state, late_ms)
                }
                LogEffect::Send { .. } | LogEffect::Write { .. } => {}
            }
        }
        self.start_serving_when_ready(now_ms);
    }

    fn send_updates(&mut self, now_ms: u64) {
        if self.is_leading() {
            for (to, message) in self.updates.messages(now_ms, self.tail.image()) {
                self.send(to, message);
            }
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.effects.push(Effect::Send { to, message });
    }

    fn log_line(&mut self, text: String) {
        self.effects.push(Effect::Log(text));
    }

    /// Returns this node's consensus module, which holds the replicated log.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// Returns the state with all committed records applied; an open transaction is not part of it.
    pub fn committed(&self) -> &State {
        self.tail.image()
    }

    /// Returns the reader that applies the committed log to the state.
    pub fn tail(&self) -> &Tail<State> {
        &self.tail
    }

    /// Returns whether this node leads and has applied everything that earlier leaders committed.
    pub fn is_leading(&self) -> bool {
        self.leader.as_ref().is_some_and(LeaderState::is_serving)
    }

    /// Returns whether this node leads and holds the leader lease, so that no other node can lead
    /// at `now_ms`.
    pub fn has_lease(&self, now_ms: u64) -> bool {
        self.is_leading() && now_ms < self.consensus.lease_until_ms()
    }

    /// Returns how many images this node has encoded for data nodes.
    pub fn images_encoded(&self) -> u64 {
        self.updates.images_encoded()
    }

    /// Returns the longest time that a request has waited for an open transaction since this node
    /// became the leader, in milliseconds; 0 while this node does not lead.
    pub fn longest_stall_ms(&self) -> u64 {
        self.leader.as_ref().map_or(0, |leader| leader.transaction.longest_stall_ms())
    }

    fn member_addresses(&self) -> Vec<SocketAddr> {
        self.consensus.members().iter().map(|member| member.address).collect()
    }

    /// Returns the address of the leader that consensus knows, unless that is this node.
    fn other_leader(&self) -> Option<SocketAddr> {
        let leader = self.consensus.leader().map(|leader| leader.address);
        leader.filter(|address| *address != self.own.address)
    }
}

fn size_bytes(entries: &[Entry]) -> u64 {
    entries.iter().map(|entry| entry.size_bytes() as u64).sum()
}
