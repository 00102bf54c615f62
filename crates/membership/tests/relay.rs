//! What a relay sends its children, and what it does not send twice.

use postbarrow_constants::nodes::*;
use postbarrow_membership::{Delivery, Relay, UpdateEntry};
use std::collections::VecDeque;
use std::net::SocketAddr;

fn child(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 1))
}

fn entry(offset: u64, size_bytes: usize) -> UpdateEntry {
    UpdateEntry { prev: offset - 1, offset, bytes: vec![7; size_bytes] }
}

/// Offsets of the news sent, and how many images.
fn sent(delivers: &[Delivery]) -> (Vec<u64>, usize) {
    let (mut offsets, mut images) = (Vec::new(), 0);
    for deliver in delivers {
        match deliver {
            Delivery::Updates { entries, .. } => {
                offsets.extend(entries.iter().map(|entry| entry.offset))
            }
            Delivery::Image { .. } => images += 1,
        }
    }
    (offsets, images)
}

#[test]
fn news_under_way_are_sent_again_only_after_their_time_and_then_less_often() {
    let mut relay = Relay::default();
    relay.push(entry(5, 10));
    relay.on_tail(0, child(1), 4);
    assert_eq!(sent(&relay.deliver(0, 5, 5)), (vec![5], 0));
    let mut again = Vec::new();
    for now_ms in (50..4_000).step_by(50) {
        relay.on_tail(now_ms, child(1), 4);
        if sent(&relay.deliver(now_ms, 5, 5)).0 == [5] {
            again.push(now_ms);
        }
    }
    let pauses: Vec<u64> = again.windows(2).map(|two| two[1] - two[0]).collect();
    assert_eq!(again[0], TAIL_RESEND_MS);
    assert_eq!(pauses, [2 * TAIL_RESEND_MS, TAIL_RESEND_MAX_MS], "lost ones come again");
}

#[test]
fn a_child_that_began_anew_gets_its_image_at_once() {
    let mut relay = Relay::default();
    relay.push(entry(5, 10));
    relay.on_tail(0, child(1), 4);
    relay.deliver(0, 5, 5);
    relay.on_tail(10, child(1), 0);
    assert_eq!(sent(&relay.deliver(10, 5, 5)), (vec![], 1));
    relay.on_image_sent(10, child(1), 5);
    for now_ms in (60..TAIL_RESEND_MS).step_by(50) {
        relay.on_tail(now_ms, child(1), 0);
        assert_eq!(sent(&relay.deliver(now_ms, 5, 5)), (vec![], 0), "the image is under way");
    }
    relay.push(entry(6, 10));
    assert_eq!(sent(&relay.deliver(TAIL_RESEND_MS, 6, 6)), (vec![6], 0), "news follow it");
}

#[test]
fn a_child_in_a_transaction_too_long_to_keep_gets_no_image_it_has() {
    let mut relay = Relay::default();
    relay.on_tail(0, child(1), 4);
    let batch = UPDATES_RETAINED_BYTES / 4;
    for offset in 5..15 {
        relay.push(entry(offset, batch));
    }
    for now_ms in 0..100 {
        let told = sent(&relay.deliver(now_ms, 14, 4));
        assert_eq!(told, (vec![], 0), "the newest image is the one the child has");
    }
    assert_eq!(sent(&relay.deliver(100, 14, 14)), (vec![], 1), "it needs the one after the end");
}

#[test]
fn news_are_kept_within_a_bound_of_their_bytes() {
    let mut relay = Relay::default();
    for offset in 1..400 {
        relay.push(entry(offset, 100_000));
        assert!(
            relay.retained_bytes() <= UPDATES_RETAINED_BYTES,
            "{} bytes",
            relay.retained_bytes()
        );
    }
    assert!(relay.retained_bytes() > UPDATES_RETAINED_BYTES / 2);
    relay.on_tail(0, child(1), 380);
    assert_eq!(sent(&relay.deliver(0, 399, 399)).0.len(), 19, "a child a few changes behind");
    relay.push(UpdateEntry { prev: 500, offset: 501, bytes: vec![1] });
    assert_eq!(relay.retained_bytes(), 1, "a gap leaves nothing of what was before");
}

/// A child on a link of so many bytes a millisecond that asks as data nodes do, while a change comes
/// every 136 ms (220 in 30 s): bytes that went onto the link, and the longest lag.
fn on_a_slow_link(
    link_bytes_per_ms: usize,
    change_bytes: usize,
    image_bytes: usize,
) -> (usize, u64) {
    let mut relay = Relay::default();
    let mut queue: VecDeque<(usize, u64)> = VecDeque::new();
    let (mut at, mut own, mut all_bytes, mut room, mut longest_ms) = (0, 0, 0, 0, 0);
    let mut made_ms = vec![0];
    let mut tail_due_ms = 0;
    for now_ms in 0..35_000 {
        if now_ms % 136 == 0 && own < 220 {
            own += 1;
            relay.push(entry(own, change_bytes));
            made_ms.push(now_ms);
        }
        room = (room + link_bytes_per_ms).min(64 * 1024);
        while let Some((size, offset)) = queue.front().copied()
            && size <= room
        {
            room -= size;
            queue.pop_front();
            at = at.max(offset);
        }
        if queue.is_empty() {
            room = room.min(link_bytes_per_ms);
        }
        if now_ms >= tail_due_ms {
            tail_due_ms = now_ms + if at < own { TAIL_RETRY_MS } else { TAIL_RENEW_MS };
            relay.on_tail(now_ms, child(1), at);
        }
        for deliver in relay.deliver(now_ms, own, own) {
            match deliver {
                Delivery::Updates { entries, .. } => {
                    for entry in entries {
                        all_bytes += entry.bytes.len();
                        queue.push_back((entry.bytes.len(), entry.offset));
                    }
                }
                Delivery::Image { to } => {
                    all_bytes += image_bytes;
                    queue.push_back((image_bytes, own));
                    relay.on_image_sent(now_ms, to, own);
                }
            }
        }
        if at < own {
            longest_ms = longest_ms.max(now_ms - made_ms[at as usize + 1]);
        }
    }
    assert_eq!(at, 220, "the child ends up to date");
    (all_bytes, longest_ms)
}

#[test]
fn a_slow_link_carries_each_change_once() {
    let (bytes, longest_ms) = on_a_slow_link(60, 4_000, 60_000);
    assert_eq!(bytes, 220 * 4_000, "bytes of 220 changes");
    assert!(longest_ms < NODE_LEASE_MS, "a lag of {longest_ms} ms lets the node shed");
}
