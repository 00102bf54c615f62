//! A changed plan writes to the log, and sends to the data nodes, only its delta.

mod harness;
use harness::*;
use postbarrow_consensus::Payload;
use postbarrow_constants::nodes::TAIL_RENEW_MS;
use postbarrow_messages::*;
use postbarrow_node::{DataNode, Input as NodeInput};
use postbarrow_state::Node;
use std::sync::Arc;

/// Number of routes of the plan; each change sets a new deadline of one route.
const ROUTES: usize = 600;
/// Number of changes, as in the users' run: 220 changes in 30 s.
const CHANGES: usize = 220;

fn text(version: usize, deadlines_ms: &[usize]) -> String {
    let row = |(at, deadline_ms): (usize, &usize)| {
        format!(
            "{{\"path\":\"/service/area-{at}/*\",\"methods\":[\"GET\"],\"kind\":\"lookup\",\"service\":\"s\",\"limits\":{{\"bodyBytes\":65536,\"deadlineMs\":{deadline_ms}}}}}"
        )
    };
    let rows: Vec<String> = deadlines_ms.iter().enumerate().map(row).collect();
    format!(
        "{{\"version\":\"v{version}\",\"base\":\"v{}\",\"services\":{{\"s\":{{\"labels\":{{\"service\":\"catalogue\"}}}}}},\"routes\":[{}]}}",
        version - 1,
        rows.join(",")
    )
}

/// Returns a leader with the first plan in force.
fn with_first_plan(deadlines_ms: &[usize]) -> Harness {
    let mut harness = Harness::serving();
    let mut first = submission(&text(1, deadlines_ms));
    first.base = None;
    harness.request(1, Request::Submit(first));
    harness.run_until_idle();
    assert_eq!(harness.status(1), Some(200));
    harness
}

fn log_bytes(harness: &Harness) -> usize {
    let batches = harness.entries.iter().filter_map(|entry| match &entry.payload {
        Payload::Batch(bytes) => Some(bytes.len()),
        _ => None,
    });
    batches.sum()
}

#[test]
fn a_small_plan_change_writes_and_sends_only_its_delta() {
    let mut deadlines_ms = vec![1_000; ROUTES];
    let mut harness = with_first_plan(&deadlines_ms);
    let mut node = DataNode::new(data_node(), vec![member(1).address], harness.now_ms);
    harness.receive(Message::Tail { after: 1 });
    let (mut images, mut update_bytes, mut tail_due_ms) = (0, 0, 0);
    let before = log_bytes(&harness);
    let encoded = harness.node.images_encoded();
    for version in 2..CHANGES + 2 {
        deadlines_ms[version * 37 % ROUTES] += version;
        harness.submit(version as u64, &text(version, &deadlines_ms));
        for _ in 0..34 {
            harness.tick(4);
            harness.sync();
            for message in std::mem::take(&mut harness.sent) {
                match &message {
                    Message::Updates { entries } => {
                        update_bytes += entries.iter().map(|entry| entry.bytes.len()).sum::<usize>()
                    }
                    Message::Image(_) => images += 1,
                    _ => continue,
                }
                let envelope = Envelope { from: member(1).address, message };
                node.handle(harness.now_ms, NodeInput::Receive(envelope));
            }
            if harness.now_ms >= tail_due_ms {
                tail_due_ms = harness.now_ms + TAIL_RENEW_MS;
                harness.receive(Message::Tail { after: node.published() });
            }
        }
        assert_eq!(harness.status(version as u64), Some(200), "version {version}");
    }
    let log_bytes = log_bytes(&harness) - before;
    println!("changes {CHANGES}, routes {ROUTES}: log {log_bytes} B, updates {update_bytes} B");
    assert_eq!(
        (images, harness.node.images_encoded() - encoded),
        (1, 0),
        "a change was sent as an image instead of an update"
    );
    assert!(log_bytes < CHANGES * 1_500, "{log_bytes} bytes in the log");
    assert!(update_bytes < CHANGES * 1_000, "{update_bytes} bytes of updates");
    assert_eq!(harness.state().plan_text(), text(CHANGES + 1, &deadlines_ms).into_bytes());
    assert_eq!(node.image().routes, harness.state().routes, "the data node has other routes");
    assert_eq!(node.image().plan, harness.state().plan);
    assert!(node.image().plan_text.is_empty());
}

#[test]
fn a_delta_is_restored_from_the_log_after_a_restart() {
    let mut deadlines_ms = vec![1_000; ROUTES];
    let mut harness = with_first_plan(&deadlines_ms);
    for version in 2..6 {
        deadlines_ms[version * 100] += version;
        harness.submit(version as u64, &text(version, &deadlines_ms));
        harness.run_until_idle();
    }
    let mut restarted = Harness::new(recovered(&[1], harness.entries.clone(), 9));
    restarted.become_leader();
    let (state, original) = (restarted.state(), harness.state());
    assert!(
        state.has_same_plan_as(original),
        "plan {:?} instead of {:?}",
        state.plan,
        original.plan
    );
    assert_eq!(state.plan_text(), text(5, &deadlines_ms).into_bytes());
}

#[test]
fn an_aborted_delta_leaves_the_plan_in_force_unchanged() {
    let mut deadlines_ms = vec![1_000; ROUTES];
    let mut harness = with_first_plan(&deadlines_ms);
    let before = harness.state().clone();
    deadlines_ms[5] = 7;
    let mut dry = submission(&text(2, &deadlines_ms));
    dry.dry_run = true;
    harness.request(2, Request::Submit(dry));
    harness.run_until_idle();
    assert_eq!(harness.status(2), Some(200));
    assert!(harness.state().has_same_plan_as(&before));
    harness.submit(3, &text(2, &deadlines_ms));
    harness.run_until_idle();
    assert_eq!(harness.state().plan_text(), text(2, &deadlines_ms).into_bytes());
    let shared = before.routes.iter().zip(&harness.state().routes);
    assert_eq!(shared.filter(|(old, new)| !Arc::ptr_eq(old, new)).count(), 1);
}

#[test]
fn an_image_is_encoded_once_for_all_requesting_nodes() {
    let mut harness = with_first_plan(&vec![1_000; ROUTES]);
    harness.sent.clear();
    for last in 1..41 {
        let from = format!("10.3.0.{last}:1").parse().unwrap();
        let message = Message::Tail { after: 1 };
        harness.input(postbarrow_controller::Input::Receive(Envelope { from, message }));
    }
    let images = harness.sent.iter().filter(|message| matches!(message, Message::Image(_))).count();
    assert_eq!((images, harness.node.images_encoded()), (40, 1));
}

fn data_node() -> Node {
    Node { address: client(), ..node(5) }
}
