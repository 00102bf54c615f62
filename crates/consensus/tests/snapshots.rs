//! A member that is behind catches up while changes go on, whatever breaks off meanwhile.

mod cluster;
use cluster::*;
use postbarrow_consensus::*;
use postbarrow_constants::consensus::*;
use std::sync::Arc;

const STATE_BYTES: usize = 1_000_000;
/// The leader takes a snapshot after so much log: at `RATE`, oftener than one is sent.
const COMPACT_BYTES: u64 = 400_000;
/// Batches a second, half of what the slow link carries.
const RATE: u64 = 220;
const BATCH_BYTES: usize = 1_000;

/// One follower was away for so long that it needs a snapshot, and starts again on slow parts.
fn behind() -> (Cluster, u64) {
    let mut cluster = Cluster::new(COMPACT_BYTES, STATE_BYTES);
    let late = cluster.follower();
    cluster.stop(late);
    cluster.run_with_changes(20_000, RATE, BATCH_BYTES);
    cluster.speeds.insert(late, SLOW);
    cluster.start(late);
    cluster.snapshot_bytes_sent = 0;
    (cluster, late)
}

fn lag(cluster: &Cluster, id: u64) -> u64 {
    let leader = cluster.leader().expect("somebody leads");
    cluster.node(leader).commit_index() - cluster.node(id).commit_index()
}

/// Milliseconds of changes until the member was within a heartbeat of the others.
fn catches_up(cluster: &mut Cluster, late: u64, within_ms: u64) -> u64 {
    for passed_ms in (0..within_ms).step_by(500) {
        cluster.run_with_changes(500, RATE, BATCH_BYTES);
        if cluster.leader().is_some() && lag(cluster, late) < RATE {
            return passed_ms + 500;
        }
    }
    panic!("{} entries behind after {within_ms} ms", lag(cluster, late));
}

#[test]
fn a_member_on_a_slow_link_and_disk_catches_up_while_snapshots_go_on_being_taken() {
    let (mut cluster, late) = behind();
    let leader = cluster.leader().expect("somebody leads");
    let term = cluster.node(leader).term();
    let took_ms = catches_up(&mut cluster, late, 30_000);
    println!("caught up after {took_ms} ms, {} bytes", cluster.snapshot_bytes_sent);
    assert_eq!(cluster.machines[&late].restores, 1, "one snapshot was enough");
    let most_bytes = STATE_BYTES as u64 + FOLLOWER_IN_FLIGHT_BYTES;
    assert!(cluster.snapshot_bytes_sent <= most_bytes, "and went once");
    assert_eq!(cluster.node(leader).term(), term, "nobody began an election");
    let silence_ms = cluster.machines[&late].longest_silence_us / 1_000;
    assert!(silence_ms < ELECTION_MIN_MS, "silent for {silence_ms} ms");
    cluster.settle();
}

#[test]
fn entries_are_held_for_a_transfer_that_outlasts_those_usually_kept() {
    let mut cluster = Cluster::new(COMPACT_BYTES, 6 * STATE_BYTES);
    let late = cluster.follower();
    cluster.stop(late);
    cluster.run_with_changes(12_000, RATE, BATCH_BYTES);
    cluster.speeds.insert(late, Speed { disk: 30_000_000, ..SLOW });
    cluster.start(late);
    let took_ms = catches_up(&mut cluster, late, 60_000);
    println!("six times the state: caught up after {took_ms} ms");
    assert_eq!(cluster.machines[&late].restores, 1, "one snapshot was enough");
    cluster.settle();
}

#[test]
fn a_restarted_member_never_serves_with_the_state_of_its_disk() {
    let mut cluster = Cluster::new(COMPACT_BYTES / 4, STATE_BYTES / 10);
    for _ in 0..8 {
        let old = cluster.follower();
        cluster.stop(old);
        cluster.run_with_changes(1_000, RATE, BATCH_BYTES);
        let leader = cluster.leader().expect("two are a majority");
        cluster.stop(leader);
        cluster.start(old);
        cluster.run_with_changes(3_000, RATE, BATCH_BYTES);
        assert!(cluster.leader().is_some_and(|next| next != old), "only the other has all");
        cluster.start(leader);
        cluster.run_with_changes(2_000, RATE, BATCH_BYTES);
    }
    cluster.settle();
}

#[test]
fn a_slow_link_has_only_so_many_bytes_under_way() {
    let (mut cluster, late) = behind();
    let leader = cluster.leader().expect("somebody leads");
    catches_up(&mut cluster, late, 30_000);
    cluster.run_with_changes(3_000, 4 * RATE, BATCH_BYTES);
    let queued_bytes = cluster.most_queued_bytes[&(leader, late)];
    let most_bytes = FOLLOWER_IN_FLIGHT_BYTES + FOLLOWER_IN_FLIGHT_BYTES / 4;
    assert!(queued_bytes <= most_bytes, "{queued_bytes} bytes wait for the link");
    cluster.run_ms(10_000);
    cluster.settle();
}

#[test]
fn lost_chunks_are_sent_again_and_not_the_rest() {
    let (mut cluster, late) = behind();
    let mut number = 0;
    cluster.loses = Box::new(move |_, _, message| {
        number += u64::from(matches!(message, Message::Snapshot(_)));
        matches!(message, Message::Snapshot(_)) && number.is_multiple_of(20)
    });
    let took_ms = catches_up(&mut cluster, late, 60_000);
    assert_eq!(cluster.machines[&late].restores, 1);
    let sent_bytes = cluster.snapshot_bytes_sent;
    println!("with one lost chunk in twenty, {sent_bytes} bytes in {took_ms} ms");
    assert!(sent_bytes < 2 * STATE_BYTES as u64, "{sent_bytes} bytes for one lost chunk in twenty");
    assert!(took_ms <= 12_000, "{took_ms} ms: each gap is told at once");
    cluster.settle();
}

#[test]
fn a_link_that_breaks_in_a_transfer_costs_no_more_than_what_was_under_way() {
    let (mut cluster, late) = behind();
    cluster.run_with_changes(1_000, RATE, BATCH_BYTES);
    cluster.loses = Box::new(move |from, to, _| from == late || to == late);
    cluster.run_with_changes(2_000, RATE, BATCH_BYTES);
    cluster.loses = Box::new(|_, _, _| false);
    catches_up(&mut cluster, late, 40_000);
    assert_eq!(cluster.machines[&late].restores, 1);
    let most_bytes = STATE_BYTES as u64 + 3 * FOLLOWER_IN_FLIGHT_BYTES;
    assert!(cluster.snapshot_bytes_sent <= most_bytes, "{}", cluster.snapshot_bytes_sent);
    cluster.settle();
}

#[test]
fn a_leader_change_amid_a_transfer_begins_the_new_leaders_snapshot() {
    let (mut cluster, late) = behind();
    cluster.run_with_changes(1_000, RATE, BATCH_BYTES);
    let old = cluster.leader().unwrap();
    cluster.stop(old);
    cluster.run_ms(300);
    cluster.start(old);
    cluster.run_ms(4_000);
    catches_up(&mut cluster, late, 60_000);
    cluster.settle();
}

#[test]
fn a_follower_that_restarts_amid_a_transfer_gets_it_from_the_first_byte() {
    let (mut cluster, late) = behind();
    for _ in 0..2 {
        cluster.run_with_changes(1_500, RATE, BATCH_BYTES);
        cluster.stop(late);
        cluster.run_with_changes(300, RATE, BATCH_BYTES);
        cluster.start(late);
    }
    catches_up(&mut cluster, late, 40_000);
    assert_eq!(cluster.machines[&late].restores, 1);
    cluster.settle();
}

fn part(sender: &Snapshot, term: u64, bytes: std::ops::Range<usize>, checksum: u32) -> Message {
    Message::Snapshot(SnapshotChunk {
        term,
        index: sender.index,
        snapshot_term: sender.term,
        members: sender.members.clone(),
        offset: bytes.start as u64,
        total: sender.state.len() as u64,
        bytes: sender.state[bytes].to_vec(),
        sent_ms: 5,
        checksum,
    })
}

fn snapshot(fill: u8) -> Snapshot {
    let members = (1..=MEMBERS).map(member).collect();
    Snapshot { index: 40, term: 1, members, state: vec![fill; 200] }
}

fn receive(node: &mut Consensus, now_ms: u64, message: Message) -> Vec<Effect> {
    node.handle(now_ms, Input::Receive { from: member(1), message })
}

fn response(effects: &[Effect]) -> Option<&SnapshotResponse> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::SnapshotResponse(got), .. } => Some(got),
        _ => None,
    })
}

fn restored(effects: &[Effect]) -> Option<&Arc<Snapshot>> {
    effects.iter().find_map(|effect| match effect {
        Effect::Restore(snapshot) => Some(snapshot),
        _ => None,
    })
}

#[test]
fn chunks_of_two_snapshots_at_one_index_are_never_joined() {
    let (old, new) = (snapshot(1), snapshot(2));
    let sums = (crc32fast::hash(&old.state), crc32fast::hash(&new.state));
    for (term, sum) in [(2, sums.0), (1, sums.1)] {
        let mut node = Consensus::new(9, RecoveredState::default(), 9, 0);
        receive(&mut node, 10, part(&old, 1, 0..100, sums.0));
        let effects = receive(&mut node, 20, part(&new, term, 100..150, sum));
        assert_eq!(response(&effects).map(|got| (got.received, got.done)), Some((0, false)));
        receive(&mut node, 30, part(&new, term, 0..100, sums.1));
        let effects = receive(&mut node, 40, part(&new, term, 100..200, sums.1));
        assert_eq!(restored(&effects).map(|whole| &whole.state), Some(&new.state));
    }
}

#[test]
fn a_state_without_its_checksum_is_not_installed() {
    let (old, new) = (snapshot(1), snapshot(2));
    let sums = (crc32fast::hash(&old.state), crc32fast::hash(&new.state));
    let mut node = Consensus::new(9, RecoveredState::default(), 9, 0);
    receive(&mut node, 10, part(&old, 1, 0..100, sums.0));
    let effects = receive(&mut node, 20, part(&new, 1, 100..200, sums.0));
    assert!(restored(&effects).is_none(), "a mixed snapshot");
    assert_eq!(response(&effects).map(|got| (got.received, got.done)), Some((0, false)));
    receive(&mut node, 30, part(&new, 1, 0..100, sums.1));
    let effects = receive(&mut node, 40, part(&new, 1, 100..200, sums.1));
    assert_eq!(restored(&effects).map(|whole| &whole.state), Some(&new.state));
}

#[test]
fn a_snapshot_counts_only_once_its_slot_is_synced_however_often_a_chunk_is_sent() {
    let sent = snapshot(1);
    let sum = crc32fast::hash(&sent.state);
    let mut node = Consensus::new(9, RecoveredState::default(), 9, 0);
    let effects = receive(&mut node, 10, part(&sent, 1, 0..200, sum));
    assert!(restored(&effects).is_some() && response(&effects).is_none());
    let again = receive(&mut node, 20, part(&sent, 1, 0..200, sum));
    assert!(response(&again).is_none(), "its slot may still be lost with the power");
    let synced = node.handle(30, Input::Synced(u64::MAX));
    assert_eq!(response(&synced).map(|got| got.done), Some(true));
}

#[test]
fn a_leader_of_an_older_term_hears_so_from_the_one_it_sends_a_snapshot() {
    let sent = snapshot(1);
    let sum = crc32fast::hash(&sent.state);
    let mut node = Consensus::new(9, RecoveredState { term: 7, ..RecoveredState::default() }, 9, 0);
    let effects = receive(&mut node, 10, part(&sent, 5, 0..100, sum));
    assert_eq!(response(&effects).map(|got| (got.term, got.done)), Some((7, false)));
}

#[test]
fn entries_behind_a_snapshot_are_bounded_in_bytes() {
    let mut cluster = Cluster::new(8_000_000, 1_000);
    let (leader, gone) = (cluster.leader().unwrap(), cluster.follower());
    cluster.stop(gone);
    cluster.run_with_changes(16_000, 100, 30_000);
    let log = cluster.node(leader).log();
    let kept = log.range(log.base() + 1, log.last_index());
    let kept_bytes: u64 = kept.iter().map(|entry| entry.size() as u64).sum();
    assert!(log.base() > 0 && kept_bytes <= ENTRIES_RETAINED_BYTES + 8_100_000, "{kept_bytes}");
}
