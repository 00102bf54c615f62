//! The difference of two sequences by patience diff (Cohen), which aligns them at the items that
//! occur exactly once in each.

use std::collections::HashMap;
use std::hash::Hash;
use std::ops::Range;

/// A range of the old sequence that is replaced by a range of the new one; either may be empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The replaced positions in the old sequence.
    pub old: Range<usize>,
    /// The replacing positions in the new sequence.
    pub new: Range<usize>,
}

/// Returns the changes from the old to the new sequence, in order; the items between them are
/// equal.
pub fn changes<T: Eq + Hash>(old: &[T], new: &[T]) -> Vec<Change> {
    let all = Change { old: 0..old.len(), new: 0..new.len() };
    let Some(middle) = trim(old, new, all) else { return Vec::new() };
    let mut differences = Vec::new();
    let (mut old_from, mut new_from) = (middle.old.start, middle.new.start);
    for (old_at, new_at) in anchors(old, new, &middle) {
        let gap = Change { old: old_from..old_at, new: new_from..new_at };
        differences.extend(trim(old, new, gap));
        (old_from, new_from) = (old_at + 1, new_at + 1);
    }
    let gap = Change { old: old_from..middle.old.end, new: new_from..middle.new.end };
    differences.extend(trim(old, new, gap));
    differences
}

/// Removes from a change the items that both ranges start and end with; none if nothing remains.
pub(crate) fn trim<T: PartialEq>(old: &[T], new: &[T], change: Change) -> Option<Change> {
    let (old_run, new_run) = (&old[change.old.clone()], &new[change.new.clone()]);
    let is_same = |(one, other): &(&T, &T)| one == other;
    let prefix = old_run.iter().zip(new_run).take_while(is_same).count();
    let (old_run, new_run) = (&old_run[prefix..], &new_run[prefix..]);
    let suffix = old_run.iter().rev().zip(new_run.iter().rev()).take_while(is_same).count();
    let old = change.old.start + prefix..change.old.end - suffix;
    let new = change.new.start + prefix..change.new.end - suffix;
    (!old.is_empty() || !new.is_empty()).then_some(Change { old, new })
}

/// The positions of one item in both sequences.
#[derive(Default)]
struct Occurrences {
    old: Vec<usize>,
    new: Vec<usize>,
}

/// Returns the positions, in the old and the new sequence, of the longest series of items that
/// occur exactly once in each sequence and are in the same order in both.
fn anchors<T: Eq + Hash>(old: &[T], new: &[T], middle: &Change) -> Vec<(usize, usize)> {
    let mut occurrences: HashMap<&T, Occurrences> = HashMap::new();
    for at in middle.old.clone() {
        occurrences.entry(&old[at]).or_default().old.push(at);
    }
    for at in middle.new.clone() {
        occurrences.entry(&new[at]).or_default().new.push(at);
    }
    let unique = occurrences.values().filter_map(|found| match (&found.old[..], &found.new[..]) {
        ([old_at], [new_at]) => Some((*old_at, *new_at)),
        _ => None,
    });
    let mut pairs: Vec<(usize, usize)> = unique.collect();
    pairs.sort_unstable_by_key(|(_, new_at)| *new_at);
    longest_increasing(&pairs)
}

/// Returns the longest subsequence whose first numbers increase, by patience sorting.
fn longest_increasing(pairs: &[(usize, usize)]) -> Vec<(usize, usize)> {
    // At index n: the pair with the smallest first number that ends a subsequence of length n + 1.
    let mut last_pairs: Vec<usize> = Vec::new();
    let mut previous: Vec<Option<usize>> = Vec::with_capacity(pairs.len());
    for (at, (old_at, _)) in pairs.iter().enumerate() {
        let length = last_pairs.partition_point(|last| pairs[*last].0 < *old_at);
        previous.push(length.checked_sub(1).map(|shorter| last_pairs[shorter]));
        match last_pairs.get_mut(length) {
            Some(last) => *last = at,
            None => last_pairs.push(at),
        }
    }
    let mut longest = Vec::new();
    let mut at = last_pairs.last().copied();
    while let Some(pair) = at {
        longest.push(pairs[pair]);
        at = previous[pair];
    }
    longest.reverse();
    longest
}
