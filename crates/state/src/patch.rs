//! Splices: how a plan's delta edits the routes and the text of the plan in force.

use crate::Route;
use imbl::Vector;
use postbarrow_constants::plans::TEXT_CHUNK_BYTES;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Replaces a run of items; positions are those before the record that holds the splice, and the
/// splices of one record rise without overlap.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Splice<I> {
    pub at: u64,
    pub removed: u64,
    pub inserted: I,
}

pub type RouteSplice = Splice<Vec<Route>>;
pub type TextSplice = Splice<serde_bytes::ByteBuf>;

/// Routes that no splice names stay shared with the image before.
pub(crate) fn patch_routes(routes: &mut Vector<Arc<Route>>, splices: &[RouteSplice]) {
    let in_place = |splice: &RouteSplice| {
        splice.removed == splice.inserted.len() as u64
            && splice.at.saturating_add(splice.removed) <= routes.len() as u64
    };
    if splices.iter().all(in_place) {
        for splice in splices {
            for (step, route) in splice.inserted.iter().enumerate() {
                routes.set(splice.at as usize + step, Arc::new(route.clone()));
            }
        }
        return;
    }
    let mut patched = Vector::new();
    let mut kept = routes.iter().cloned();
    let mut position = 0;
    for splice in splices {
        let before = splice.at.saturating_sub(position) as usize;
        patched.extend(kept.by_ref().take(before));
        kept.by_ref().take(splice.removed as usize).for_each(drop);
        position = splice.at.saturating_add(splice.removed);
        patched.extend(splice.inserted.iter().cloned().map(Arc::new));
    }
    patched.extend(kept);
    *routes = patched;
}

/// The patched text is cut into even parts again, as a whole plan's is, so that parts don't grow
/// in number with the changes; parts that stayed the same stay shared.
pub(crate) fn patch_text(parts: &mut Vector<Arc<Vec<u8>>>, splices: &[TextSplice]) {
    let text: Vec<u8> = parts.iter().flat_map(|part| part.iter().copied()).collect();
    let mut patched = Vec::with_capacity(text.len());
    let mut position = 0;
    for splice in splices {
        let at = (splice.at as usize).clamp(position, text.len());
        patched.extend_from_slice(&text[position..at]);
        patched.extend_from_slice(&splice.inserted);
        position = at.saturating_add(splice.removed as usize).min(text.len());
    }
    patched.extend_from_slice(&text[position..]);
    let mut old = parts.iter();
    let even = patched.chunks(TEXT_CHUNK_BYTES).map(|chunk| match old.next() {
        Some(part) if part.as_slice() == chunk => part.clone(),
        _ => Arc::new(chunk.to_vec()),
    });
    *parts = even.collect();
}
