//! Groups splices into log records of bounded size.

use postbarrow_constants::plans::SPLICES_PER_PATCH;
use postbarrow_state::Splice;

/// Groups splices so that each group, which becomes one record, inserts at most `max_items` items
/// and has at most `SPLICES_PER_PATCH` splices. The positions of the given splices refer to the old
/// sequence; those in a group refer to the sequence after all earlier groups were applied.
pub(crate) fn group_splices<T: Clone>(
    splices: impl Iterator<Item = Splice<Vec<T>>>,
    max_items: usize,
) -> Vec<Vec<Splice<Vec<T>>>> {
    let (mut groups, mut group) = (Vec::new(), Vec::new());
    let (mut items, mut length_change, mut length_change_before_group) = (0, 0_i64, 0_i64);
    for mut splice in splices.flat_map(|splice| split(splice, max_items)) {
        let count = splice.inserted.len();
        if !group.is_empty() && (items + count > max_items || group.len() >= SPLICES_PER_PATCH) {
            groups.push(std::mem::take(&mut group));
            (items, length_change_before_group) = (0, length_change);
        }
        items += count;
        length_change += count as i64 - splice.removed as i64;
        splice.at = splice.at.saturating_add_signed(length_change_before_group);
        group.push(splice);
    }
    if !group.is_empty() {
        groups.push(group);
    }
    groups
}

/// Splits a splice into splices that insert at most `max_items` items each; the first one also
/// removes the old items.
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
