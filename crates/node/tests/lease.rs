//! When a node's lease starts and ends, and which images and members it follows.

use postbarrow_constants::nodes::*;
use postbarrow_membership::UpdateEntry;
use postbarrow_messages::*;
use postbarrow_node::{DataNode, Effect, Input};
use postbarrow_state::{Name, Node, PlanHead, Record, State};
use postbarrow_transactions::{BatchRecord, encode};
use std::net::SocketAddr;
use std::sync::Arc;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 1))
}

struct Bench {
    node: DataNode,
    now_ms: u64,
    requests: Vec<(u64, u64)>,
    tails: Vec<(SocketAddr, u64)>,
    requested_at: Vec<SocketAddr>,
}

impl Bench {
    fn new() -> Bench {
        Bench::of_incarnation(5)
    }

    /// A process at the same address, in an incarnation of its own.
    fn of_incarnation(incarnation: u64) -> Bench {
        let own = Node {
            incarnation,
            name: Name::from("n"),
            address: address(9),
            http: address(9),
            zone: Name::from("a"),
        };
        let node = DataNode::new(own, vec![address(1)], 10_000);
        Bench {
            node,
            now_ms: 10_000,
            requests: Vec::new(),
            tails: Vec::new(),
            requested_at: Vec::new(),
        }
    }

    fn input(&mut self, input: Input) {
        for effect in self.node.handle(self.now_ms, input) {
            match effect {
                Effect::Send { to, message: Message::LeaseRequest(request) } => {
                    self.requests.push((request.number, self.now_ms));
                    self.requested_at.push(to);
                }
                Effect::Send { to, message: Message::Tail { after } } => {
                    self.tails.push((to, after))
                }
                _ => {}
            }
        }
    }

    fn tick(&mut self, elapsed_ms: u64) {
        self.now_ms += elapsed_ms;
        self.input(Input::Tick);
    }

    fn receive(&mut self, message: Message) {
        self.input(Input::Receive(Envelope { from: address(1), message }));
    }

    fn granted(&mut self, number: u64, term: u64, watermark: u64) {
        let response = LeaseResponse::Granted { term, watermark, members: vec![address(1)] };
        self.receive(Message::LeaseResponse { number, response });
    }

    fn updates(&mut self, prev: u64, offset: u64, records: &[BatchRecord<Record>]) {
        let entries = vec![UpdateEntry { prev, offset, bytes: encode(records) }];
        self.receive(Message::Updates { entries });
    }
}

fn plan(version: &str) -> BatchRecord<Record> {
    BatchRecord::Data(Record::PlanStart { version: version.into(), base: None })
}

#[test]
fn a_lease_starts_when_its_request_is_sent_and_not_at_the_response() {
    let mut bench = Bench::new();
    bench.tick(20);
    let (number, sent_ms) = bench.requests[0];
    bench.updates(0, 4, &[plan("v1")]);
    bench.now_ms += NODE_LEASE_MS - 10;
    bench.granted(number, 1, 4);
    assert_eq!(bench.node.lease_until_ms(), sent_ms + NODE_LEASE_MS);
    assert!(bench.node.is_ready(bench.now_ms));
    assert!(
        !bench.node.is_ready(bench.now_ms + 10),
        "a resumed node does not serve by an old image"
    );
}

#[test]
fn a_grant_counts_only_once_its_watermark_is_published() {
    let mut bench = Bench::new();
    bench.tick(20);
    bench.granted(bench.requests[0].0, 1, 6);
    bench.updates(0, 4, &[plan("v1")]);
    assert!(!bench.node.is_ready(bench.now_ms), "published 4 of 6");
    bench.updates(4, 6, &[BatchRecord::begin("v2"), plan("v2")]);
    assert!(!bench.node.is_ready(bench.now_ms), "a pending delta is not published");
    bench.updates(6, 7, &[BatchRecord::End]);
    assert!(bench.node.is_ready(bench.now_ms));
    assert_eq!(bench.node.image().plan_version(), Some("v2"));
}

#[test]
fn a_grant_of_an_older_term_is_ignored() {
    let mut bench = Bench::new();
    bench.tick(20);
    bench.updates(0, 4, &[plan("v1")]);
    bench.granted(bench.requests[0].0, 3, 4);
    let first = bench.node.lease_until_ms();
    bench.tick(LEASE_RENEW_MS);
    let number = bench.requests.last().unwrap().0;
    bench.granted(number, 2, 4);
    assert_eq!(bench.node.lease_until_ms(), first);
    bench.granted(number, 3, 4);
    assert!(bench.node.lease_until_ms() > first);
    bench.granted(number + 99, 3, 4);
    assert!(
        bench.node.lease_until_ms() < bench.now_ms + NODE_LEASE_MS + 1,
        "no request has this number"
    );
}

#[test]
fn updates_after_a_gap_are_requested_and_an_older_image_is_ignored() {
    let mut bench = Bench::new();
    bench.tick(20);
    bench.granted(bench.requests[0].0, 1, 4);
    bench.updates(0, 4, &[plan("v1")]);
    bench.updates(6, 8, &[plan("v3")]);
    assert_eq!(bench.node.image().plan_version(), Some("v1"));
    bench.tails.clear();
    bench.tick(60);
    assert_eq!(bench.tails, [(address(1), 4)], "it requests what follows 4");
    let mut state = State::default();
    let head = PlanHead { version: "v0".into(), base: None, offset: 2 };
    state.plan = Some(Arc::new(head));
    let state = rmp_serde::to_vec(&state).unwrap();
    bench.receive(Message::Image(ImageFrame { offset: 3, state: Arc::new(state.into()) }));
    assert_eq!(bench.node.image().plan_version(), Some("v1"));
}

#[test]
fn a_stopping_node_is_unready_and_retains_its_lease_for_requests_in_flight() {
    let mut bench = Bench::new();
    bench.tick(20);
    bench.updates(0, 4, &[plan("v1")]);
    bench.granted(bench.requests[0].0, 1, 4);
    bench.input(Input::Stop);
    assert!(!bench.node.is_ready(bench.now_ms));
    assert!(bench.node.lease_until_ms() > bench.now_ms);
}

#[test]
fn a_partitioned_node_follows_introductions_to_replaced_members() {
    let mut bench = Bench::new();
    bench.tick(20);
    bench.updates(0, 4, &[plan("v1")]);
    bench.granted(bench.requests[0].0, 1, 4);
    bench.tick(5 * NODE_LEASE_MS);
    bench.receive(Message::Introduction { control: vec![address(44)], formed: true });
    bench.requested_at.clear();
    bench.tick(LEASE_RENEW_MS);
    assert!(bench.requested_at.contains(&address(44)), "{:?}", bench.requested_at);
    assert!(bench.node.lease_until_ms() < bench.now_ms, "an introduction grants nothing");
}

#[test]
fn a_grant_to_an_earlier_incarnation_gives_no_lease() {
    let (mut earlier, mut later) =
        (Bench::of_incarnation(0x5eed), Bench::of_incarnation(0xfeed_0000));
    earlier.tick(0);
    later.tick(0);
    later.updates(0, 4, &[plan("v1")]);
    let (number, _) = *earlier.requests.last().expect("a lease request");
    later.granted(number, 1, 4);
    assert_eq!(later.node.lease_until_ms(), 0, "the request was another incarnation's");
    let (number, sent_ms) = *later.requests.last().expect("a lease request");
    later.granted(number, 1, 4);
    assert!(later.node.lease_until_ms() > sent_ms);
}
