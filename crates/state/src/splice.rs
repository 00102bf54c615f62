//! Splices: how a plan's delta edits the routes and the text of the plan in force.

use crate::Route;
use imbl::Vector;
use postbarrow_constants::plans::TEXT_CHUNK_BYTES;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Replaces a run of items. Positions are those before the record that contains the splice; the
/// splices of one record are in ascending order without overlap.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Splice<I> {
    /// Index of the first item replaced.
    pub at: u64,
    /// How many items are removed there.
    pub removed: u64,
    /// The items in their place.
    pub inserted: I,
}

/// Replaces routes.
pub type RouteSplice = Splice<Vec<Route>>;
/// Replaces bytes of the plan's text.
pub type TextSplice = Splice<serde_bytes::ByteBuf>;

/// Routes that no splice replaces stay shared with the image before.
pub(crate) fn patch_routes(routes: &mut Vector<Arc<Route>>, splices: &[RouteSplice]) {
    let keeps_length = |splice: &RouteSplice| {
        splice.removed == splice.inserted.len() as u64
            && splice.at.saturating_add(splice.removed) <= routes.len() as u64
    };
    if splices.iter().all(keeps_length) {
        for splice in splices {
            for (step, route) in splice.inserted.iter().enumerate() {
                routes.set(splice.at as usize + step, Arc::new(route.clone()));
            }
        }
        return;
    }
    let mut patched = Vector::new();
    let mut remaining = routes.iter().cloned();
    let mut position = 0;
    for splice in splices {
        let before = splice.at.saturating_sub(position) as usize;
        patched.extend(remaining.by_ref().take(before));
        remaining.by_ref().take(splice.removed as usize).for_each(drop);
        position = splice.at.saturating_add(splice.removed);
        patched.extend(splice.inserted.iter().cloned().map(Arc::new));
    }
    patched.extend(remaining);
    *routes = patched;
}

/// The patched text is divided into even chunks again, as a complete plan's is, so that their number
/// doesn't grow with the changes; chunks that stayed the same stay shared.
pub(crate) fn patch_text(chunks: &mut Vector<Arc<Vec<u8>>>, splices: &[TextSplice]) {
    let text: Vec<u8> = chunks.iter().flat_map(|chunk| chunk.iter().copied()).collect();
    let mut patched = Vec::with_capacity(text.len());
    let mut position = 0;
    for splice in splices {
        let at = (splice.at as usize).clamp(position, text.len());
        patched.extend_from_slice(&text[position..at]);
        patched.extend_from_slice(&splice.inserted);
        position = at.saturating_add(splice.removed as usize).min(text.len());
    }
    patched.extend_from_slice(&text[position..]);
    let mut former_chunks = chunks.iter();
    let even_chunks = patched.chunks(TEXT_CHUNK_BYTES).map(|chunk| match former_chunks.next() {
        Some(former) if former.as_slice() == chunk => former.clone(),
        _ => Arc::new(chunk.to_vec()),
    });
    *chunks = even_chunks.collect();
}
