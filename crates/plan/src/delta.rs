//! A submitted plan as a delta of the plan in force: records in proportion to what differs.

use crate::patience_diff::{Change, changes, trim};
use crate::splices::group;
use postbarrow_constants::plans::{ROUTES_PER_PATCH, TEXT_CHUNK_BYTES};
use postbarrow_state::{PlanHead, Record, Route, Splice, State};
use postbarrow_transactions::Image as _;

/// Records that make the submitted plan from the one in force. None if there is no plan in force,
/// or if they would be no fewer bytes than the submitted ones, or if they would not make the very
/// same state: then the submitted records go into the log.
pub fn delta(in_force: &State, submitted: &[Record]) -> Option<Vec<Record>> {
    in_force.plan.as_ref()?;
    let wanted = applied(State::default(), submitted);
    let records = difference(in_force, &wanted, wanted.plan.as_deref()?);
    if encoded_bytes(&records) >= encoded_bytes(submitted) {
        return None;
    }
    applied(in_force.clone(), &records).has_plan_of(&wanted).then_some(records)
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
    let removed = old.services.keys().filter(|name| !new.services.contains_key(*name));
    records.extend(removed.cloned().map(Record::ServiceGone));
    let changed =
        new.services.iter().filter(|(name, service)| old.services.get(*name) != Some(*service));
    records.extend(changed.map(|(_, service)| Record::Service(service.as_ref().clone())));
    records.extend(route_patches(old, new));
    records.extend(text_patches(&old.plan_text(), &new.plan_text()));
    records
}

fn route_patches(old: &State, new: &State) -> Vec<Record> {
    let old: Vec<&Route> = old.routes.iter().map(AsRef::as_ref).collect();
    let new: Vec<&Route> = new.routes.iter().map(AsRef::as_ref).collect();
    let all = Change { old: 0..old.len(), new: 0..new.len() };
    let Some(middle) = trim(&old, &new, all) else { return Vec::new() };
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
    group(splices, ROUTES_PER_PATCH).into_iter().map(Record::RoutesPatch).collect()
}

fn text_patches(old: &[u8], new: &[u8]) -> Vec<Record> {
    let (old_tokens, new_tokens) = (tokens(old), tokens(new));
    let found = changes(&old_tokens, &new_tokens);
    let (old_offsets, new_offsets) = (offsets(&old_tokens), offsets(&new_tokens));
    let splices = found.into_iter().filter_map(|change| {
        let change = Change {
            old: old_offsets[change.old.start]..old_offsets[change.old.end],
            new: new_offsets[change.new.start]..new_offsets[change.new.end],
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
    let groups = group(splices, TEXT_CHUNK_BYTES).into_iter();
    groups.map(|splices| Record::TextPatch(splices.into_iter().map(bytes).collect())).collect()
}

/// The text split after lines and objects, so that one route is about one token.
fn tokens(text: &[u8]) -> Vec<&[u8]> {
    text.split_inclusive(|byte| matches!(byte, b'}' | b'\n')).collect()
}

/// Where each token starts, and last the text's end.
fn offsets(tokens: &[&[u8]]) -> Vec<usize> {
    let mut end = 0;
    let each = tokens.iter().map(|token| {
        end += token.len();
        end
    });
    std::iter::once(0).chain(each).collect()
}
