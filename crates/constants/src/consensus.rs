//! Timing and sizes of the replicated log and its disk.

/// How often every protocol part is given its pulse; a tenth of the heartbeat keeps error small.
pub const PULSE_MS: u64 = 20;
/// Leader's heartbeat; six fit in one hold, so one lost frame costs nothing.
pub const HEARTBEAT_MS: u64 = 75;
/// Controller's hold, counted from when the confirmed heartbeat was sent.
pub const CONTROLLER_HOLD_MS: u64 = 450;
/// A voter grants nothing for this long after hearing a leader; longer than the hold by clock slack.
pub const ELECTION_MIN_MS: u64 = 600;
/// Spread of candidates' starts, so that three machines rarely split the vote.
pub const ELECTION_SPREAD_MS: u64 = 300;
/// Largest entry bytes in one append frame; keeps a link's frame near a disk's fast write.
pub const APPEND_BYTES: usize = 512 * 1024;
/// Bytes of snapshot in one frame.
pub const SNAPSHOT_CHUNK_BYTES: usize = 512 * 1024;
/// Resend a snapshot chunk that was not answered in this time.
pub const SNAPSHOT_RETRY_MS: u64 = 500;
/// Log bytes between two slot writes: minutes of tickets, and a start reads at most twice this.
pub const LOG_BYTES: u64 = 32 * 1024 * 1024;
/// Members add up to as much again, in so many steps, so that a majority is not writing slots at once.
pub const LOG_SPREAD: u64 = 8;
/// Largest record in the log file; a larger length is damage.
pub const LOG_RECORD_BYTES: usize = 64 * 1024 * 1024;
/// Entries kept behind a snapshot, so that a slow follower needs no snapshot.
pub const ENTRIES_KEPT: u64 = 2_000;
/// A voter silent this long is replaced when a learner stands ready.
pub const VOTER_DEAD_MS: u64 = 4_000;
/// A learner this close to the tail is caught up.
pub const LEARNER_LAG_ENTRIES: u64 = 200;
/// Voters in a control plane: one per disk machine.
pub const VOTERS: usize = 3;
/// A stopping controller's note counts this long; an heir is elected within a few milliseconds.
pub const HANDED_KEEP_MS: u64 = 500;
/// A stopping controller waits this long for an heir: three elections without its help.
pub const HAND_OVER_MS: u64 = 3_000;
/// Fresh control nodes greet each other at this pace until a log exists.
pub const GREET_MS: u64 = 200;
/// A fresh node unheard for ten greetings is no longer counted.
pub const HEARD_KEEP_MS: u64 = 10 * GREET_MS;
/// A voter that just started asks the others at this pace whether any of them leads.
pub const WHO_MS: u64 = 60;
/// A learner stands by so long before a voter leaves for it: whose place it took is known silent by
/// then, for 'heard lately' is four heartbeats.
pub const LEARNER_SETTLE_MS: u64 = 1_000;
/// A write that a full disk refused is tried again at this pace: one small write a try, and space
/// is used soon after it is there.
pub const DISK_FULL_PAUSE_MS: u64 = 50;
/// A disk stalls if a write waits longer for its sync. A disk of 5 ms a sync that is slowed thirty
/// times keeps a write waiting for two syncs, 300 ms; another leads before clients' bounds pass.
pub const DISK_STALL_MS: u64 = 400;
/// The same while a slot is among the writes: it takes three syncs and megabytes.
pub const DISK_STALL_SLOT_MS: u64 = 1_500;
/// A leader that could not hand over in this time, its disk stalled, steps down all the same.
pub const DISK_YIELD_MS: u64 = ELECTION_MIN_MS;
