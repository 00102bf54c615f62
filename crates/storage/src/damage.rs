//! Losses of synced data that are found when a disk is opened.

/// A loss of data that had been synced, after which a process on this disk must not vote as the
/// member that the disk belonged to.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// Neither slot is intact, but a log has a second record, which is written only after its slot
    /// is synced.
    #[error("neither slot is intact, but a log shows that one was synced")]
    NoIntactSlot,
    /// A log follows a synced slot that is newer than any intact slot.
    #[error("{slot}: the log that follows it is newer than any intact slot")]
    LostSlot {
        /// Name of the damaged slot's file.
        slot: &'static str,
    },
    /// The log of the newest slot does not begin with an intact first record of its generation.
    #[error("{log}: the first record is missing")]
    LostLogStart {
        /// Name of the log's file.
        log: &'static str,
    },
    /// A record is not intact, and a later one shows that it had been synced.
    #[error("{log}: record {sequence} at byte {offset} was synced but is not intact")]
    LostRecord {
        /// Name of the log's file.
        log: &'static str,
        /// Offset in the file at which the record should begin, in bytes.
        offset: usize,
        /// The record's number within its log, from 1.
        sequence: u64,
    },
}
