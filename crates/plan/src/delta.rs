//! The delta from the plan in force to a submitted plan: records whose size is in proportion to the
//! difference.

use crate::patience_diff::{Change, changes, trim};
use crate::splices::group_splices;
use postbarrow_constants::plans::{ROUTES_PER_PATCH, TEXT_CHUNK_BYTES};
use postbarrow_state::{PlanHead, Record, Route, Splice, State};
use postbarrow_transactions::{Image as _, messagepack_bytes};

/// Returns the records that turn the plan in force into the submitted one. None if there is no plan
/// in force, if these records would have no fewer bytes than the submitted ones, or if they would
/// not produce exactly the same state: the submitted records are then written to the log instead.
pub fn delta(in_force: &State, submitted: &[Record]) -> Option<Vec<Record>> {
    in_force.plan.as_ref()?;
    let submitted_state = applied(State::default(), submitted);
    let records = delta_records(in_force, &submitted_state, submitted_state.plan.as_deref()?);
    if encoded_bytes(&records) >= encoded_bytes(submitted) {
        return None;
    }
    applied(in_force.clone(), &records).has_same_plan_as(&submitted_state).then_some(records)
}

fn applied(mut state: State, records: &[Record]) -> State {
    records.iter().for_each(|record| state.apply(0, record));
    state
}

fn encoded_bytes(records: &[Record]) -> usize {
    records.iter().map(messagepack_bytes).sum()
}

fn delta_records(old: &State, new: &State, head: &PlanHead) -> Vec<Record> {
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
    let route_changes = changes(&encoded(old), &encoded(new));
    let splices = route_changes.into_iter().map(|change| Splice {
        at: (middle.old.start + change.old.start) as u64,
        removed: change.old.len() as u64,
        inserted: new[change.new].iter().map(|route| (*route).clone()).collect(),
    });
    group_splices(splices, ROUTES_PER_PATCH).into_iter().map(Record::RoutesPatch).collect()
}

fn text_patches(old: &[u8], new: &[u8]) -> Vec<Record> {
    let (old_tokens, new_tokens) = (tokens(old), tokens(new));
    let token_changes = changes(&old_tokens, &new_tokens);
    let (old_offsets, new_offsets) = (offsets(&old_tokens), offsets(&new_tokens));
    let splices = token_changes.into_iter().filter_map(|change| {
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
    let groups = group_splices(splices, TEXT_CHUNK_BYTES).into_iter();
    groups.map(|splices| Record::TextPatch(splices.into_iter().map(bytes).collect())).collect()
}

/// Splits the text after each line and each `}`, so that a route is about one token.
fn tokens(text: &[u8]) -> Vec<&[u8]> {
    text.split_inclusive(|byte| matches!(byte, b'}' | b'\n')).collect()
}

/// Returns the offset at which each token starts, followed by the length of the text.
fn offsets(tokens: &[&[u8]]) -> Vec<usize> {
    let mut end = 0;
    let ends = tokens.iter().map(|token| {
        end += token.len();
        end
    });
    std::iter::once(0).chain(ends).collect()
}
