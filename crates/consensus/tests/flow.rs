//! The bound on the entries in flight to one follower, when they are first sent and when they are
//! resent.

mod cluster;
use cluster::*;
use postbarrow_consensus::*;
use postbarrow_constants::consensus::FOLLOWER_IN_FLIGHT_BYTES;
use std::cell::Cell;
use std::rc::Rc;

const BATCH_BYTES: usize = 1_000;

#[test]
fn an_unresponsive_follower_is_sent_no_more_than_the_in_flight_bound() {
    let mut cluster = Cluster::new(u64::MAX, 1_000);
    let (leader, unresponsive) = (cluster.leader().unwrap(), cluster.follower());
    let sent_bytes = Rc::new(Cell::new(0));
    let count = sent_bytes.clone();
    cluster.drops_frame = Box::new(move |_, to, message| {
        if let Message::Append(append) = message
            && to == unresponsive
        {
            count.set(
                count.get() + append.entries.iter().map(Entry::size_bytes).sum::<usize>() as u64,
            );
        }
        to == unresponsive
    });
    cluster.run_with_changes(2_000, 2_000, BATCH_BYTES);
    assert!(cluster.node(leader).commit_index() > 3_000, "the majority does not commit");
    assert!(
        sent_bytes.get() > 0 && sent_bytes.get() <= FOLLOWER_IN_FLIGHT_BYTES,
        "{sent_bytes:?} bytes of entries were sent"
    );
    cluster.drops_frame = Box::new(|_, _, _| false);
    cluster.assert_all_converge();
}

#[test]
fn a_lost_frame_resends_no_more_than_the_bytes_in_flight() {
    let mut cluster = Cluster::new(u64::MAX, 1_000);
    let slow = cluster.follower();
    cluster.speeds.insert(slow, SLOW);
    let sent_bytes = Rc::new(Cell::new(0));
    let count = sent_bytes.clone();
    let mut frames = 0;
    cluster.drops_frame = Box::new(move |_, to, message| {
        let Message::Append(append) = message else { return false };
        let bytes: u64 = append.entries.iter().map(|entry| entry.size_bytes() as u64).sum();
        if to != slow || bytes == 0 {
            return false;
        }
        count.set(count.get() + bytes);
        frames += 1;
        frames == 100
    });
    cluster.run_with_changes(1_000, 1_200, BATCH_BYTES);
    cluster.assert_all_converge();
    let proposed_bytes = 1_200 * (BATCH_BYTES as u64 + 32);
    let resent_bytes = sent_bytes.get() - proposed_bytes;
    println!("{resent_bytes} bytes resent for one lost frame");
    assert!(
        resent_bytes > 0 && resent_bytes <= 2 * FOLLOWER_IN_FLIGHT_BYTES,
        "{resent_bytes} bytes were resent"
    );
}
