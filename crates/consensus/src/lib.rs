#![doc = include_str!("../README.md")]

mod deferred_sends;
mod departure;
mod disk_health;
mod election;
mod fingerprint;
mod inflight;
mod leader_probe;
mod leadership_transfer;
mod membership;
mod progress;
mod raft_log;
mod replication;
mod snapshot;
mod snapshot_transfer;
mod types;

pub use fingerprint::FingerprintTime;
pub use progress::Progress;
pub use raft_log::RaftLog;
pub use types::*;

use postbarrow_constants::consensus::{VOTER_DEAD_MS, VOTERS};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

#[derive(Clone, Debug)]
pub struct Consensus {
    id: MemberId,
    term: u64,
    voted_for: Option<MemberId>,
    log: RaftLog,
    commit_index: u64,
    role: Role,
    leader: Option<MemberId>,
    leader_contact_ms: u64,
    election_due_ms: u64,
    started_ms: u64,
    votes: BTreeSet<MemberId>,
    progress: BTreeMap<MemberId, Progress>,
    learners: BTreeMap<MemberId, Member>,
    heartbeat_due_ms: u64,
    term_start: u64,
    /// This leader's lease is given up for the rest of its term.
    transferring_leadership: bool,
    /// Least difference seen between this clock and the leader's.
    leader_offset_ms: Option<i64>,
    snapshot: Option<Arc<Snapshot>>,
    incoming: Option<snapshot_transfer::IncomingSnapshot>,
    sequence: u64,
    synced: u64,
    appended: VecDeque<(u64, u64)>,
    self_match: u64,
    after_sync: deferred_sends::AfterSync,
    /// Rounds of asking all others whether they lead, numbered from a random begin in each life, and
    /// who said no in this one.
    probe_round: u64,
    probe_due_ms: u64,
    non_leaders: BTreeSet<MemberId>,
    /// This one said that it does not lead, and has heard nobody since who does.
    denied_leadership: bool,
    /// The present candidacy follows a round in which nobody led.
    leaderless: bool,
    disk: disk_health::DiskHealth,
    random: u64,
    /// Voters that the log grows to while learners stand ready.
    voters: usize,
    /// A voter silent this long leaves while a learner stands ready.
    voter_dead_ms: u64,
    /// Since when this one leads, if it does.
    led_since_ms: u64,
    departure: departure::Departure,
    announce_due_ms: u64,
    departing: BTreeMap<MemberId, departure::DepartingMember>,
    effects: Vec<Effect>,
}

impl Consensus {
    pub fn new(id: MemberId, recovered: RecoveredState, seed: u64, now_ms: u64) -> Self {
        let log = RaftLog::recovered(&recovered);
        let mut made = Consensus {
            id,
            term: recovered.term,
            voted_for: recovered.voted_for,
            commit_index: log.base(),
            self_match: log.last_index(),
            log,
            role: Role::Follower,
            leader: None,
            leader_contact_ms: now_ms,
            election_due_ms: 0,
            started_ms: now_ms,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            learners: BTreeMap::new(),
            heartbeat_due_ms: 0,
            term_start: 0,
            transferring_leadership: false,
            leader_offset_ms: None,
            snapshot: recovered.snapshot,
            incoming: None,
            sequence: 0,
            synced: 0,
            appended: VecDeque::new(),
            after_sync: deferred_sends::AfterSync::default(),
            probe_round: seed >> 1,
            probe_due_ms: now_ms,
            non_leaders: BTreeSet::new(),
            denied_leadership: false,
            leaderless: false,
            disk: disk_health::DiskHealth::new(now_ms),
            random: seed | 1,
            voters: VOTERS,
            voter_dead_ms: VOTER_DEAD_MS,
            led_since_ms: now_ms,
            departure: departure::Departure::Staying,
            announce_due_ms: now_ms,
            departing: BTreeMap::new(),
            effects: Vec::new(),
        };
        made.set_election(now_ms);
        made
    }

    /// As many voters as a majority needs after so many losses at once.
    pub fn set_losses(&mut self, losses: usize) {
        self.voters = VOTERS.max(2 * losses + 1);
    }

    /// After so much silence a voter's seat goes to a learner that stands ready.
    pub fn set_voter_dead_ms(&mut self, voter_dead_ms: u64) {
        self.voter_dead_ms = voter_dead_ms;
    }

    pub fn handle(&mut self, now_ms: u64, input: Input) -> Vec<Effect> {
        self.disk.at(now_ms);
        match input {
            Input::Tick => self.tick(now_ms),
            Input::Synced(sequence) => self.on_synced(sequence),
            Input::Receive { from, message } => self.receive(now_ms, from, message),
            Input::Propose(batches) => self.propose(now_ms, batches),
            Input::Bootstrap(members) => self.form(members),
            Input::AddLearner(member) => self.learner(now_ms, member),
            Input::Compact { index, state } => self.compact(now_ms, index, state),
            Input::TransferLeadership(note) => self.hand_over(now_ms, note),
            Input::Depart => self.leave(now_ms),
        }
        std::mem::take(&mut self.effects)
    }

    fn receive(&mut self, now_ms: u64, from: Member, message: Message) {
        match message {
            Message::PreVote(ask) => self.on_pre_vote(now_ms, from, ask),
            Message::PreVoteResponse { term, granted } => {
                self.on_pre_vote_response(now_ms, from, term, granted)
            }
            Message::Vote(ask) => self.on_vote(now_ms, from, ask),
            Message::VoteResponse { term, granted } => {
                self.on_vote_response(now_ms, from, term, granted)
            }
            Message::Append(append) if self.withholds(&append) => {}
            Message::Append(append) => self.on_append(now_ms, from, append),
            Message::AppendResponse(response) => self.on_append_response(now_ms, from, response),
            Message::Snapshot(part) => self.on_snapshot(now_ms, from, part),
            Message::SnapshotResponse(got) => self.on_snapshot_response(now_ms, from, got),
            Message::LeaderProbe { round, .. } => self.on_who(from, round),
            Message::LeaderProbeResponse { term, round, free } => {
                self.on_who_response(now_ms, from, term, round, free)
            }
            Message::TimeoutNow(ask) => self.on_take_over(now_ms, from, ask),
            Message::DepartureRequest(leaving) => self.on_leaving(now_ms, from, leaving),
            Message::DepartureGranted(got) => self.on_may_leave(now_ms, got),
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.leave_tick(now_ms);
        self.yield_tick(now_ms);
        match self.role {
            Role::Leader => {
                self.leader_tick(now_ms);
                self.change_members(now_ms);
                self.answer_leavers(now_ms);
            }
            _ if now_ms >= self.election_due_ms && self.log.is_member(self.id) => {
                self.start_pre_vote(now_ms, false)
            }
            _ => self.who_tick(now_ms),
        }
    }

    fn on_synced(&mut self, sequence: u64) {
        self.synced = self.synced.max(sequence);
        self.disk.synced(sequence);
        while let Some((wrote, last)) = self.appended.front().copied() {
            if wrote > self.synced {
                break;
            }
            self.self_match = self.self_match.max(last);
            self.appended.pop_front();
        }
        while let Some((to, message)) = self.after_sync.pop(self.synced) {
            self.send(to, message);
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    fn send(&mut self, to: Member, message: Message) {
        self.effects.push(Effect::Send { to, message });
    }

    fn send_after_sync(&mut self, to: Member, message: Message) {
        if self.sequence <= self.synced {
            self.send(to, message);
        } else {
            self.after_sync.push(self.sequence, to, message);
        }
    }

    fn write(&mut self, write: Write) {
        self.sequence += 1;
        self.disk.issued(self.sequence, matches!(write, Write::Slot { .. }));
        self.effects.push(Effect::Write { sequence: self.sequence, write });
    }

    fn write_hard(&mut self) {
        self.write(Write::HardState(HardState { term: self.term, voted_for: self.voted_for }));
    }

    fn random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    pub fn id(&self) -> MemberId {
        self.id
    }
    pub fn term(&self) -> u64 {
        self.term
    }
    pub fn role(&self) -> Role {
        self.role
    }
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }
    /// Index of the newest snapshot here, or zero.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }
    pub fn members(&self) -> &[Member] {
        self.log.members()
    }
    pub fn is_uninitialized(&self) -> bool {
        self.log.members().is_empty()
    }
    /// Nothing was ever promised to anybody: only such a one may begin a log.
    pub fn is_pristine(&self) -> bool {
        self.is_uninitialized() && self.term == 0
    }
    pub fn leader(&self) -> Option<Member> {
        let id = self.leader?;
        self.log.members().iter().find(|member| member.id == id).copied()
    }
    /// When a leader's word arrived last, by this node's own clock.
    pub fn leader_contact_ms(&self) -> u64 {
        self.leader_contact_ms
    }
    /// Leader whose own term has committed: everything acknowledged before is applied.
    pub fn is_ready(&self) -> bool {
        self.role == Role::Leader && self.commit_index >= self.term_start
    }
    pub fn log(&self) -> &RaftLog {
        &self.log
    }
}
