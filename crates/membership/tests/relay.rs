//! Tests of the updates and images that a relay sends to its children, and of its resends.

use postbarrow_constants::nodes::*;
use postbarrow_membership::{Delivery, Relay, UpdateEntry};
use std::collections::VecDeque;
use std::net::SocketAddr;

fn child(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 1))
}

fn entry(offset: u64, size_bytes: usize) -> UpdateEntry {
    UpdateEntry { previous_offset: offset - 1, offset, bytes: vec![7; size_bytes] }
}

/// Returns the offsets of the updates that were sent, and the number of images.
fn sent(deliveries: &[Delivery]) -> (Vec<u64>, usize) {
    let (mut offsets, mut images) = (Vec::new(), 0);
    for delivery in deliveries {
        match delivery {
            Delivery::Updates { entries, .. } => {
                offsets.extend(entries.iter().map(|entry| entry.offset))
            }
            Delivery::Image { .. } => images += 1,
        }
    }
    (offsets, images)
}

#[test]
fn unacknowledged_updates_are_resent_after_a_growing_timeout() {
    let mut relay = Relay::default();
    relay.push(entry(5, 10));
    relay.on_tail(0, child(1), 4);
    assert_eq!(sent(&relay.deliver(0, 5, 5)), (vec![5], 0));
    let mut resent_ms = Vec::new();
    for now_ms in (50..4_000).step_by(50) {
        relay.on_tail(now_ms, child(1), 4);
        if sent(&relay.deliver(now_ms, 5, 5)).0 == [5] {
            resent_ms.push(now_ms);
        }
    }
    let intervals_ms: Vec<u64> = resent_ms.windows(2).map(|two| two[1] - two[0]).collect();
    assert_eq!(resent_ms[0], TAIL_RESEND_MS);
    assert_eq!(intervals_ms, [2 * TAIL_RESEND_MS, TAIL_RESEND_MAX_MS], "a lost update is resent");
}

#[test]
fn restarted_child_is_sent_an_image_at_once() {
    let mut relay = Relay::default();
    relay.push(entry(5, 10));
    relay.on_tail(0, child(1), 4);
    relay.deliver(0, 5, 5);
    relay.on_tail(10, child(1), 0);
    assert_eq!(sent(&relay.deliver(10, 5, 5)), (vec![], 1));
    relay.on_image_sent(10, child(1), 5);
    for now_ms in (60..TAIL_RESEND_MS).step_by(50) {
        relay.on_tail(now_ms, child(1), 0);
        assert_eq!(sent(&relay.deliver(now_ms, 5, 5)), (vec![], 0), "the image is in flight");
    }
    relay.push(entry(6, 10));
    assert_eq!(sent(&relay.deliver(TAIL_RESEND_MS, 6, 6)), (vec![6], 0), "updates follow");
}

#[test]
fn child_with_the_newest_image_is_not_sent_it_again_during_a_transaction_too_long_to_retain() {
    let mut relay = Relay::default();
    relay.on_tail(0, child(1), 4);
    let batch_bytes = UPDATES_RETAINED_BYTES / 4;
    for offset in 5..15 {
        relay.push(entry(offset, batch_bytes));
    }
    for now_ms in 0..100 {
        let delivered = sent(&relay.deliver(now_ms, 14, 4));
        assert_eq!(delivered, (vec![], 0), "the newest image is the one the child has");
    }
    assert_eq!(sent(&relay.deliver(100, 14, 14)), (vec![], 1), "an image after the end");
}

#[test]
fn retained_updates_are_bounded_in_bytes() {
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
    assert_eq!(sent(&relay.deliver(0, 399, 399)).0.len(), 19, "updates since offset 380");
    relay.push(UpdateEntry { previous_offset: 500, offset: 501, bytes: vec![1] });
    assert_eq!(relay.retained_bytes(), 1, "entries before a gap are removed");
}

const CHANGE_PERIOD_MS: u64 = 136;
/// Number of changes: they last for 30 s.
const CHANGES: u64 = 220;
/// Largest number of bytes that a link sends at once after a pause.
const LINK_BURST_BYTES: usize = 64 * 1024;

/// A link with a limited rate that delivers frames in order.
struct SlowLink {
    bytes_per_ms: usize,
    budget_bytes: usize,
    /// Size and offset of each frame that is not yet delivered.
    queue: VecDeque<(usize, u64)>,
    queued_bytes: usize,
}

impl SlowLink {
    fn new(bytes_per_ms: usize) -> SlowLink {
        SlowLink { bytes_per_ms, budget_bytes: 0, queue: VecDeque::new(), queued_bytes: 0 }
    }

    fn push(&mut self, size_bytes: usize, offset: u64) {
        self.queued_bytes += size_bytes;
        self.queue.push_back((size_bytes, offset));
    }

    /// Advances the time by one millisecond, and returns the offsets that arrive.
    fn tick(&mut self) -> Vec<u64> {
        let mut arrived = Vec::new();
        self.budget_bytes = (self.budget_bytes + self.bytes_per_ms).min(LINK_BURST_BYTES);
        while let Some((size_bytes, offset)) = self.queue.front().copied()
            && size_bytes <= self.budget_bytes
        {
            self.budget_bytes -= size_bytes;
            self.queue.pop_front();
            arrived.push(offset);
        }
        if self.queue.is_empty() {
            self.budget_bytes = self.budget_bytes.min(self.bytes_per_ms);
        }
        arrived
    }
}

/// Runs a child on a slow link that renews its subscription as data nodes do, while a change is
/// made every 136 ms. Returns the bytes that were sent on the link, and the longest lag in
/// milliseconds.
fn run_on_a_slow_link(
    link_bytes_per_ms: usize,
    change_bytes: usize,
    image_bytes: usize,
) -> (usize, u64) {
    let (mut relay, mut link) = (Relay::default(), SlowLink::new(link_bytes_per_ms));
    let (mut reached, mut newest, mut tail_due_ms, mut longest_lag_ms) = (0, 0, 0, 0);
    let mut changed_ms = vec![0];
    for now_ms in 0..35_000 {
        if now_ms % CHANGE_PERIOD_MS == 0 && newest < CHANGES {
            newest += 1;
            relay.push(entry(newest, change_bytes));
            changed_ms.push(now_ms);
        }
        reached = link.tick().into_iter().fold(reached, u64::max);
        if now_ms >= tail_due_ms {
            tail_due_ms = now_ms + if reached < newest { TAIL_RETRY_MS } else { TAIL_RENEW_MS };
            relay.on_tail(now_ms, child(1), reached);
        }
        for delivery in relay.deliver(now_ms, newest, newest) {
            match delivery {
                Delivery::Updates { entries, .. } => {
                    entries.iter().for_each(|entry| link.push(entry.bytes.len(), entry.offset));
                }
                Delivery::Image { to } => {
                    link.push(image_bytes, newest);
                    relay.on_image_sent(now_ms, to, newest);
                }
            }
        }
        if reached < newest {
            longest_lag_ms = longest_lag_ms.max(now_ms - changed_ms[reached as usize + 1]);
        }
    }
    assert_eq!(reached, CHANGES, "the child receives every change");
    (link.queued_bytes, longest_lag_ms)
}

#[test]
fn each_change_is_sent_once_over_a_slow_link() {
    let (bytes, longest_lag_ms) = run_on_a_slow_link(60, 4_000, 60_000);
    assert_eq!(bytes, 220 * 4_000, "bytes of 220 changes");
    assert!(longest_lag_ms < NODE_LEASE_MS, "a lag of {longest_lag_ms} ms makes the node shed");
}
