//! Timing and sizes of the replicated log and its disk.

/// How often every protocol part is given its tick; a tenth of the heartbeat keeps error small.
pub const TICK_MS: u64 = 20;
/// Leader's heartbeat; six fit in one lease, so one lost frame costs nothing.
pub const HEARTBEAT_MS: u64 = 75;
/// Leader's lease, counted from when the confirmed heartbeat was sent.
pub const LEADER_LEASE_MS: u64 = 450;
/// A voter grants nothing for this long after hearing a leader; longer than the lease by clock slack.
pub const ELECTION_MIN_MS: u64 = 600;
/// Spread of candidates' starts, so that three machines rarely split the vote.
pub const ELECTION_SPREAD_MS: u64 = 300;
/// A member that heard of no leader for so long is cut off: an election takes one longest wait for
/// a candidate's start, and as much again for its votes and first entry as starts are spread.
pub const CONTACT_LOST_MS: u64 = ELECTION_MIN_MS + 2 * ELECTION_SPREAD_MS;
/// Largest entry bytes in one append frame, unless one entry alone is larger: a frame takes 142 ms
/// on a link of 3.7 Mbit/s, and each frame counts as a sign of life.
pub const APPEND_BYTES: usize = 64 * 1024;
/// Entry or snapshot bytes that one follower has not confirmed: on a link of 3.7 Mbit/s a heartbeat
/// waits 280 ms behind them, which is within the lease.
pub const FOLLOWER_IN_FLIGHT_BYTES: u64 = 128 * 1024;
/// Bytes of snapshot in one frame: at 0.37 Mbit/s one arrives every 350 ms, within `ELECTION_MIN_MS`.
pub const SNAPSHOT_CHUNK_BYTES: u64 = 16 * 1024;
/// One snapshot chunk is sent again when none was answered in this time.
pub const SNAPSHOT_RETRY_MS: u64 = 500;
/// The wait for an answer doubles up to this, so that a slow link is not filled with copies.
pub const SNAPSHOT_RETRY_MAX_MS: u64 = 8_000;
/// Log bytes between two slot writes: minutes of tickets, and a start reads at most twice this.
pub const LOG_BYTES: u64 = 32 * 1024 * 1024;
/// Members add up to as much again, in so many steps, so that a majority is not writing slots at once.
pub const LOG_SPREAD: u64 = 8;
/// An encoder not heard of for so long was never started; the largest state takes a few seconds.
pub const SNAPSHOT_ENCODE_MAX_MS: u64 = 30_000;
/// Largest record in the log file; a larger length is damage.
pub const LOG_RECORD_BYTES: usize = 64 * 1024 * 1024;
/// Entries kept behind a snapshot, so that a slow follower needs no snapshot.
pub const ENTRIES_RETAINED: u64 = 2_000;
/// A voter silent this long is replaced when a learner stands ready, if the deployment says nothing
/// of the time to catch up.
/// Their bytes at most: an eighth of `LOG_BYTES`, little beside the log itself.
pub const ENTRIES_RETAINED_BYTES: u64 = 4 * 1024 * 1024;
/// Bytes of entries kept behind a snapshot while a live follower still needs them, or as many as
/// the snapshot sent to it has, if that is more. A tenth of the memory of a machine of 160 MB; none
/// of it is on disk.
pub const ENTRIES_RETAINED_MAX_BYTES: u64 = 16 * 1024 * 1024;
/// A voter silent this long is replaced when a learner stands ready.
pub const VOTER_DEAD_MS: u64 = 4_000;
/// The least such silence that a deployment may lead to: an ordinary restart takes up to this long.
pub const VOTER_DEAD_MIN_MS: u64 = 1_500;
/// Heard lately: one that lives misses three heartbeats at most.
pub const RESPONSIVE_MS: u64 = 4 * HEARTBEAT_MS;
/// Who said that it leaves is remembered for so long: longer than any silence that counts as death.
pub const DEPARTING_RETENTION_MS: u64 = 10_000;
/// A learner this close to the tail is caught up.
pub const LEARNER_LAG_ENTRIES: u64 = 200;
/// Voters in a control plane: one per disk machine.
pub const VOTERS: usize = 3;
/// A stopping controller's note counts this long; an heir is elected within a few milliseconds.
pub const HANDOVER_RETENTION_MS: u64 = 500;
/// A stopping control node waits this long for an heir and for the log to do without it: three
/// elections without its help. It is killed at the end of its grace, twice as late.
pub const LEADERSHIP_TRANSFER_MS: u64 = 3_000;
/// Fresh control nodes greet each other at this pace until a log exists.
pub const DISCOVERY_MS: u64 = 200;
/// A member names the members to seeds that are none at this pace: three small frames a second at
/// most, and a seed that began anew is of use again well within the time to recover.
pub const INTRODUCTION_MS: u64 = 1_000;
/// A fresh node unheard for ten greetings is no longer counted.
pub const DISCOVERED_RETENTION_MS: u64 = 10 * DISCOVERY_MS;
/// A voter that just started asks the others at this pace whether any of them leads.
pub const LEADER_PROBE_MS: u64 = 60;
/// A learner stands by so long before a voter leaves for it: whose place it took is known silent by
/// then, for 'heard lately' is four heartbeats.
pub const LEARNER_STANDBY_MS: u64 = 500;
/// A write that a full disk refused is tried again at this pace: one small write a try, and space
/// is used soon after it is there.
pub const DISK_FULL_PAUSE_MS: u64 = 50;
/// A disk stalls if a write waits longer for its sync. A disk of 5 ms a sync that is slowed thirty
/// times keeps a write waiting for two syncs, 300 ms; another leads before clients' bounds pass.
pub const DISK_STALL_MS: u64 = 400;
/// The same while a slot is among the writes: it takes three syncs and megabytes.
pub const DISK_STALL_SLOT_MS: u64 = 1_500;
/// A leader that could not hand over in this time, its disk stalled, steps down all the same.
pub const DISK_STEP_DOWN_MS: u64 = ELECTION_MIN_MS;
