//! Changes of a file that a loss of power may drop.

/// One change of a file.
#[derive(Clone)]
pub(super) enum Op {
    Write { offset: u64, bytes: Vec<u8> },
    Truncate { length: u64 },
}

/// One file: its durable content, and its content as it reads now.
#[derive(Clone, Default)]
pub(super) struct SimFile {
    pub durable: Vec<u8>,
    pub visible: Vec<u8>,
    pub unsynced: Vec<Op>,
    /// Whether its directory entry is durable.
    pub named: bool,
    pub reserved: u64,
}

/// Applies the change to these bytes.
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
    /// Fragments that survive or are lost independently: two of a write, as with two blocks of a
    /// disk.
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

    /// How many fragments it has.
    pub fn count(&self) -> usize {
        match self {
            Op::Write { .. } => 2,
            Op::Truncate { .. } => 1,
        }
    }
}
