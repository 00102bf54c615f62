#![doc = include_str!("../README.md")]

mod after_sync;
mod clear;
mod disk_health;
mod election;
mod fingerprint;
mod flight;
mod handover;
mod leaving;
mod log;
mod members;
mod progress;
mod replicate;
mod snapshot;
mod transfer;
mod types;

pub use fingerprint::Moment;
pub use log::Log;
pub use progress::Progress;
pub use types::*;

use postbarrow_constants::consensus::{VOTER_DEAD_MS, VOTERS};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

#[derive(Clone, Debug)]
pub struct Consensus {
    id: MemberId,
    term: u64,
    voted: Option<MemberId>,
    log: Log,
    commit: u64,
    role: Role,
    leader: Option<MemberId>,
    heard_ms: u64,
    election_due_ms: u64,
    started_ms: u64,
    votes: BTreeSet<MemberId>,
    progress: BTreeMap<MemberId, Progress>,
    learners: BTreeMap<MemberId, Member>,
    beat_due_ms: u64,
    term_start: u64,
    /// This leader's lease is given up for the rest of its term.
    handing: bool,
    /// Least difference seen between this clock and the leader's.
    leader_offset_ms: Option<i64>,
    snapshot: Option<Arc<Snapshot>>,
    incoming: Option<transfer::Incoming>,
    sequence: u64,
    synced: u64,
    appended: VecDeque<(u64, u64)>,
    self_match: u64,
    after_sync: after_sync::AfterSync,
    /// Rounds of asking all others whether they lead, numbered from a random begin in each life, and
    /// who said no in this one.
    round: u64,
    who_due_ms: u64,
    free: BTreeSet<MemberId>,
    /// This one said that it does not lead, and has heard nobody since who does.
    freed: bool,
    /// The present candidacy follows a round in which nobody led.
    clear: bool,
    disk: disk_health::DiskHealth,
    random: u64,
    /// Voters that the log grows to while learners stand ready.
    voters: usize,
    /// A voter silent this long leaves while a learner stands ready.
    voter_dead_ms: u64,
    /// Since when this one leads, if it does.
    led_since_ms: u64,
    leave: leaving::Leave,
    announce_due_ms: u64,
    leavers: BTreeMap<MemberId, leaving::Leaver>,
    effects: Vec<Effect>,
}

impl Consensus {
    pub fn new(id: MemberId, recovered: Recovered, seed: u64, now_ms: u64) -> Self {
        let log = Log::recovered(&recovered);
        let mut made = Consensus {
            id,
            term: recovered.term,
            voted: recovered.voted,
            commit: log.base(),
            self_match: log.last(),
            log,
            role: Role::Follower,
            leader: None,
            heard_ms: now_ms,
            election_due_ms: 0,
            started_ms: now_ms,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            learners: BTreeMap::new(),
            beat_due_ms: 0,
            term_start: 0,
            handing: false,
            leader_offset_ms: None,
            snapshot: recovered.snapshot,
            incoming: None,
            sequence: 0,
            synced: 0,
            appended: VecDeque::new(),
            after_sync: after_sync::AfterSync::default(),
            round: seed >> 1,
            who_due_ms: now_ms,
            free: BTreeSet::new(),
            freed: false,
            clear: false,
            disk: disk_health::DiskHealth::new(now_ms),
            random: seed | 1,
            voters: VOTERS,
            voter_dead_ms: VOTER_DEAD_MS,
            led_since_ms: now_ms,
            leave: leaving::Leave::Staying,
            announce_due_ms: now_ms,
            leavers: BTreeMap::new(),
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
            Input::Form(members) => self.form(members),
            Input::Learner(member) => self.learner(now_ms, member),
            Input::Compact { index, state } => self.compact(now_ms, index, state),
            Input::HandOver(note) => self.hand_over(now_ms, note),
            Input::Leave => self.leave(now_ms),
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
            Message::Who { round, .. } => self.on_who(from, round),
            Message::WhoResponse { term, round, free } => {
                self.on_who_response(now_ms, from, term, round, free)
            }
            Message::TakeOver(ask) => self.on_take_over(now_ms, from, ask),
            Message::Leaving(leaving) => self.on_leaving(now_ms, from, leaving),
            Message::MayLeave(got) => self.on_may_leave(now_ms, got),
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
        self.write(Write::Hard(Hard { term: self.term, voted: self.voted }));
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
    pub fn commit(&self) -> u64 {
        self.commit
    }
    pub fn last(&self) -> u64 {
        self.log.last()
    }
    /// Index of the newest snapshot here, or zero.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }
    pub fn members(&self) -> &[Member] {
        self.log.members()
    }
    pub fn is_fresh(&self) -> bool {
        self.log.members().is_empty()
    }
    /// Nothing was ever promised to anybody: only such a one may begin a log.
    pub fn is_unbound(&self) -> bool {
        self.is_fresh() && self.term == 0
    }
    pub fn leader(&self) -> Option<Member> {
        let id = self.leader?;
        self.log.members().iter().find(|member| member.id == id).copied()
    }
    /// When a leader's word arrived last, by this node's own clock.
    pub fn heard_ms(&self) -> u64 {
        self.heard_ms
    }
    /// Leader whose own term has committed: everything acknowledged before is applied.
    pub fn is_ready(&self) -> bool {
        self.role == Role::Leader && self.commit >= self.term_start
    }
    pub fn log(&self) -> &Log {
        &self.log
    }
}
