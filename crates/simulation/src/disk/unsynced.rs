//! Changes of a file that a loss of power keeps or loses.

/// One change of a file.
#[derive(Clone)]
pub(super) enum Op {
    Write { offset: u64, bytes: Vec<u8> },
    Truncate { length: u64 },
}

/// One file, as a loss of power would leave it and as it reads now.
#[derive(Clone, Default)]
pub(super) struct SimFile {
    pub durable: Vec<u8>,
    pub visible: Vec<u8>,
    pub unsynced: Vec<Op>,
    /// Whether its name lasts.
    pub named: bool,
    pub reserved: u64,
}

/// Makes the change in these bytes.
pub(super) fn apply_op(into: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Write { offset, bytes } => {
            let end = *offset as usize + bytes.len();
            if into.len() < end {
                into.resize(end, 0);
            }
            into[*offset as usize..end].copy_from_slice(bytes);
        }
        Op::Truncate { length } => into.resize(*length as usize, 0),
    }
}

impl Op {
    /// What lasts or goes by itself: two parts of a write, as with two blocks of a disk.
    pub fn fragments(&self, split: &mut impl FnMut(usize) -> usize) -> Vec<Op> {
        match self {
            Op::Write { offset, bytes } => {
                let (first, second) = bytes.split_at(split(bytes.len()));
                let later = offset + first.len() as u64;
                let fragment = |offset, bytes: &[u8]| Op::Write { offset, bytes: bytes.to_vec() };
                vec![fragment(*offset, first), fragment(later, second)]
            }
            Op::Truncate { .. } => vec![self.clone()],
        }
    }

    /// How many parts it has.
    pub fn count(&self) -> usize {
        match self {
            Op::Write { .. } => 2,
            Op::Truncate { .. } => 1,
        }
    }
}
