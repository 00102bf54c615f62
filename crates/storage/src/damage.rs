//! Synced bytes that a disk no longer has.

/// Why a disk may not vote as the member that was on it: something that had been synced is missing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// A log was written past its start, and neither slot is intact.
    #[error("no slot is sound, yet a log is")]
    NoIntactSlot,
    /// A log follows a slot that is newer than any intact one.
    #[error("{slot}: its log is newer than any sound slot")]
    LostSlot {
        /// The damaged slot's file.
        slot: &'static str,
    },
    /// The log of the newest slot does not begin with its first record.
    #[error("{log}: its start is missing")]
    LostLogStart {
        /// The log's file.
        log: &'static str,
    },
    /// A record is not intact, and a later one shows that it had been synced.
    #[error("{log}: byte {offset}: record {sequence} was synced and is not sound")]
    LostRecord {
        /// The log's file.
        log: &'static str,
        /// Where the record should begin, in bytes.
        offset: usize,
        /// The record's number within its log.
        sequence: u64,
    },
}
