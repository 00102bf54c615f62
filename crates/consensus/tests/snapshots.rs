//! Snapshot transfer: a lagging member catches up under load, despite faults of links, leaders and
//! processes.

mod cluster;
use cluster::*;
use postbarrow_consensus::*;
use postbarrow_constants::consensus::*;
use std::sync::Arc;

const STATE_BYTES: usize = 1_000_000;
/// Log bytes after which a member takes a snapshot: at `RATE`, it does so more often than one is
/// transferred.
const COMPACT_BYTES: u64 = 400_000;
/// Batches per second, half of what the slow link carries.
const RATE: u64 = 220;
const BATCH_BYTES: usize = 1_000;

/// Returns a cluster, and a follower in it that was down for so long that it needs a snapshot, and
/// that restarted with a slow link and disk.
fn cluster_with_lagging_member() -> (Cluster, u64) {
    let mut cluster = Cluster::new(COMPACT_BYTES, STATE_BYTES);
    let lagging = cluster.follower();
    cluster.stop(lagging);
    cluster.run_with_changes(20_000, RATE, BATCH_BYTES);
    cluster.speeds.insert(lagging, SLOW);
    cluster.start(lagging);
    cluster.snapshot_bytes_sent = 0;
    (cluster, lagging)
}

/// Returns the number of committed entries by which a member is behind the leader.
fn lag(cluster: &Cluster, id: u64) -> u64 {
    let leader = cluster.leader().expect("there is a leader");
    cluster.node(leader).commit_index() - cluster.node(id).commit_index()
}

/// Runs the cluster under load until the member is less than a second of entries behind; returns
/// the milliseconds that this took, and panics after `within_ms`.
fn assert_catches_up(cluster: &mut Cluster, lagging: u64, within_ms: u64) -> u64 {
    for elapsed_ms in (0..within_ms).step_by(500) {
        cluster.run_with_changes(500, RATE, BATCH_BYTES);
        if cluster.leader().is_some() && lag(cluster, lagging) < RATE {
            return elapsed_ms + 500;
        }
    }
    panic!("the member is {} entries behind after {within_ms} ms", lag(cluster, lagging));
}

#[test]
fn a_member_on_a_slow_link_and_disk_catches_up_during_compactions() {
    let (mut cluster, lagging) = cluster_with_lagging_member();
    let leader = cluster.leader().expect("there is a leader");
    let term = cluster.node(leader).term();
    let duration_ms = assert_catches_up(&mut cluster, lagging, 30_000);
    println!("caught up after {duration_ms} ms, {} bytes", cluster.snapshot_bytes_sent);
    assert_eq!(cluster.machines[&lagging].restores, 1, "number of snapshots installed");
    let max_bytes = STATE_BYTES as u64 + FOLLOWER_IN_FLIGHT_BYTES;
    assert!(cluster.snapshot_bytes_sent <= max_bytes, "the snapshot was sent more than once");
    assert_eq!(cluster.node(leader).term(), term, "there was an election");
    let contact_gap_ms = cluster.machines[&lagging].max_contact_gap_us / 1_000;
    assert!(contact_gap_ms < ELECTION_MIN_MS, "no leader contact for {contact_gap_ms} ms");
    cluster.assert_all_converge();
}

#[test]
fn entries_are_retained_for_a_long_snapshot_transfer() {
    let mut cluster = Cluster::new(COMPACT_BYTES, 6 * STATE_BYTES);
    let lagging = cluster.follower();
    cluster.stop(lagging);
    cluster.run_with_changes(12_000, RATE, BATCH_BYTES);
    cluster.speeds.insert(lagging, Speed { disk: 30_000_000, ..SLOW });
    cluster.start(lagging);
    let duration_ms = assert_catches_up(&mut cluster, lagging, 60_000);
    println!("state of six times the size: caught up after {duration_ms} ms");
    assert_eq!(cluster.machines[&lagging].restores, 1, "number of snapshots installed");
    cluster.assert_all_converge();
}

#[test]
fn a_restarted_member_never_leads_with_outdated_state() {
    let mut cluster = Cluster::new(COMPACT_BYTES / 4, STATE_BYTES / 10);
    for _ in 0..8 {
        let outdated = cluster.follower();
        cluster.stop(outdated);
        cluster.run_with_changes(1_000, RATE, BATCH_BYTES);
        let leader = cluster.leader().expect("two are a majority");
        cluster.stop(leader);
        cluster.start(outdated);
        cluster.run_with_changes(3_000, RATE, BATCH_BYTES);
        assert!(
            cluster.leader().is_some_and(|next| next != outdated),
            "the third member must lead, since only it has all entries"
        );
        cluster.start(leader);
        cluster.run_with_changes(2_000, RATE, BATCH_BYTES);
    }
    cluster.assert_all_converge();
}

#[test]
fn bytes_in_flight_on_a_slow_link_are_bounded() {
    let (mut cluster, lagging) = cluster_with_lagging_member();
    let leader = cluster.leader().expect("there is a leader");
    assert_catches_up(&mut cluster, lagging, 30_000);
    cluster.run_with_changes(3_000, 4 * RATE, BATCH_BYTES);
    let queued_bytes = cluster.max_queued_bytes[&(leader, lagging)];
    let max_bytes = FOLLOWER_IN_FLIGHT_BYTES + FOLLOWER_IN_FLIGHT_BYTES / 4;
    assert!(queued_bytes <= max_bytes, "{queued_bytes} bytes queued on the link");
    cluster.run_ms(10_000);
    cluster.assert_all_converge();
}

#[test]
fn only_lost_chunks_are_resent() {
    let (mut cluster, lagging) = cluster_with_lagging_member();
    let mut chunk_count = 0;
    cluster.drops_frame = Box::new(move |_, _, message| {
        chunk_count += u64::from(matches!(message, Message::Snapshot(_)));
        matches!(message, Message::Snapshot(_)) && chunk_count.is_multiple_of(20)
    });
    let duration_ms = assert_catches_up(&mut cluster, lagging, 60_000);
    assert_eq!(cluster.machines[&lagging].restores, 1);
    let sent_bytes = cluster.snapshot_bytes_sent;
    println!("with one lost chunk in twenty, {sent_bytes} bytes in {duration_ms} ms");
    assert!(sent_bytes < 2 * STATE_BYTES as u64, "{sent_bytes} bytes for one lost chunk in twenty");
    assert!(
        duration_ms <= 12_000,
        "catching up took {duration_ms} ms, although each gap is reported at once"
    );
    cluster.assert_all_converge();
}

#[test]
fn a_partition_during_a_transfer_resends_only_the_bytes_in_flight() {
    let (mut cluster, lagging) = cluster_with_lagging_member();
    cluster.run_with_changes(1_000, RATE, BATCH_BYTES);
    cluster.drops_frame = Box::new(move |from, to, _| from == lagging || to == lagging);
    cluster.run_with_changes(2_000, RATE, BATCH_BYTES);
    cluster.drops_frame = Box::new(|_, _, _| false);
    assert_catches_up(&mut cluster, lagging, 40_000);
    assert_eq!(cluster.machines[&lagging].restores, 1);
    let max_bytes = STATE_BYTES as u64 + 3 * FOLLOWER_IN_FLIGHT_BYTES;
    assert!(
        cluster.snapshot_bytes_sent <= max_bytes,
        "{} snapshot bytes were sent",
        cluster.snapshot_bytes_sent
    );
    cluster.assert_all_converge();
}

#[test]
fn a_leader_change_during_a_transfer_restarts_it_with_the_new_leaders_snapshot() {
    let (mut cluster, lagging) = cluster_with_lagging_member();
    cluster.run_with_changes(1_000, RATE, BATCH_BYTES);
    let old_leader = cluster.leader().unwrap();
    cluster.stop(old_leader);
    cluster.run_ms(300);
    cluster.start(old_leader);
    cluster.run_ms(4_000);
    assert_catches_up(&mut cluster, lagging, 60_000);
    cluster.assert_all_converge();
}

#[test]
fn a_follower_restarted_during_a_transfer_receives_it_from_the_first_byte() {
    let (mut cluster, lagging) = cluster_with_lagging_member();
    for _ in 0..2 {
        cluster.run_with_changes(1_500, RATE, BATCH_BYTES);
        cluster.stop(lagging);
        cluster.run_with_changes(300, RATE, BATCH_BYTES);
        cluster.start(lagging);
    }
    assert_catches_up(&mut cluster, lagging, 40_000);
    assert_eq!(cluster.machines[&lagging].restores, 1);
    cluster.assert_all_converge();
}

fn chunk(source: &Snapshot, term: u64, bytes: std::ops::Range<usize>, checksum: u32) -> Message {
    Message::Snapshot(SnapshotChunk {
        term,
        index: source.index,
        snapshot_term: source.term,
        members: source.members.clone(),
        offset: bytes.start as u64,
        total_bytes: source.state.len() as u64,
        bytes: source.state[bytes].to_vec(),
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

fn snapshot_response(effects: &[Effect]) -> Option<&SnapshotResponse> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::SnapshotResponse(response), .. } => Some(response),
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
    let checksums = (crc32fast::hash(&old.state), crc32fast::hash(&new.state));
    for (term, checksum) in [(2, checksums.0), (1, checksums.1)] {
        let mut node = Consensus::new(9, RecoveredState::default(), 9, 0);
        receive(&mut node, 10, chunk(&old, 1, 0..100, checksums.0));
        let effects = receive(&mut node, 20, chunk(&new, term, 100..150, checksum));
        assert_eq!(
            snapshot_response(&effects).map(|response| (response.received_bytes, response.done)),
            Some((0, false))
        );
        receive(&mut node, 30, chunk(&new, term, 0..100, checksums.1));
        let effects = receive(&mut node, 40, chunk(&new, term, 100..200, checksums.1));
        assert_eq!(restored(&effects).map(|installed| &installed.state), Some(&new.state));
    }
}

#[test]
fn a_state_that_does_not_match_its_checksum_is_not_installed() {
    let (old, new) = (snapshot(1), snapshot(2));
    let checksums = (crc32fast::hash(&old.state), crc32fast::hash(&new.state));
    let mut node = Consensus::new(9, RecoveredState::default(), 9, 0);
    receive(&mut node, 10, chunk(&old, 1, 0..100, checksums.0));
    let effects = receive(&mut node, 20, chunk(&new, 1, 100..200, checksums.0));
    assert!(restored(&effects).is_none(), "a mixture of two snapshots was installed");
    assert_eq!(
        snapshot_response(&effects).map(|response| (response.received_bytes, response.done)),
        Some((0, false))
    );
    receive(&mut node, 30, chunk(&new, 1, 0..100, checksums.1));
    let effects = receive(&mut node, 40, chunk(&new, 1, 100..200, checksums.1));
    assert_eq!(restored(&effects).map(|installed| &installed.state), Some(&new.state));
}

#[test]
fn a_snapshot_is_acknowledged_only_after_its_slot_is_synced() {
    let sent_snapshot = snapshot(1);
    let checksum = crc32fast::hash(&sent_snapshot.state);
    let mut node = Consensus::new(9, RecoveredState::default(), 9, 0);
    let effects = receive(&mut node, 10, chunk(&sent_snapshot, 1, 0..200, checksum));
    assert!(restored(&effects).is_some() && snapshot_response(&effects).is_none());
    let repeated = receive(&mut node, 20, chunk(&sent_snapshot, 1, 0..200, checksum));
    assert!(
        snapshot_response(&repeated).is_none(),
        "the snapshot was acknowledged although a power loss may still lose its slot"
    );
    let synced = node.handle(30, Input::Synced(u64::MAX));
    assert_eq!(snapshot_response(&synced).map(|response| response.done), Some(true));
}

#[test]
fn a_snapshot_chunk_of_an_older_term_is_answered_with_the_current_term() {
    let sent_snapshot = snapshot(1);
    let checksum = crc32fast::hash(&sent_snapshot.state);
    let mut node = Consensus::new(9, RecoveredState { term: 7, ..RecoveredState::default() }, 9, 0);
    let effects = receive(&mut node, 10, chunk(&sent_snapshot, 5, 0..100, checksum));
    assert_eq!(
        snapshot_response(&effects).map(|response| (response.term, response.done)),
        Some((7, false))
    );
}

#[test]
fn entries_retained_behind_a_snapshot_are_bounded_in_bytes() {
    let mut cluster = Cluster::new(8_000_000, 1_000);
    let (leader, stopped) = (cluster.leader().unwrap(), cluster.follower());
    cluster.stop(stopped);
    cluster.run_with_changes(16_000, 100, 30_000);
    let log = cluster.node(leader).log();
    let retained = log.range(log.base() + 1, log.last_index());
    let retained_bytes: u64 = retained.iter().map(|entry| entry.size_bytes() as u64).sum();
    assert!(
        log.base() > 0 && retained_bytes <= ENTRIES_RETAINED_BYTES + 8_100_000,
        "{retained_bytes} bytes of entries are retained in memory"
    );
}
