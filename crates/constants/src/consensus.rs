//! Timing and sizes of the replicated log and its disk.

/// Interval of the consensus protocol's ticks. About a quarter of `HEARTBEAT_MS`, which keeps the
/// error of the protocol's timers small.
pub const TICK_MS: u64 = 20;
/// Interval of the leader's heartbeats. Six fit in one lease, so that one lost frame costs nothing.
pub const HEARTBEAT_MS: u64 = 75;
/// Duration of the leader's lease, counted from when the acknowledged heartbeat was sent.
pub const LEADER_LEASE_MS: u64 = 450;
/// Shortest election timeout: a voter grants no vote for this long after the last message that it
/// received from a leader. Longer than `LEADER_LEASE_MS`, to allow for clock drift.
pub const ELECTION_MIN_MS: u64 = 600;
/// Range of the random part of the election timeout, so that three machines rarely split the vote.
pub const ELECTION_SPREAD_MS: u64 = 300;
/// Time without a leader after which a member counts as partitioned: the longest election timeout,
/// and another `ELECTION_SPREAD_MS` for the votes and the first entry.
pub const CONTACT_LOST_MS: u64 = ELECTION_MIN_MS + 2 * ELECTION_SPREAD_MS;
/// Largest size of the entries in one append frame, unless a single entry is larger. Such a frame
/// takes 142 ms on a link of 3.7 Mbit/s, and each frame shows that its sender is alive.
pub const APPEND_BYTES: usize = 64 * 1024;
/// Largest number of entry or snapshot bytes that are sent to one follower and not acknowledged. On
/// a link of 3.7 Mbit/s a heartbeat waits 280 ms behind them, which is within the lease.
pub const FOLLOWER_IN_FLIGHT_BYTES: u64 = 128 * 1024;
/// Size of one snapshot chunk: at 0.37 Mbit/s one arrives every 350 ms, within `ELECTION_MIN_MS`.
pub const SNAPSHOT_CHUNK_BYTES: u64 = 16 * 1024;
/// Time without an acknowledged snapshot chunk after which a chunk is sent again.
pub const SNAPSHOT_RETRY_MS: u64 = 500;
/// Longest interval between retries of a snapshot chunk. The interval doubles up to it, so that a
/// slow link is not filled with copies.
pub const SNAPSHOT_RETRY_MAX_MS: u64 = 8_000;
/// Log size at which a member writes its next snapshot to a slot. A log of this size holds the
/// tickets of several minutes, and a starting member reads at most twice this size.
pub const LOG_BYTES: u64 = 32 * 1024 * 1024;
/// Number of steps in which the members' log sizes at a slot write are spread between `LOG_BYTES`
/// and twice that, so that no majority writes slots at the same time.
pub const LOG_SPREAD: u64 = 8;
/// Longest time for encoding a snapshot; the largest state takes a few seconds. An encoding without
/// a result for this long counts as ended, so that another can start.
pub const SNAPSHOT_ENCODE_MAX_MS: u64 = 30_000;
/// Largest number of entries retained behind a snapshot, so that a slow follower needs no snapshot.
pub const ENTRIES_RETAINED: u64 = 2_000;
/// Largest size of the entries retained behind a snapshot: an eighth of `LOG_BYTES`, little
/// compared with the log itself.
pub const ENTRIES_RETAINED_BYTES: u64 = 4 * 1024 * 1024;
/// Largest size of the entries retained behind a snapshot while a live follower still needs them,
/// unless the snapshot that is being sent to this follower is larger: then as many bytes as the
/// snapshot has. These entries take a tenth of the memory of a machine of 160 MB, and no disk
/// space.
pub const ENTRIES_RETAINED_MAX_BYTES: u64 = 16 * 1024 * 1024;
/// Time after which an unresponsive voter is replaced by a learner that is ready, unless the
/// deployment bounds the time to catch up.
pub const VOTER_DEAD_MS: u64 = 4_000;
/// Lower bound of the time after which an unresponsive voter is replaced, where that time follows
/// from a deployment's bounds: an ordinary restart takes up to this long.
pub const VOTER_DEAD_MIN_MS: u64 = 1_500;
/// Time since the last message from a member within which the member counts as responsive: a live
/// one misses three heartbeats at most.
pub const RESPONSIVE_MS: u64 = 4 * HEARTBEAT_MS;
/// How long an announced departure is remembered: longer than any time after which a member counts
/// as dead.
pub const DEPARTING_RETENTION_MS: u64 = 10_000;
/// Largest lag behind the last index, in entries, at which a learner counts as caught up.
pub const LEARNER_LAG_ENTRIES: u64 = 200;
/// Number of voters of a control plane: one per machine with a disk.
pub const VOTERS: usize = 3;
/// How long the endpoint list's state that a stopping leader hands over is valid for its successor,
/// which is elected within a few milliseconds.
pub const HANDOVER_RETENTION_MS: u64 = 500;
/// How long a stopping control node waits for a successor and for its removal from the voters:
/// enough for three elections without its help. The node's grace period is twice as long, and the
/// node is killed at its end.
pub const LEADERSHIP_TRANSFER_MS: u64 = 3_000;
/// Interval at which uninitialized control nodes announce themselves to each other until a log
/// exists.
pub const DISCOVERY_MS: u64 = 200;
/// Interval at which a member sends the membership to seeds that are not members: three small
/// frames a second at most, and a restarted seed is usable well within the time to recover.
pub const INTRODUCTION_MS: u64 = 1_000;
/// Time since its last announcement after which an uninitialized node is no longer counted: ten
/// missed announcements.
pub const DISCOVERED_RETENTION_MS: u64 = 10 * DISCOVERY_MS;
/// Interval at which a voter that has just started probes the others for a leader.
pub const LEADER_PROBE_MS: u64 = 60;
/// Shortest time for which a learner stands by before a voter gives up its seat to it. By then a
/// voter that the learner replaces is known to be unresponsive, since `RESPONSIVE_MS` is four
/// heartbeats.
pub const LEARNER_STANDBY_MS: u64 = 500;
/// Interval of retries of a write that a full disk refused: each retry is one small write, and
/// space is used soon after it is free.
pub const DISK_FULL_PAUSE_MS: u64 = 50;
/// Longest time that a write waits for its sync before the disk counts as stalled. On a disk that
/// takes 5 ms per sync and becomes thirty times slower, a write waits for two syncs, 300 ms. After
/// a stall another member leads before clients' deadlines pass.
pub const DISK_STALL_MS: u64 = 400;
/// Longest time that a write waits for its sync before the disk counts as stalled, while a slot is
/// among the writes: a slot takes three syncs and megabytes of data.
pub const DISK_STALL_SLOT_MS: u64 = 1_500;
/// Time after which a leader with a stalled disk that could not transfer its leadership steps down
/// without a transfer.
pub const DISK_STEP_DOWN_MS: u64 = ELECTION_MIN_MS;
