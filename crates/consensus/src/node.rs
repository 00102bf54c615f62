//! One member of the replicated log: its state, and the dispatch of inputs to their handlers.

use crate::campaign::Election;
use crate::departure::Departures;
use crate::disk_health::DiskHealth;
use crate::durability::Durability;
use crate::incoming_snapshot::IncomingSnapshot;
use crate::leader_contact::LeaderContact;
use crate::leader_probe::ProbeState;
use crate::leader_state::LeaderState;
use crate::membership::VoterPolicy;
use crate::{
    Effect, HardState, Input, Member, MemberId, Message, RaftLog, RecoveredState, Role, Snapshot,
    Write,
};
use std::sync::Arc;

/// One member of the replicated log. It does no I/O: [`Consensus::handle`] takes an input and
/// returns the effects that its owner carries out.
#[derive(Clone, Debug)]
pub struct Consensus {
    pub(crate) id: MemberId,
    pub(crate) term: u64,
    pub(crate) voted_for: Option<MemberId>,
    pub(crate) role: Role,
    pub(crate) log: RaftLog,
    pub(crate) commit_index: u64,
    /// The newest snapshot that is on this member's disk or is being written to it.
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    /// The snapshot that is being received from the leader, up to its first missing byte.
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) election: Election,
    pub(crate) probe: ProbeState,
    pub(crate) contact: LeaderContact,
    pub(crate) leader_state: LeaderState,
    pub(crate) durability: Durability,
    pub(crate) disk: DiskHealth,
    pub(crate) voter_policy: VoterPolicy,
    pub(crate) departures: Departures,
    /// Whether the owner lets this member lead.
    pub(crate) can_lead: bool,
    /// Effects of the input that is being handled.
    pub(crate) effects: Vec<Effect>,
}

impl Consensus {
    /// Creates a member from the state that its disk returned. `seed` must differ between members
    /// and between the incarnations of one member, which are the runs of its process; `now_ms` is
    /// the time of the clock that all inputs follow.
    pub fn new(id: MemberId, recovered: RecoveredState, seed: u64, now_ms: u64) -> Self {
        let log = RaftLog::recovered(&recovered);
        Consensus {
            id,
            term: recovered.term,
            voted_for: recovered.voted_for,
            role: Role::Follower,
            commit_index: log.base(),
            durability: Durability::new(log.last_index()),
            log,
            snapshot: recovered.snapshot,
            incoming_snapshot: None,
            election: Election::new(seed, now_ms),
            probe: ProbeState::new(seed, now_ms),
            contact: LeaderContact::new(now_ms),
            leader_state: LeaderState::new(now_ms),
            disk: DiskHealth::new(now_ms),
            voter_policy: VoterPolicy::default(),
            departures: Departures::new(now_ms),
            can_lead: true,
            effects: Vec::new(),
        }
    }

    /// Sets the number of voters such that a majority remains after `losses` of them are lost at
    /// once; it is never set below `VOTERS`.
    pub fn set_tolerated_losses(&mut self, losses: usize) {
        self.voter_policy.set_tolerated_losses(losses);
    }

    /// Sets the time in milliseconds after which a voter that does not respond may be replaced by a
    /// learner.
    pub fn set_voter_dead_ms(&mut self, voter_dead_ms: u64) {
        self.voter_policy.voter_dead_ms = voter_dead_ms;
    }

    /// Handles one input at `now_ms` of this member's clock, and returns the effects to carry out.
    pub fn handle(&mut self, now_ms: u64, input: Input) -> Vec<Effect> {
        self.disk.advance_clock(now_ms);
        match input {
            Input::Tick => self.tick(now_ms),
            Input::Synced(sequence) => self.on_synced(sequence),
            Input::Receive { from, message } => self.receive(now_ms, from, message),
            Input::Propose(batches) => self.propose(now_ms, batches),
            Input::Bootstrap(members) => self.bootstrap(members),
            Input::AddLearner(member) => self.add_learner(now_ms, member),
            Input::Compact { index, state } => self.compact(now_ms, index, state),
            Input::TransferLeadership(handover_state) => {
                self.transfer_leadership(now_ms, handover_state)
            }
            Input::Depart => self.depart(now_ms),
            Input::SetCanLead(can_lead) => self.set_can_lead(now_ms, can_lead),
        }
        std::mem::take(&mut self.effects)
    }

    fn receive(&mut self, now_ms: u64, from: Member, message: Message) {
        match message {
            Message::PreVote(request) => self.on_pre_vote(now_ms, from, request),
            Message::PreVoteResponse { term, granted } => {
                self.on_pre_vote_response(now_ms, from, term, granted)
            }
            Message::Vote(request) => self.on_vote(now_ms, from, request),
            Message::VoteResponse { term, granted } => {
                self.on_vote_response(now_ms, from, term, granted)
            }
            Message::Append(append) if self.ignores_append(&append) => {}
            Message::Append(append) => self.on_append(now_ms, from, append),
            Message::AppendResponse(response) => self.on_append_response(now_ms, from, response),
            Message::Snapshot(chunk) => self.on_snapshot_chunk(now_ms, from, chunk),
            Message::SnapshotResponse(response) => {
                self.on_snapshot_response(now_ms, from, response)
            }
            Message::LeaderProbe { round, .. } => self.on_leader_probe(from, round),
            Message::LeaderProbeResponse { term, round, not_leading } => {
                self.on_leader_probe_response(now_ms, from, term, round, not_leading)
            }
            Message::TimeoutNow(request) => self.on_timeout_now(now_ms, from, request),
            Message::DepartureRequest(request) => self.on_departure_request(now_ms, from, request),
            Message::DepartureGranted(grant) => self.on_departure_granted(now_ms, grant),
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.departure_tick(now_ms);
        self.stalled_leader_tick(now_ms);
        match self.role {
            Role::Leader => {
                self.leader_tick(now_ms);
                self.membership_tick(now_ms);
                self.grant_departures(now_ms);
            }
            _ if self.election.is_due(now_ms) && self.log.is_member(self.id) => {
                self.start_pre_vote(now_ms, false)
            }
            _ => self.probe_tick(now_ms),
        }
    }

    pub(crate) fn send(&mut self, to: Member, message: Message) {
        self.effects.push(Effect::Send { to, message });
    }

    /// Sends a message that acknowledges or grants something, once all writes issued so far are
    /// synced.
    pub(crate) fn send_after_sync(&mut self, to: Member, message: Message) {
        if let Some(message) = self.durability.defer(to, message) {
            self.send(to, message);
        }
    }

    pub(crate) fn write(&mut self, write: Write) {
        let sequence = self.durability.next_sequence();
        self.disk.on_write(sequence, matches!(write, Write::Slot { .. }));
        self.effects.push(Effect::Write { sequence, write });
    }

    pub(crate) fn write_hard_state(&mut self) {
        self.write(Write::HardState(self.hard_state()));
    }

    pub(crate) fn hard_state(&self) -> HardState {
        HardState { term: self.term, voted_for: self.voted_for }
    }

    /// Returns all voters except this member.
    pub(crate) fn peers(&self) -> Vec<Member> {
        self.log.members().iter().filter(|member| member.id != self.id).copied().collect()
    }

    /// Returns the number of voters needed to elect a leader and to confirm its lease.
    pub(crate) fn majority(&self) -> usize {
        self.log.members().len() / 2 + 1
    }

    /// Returns the identity of this member, which is that of its disk.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the newest term that this member knows.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns this member's role in its current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the index of the newest entry that this member knows to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the index of the newest entry in this member's log, committed or not.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns the index of this member's newest snapshot, or zero if it has none.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// Returns all voters of the newest configuration; an uninitialized member has none.
    pub fn members(&self) -> &[Member] {
        self.log.members()
    }

    /// Returns whether this member has no configuration, and so no log, yet.
    pub fn is_uninitialized(&self) -> bool {
        self.log.members().is_empty()
    }

    /// Returns whether this member is uninitialized and has never granted or acknowledged anything:
    /// only such a member may bootstrap.
    pub fn is_pristine(&self) -> bool {
        self.is_uninitialized() && self.term == 0
    }

    /// Returns the leader of the current term, if this member knows it and it is a voter.
    pub fn leader(&self) -> Option<Member> {
        let id = self.contact.leader?;
        self.log.members().iter().find(|member| member.id == id).copied()
    }

    /// Returns when the last message of a leader arrived, in milliseconds of this member's clock.
    /// The start of the process counts as such a message. A leader that steps down counts as having
    /// been in contact with itself until `ELECTION_MIN_MS` before that.
    pub fn last_leader_contact_ms(&self) -> u64 {
        self.contact.last_contact_ms
    }

    /// Returns whether this member leads and the first entry of its term is committed. Then every
    /// entry acknowledged before is committed here, and was returned for application.
    pub fn is_ready(&self) -> bool {
        self.role == Role::Leader && self.commit_index >= self.leader_state.term_start_index
    }

    /// Returns the part of the log that is in memory.
    pub fn log(&self) -> &RaftLog {
        &self.log
    }
}
