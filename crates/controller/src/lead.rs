use crate::list::HeldRows;
use crate::nodes::Seen;
use crate::recent::Samples;
use crate::reply::Reply;
use crate::submit::Open;
use crate::walk::Walk;
use crate::watches::Parked;
use crate::{ControlNode, Origin};
use postbarrow_messages::{Request, Response};
use postbarrow_state::{Incarnation, Name, Record, State};
use postbarrow_transactions::{Line, Writer, encode};
use std::collections::{BTreeMap, VecDeque};

/// What only the controller has; gone when it is deposed, rebuilt from the log at take-over.
pub(crate) struct Lead {
    pub term: u64,
    pub ready: bool,
    pub writer: Option<Writer<State>>,
    pub replies: VecDeque<Reply>,
    pub waiting: VecDeque<(u64, Origin, Request)>,
    pub open: Option<Open>,
    pub locks_due_ms: BTreeMap<Name, u64>,
    /// Settled keys by the era of their settlement.
    pub settled_queue: VecDeque<(u64, Name)>,
    pub history_marks: VecDeque<(u64, u64)>,
    pub nodes: BTreeMap<Incarnation, Seen>,
    pub samples: Samples,
    pub walk: Walk,
    pub held_rows: HeldRows,
    pub slow_list: bool,
    pub parked: Vec<Parked>,
    pub forget_due_ms: u64,
    pub era_ms: u64,
    /// Responses not kept and asks shed for want of space, since this controller leads.
    pub unkept: u64,
    pub shed: u64,
    pub condition_due_ms: u64,
    pub longest_stall_ms: u64,
    /// Since when the lease lasts without a break.
    pub lease_since_ms: Option<u64>,
}

impl Lead {
    pub fn new(term: u64, now_ms: u64, list_gap_ms: u64) -> Self {
        Lead {
            term,
            ready: false,
            writer: None,
            replies: VecDeque::new(),
            waiting: VecDeque::new(),
            open: None,
            locks_due_ms: BTreeMap::new(),
            settled_queue: VecDeque::new(),
            history_marks: VecDeque::new(),
            nodes: BTreeMap::new(),
            samples: Samples::default(),
            walk: Walk::new(now_ms, list_gap_ms),
            held_rows: HeldRows::new(),
            slow_list: false,
            parked: Vec::new(),
            forget_due_ms: 0,
            era_ms: now_ms,
            unkept: 0,
            shed: 0,
            condition_due_ms: 0,
            longest_stall_ms: 0,
            lease_since_ms: None,
        }
    }
}

impl ControlNode {
    /// Once this term's first entry is committed: abort what a dead controller left open, then serve.
    pub(crate) fn take_over(&mut self, now_ms: u64) {
        let applied = self.has_applied_commit();
        let Some(lead) = &mut self.lead else { return };
        if lead.ready || !self.consensus.is_ready() || !applied {
            return;
        }
        let state = self.tail.image().as_ref().clone();
        lead.ready = true;
        lead.locks_due_ms =
            state.locks.iter().map(|(name, lock)| (name.clone(), now_ms + lock.ttl_ms)).collect();
        let settled = state.tickets.iter().filter(|(_, ticket)| ticket.settled.is_some());
        let mut settled: Vec<_> = settled.map(|(key, ticket)| (ticket.era, key.clone())).collect();
        settled.sort_unstable();
        lead.settled_queue = settled.into();
        lead.history_marks.push_back((now_ms, state.revision));
        lead.nodes = state.nodes.keys().map(|node| (*node, Seen::at(now_ms))).collect();
        let orphans = crate::nodes::open_tickets(&state, |node| !state.nodes.contains_key(&node));
        let aborted = self.tail.open_name().map(str::to_string);
        lead.writer = Some(Writer::new(lead.term, state));
        if self.tail.is_open() {
            let name = aborted.unwrap_or_default();
            self.say(format!("aborts {name:?}, left open by an earlier controller"));
            self.propose_lines(now_ms, vec![Line::abort("the controller that began it is gone")]);
        }
        if !orphans.is_empty() {
            self.propose(now_ms, orphans);
        }
    }

    /// A higher term or a lost majority: optimistic state goes, the committed tail stays.
    pub(crate) fn step_down(&mut self) {
        let Some(lead) = self.lead.take() else { return };
        self.say(format!("no longer leads term {}", lead.term));
        for reply in lead.replies {
            self.respond(reply.origin, reply.when_deposed());
        }
        if let Some(open) = lead.open {
            self.respond(open.origin, Response::Lost);
        }
        for (_, origin, _) in lead.waiting {
            self.respond(origin, Response::NotController { controller: None });
        }
        for parked in lead.parked {
            self.respond(parked.origin, Response::NotController { controller: None });
        }
        self.relay.clear();
    }

    /// One atomic batch of records outside any transaction, or of the one that is open.
    pub(crate) fn propose(&mut self, now_ms: u64, records: Vec<Record>) -> u64 {
        self.propose_lines(now_ms, records.into_iter().map(Line::Data).collect())
    }

    pub(crate) fn propose_lines(&mut self, now_ms: u64, lines: Vec<Line<Record>>) -> u64 {
        let offset = self.consensus.last() + 1;
        let writer = self.lead.as_mut().and_then(|lead| lead.writer.as_mut());
        if let Some(writer) = writer {
            for line in &lines {
                if let Line::Data(record) = line {
                    writer.apply(offset, record);
                }
            }
        }
        let bytes = encode(&lines);
        self.log(now_ms, postbarrow_consensus::Input::Propose(vec![bytes]));
        offset
    }

    /// Optimistic state, of a controller that serves.
    pub(crate) fn current(&self) -> Option<&State> {
        self.lead.as_ref()?.writer.as_ref().map(Writer::current)
    }

    pub(crate) fn is_open(&self) -> bool {
        self.lead.as_ref().is_some_and(|lead| lead.open.is_some())
    }

    pub(crate) fn lead_tick(&mut self, now_ms: u64, gap_ms: u64) {
        if !self.is_leading() {
            return;
        }
        self.lease_tick(now_ms);
        self.lock_tick(now_ms, gap_ms);
        self.submit_tick(now_ms);
        self.list_tick(now_ms);
        self.node_tick(now_ms);
        self.forget_tick(now_ms);
        self.watch_tick(now_ms);
    }
}
