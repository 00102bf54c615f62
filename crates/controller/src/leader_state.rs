use crate::endpoint_list::DeferredChanges;
use crate::endpoint_list_scan::EndpointListScan;
use crate::nodes::NodeReport;
use crate::reply::Reply;
use crate::request_samples::Samples;
use crate::submit::OpenPlan;
use crate::watches::PendingWatch;
use crate::{ControlNode, Origin};
use postbarrow_messages::{Request, Response};
use postbarrow_state::{Incarnation, Name, Record, State};
use postbarrow_transactions::{BatchRecord, Writer, encode};
use std::collections::{BTreeMap, VecDeque};

/// What only the controller has; gone when it is deposed, rebuilt from the log at take-over.
pub(crate) struct LeaderState {
    pub term: u64,
    pub ready: bool,
    pub writer: Option<Writer<State>>,
    pub replies: VecDeque<Reply>,
    pub waiting_requests: VecDeque<(u64, Origin, Request)>,
    pub open_plan: Option<OpenPlan>,
    pub locks_due_ms: BTreeMap<Name, u64>,
    /// Settled keys by the era of their settlement.
    pub settled_keys: VecDeque<(u64, Name)>,
    pub history_revisions: VecDeque<(u64, u64)>,
    pub nodes: BTreeMap<Incarnation, NodeReport>,
    pub samples: Samples,
    pub scan: EndpointListScan,
    pub deferred_changes: DeferredChanges,
    pub is_list_slow: bool,
    pub pending_watches: Vec<PendingWatch>,
    pub retention_due_ms: u64,
    pub era_ms: u64,
    /// Responses not kept and asks shed for want of space, since this controller leads.
    pub responses_not_stored: u64,
    pub requests_shed: u64,
    pub condition_due_ms: u64,
    pub longest_stall_ms: u64,
    /// Since when the lease lasts without a break.
    pub lease_since_ms: Option<u64>,
}

impl LeaderState {
    pub fn new(term: u64, now_ms: u64, list_gap_ms: u64) -> Self {
        LeaderState {
            term,
            ready: false,
            writer: None,
            replies: VecDeque::new(),
            waiting_requests: VecDeque::new(),
            open_plan: None,
            locks_due_ms: BTreeMap::new(),
            settled_keys: VecDeque::new(),
            history_revisions: VecDeque::new(),
            nodes: BTreeMap::new(),
            samples: Samples::default(),
            scan: EndpointListScan::new(now_ms, list_gap_ms),
            deferred_changes: DeferredChanges::new(),
            is_list_slow: false,
            pending_watches: Vec::new(),
            retention_due_ms: 0,
            era_ms: now_ms,
            responses_not_stored: 0,
            requests_shed: 0,
            condition_due_ms: 0,
            longest_stall_ms: 0,
            lease_since_ms: None,
        }
    }
}

impl ControlNode {
    /// Once this term's first entry is committed: abort what a dead controller left open, then serve.
    pub(crate) fn finish_take_over(&mut self, now_ms: u64) {
        let applied = self.has_applied_commit();
        let Some(leader) = &mut self.leader else { return };
        if leader.ready || !self.consensus.is_ready() || !applied {
            return;
        }
        let state = self.tail.image().as_ref().clone();
        leader.ready = true;
        leader.locks_due_ms =
            state.locks.iter().map(|(name, lock)| (name.clone(), now_ms + lock.ttl_ms)).collect();
        let settled = state.tickets.iter().filter(|(_, ticket)| ticket.settlement.is_some());
        let mut settled: Vec<_> = settled.map(|(key, ticket)| (ticket.era, key.clone())).collect();
        settled.sort_unstable();
        leader.settled_keys = settled.into();
        leader.history_revisions.push_back((now_ms, state.revision));
        leader.nodes = state.nodes.keys().map(|node| (*node, NodeReport::at(now_ms))).collect();
        let orphans =
            crate::nodes::unknown_settlements(&state, |node| !state.nodes.contains_key(&node));
        let aborted = self.tail.open_transaction_name().map(str::to_string);
        leader.writer = Some(Writer::new(leader.term, state));
        if self.tail.is_open() {
            let name = aborted.unwrap_or_default();
            self.log_line(format!("aborts {name:?}, left open by an earlier controller"));
            self.propose_batch(
                now_ms,
                vec![BatchRecord::abort("the controller that began it is gone")],
            );
        }
        if !orphans.is_empty() {
            self.propose(now_ms, orphans);
        }
    }

    /// A higher term or a lost majority: optimistic state goes, the committed tail stays.
    pub(crate) fn step_down(&mut self) {
        let Some(leader) = self.leader.take() else { return };
        self.log_line(format!("no longer leads term {}", leader.term));
        for reply in leader.replies {
            self.respond(reply.origin, reply.when_deposed());
        }
        if let Some(plan) = leader.open_plan {
            self.respond(plan.origin, Response::Lost);
        }
        for (_, origin, _) in leader.waiting_requests {
            self.respond(origin, Response::NotController { controller: None });
        }
        for pending_watch in leader.pending_watches {
            self.respond(pending_watch.origin, Response::NotController { controller: None });
        }
        self.relay.clear();
    }

    /// One atomic batch of records outside any transaction, or of the one that is open.
    pub(crate) fn propose(&mut self, now_ms: u64, records: Vec<Record>) -> u64 {
        self.propose_batch(now_ms, records.into_iter().map(BatchRecord::Data).collect())
    }

    pub(crate) fn propose_batch(&mut self, now_ms: u64, lines: Vec<BatchRecord<Record>>) -> u64 {
        let offset = self.consensus.last_index() + 1;
        let writer = self.leader.as_mut().and_then(|leader| leader.writer.as_mut());
        if let Some(writer) = writer {
            for line in &lines {
                if let BatchRecord::Data(record) = line {
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
        self.leader.as_ref()?.writer.as_ref().map(Writer::current)
    }

    pub(crate) fn is_open(&self) -> bool {
        self.leader.as_ref().is_some_and(|leader| leader.open_plan.is_some())
    }

    pub(crate) fn leader_tick(&mut self, now_ms: u64, gap_ms: u64) {
        if !self.is_leading() {
            return;
        }
        self.lease_tick(now_ms);
        self.lock_tick(now_ms, gap_ms);
        self.submit_tick(now_ms);
        self.list_tick(now_ms);
        self.node_tick(now_ms);
        self.retention_tick(now_ms);
        self.watch_tick(now_ms);
    }
}
