//! Timing and sizes of the replicated log and its disk.

/// Interval of the protocol's ticks; about a quarter of the heartbeat keeps the error of its timers
/// small.
pub const TICK_MS: u64 = 20;
/// Interval of the leader's heartbeats; six fit in one lease, so that one lost frame costs nothing.
pub const HEARTBEAT_MS: u64 = 75;
/// The leader's lease, counted from when the acknowledged heartbeat was sent.
pub const LEADER_LEASE_MS: u64 = 450;
/// Shortest election time-out: a voter grants no vote for this long after it received from a
/// leader. Longer than the lease, for the clocks' drift.
pub const ELECTION_MIN_MS: u64 = 600;
/// Random part of the election time-out, so that three machines rarely split the vote.
pub const ELECTION_SPREAD_MS: u64 = 300;
/// A member without a leader for this long counts as partitioned: an election takes one longest
/// election time-out, and as much again as their spread for votes and the first entry.
pub const CONTACT_LOST_MS: u64 = ELECTION_MIN_MS + 2 * ELECTION_SPREAD_MS;
/// Entry bytes in one append frame, unless a single entry is larger: a frame takes 142 ms on a link
/// of 3.7 Mbit/s, and each frame shows that its sender is alive.
pub const APPEND_BYTES: usize = 64 * 1024;
/// Entry or snapshot bytes that one follower has not acknowledged: on a link of 3.7 Mbit/s a
/// heartbeat waits 280 ms behind them, which is within the lease.
pub const FOLLOWER_IN_FLIGHT_BYTES: u64 = 128 * 1024;
/// Bytes of one snapshot chunk: at 0.37 Mbit/s one arrives every 350 ms, within `ELECTION_MIN_MS`.
pub const SNAPSHOT_CHUNK_BYTES: u64 = 16 * 1024;
/// A snapshot chunk is sent again if none was acknowledged in this time.
pub const SNAPSHOT_RETRY_MS: u64 = 500;
/// Largest backoff of a chunk's retries, which double, so that a slow link is not filled with
/// copies.
pub const SNAPSHOT_RETRY_MAX_MS: u64 = 8_000;
/// Log bytes between two slot writes: minutes of tickets, and a start reads at most twice this.
pub const LOG_BYTES: u64 = 32 * 1024 * 1024;
/// Number of steps in which members add up to `LOG_BYTES` to that, so that no majority writes slots
/// at the same time.
pub const LOG_SPREAD: u64 = 8;
/// An encoder without a result for this long was never started; the largest state takes a few
/// seconds.
pub const SNAPSHOT_ENCODE_MAX_MS: u64 = 30_000;
/// Largest record in the log file; a larger length is damage.
pub const LOG_RECORD_BYTES: usize = 64 * 1024 * 1024;
/// Entries retained behind a snapshot, so that a slow follower needs no snapshot.
pub const ENTRIES_RETAINED: u64 = 2_000;
/// Bytes of those entries: an eighth of `LOG_BYTES`, little compared with the log itself.
pub const ENTRIES_RETAINED_BYTES: u64 = 4 * 1024 * 1024;
/// Bytes of entries retained behind a snapshot while a live follower still needs them, or as many
/// as the snapshot sent to it has, if that is more. A tenth of the memory of a machine of 160 MB;
/// none of it is on disk.
pub const ENTRIES_RETAINED_MAX_BYTES: u64 = 16 * 1024 * 1024;
/// A voter that is unresponsive for this long is replaced when a learner stands ready, unless the
/// deployment bounds the time to catch up.
pub const VOTER_DEAD_MS: u64 = 4_000;
/// The shortest such time that a deployment's bounds lead to: an ordinary restart takes up to this
/// long.
pub const VOTER_DEAD_MIN_MS: u64 = 1_500;
/// A member is responsive if it was received from within this time: a live one misses three
/// heartbeats at most.
pub const RESPONSIVE_MS: u64 = 4 * HEARTBEAT_MS;
/// How long an announced departure is remembered: longer than any time after which a member counts
/// as dead.
pub const DEPARTING_RETENTION_MS: u64 = 10_000;
/// A learner this close to the last index has caught up.
pub const LEARNER_LAG_ENTRIES: u64 = 200;
/// Voters of a control plane: one per machine with a disk.
pub const VOTERS: usize = 3;
/// How long a stopping leader's state is valid for its successor, which is elected within a few
/// milliseconds.
pub const HANDOVER_RETENTION_MS: u64 = 500;
/// How long a stopping control node waits for a successor and for its seat's removal: three
/// elections without its help. It is killed at the end of its grace period, twice as late.
pub const LEADERSHIP_TRANSFER_MS: u64 = 3_000;
/// Interval at which uninitialized control nodes announce themselves to each other until a log
/// exists.
pub const DISCOVERY_MS: u64 = 200;
/// Interval at which a member sends the membership to seeds that are no members: three small frames
/// a second at most, and a seed that started anew is of use well within the time to recover.
pub const INTRODUCTION_MS: u64 = 1_000;
/// An uninitialized node that missed ten announcements is no longer counted.
pub const DISCOVERED_RETENTION_MS: u64 = 10 * DISCOVERY_MS;
/// Interval at which a voter that just started probes the others for a leader.
pub const LEADER_PROBE_MS: u64 = 60;
/// How long a learner stands by before a voter gives up its seat to it: by then a voter that it
/// replaced is known to be unresponsive, since `RESPONSIVE_MS` is four heartbeats.
pub const LEARNER_STANDBY_MS: u64 = 500;
/// Interval of retries of a write that a full disk refused: one small write each, and space is used
/// soon after it is free.
pub const DISK_FULL_PAUSE_MS: u64 = 50;
/// A disk stalls if a write waits longer for its sync. A disk of 5 ms a sync that is slowed thirty
/// times makes a write wait for two syncs, 300 ms; another member leads before clients' deadlines
/// pass.
pub const DISK_STALL_MS: u64 = 400;
/// The same while a slot is among the writes: it takes three syncs and megabytes.
pub const DISK_STALL_SLOT_MS: u64 = 1_500;
/// A leader with a stalled disk that could not transfer leadership in this time steps down without.
pub const DISK_STEP_DOWN_MS: u64 = ELECTION_MIN_MS;
