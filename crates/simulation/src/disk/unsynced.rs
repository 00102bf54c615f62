//! Unsynced changes of a file, which a power loss may drop.

/// One change of a file's content.
#[derive(Clone)]
pub(super) enum FileChange {
    Write { offset: u64, bytes: Vec<u8> },
    Truncate { length: u64 },
}

/// One file of a simulated disk.
#[derive(Clone, Default)]
pub(super) struct SimFile {
    /// The content that survives a power loss.
    pub durable: Vec<u8>,
    /// The content as it now reads, with the unsynced changes.
    pub visible: Vec<u8>,
    /// The changes since the last sync, oldest first.
    pub unsynced: Vec<FileChange>,
    /// Whether the file's directory entry is durable.
    pub entry_durable: bool,
    /// Number of bytes for which space is reserved, from the start of the file.
    pub reserved: u64,
}

/// Applies a change to a file's content; a write beyond the end extends it.
pub(super) fn apply_file_change(content: &mut Vec<u8>, change: &FileChange) {
    match change {
        FileChange::Write { offset, bytes } => {
            let end = *offset as usize + bytes.len();
            if content.len() < end {
                content.resize(end, 0);
            }
            content[*offset as usize..end].copy_from_slice(bytes);
        }
        FileChange::Truncate { length } => content.resize(*length as usize, 0),
    }
}

impl FileChange {
    /// Returns the fragments that survive a power loss independently: two of a write, as if it
    /// covered two blocks of the disk, and one of a truncation. `split` returns the length of a
    /// write's first fragment.
    pub fn fragments(&self, split: &mut impl FnMut(usize) -> usize) -> Vec<FileChange> {
        match self {
            FileChange::Write { offset, bytes } => {
                let (first, second) = bytes.split_at(split(bytes.len()));
                let second_offset = offset + first.len() as u64;
                let fragment =
                    |offset, bytes: &[u8]| FileChange::Write { offset, bytes: bytes.to_vec() };
                vec![fragment(*offset, first), fragment(second_offset, second)]
            }
            FileChange::Truncate { .. } => vec![self.clone()],
        }
    }

    /// Returns the number of fragments that `fragments` returns.
    pub fn fragment_count(&self) -> usize {
        match self {
            FileChange::Write { .. } => 2,
            FileChange::Truncate { .. } => 1,
        }
    }
}
