//! When a node's lease starts and ends, and how the node handles updates, images and introductions.

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

/// A node under test, with the requests that it sent.
struct TestNode {
    node: DataNode,
    now_ms: u64,
    /// Number and send time of each lease request.
    lease_requests: Vec<(u64, u64)>,
    /// Receiver of each tail request, and the log offset after which updates are requested.
    tail_requests: Vec<(SocketAddr, u64)>,
    lease_request_receivers: Vec<SocketAddr>,
}

impl TestNode {
    fn new() -> TestNode {
        TestNode::with_incarnation(5)
    }

    /// A node with this incarnation; all nodes of these tests have the same address.
    fn with_incarnation(incarnation: u64) -> TestNode {
        let own = Node {
            incarnation,
            name: Name::from("n"),
            address: address(9),
            http: address(9),
            zone: Name::from("a"),
        };
        let node = DataNode::new(own, vec![address(1)], 10_000);
        TestNode {
            node,
            now_ms: 10_000,
            lease_requests: Vec::new(),
            tail_requests: Vec::new(),
            lease_request_receivers: Vec::new(),
        }
    }

    fn input(&mut self, input: Input) {
        for effect in self.node.handle(self.now_ms, input) {
            match effect {
                Effect::Send { to, message: Message::LeaseRequest(request) } => {
                    self.lease_requests.push((request.number, self.now_ms));
                    self.lease_request_receivers.push(to);
                }
                Effect::Send { to, message: Message::Tail { after } } => {
                    self.tail_requests.push((to, after))
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

    fn receive_grant(&mut self, number: u64, term: u64, watermark: u64) {
        let response = LeaseResponse::Granted { term, watermark, members: vec![address(1)] };
        self.receive(Message::LeaseResponse { number, response });
    }

    fn receive_updates(
        &mut self,
        previous_offset: u64,
        offset: u64,
        records: &[BatchRecord<Record>],
    ) {
        let entries = vec![UpdateEntry { previous_offset, offset, bytes: encode(records) }];
        self.receive(Message::Updates { entries });
    }
}

fn plan(version: &str) -> BatchRecord<Record> {
    BatchRecord::Data(Record::PlanStart { version: version.into(), base: None })
}

#[test]
fn a_lease_starts_when_its_request_is_sent_and_not_when_the_response_arrives() {
    let mut test_node = TestNode::new();
    test_node.tick(20);
    let (number, sent_ms) = test_node.lease_requests[0];
    test_node.receive_updates(0, 4, &[plan("v1")]);
    test_node.now_ms += NODE_LEASE_MS - 10;
    test_node.receive_grant(number, 1, 4);
    assert_eq!(test_node.node.lease_until_ms(), sent_ms + NODE_LEASE_MS);
    assert!(test_node.node.is_ready(test_node.now_ms));
    assert!(
        !test_node.node.is_ready(test_node.now_ms + 10),
        "a node that was paused beyond its lease does not serve an old image"
    );
}

#[test]
fn a_grant_counts_only_once_its_watermark_is_published() {
    let mut test_node = TestNode::new();
    test_node.tick(20);
    test_node.receive_grant(test_node.lease_requests[0].0, 1, 6);
    test_node.receive_updates(0, 4, &[plan("v1")]);
    assert!(!test_node.node.is_ready(test_node.now_ms), "published offset 4, watermark 6");
    test_node.receive_updates(4, 6, &[BatchRecord::begin("v2"), plan("v2")]);
    assert!(!test_node.node.is_ready(test_node.now_ms), "a pending delta is not published");
    test_node.receive_updates(6, 7, &[BatchRecord::End]);
    assert!(test_node.node.is_ready(test_node.now_ms));
    assert_eq!(test_node.node.image().plan_version(), Some("v2"));
}

#[test]
fn a_grant_of_an_older_term_is_ignored() {
    let mut test_node = TestNode::new();
    test_node.tick(20);
    test_node.receive_updates(0, 4, &[plan("v1")]);
    test_node.receive_grant(test_node.lease_requests[0].0, 3, 4);
    let first_end_ms = test_node.node.lease_until_ms();
    test_node.tick(LEASE_RENEW_MS);
    let number = test_node.lease_requests.last().unwrap().0;
    test_node.receive_grant(number, 2, 4);
    assert_eq!(test_node.node.lease_until_ms(), first_end_ms);
    test_node.receive_grant(number, 3, 4);
    assert!(test_node.node.lease_until_ms() > first_end_ms);
    test_node.receive_grant(number + 99, 3, 4);
    assert!(
        test_node.node.lease_until_ms() < test_node.now_ms + NODE_LEASE_MS + 1,
        "a grant whose number belongs to no request extends nothing"
    );
}

#[test]
fn missing_updates_are_requested_and_an_older_image_is_ignored() {
    let mut test_node = TestNode::new();
    test_node.tick(20);
    test_node.receive_grant(test_node.lease_requests[0].0, 1, 4);
    test_node.receive_updates(0, 4, &[plan("v1")]);
    test_node.receive_updates(6, 8, &[plan("v3")]);
    assert_eq!(test_node.node.image().plan_version(), Some("v1"));
    test_node.tail_requests.clear();
    test_node.tick(60);
    assert_eq!(
        test_node.tail_requests,
        [(address(1), 4)],
        "the node requests the updates after offset 4"
    );
    let mut state = State::default();
    let head = PlanHead { version: "v0".into(), base: None, offset: 2 };
    state.plan = Some(Arc::new(head));
    let state = rmp_serde::to_vec(&state).unwrap();
    test_node.receive(Message::Image(ImageFrame { offset: 3, state: Arc::new(state.into()) }));
    assert_eq!(test_node.node.image().plan_version(), Some("v1"));
}

#[test]
fn a_stopping_node_is_unready_and_retains_its_lease_for_requests_in_flight() {
    let mut test_node = TestNode::new();
    test_node.tick(20);
    test_node.receive_updates(0, 4, &[plan("v1")]);
    test_node.receive_grant(test_node.lease_requests[0].0, 1, 4);
    test_node.input(Input::Stop);
    assert!(!test_node.node.is_ready(test_node.now_ms));
    assert!(test_node.node.lease_until_ms() > test_node.now_ms);
}

#[test]
fn a_partitioned_node_requests_leases_from_introduced_control_nodes() {
    let mut test_node = TestNode::new();
    test_node.tick(20);
    test_node.receive_updates(0, 4, &[plan("v1")]);
    test_node.receive_grant(test_node.lease_requests[0].0, 1, 4);
    test_node.tick(5 * NODE_LEASE_MS);
    test_node
        .receive(Message::Introduction { control_addresses: vec![address(44)], log_exists: true });
    test_node.lease_request_receivers.clear();
    test_node.tick(LEASE_RENEW_MS);
    assert!(
        test_node.lease_request_receivers.contains(&address(44)),
        "lease requests were sent to {:?} only",
        test_node.lease_request_receivers
    );
    assert!(test_node.node.lease_until_ms() < test_node.now_ms, "an introduction grants no lease");
}

#[test]
fn a_grant_to_an_earlier_incarnation_gives_no_lease() {
    let (mut earlier, mut later) =
        (TestNode::with_incarnation(0x5eed), TestNode::with_incarnation(0xfeed_0000));
    earlier.tick(0);
    later.tick(0);
    later.receive_updates(0, 4, &[plan("v1")]);
    let (number, _) = *earlier.lease_requests.last().expect("the earlier node sent a request");
    later.receive_grant(number, 1, 4);
    assert_eq!(
        later.node.lease_until_ms(),
        0,
        "the grant answers a request of another incarnation"
    );
    let (number, sent_ms) = *later.lease_requests.last().expect("the later node sent a request");
    later.receive_grant(number, 1, 4);
    assert!(later.node.lease_until_ms() > sent_ms);
}
