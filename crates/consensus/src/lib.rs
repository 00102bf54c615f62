#![doc = include_str!("../README.md")]

mod clear;
mod election;
mod handover;
mod log;
mod members;
mod progress;
mod replicate;
mod snapshot;
mod types;

pub use log::Log;
pub use progress::Progress;
pub use types::*;

use postbarrow_constants::consensus::VOTERS;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

pub struct Consensus {
    id: MemberId,
    term: u64,
    voted: Option<MemberId>,
    log: Log,
    commit: u64,
    role: Role,
    leader: Option<MemberId>,
    heardMs: u64,
    electionDueMs: u64,
    startedMs: u64,
    votes: BTreeSet<MemberId>,
    progress: BTreeMap<MemberId, Progress>,
    learners: BTreeMap<MemberId, Member>,
    beatDueMs: u64,
    termStart: u64,
    /// This leader's hold is given up for the rest of its term.
    handing: bool,
    /// Least difference seen between this clock and the leader's.
    leaderOffsetMs: Option<i64>,
    snapshot: Option<Arc<Snapshot>>,
    incoming: Option<snapshot::Incoming>,
    sequence: u64,
    synced: u64,
    appended: VecDeque<(u64, u64)>,
    selfMatch: u64,
    held: VecDeque<(u64, Member, Message)>,
    /// Rounds of asking all others whether they lead, and who said no in this one.
    round: u64,
    whoDueMs: u64,
    free: BTreeSet<MemberId>,
    /// This one said that it does not lead, and has heard nobody since who does.
    freed: bool,
    /// The present candidacy follows a round in which nobody led.
    clear: bool,
    random: u64,
    /// Voters that the log grows to while learners stand ready.
    voters: usize,
    effects: Vec<Effect>,
}

impl Consensus {
    pub fn new(id: MemberId, recovered: Recovered, seed: u64, nowMs: u64) -> Self {
        let log = Log::recovered(&recovered);
        let mut made = Consensus {
            id,
            term: recovered.term,
            voted: recovered.voted,
            commit: log.base(),
            selfMatch: log.last(),
            log,
            role: Role::Follower,
            leader: None,
            heardMs: nowMs,
            electionDueMs: 0,
            startedMs: nowMs,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            learners: BTreeMap::new(),
            beatDueMs: 0,
            termStart: 0,
            handing: false,
            leaderOffsetMs: None,
            snapshot: recovered.snapshot,
            incoming: None,
            sequence: 0,
            synced: 0,
            appended: VecDeque::new(),
            held: VecDeque::new(),
            round: 0,
            whoDueMs: nowMs,
            free: BTreeSet::new(),
            freed: false,
            clear: false,
            random: seed | 1,
            voters: VOTERS,
            effects: Vec::new(),
        };
        made.set_election(nowMs);
        made
    }

    /// As many voters as a majority needs after so many losses at once.
    pub fn set_losses(&mut self, losses: usize) {
        self.voters = VOTERS.max(2 * losses + 1);
    }

    pub fn handle(&mut self, nowMs: u64, input: Input) -> Vec<Effect> {
        match input {
            Input::Pulse => self.pulse(nowMs),
            Input::Synced(sequence) => self.on_synced(sequence),
            Input::Receive { from, message } => self.receive(nowMs, from, message),
            Input::Propose(batches) => self.propose(nowMs, batches),
            Input::Form(members) => self.form(members),
            Input::Learner(member) => self.learner(nowMs, member),
            Input::Compact { index, state } => self.compact(index, state),
            Input::HandOver(note) => self.hand_over(nowMs, note),
        }
        std::mem::take(&mut self.effects)
    }

    fn receive(&mut self, nowMs: u64, from: Member, message: Message) {
        match message {
            Message::PreVote(ask) => self.on_pre_vote(nowMs, from, ask),
            Message::PreVoteResponse { term, granted } => {
                self.on_pre_vote_response(nowMs, from, term, granted)
            }
            Message::Vote(ask) => self.on_vote(nowMs, from, ask),
            Message::VoteResponse { term, granted } => {
                self.on_vote_response(nowMs, from, term, granted)
            }
            Message::Append(append) => self.on_append(nowMs, from, append),
            Message::AppendResponse(response) => self.on_append_response(nowMs, from, response),
            Message::Snapshot(part) => self.on_snapshot(nowMs, from, part),
            Message::SnapshotResponse(got) => self.on_snapshot_response(nowMs, from, got),
            Message::Who { round, .. } => self.on_who(from, round),
            Message::WhoResponse { term, round, free } => {
                self.on_who_response(nowMs, from, term, round, free)
            }
            Message::TakeOver(ask) => self.on_take_over(nowMs, from, ask),
        }
    }

    fn pulse(&mut self, nowMs: u64) {
        match self.role {
            Role::Leader => self.leader_pulse(nowMs),
            _ if nowMs >= self.electionDueMs && self.log.is_member(self.id) => {
                self.start_pre_vote(nowMs, false)
            }
            _ => self.who_pulse(nowMs),
        }
    }

    fn on_synced(&mut self, sequence: u64) {
        self.synced = self.synced.max(sequence);
        while let Some((wrote, last)) = self.appended.front().copied() {
            if wrote > self.synced {
                break;
            }
            self.selfMatch = self.selfMatch.max(last);
            self.appended.pop_front();
        }
        while self.held.front().is_some_and(|(wrote, _, _)| *wrote <= self.synced) {
            let (_, to, message) = self.held.pop_front().expect("a front was seen");
            self.effects.push(Effect::Send { to, message });
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
            self.held.push_back((self.sequence, to, message));
        }
    }

    fn write(&mut self, write: Write) {
        self.sequence += 1;
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
    /// Leader whose own term has committed: everything acknowledged before is applied.
    pub fn is_ready(&self) -> bool {
        self.role == Role::Leader && self.commit >= self.termStart
    }
    pub fn log(&self) -> &Log {
        &self.log
    }
}
