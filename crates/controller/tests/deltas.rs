//! A change of a plan costs the log and the data nodes what it changes.

mod bench;
use bench::*;
use postbarrow_consensus::Payload;
use postbarrow_constants::nodes::TAIL_RENEW_MS;
use postbarrow_messages::*;
use postbarrow_node::{DataNode, Input as NodeInput};
use postbarrow_state::Node;
use std::sync::Arc;

/// Routes of the plan that changes; each change is one route's new deadline.
const ROUTES: usize = 600;
/// Changes of the users' run: 220 in 30 s.
const CHANGES: usize = 220;

fn text(version: usize, waits_ms: &[usize]) -> String {
    let row = |(at, wait_ms): (usize, &usize)| {
        format!(
            "{{\"path\":\"/service/area-{at}/*\",\"methods\":[\"GET\"],\"kind\":\"lookup\",\"service\":\"s\",\"limits\":{{\"bodyBytes\":65536,\"deadlineMs\":{wait_ms}}}}}"
        )
    };
    let rows: Vec<String> = waits_ms.iter().enumerate().map(row).collect();
    format!(
        "{{\"version\":\"v{version}\",\"base\":\"v{}\",\"services\":{{\"s\":{{\"labels\":{{\"service\":\"catalogue\"}}}}}},\"routes\":[{}]}}",
        version - 1,
        rows.join(",")
    )
}

/// A controller with the first plan in force.
fn with_first_plan(waits_ms: &[usize]) -> Bench {
    let mut bench = Bench::serving();
    let mut first = submission(&text(1, waits_ms));
    first.base = None;
    bench.ask(1, Request::Submit(first));
    bench.settle();
    assert_eq!(bench.status(1), Some(200));
    bench
}

fn log_bytes(bench: &Bench) -> usize {
    let batches = bench.entries.iter().filter_map(|entry| match &entry.payload {
        Payload::Batch(bytes) => Some(bytes.len()),
        _ => None,
    });
    batches.sum()
}

#[test]
fn two_hundred_and_twenty_changes_cost_the_log_and_a_node_what_they_change() {
    let mut waits_ms = vec![1_000; ROUTES];
    let mut bench = with_first_plan(&waits_ms);
    let mut node = DataNode::new(data_node(), vec![member(1).address], bench.now_ms);
    bench.message(Message::Tail { after: 1 });
    let (mut images, mut news_bytes, mut tail_due_ms) = (0, 0, 0);
    let before = log_bytes(&bench);
    let encoded = bench.node.images_encoded();
    for version in 2..CHANGES + 2 {
        waits_ms[version * 37 % ROUTES] += version;
        bench.submit(version as u64, &text(version, &waits_ms));
        for _ in 0..34 {
            bench.tick(4);
            bench.sync();
            for message in std::mem::take(&mut bench.sent) {
                match &message {
                    Message::Updates { entries } => {
                        news_bytes += entries.iter().map(|entry| entry.bytes.len()).sum::<usize>()
                    }
                    Message::Image(_) => images += 1,
                    _ => continue,
                }
                let envelope = Envelope { from: member(1).address, message };
                node.handle(bench.now_ms, NodeInput::Receive(envelope));
            }
            if bench.now_ms >= tail_due_ms {
                tail_due_ms = bench.now_ms + TAIL_RENEW_MS;
                bench.message(Message::Tail { after: node.published() });
            }
        }
        assert_eq!(bench.status(version as u64), Some(200), "version {version}");
    }
    let log_bytes = log_bytes(&bench) - before;
    println!("changes {CHANGES}, routes {ROUTES}: log {log_bytes} B, news {news_bytes} B");
    assert_eq!((images, bench.node.images_encoded() - encoded), (1, 0), "all went as news");
    assert!(log_bytes < CHANGES * 1_500, "{log_bytes} bytes in the log");
    assert!(news_bytes < CHANGES * 1_000, "{news_bytes} bytes of news");
    assert_eq!(bench.state().plan_text(), text(CHANGES + 1, &waits_ms).into_bytes());
    assert_eq!(node.image().routes, bench.state().routes, "the node has the same routes");
    assert_eq!(node.image().plan, bench.state().plan);
    assert!(node.image().plan_text.is_empty());
}

#[test]
fn a_change_in_the_log_reads_back_after_a_restart() {
    let mut waits_ms = vec![1_000; ROUTES];
    let mut bench = with_first_plan(&waits_ms);
    for version in 2..6 {
        waits_ms[version * 100] += version;
        bench.submit(version as u64, &text(version, &waits_ms));
        bench.settle();
    }
    let mut again = Bench::new(recovered(&[1], bench.entries.clone(), 9));
    again.lead();
    let (state, told) = (again.state(), bench.state());
    assert!(state.has_plan_of(told), "{:?} after {:?}", state.plan, told.plan);
    assert_eq!(state.plan_text(), text(5, &waits_ms).into_bytes());
}

#[test]
fn an_aborted_delta_leaves_the_plan_in_force_as_it_was() {
    let mut waits_ms = vec![1_000; ROUTES];
    let mut bench = with_first_plan(&waits_ms);
    let before = bench.state().clone();
    waits_ms[5] = 7;
    let mut dry = submission(&text(2, &waits_ms));
    dry.dry_run = true;
    bench.ask(2, Request::Submit(dry));
    bench.settle();
    assert_eq!(bench.status(2), Some(200));
    assert!(bench.state().has_plan_of(&before));
    bench.submit(3, &text(2, &waits_ms));
    bench.settle();
    assert_eq!(bench.state().plan_text(), text(2, &waits_ms).into_bytes());
    let shared = before.routes.iter().zip(&bench.state().routes);
    assert_eq!(shared.filter(|(old, new)| !Arc::ptr_eq(old, new)).count(), 1);
}

#[test]
fn an_image_is_encoded_once_for_all_that_ask_for_it() {
    let mut bench = with_first_plan(&vec![1_000; ROUTES]);
    bench.sent.clear();
    for last in 1..41 {
        let from = format!("10.3.0.{last}:1").parse().unwrap();
        let message = Message::Tail { after: 1 };
        bench.input(postbarrow_controller::Input::Receive(Envelope { from, message }));
    }
    let images = bench.sent.iter().filter(|message| matches!(message, Message::Image(_))).count();
    assert_eq!((images, bench.node.images_encoded()), (40, 1));
}

fn data_node() -> Node {
    Node { address: client(), ..node(5) }
}
