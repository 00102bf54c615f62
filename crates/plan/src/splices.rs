//! Splices in records of bounded size.

use postbarrow_constants::plans::SPLICES_PER_PATCH;
use postbarrow_state::Splice;

/// Groups splices into records of at most so many inserted items and `SPLICES_PER_PATCH` splices.
/// Given are positions in the old sequence; in a record they count from the sequence that the
/// records before it made.
pub(crate) fn group<T: Clone>(
    splices: impl Iterator<Item = Splice<Vec<T>>>,
    max_items: usize,
) -> Vec<Vec<Splice<Vec<T>>>> {
    let (mut groups, mut group) = (Vec::new(), Vec::new());
    let (mut items, mut shift, mut group_shift) = (0, 0_i64, 0_i64);
    for mut splice in splices.flat_map(|splice| split(splice, max_items)) {
        let count = splice.inserted.len();
        if !group.is_empty() && (items + count > max_items || group.len() >= SPLICES_PER_PATCH) {
            groups.push(std::mem::take(&mut group));
            (items, group_shift) = (0, shift);
        }
        items += count;
        shift += count as i64 - splice.removed as i64;
        splice.at = splice.at.saturating_add_signed(group_shift);
        group.push(splice);
    }
    if !group.is_empty() {
        groups.push(group);
    }
    groups
}

/// The same change in splices of at most so many inserted items; the first one removes.
fn split<T: Clone>(splice: Splice<Vec<T>>, max_items: usize) -> Vec<Splice<Vec<T>>> {
    let Splice { at, removed, inserted } = splice;
    let mut chunks = inserted.chunks(max_items);
    let first = chunks.next().map(<[T]>::to_vec).unwrap_or_default();
    let further = chunks.map(|chunk| {
        let inserted = chunk.to_vec();
        Splice { at: at + removed, removed: 0, inserted }
    });
    std::iter::once(Splice { at, removed, inserted: first }).chain(further).collect()
}
