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
    asked: Vec<(u64, u64)>,
    tailed: Vec<(SocketAddr, u64)>,
    asked_at: Vec<SocketAddr>,
}

impl Bench {
    fn new() -> Bench {
        Bench::of_life(5)
    }

    /// A process at the same address, in a life of its own.
    fn of_life(incarnation: u64) -> Bench {
        let own = Node {
            incarnation,
            name: Name::from("n"),
            address: address(9),
            http: address(9),
            zone: Name::from("a"),
        };
        let node = DataNode::new(own, vec![address(1)], 10_000);
        Bench { node, now_ms: 10_000, asked: Vec::new(), tailed: Vec::new(), asked_at: Vec::new() }
    }

    fn input(&mut self, input: Input) {
        for effect in self.node.handle(self.now_ms, input) {
            match effect {
                Effect::Send { to, message: Message::LeaseRequest(request) } => {
                    self.asked.push((request.number, self.now_ms));
                    self.asked_at.push(to);
                }
                Effect::Send { to, message: Message::Tail { after } } => {
                    self.tailed.push((to, after))
                }
                _ => {}
            }
        }
    }

    fn tick(&mut self, pass_ms: u64) {
        self.now_ms += pass_ms;
        self.input(Input::Tick);
    }

    fn hears(&mut self, message: Message) {
        self.input(Input::Receive(Envelope { from: address(1), message }));
    }

    fn granted(&mut self, number: u64, term: u64, watermark: u64) {
        let response = LeaseResponse::Granted { term, watermark, members: vec![address(1)] };
        self.hears(Message::LeaseResponse { number, response });
    }

    fn news(&mut self, prev: u64, offset: u64, lines: &[BatchRecord<Record>]) {
        let entries = vec![UpdateEntry { prev, offset, bytes: encode(lines) }];
        self.hears(Message::Updates { entries });
    }
}

fn plan(version: &str) -> BatchRecord<Record> {
    BatchRecord::Data(Record::PlanStart { version: version.into(), base: None })
}

#[test]
fn a_hold_counts_from_the_question_and_not_from_its_answer() {
    let mut bench = Bench::new();
    bench.tick(20);
    let (number, sent_ms) = bench.asked[0];
    bench.news(0, 4, &[plan("v1")]);
    bench.now_ms += NODE_LEASE_MS - 10;
    bench.granted(number, 1, 4);
    assert_eq!(bench.node.lease_until(), sent_ms + NODE_LEASE_MS);
    assert!(bench.node.is_ready(bench.now_ms));
    assert!(!bench.node.is_ready(bench.now_ms + 10), "a woken node does not serve by old news");
}

#[test]
fn a_grant_counts_only_once_its_watermark_is_published() {
    let mut bench = Bench::new();
    bench.tick(20);
    bench.granted(bench.asked[0].0, 1, 6);
    bench.news(0, 4, &[plan("v1")]);
    assert!(!bench.node.is_ready(bench.now_ms), "published 4 of 6");
    bench.news(4, 6, &[BatchRecord::begin("v2"), plan("v2")]);
    assert!(!bench.node.is_ready(bench.now_ms), "a pending delta is not published");
    bench.news(6, 7, &[BatchRecord::End]);
    assert!(bench.node.is_ready(bench.now_ms));
    assert_eq!(bench.node.image().plan_version(), Some("v2"));
}

#[test]
fn an_older_controller_grants_nothing() {
    let mut bench = Bench::new();
    bench.tick(20);
    bench.news(0, 4, &[plan("v1")]);
    bench.granted(bench.asked[0].0, 3, 4);
    let first = bench.node.lease_until();
    bench.tick(LEASE_RENEW_MS);
    let number = bench.asked.last().unwrap().0;
    bench.granted(number, 2, 4);
    assert_eq!(bench.node.lease_until(), first);
    bench.granted(number, 3, 4);
    assert!(bench.node.lease_until() > first);
    bench.granted(number + 99, 3, 4);
    assert!(bench.node.lease_until() < bench.now_ms + NODE_LEASE_MS + 1, "nobody asked that");
}

#[test]
fn a_gap_in_the_news_is_fetched_and_an_older_image_is_not_taken() {
    let mut bench = Bench::new();
    bench.tick(20);
    bench.granted(bench.asked[0].0, 1, 4);
    bench.news(0, 4, &[plan("v1")]);
    bench.news(6, 8, &[plan("v3")]);
    assert_eq!(bench.node.image().plan_version(), Some("v1"));
    bench.tailed.clear();
    bench.tick(60);
    assert_eq!(bench.tailed, [(address(1), 4)], "it asks for what follows 4");
    let mut state = State::default();
    let head = PlanHead { version: "v0".into(), base: None, offset: 2 };
    state.plan = Some(Arc::new(head));
    let state = rmp_serde::to_vec(&state).unwrap();
    bench.hears(Message::Image(ImageFrame { offset: 3, state: Arc::new(state.into()) }));
    assert_eq!(bench.node.image().plan_version(), Some("v1"));
}

#[test]
fn a_stopping_node_is_unready_first_and_still_holds_for_asks_in_flight() {
    let mut bench = Bench::new();
    bench.tick(20);
    bench.news(0, 4, &[plan("v1")]);
    bench.granted(bench.asked[0].0, 1, 4);
    bench.input(Input::Stop);
    assert!(!bench.node.is_ready(bench.now_ms));
    assert!(bench.node.lease_until() > bench.now_ms);
}

#[test]
fn a_node_whose_core_was_swapped_while_it_was_cut_off_follows_introductions() {
    let mut bench = Bench::new();
    bench.tick(20);
    bench.news(0, 4, &[plan("v1")]);
    bench.granted(bench.asked[0].0, 1, 4);
    bench.tick(5 * NODE_LEASE_MS);
    bench.hears(Message::Introduction { control: vec![address(44)], formed: true });
    bench.asked_at.clear();
    bench.tick(LEASE_RENEW_MS);
    assert!(bench.asked_at.contains(&address(44)), "{:?}", bench.asked_at);
    assert!(bench.node.lease_until() < bench.now_ms, "an introduction grants nothing");
}

#[test]
fn an_answer_to_an_earlier_life_gives_no_lease() {
    let (mut earlier, mut later) = (Bench::of_life(0x5eed), Bench::of_life(0xfeed_0000));
    earlier.tick(0);
    later.tick(0);
    later.news(0, 4, &[plan("v1")]);
    let (number, _) = *earlier.asked.last().expect("it asks");
    later.granted(number, 1, 4);
    assert_eq!(later.node.lease_until(), 0, "the question was another life's");
    let (number, sent_ms) = *later.asked.last().expect("it asks");
    later.granted(number, 1, 4);
    assert!(later.node.lease_until() > sent_ms);
}
