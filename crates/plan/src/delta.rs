//! A submitted plan as a delta of the plan in force: records in proportion to what differs.

use crate::difference::{Change, changes, trim};
use postbarrow_constants::plans::{ROUTES_PER_PATCH, SPLICES_PER_PATCH, TEXT_CHUNK_BYTES};
use postbarrow_state::{PlanHead, Record, Route, Splice, State};
use postbarrow_transactions::Image as _;

/// Records that make the submitted plan from the one in force. None if there is no plan in force,
/// or if they would be no fewer bytes than the whole, or if they would not make the very same
/// state: then the whole form goes into the log.
pub fn delta(in_force: &State, submitted: &[Record]) -> Option<Vec<Record>> {
    in_force.plan.as_ref()?;
    let whole = applied(State::default(), submitted);
    let records = difference(in_force, &whole, whole.plan.as_deref()?);
    if encoded_bytes(&records) >= encoded_bytes(submitted) {
        return None;
    }
    applied(in_force.clone(), &records).has_plan_of(&whole).then_some(records)
}

fn applied(mut state: State, records: &[Record]) -> State {
    records.iter().for_each(|record| state.apply(0, record));
    state
}

fn encoded_bytes(records: &[Record]) -> usize {
    records.iter().map(|record| rmp_serde::to_vec(record).map_or(0, |bytes| bytes.len())).sum()
}

fn difference(old: &State, new: &State, head: &PlanHead) -> Vec<Record> {
    let (version, base) = (head.version.clone(), head.base.clone());
    let mut records = vec![Record::PlanDelta { version, base }];
    if old.client_limits != new.client_limits {
        records.push(Record::ClientLimits(new.client_limits.clone()));
    }
    let gone = old.services.keys().filter(|name| !new.services.contains_key(*name));
    records.extend(gone.cloned().map(Record::ServiceGone));
    let changed = new.services.iter().filter(|(name, made)| old.services.get(*name) != Some(*made));
    records.extend(changed.map(|(_, made)| Record::Service(made.as_ref().clone())));
    records.extend(routes(old, new));
    records.extend(text(&old.plan_text(), &new.plan_text()));
    records
}

fn routes(old: &State, new: &State) -> Vec<Record> {
    let old: Vec<&Route> = old.routes.iter().map(AsRef::as_ref).collect();
    let new: Vec<&Route> = new.routes.iter().map(AsRef::as_ref).collect();
    let whole = Change { old: 0..old.len(), new: 0..new.len() };
    let Some(middle) = trim(&old, &new, whole) else { return Vec::new() };
    let encoded = |routes: &[&Route]| -> Vec<Vec<u8>> {
        let bytes = |route: &&Route| rmp_serde::to_vec(route).expect("a route encodes into memory");
        routes.iter().map(bytes).collect()
    };
    let (old, new) = (&old[middle.old.clone()], &new[middle.new]);
    let found = changes(&encoded(old), &encoded(new));
    let splices = found.into_iter().map(|change| Splice {
        at: (middle.old.start + change.old.start) as u64,
        removed: change.old.len() as u64,
        inserted: new[change.new].iter().map(|route| (*route).clone()).collect(),
    });
    grouped(splices, ROUTES_PER_PATCH).into_iter().map(Record::RoutesPatch).collect()
}

fn text(old: &[u8], new: &[u8]) -> Vec<Record> {
    let (old_tokens, new_tokens) = (tokens(old), tokens(new));
    let found = changes(&old_tokens, &new_tokens);
    let (old_ends, new_ends) = (ends(&old_tokens), ends(&new_tokens));
    let splices = found.into_iter().filter_map(|change| {
        let change = Change {
            old: old_ends[change.old.start]..old_ends[change.old.end],
            new: new_ends[change.new.start]..new_ends[change.new.end],
        };
        let change = trim(old, new, change)?;
        let removed = change.old.len() as u64;
        Some(Splice { at: change.old.start as u64, removed, inserted: new[change.new].to_vec() })
    });
    let bytes = |splice: Splice<Vec<u8>>| Splice {
        at: splice.at,
        removed: splice.removed,
        inserted: splice.inserted.into(),
    };
    let groups = grouped(splices, TEXT_CHUNK_BYTES).into_iter();
    groups.map(|group| Record::TextPatch(group.into_iter().map(bytes).collect())).collect()
}

/// Ends of lines and of objects part the text, so that one route is about one token.
fn tokens(text: &[u8]) -> Vec<&[u8]> {
    text.split_inclusive(|byte| matches!(byte, b'}' | b'\n')).collect()
}

/// Where each token begins, and last the text's end.
fn ends(tokens: &[&[u8]]) -> Vec<usize> {
    let mut end = 0;
    let each = tokens.iter().map(|token| {
        end += token.len();
        end
    });
    std::iter::once(0).chain(each).collect()
}

/// Splices in records of bounded size. Given are positions in the old sequence; in a record they
/// count from the sequence that the records before it made.
fn grouped<T: Clone>(
    splices: impl Iterator<Item = Splice<Vec<T>>>,
    most_items: usize,
) -> Vec<Vec<Splice<Vec<T>>>> {
    let (mut groups, mut group) = (Vec::new(), Vec::new());
    let (mut items, mut shift, mut group_shift) = (0, 0_i64, 0_i64);
    for mut piece in splices.flat_map(|splice| pieces(splice, most_items)) {
        let count = piece.inserted.len();
        if !group.is_empty() && (items + count > most_items || group.len() >= SPLICES_PER_PATCH) {
            groups.push(std::mem::take(&mut group));
            (items, group_shift) = (0, shift);
        }
        items += count;
        shift += count as i64 - piece.removed as i64;
        piece.at = piece.at.saturating_add_signed(group_shift);
        group.push(piece);
    }
    if !group.is_empty() {
        groups.push(group);
    }
    groups
}

fn pieces<T: Clone>(splice: Splice<Vec<T>>, most_items: usize) -> Vec<Splice<Vec<T>>> {
    let Splice { at, removed, inserted } = splice;
    let mut rest = inserted.chunks(most_items);
    let first = rest.next().map(<[T]>::to_vec).unwrap_or_default();
    let further = rest.map(|chunk| {
        let inserted = chunk.to_vec();
        Splice { at: at + removed, removed: 0, inserted }
    });
    std::iter::once(Splice { at, removed, inserted: first }).chain(further).collect()
}
