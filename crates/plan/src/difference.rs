//! The difference of two sequences: patience diff, by the items that occur once in both.

use std::collections::HashMap;
use std::hash::Hash;
use std::ops::Range;

/// A run of the old sequence that a run of the new one replaces; either may be empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub old: Range<usize>,
    pub new: Range<usize>,
}

/// What differs, in order; all between the changes is the same.
pub fn changes<T: Eq + Hash>(old: &[T], new: &[T]) -> Vec<Change> {
    let whole = Change { old: 0..old.len(), new: 0..new.len() };
    let Some(middle) = trim(old, new, whole) else { return Vec::new() };
    let mut found = Vec::new();
    let (mut old_from, mut new_from) = (middle.old.start, middle.new.start);
    for (old_at, new_at) in anchors(old, new, &middle) {
        let gap = Change { old: old_from..old_at, new: new_from..new_at };
        found.extend(trim(old, new, gap));
        (old_from, new_from) = (old_at + 1, new_at + 1);
    }
    let gap = Change { old: old_from..middle.old.end, new: new_from..middle.new.end };
    found.extend(trim(old, new, gap));
    found
}

/// The change without what both runs begin and end with; none if nothing is left.
pub(crate) fn trim<T: PartialEq>(old: &[T], new: &[T], change: Change) -> Option<Change> {
    let (left, right) = (&old[change.old.clone()], &new[change.new.clone()]);
    let same = |(a, b): &(&T, &T)| a == b;
    let prefix = left.iter().zip(right).take_while(same).count();
    let (left, right) = (&left[prefix..], &right[prefix..]);
    let suffix = left.iter().rev().zip(right.iter().rev()).take_while(same).count();
    let old = change.old.start + prefix..change.old.end - suffix;
    let new = change.new.start + prefix..change.new.end - suffix;
    (!old.is_empty() || !new.is_empty()).then_some(Change { old, new })
}

#[derive(Default)]
struct Places {
    old: Vec<usize>,
    new: Vec<usize>,
}

/// The longest run of items, unique on both sides, that stand in the same order.
fn anchors<T: Eq + Hash>(old: &[T], new: &[T], middle: &Change) -> Vec<(usize, usize)> {
    let mut places: HashMap<&T, Places> = HashMap::new();
    for at in middle.old.clone() {
        places.entry(&old[at]).or_default().old.push(at);
    }
    for at in middle.new.clone() {
        places.entry(&new[at]).or_default().new.push(at);
    }
    let unique = places.values().filter_map(|places| match (&places.old[..], &places.new[..]) {
        ([old_at], [new_at]) => Some((*old_at, *new_at)),
        _ => None,
    });
    let mut pairs: Vec<(usize, usize)> = unique.collect();
    pairs.sort_unstable_by_key(|(_, new_at)| *new_at);
    longest_rising(&pairs)
}

/// The longest subsequence whose first numbers rise.
fn longest_rising(pairs: &[(usize, usize)]) -> Vec<(usize, usize)> {
    let mut ends: Vec<usize> = Vec::new();
    let mut before: Vec<Option<usize>> = Vec::with_capacity(pairs.len());
    for (at, (old_at, _)) in pairs.iter().enumerate() {
        let length = ends.partition_point(|end| pairs[*end].0 < *old_at);
        before.push(length.checked_sub(1).map(|shorter| ends[shorter]));
        match ends.get_mut(length) {
            Some(end) => *end = at,
            None => ends.push(at),
        }
    }
    let mut chosen = Vec::new();
    let mut at = ends.last().copied();
    while let Some(one) = at {
        chosen.push(pairs[one]);
        at = before[one];
    }
    chosen.reverse();
    chosen
}
