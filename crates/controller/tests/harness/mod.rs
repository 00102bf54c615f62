//! A harness for one control node: the test controls its time, disk, messages and the pages of the
//! endpoint list.

#![allow(dead_code)]
use postbarrow_consensus::{
    AppendRequest, Entry, Member, Message as LogMessage, Payload, RecoveredState, Snapshot, Write,
};
use postbarrow_controller::{ControlNode, Effect, Fetched, Input, PageResult};
use postbarrow_messages::*;
use postbarrow_plan::Plan;
use postbarrow_state::{Name, Node, Record, State, Ticket};
use postbarrow_transactions::{BatchRecord, decode, encode};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

/// One control node with the effects that it returned. Most tests make it the log's only member, so
/// that its own synced writes are committed; the test decides when its disk syncs.
pub struct Harness {
    pub node: ControlNode,
    pub now_ms: u64,
    /// All records that the node wrote to the log, in order.
    pub records: Vec<BatchRecord<Record>>,
    /// All entries that the node wrote to the log, in order.
    pub entries: Vec<Entry>,
    /// Responses to requests, each with the request's key, in the order they were sent.
    pub responses: Vec<(u64, Response)>,
    /// Sent messages other than responses.
    pub sent: Vec<Message>,
    /// Number and cursor of the pages that were requested and not answered yet.
    pub fetches: VecDeque<(u64, Option<String>)>,
    pub pages: Vec<String>,
    /// How many snapshots the node requested to be encoded.
    pub encoded: usize,
    /// The last of those snapshots, encoded.
    pub snapshot: Option<Snapshot>,
    /// All writes that the node requested, in order.
    pub writes: Vec<Write>,
    /// Sequence number of the last write that is not synced yet.
    unsynced: Option<u64>,
}

pub fn client() -> SocketAddr {
    "10.9.9.9:1".parse().unwrap()
}

pub fn member(id: u64) -> Member {
    Member { id, address: format!("10.1.0.{id}:1").parse().unwrap() }
}

pub fn recovered(members: &[u64], entries: Vec<Entry>, term: u64) -> RecoveredState {
    let members = members.iter().map(|id| member(*id)).collect();
    let snapshot = Snapshot { index: 0, term: 0, members, state: Vec::new() };
    RecoveredState { term, voted_for: None, snapshot: Some(Arc::new(snapshot)), entries }
}

impl Harness {
    pub fn new(recovered: RecoveredState) -> Harness {
        let now_ms = 50_000;
        Harness {
            node: ControlNode::new(member(1), recovered, &[], 7, now_ms),
            now_ms,
            records: Vec::new(),
            entries: Vec::new(),
            responses: Vec::new(),
            sent: Vec::new(),
            fetches: VecDeque::new(),
            pages: Vec::new(),
            encoded: 0,
            snapshot: None,
            writes: Vec::new(),
            unsynced: None,
        }
    }

    /// Returns a harness whose node leads, with three targets of two services and one registered
    /// data node.
    pub fn serving() -> Harness {
        let mut harness = Harness::new(recovered(&[1], Vec::new(), 0));
        harness.become_leader();
        harness.answer_list(&[
            ("catalogue-1", "catalogue"),
            ("ledger-1", "ledger"),
            ("ledger-2", "ledger"),
        ]);
        harness.renew_lease(5);
        harness.run_until_idle();
        harness
    }

    pub fn set_log_bound(&mut self, size_bytes: u64) {
        let placeholder =
            ControlNode::new(member(1), RecoveredState::default(), &[], 7, self.now_ms);
        self.node = std::mem::replace(&mut self.node, placeholder).with_log_bound(size_bytes);
    }

    pub fn become_leader(&mut self) {
        for _ in 0..100 {
            self.tick(20);
            self.sync();
        }
        assert!(self.node.is_leading());
    }

    pub fn input(&mut self, input: Input) {
        for effect in self.node.handle(self.now_ms, input) {
            match effect {
                Effect::Write { sequence, write } => {
                    self.unsynced = Some(sequence);
                    self.writes.push(write.clone());
                    if let Write::Append(entries) = write {
                        for entry in entries {
                            if let Payload::Batch(bytes) = &entry.payload {
                                self.records.extend(decode::<Record>(bytes).unwrap());
                            }
                            self.entries.push(entry);
                        }
                    }
                }
                Effect::Send { message: Message::Response { key, response }, .. } => {
                    self.responses.push((key, response))
                }
                Effect::Send { message, .. } => self.sent.push(message),
                Effect::Fetch { number, cursor } => self.fetches.push_back((number, cursor)),
                Effect::Encode(pending) => {
                    self.encoded += 1;
                    let (members, index) = (vec![member(1)], pending.index);
                    let term = self.node.consensus().term();
                    let state = pending.encode();
                    self.snapshot = Some(Snapshot { index, term, members, state });
                }
                Effect::Log(_) => {}
            }
        }
    }

    pub fn tick(&mut self, elapsed_ms: u64) {
        self.now_ms += elapsed_ms;
        self.input(Input::Tick);
    }

    pub fn sync(&mut self) {
        if let Some(sequence) = self.unsynced.take() {
            self.input(Input::Synced(sequence));
        }
    }

    pub fn run_until_idle(&mut self) {
        for _ in 0..400 {
            self.tick(1);
            self.sync();
        }
    }

    pub fn receive(&mut self, message: Message) {
        self.input(Input::Receive(Envelope { from: client(), message }));
    }

    /// Deposes the node: a leader of the next term commits this record directly after the node's
    /// last committed entry.
    pub fn depose_with(&mut self, record: Record) {
        let log = self.node.consensus();
        let (prev, term) = (log.commit_index(), log.term() + 1);
        let prev_term = log.log().term_at(prev).unwrap();
        let payload = Payload::Batch(encode(&[BatchRecord::Data(record)]));
        let entries = vec![Entry { term, index: prev + 1, payload }];
        let append = AppendRequest {
            term,
            prev_index: prev,
            prev_term,
            entries,
            commit_index: prev + 1,
            sent_ms: 1,
        };
        let message = LogMessage::Append(append);
        self.receive(Message::Consensus { from: member(2), to: 1, message });
    }

    pub fn request(&mut self, key: u64, request: Request) {
        self.receive(Message::Request { key, request });
    }

    /// Returns the last response to the request with this key.
    pub fn response(&self, key: u64) -> Option<&Response> {
        self.responses.iter().rev().find(|(known, _)| *known == key).map(|(_, response)| response)
    }

    /// Returns the HTTP status of the response to an operator's request.
    pub fn status(&self, key: u64) -> Option<u16> {
        let Some(Response::Operator { status, .. }) = self.response(key) else { return None };
        Some(*status)
    }

    pub fn state(&self) -> &State {
        self.node.committed()
    }

    /// Receives a lease request of the data node with this incarnation.
    pub fn renew_lease(&mut self, incarnation: u64) {
        let request = LeaseRequest {
            number: self.now_ms,
            node: node(incarnation),
            image_offset: 0,
            version: None,
            ready: false,
            failing_targets: Vec::new(),
            suspects: Vec::new(),
            samples: Vec::new(),
            request_count: 0,
        };
        self.receive(Message::LeaseRequest(request));
        self.sync();
    }

    /// Receives a lease request of data node 5. Returns whether the lease was granted.
    pub fn lease_is_granted(&mut self) -> bool {
        self.sent.clear();
        self.renew_lease(5);
        self.sent.iter().any(|message| {
            matches!(
                message,
                Message::LeaseResponse { response: LeaseResponse::Granted { .. }, .. }
            )
        })
    }

    /// Returns a row of the endpoint list as JSON.
    pub fn row(instance: &str, service: &str, draining: bool) -> String {
        format!(
            "{{\"instance\":\"{instance}\",\"service\":\"{service}\",\"address\":\"10.4.0.1:80\",\"draining\":{draining}}}"
        )
    }

    /// Runs until a page of the endpoint list is requested, answers the newest request, and drops
    /// the others.
    pub fn answer_fetch(&mut self, fetched: Fetched) {
        for _ in 0..200 {
            if !self.fetches.is_empty() {
                break;
            }
            self.tick(20);
        }
        let (number, _) =
            self.fetches.pop_back().expect("no page of the endpoint list was requested");
        self.fetches.clear();
        self.input(Input::Page(PageResult { number, fetched }));
        self.sync();
    }

    pub fn answer_page(&mut self, rows: &[String], next: Option<&str>) {
        let next = next.map_or("null".into(), |next| format!("\"{next}\""));
        let text = format!("{{\"targets\":[{}],\"next\":{next}}}", rows.join(","));
        self.answer_fetch(Fetched::Page(text.into_bytes()));
    }

    /// Answers a request with a list of one page that has these targets, each with its service.
    pub fn answer_list(&mut self, targets: &[(&str, &str)]) {
        let rows: Vec<String> = targets
            .iter()
            .map(|(instance, service)| Harness::row(instance, service, false))
            .collect();
        self.answer_page(&rows, None);
    }

    pub fn submit(&mut self, key: u64, text: &str) {
        self.request(key, Request::Submit(submission(text)));
    }
}

pub fn node(incarnation: u64) -> Node {
    Node {
        incarnation,
        name: Name::from("node"),
        address: client(),
        http: client(),
        zone: Name::from("a"),
    }
}

pub fn submission(text: &str) -> Submission {
    let plan = Plan::read(text.as_bytes()).unwrap();
    Submission {
        version: plan.version.as_str().into(),
        base: plan.base.as_deref().map(Into::into),
        records: plan.records(),
        dry_run: false,
        allow_empty: false,
    }
}

/// Returns the text of a plan. Its routes have one service, whose targets have the label `service`
/// with this value.
pub fn plan(version: &str, base: Option<&str>, routes: usize, service: &str) -> String {
    let base = base.map_or("null".into(), |base| format!("\"{base}\""));
    let rows: Vec<String> = (0..routes)
        .map(|at| format!("{{\"path\":\"/r{at}\",\"methods\":[\"GET\"],\"kind\":\"lookup\",\"service\":\"s\"}}"))
        .collect();
    format!(
        "{{\"version\":\"{version}\",\"base\":{base},\"services\":{{\"s\":{{\"labels\":{{\"service\":\"{service}\"}}}}}},\"routes\":[{}]}}",
        rows.join(",")
    )
}

pub fn ticket(key: &str, number: u64) -> Ticket {
    Ticket {
        key: Name::from(key),
        digest: [1; 32],
        service: Name::from("ledger"),
        instance: Name::from("ledger-1"),
        node: 5,
        number,
        settlement: None,
        response: None,
        era: 0,
    }
}
