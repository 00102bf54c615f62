//! Splices: the edits by which a plan's delta changes the routes and the text of the plan in force.

use crate::Route;
use imbl::Vector;
use postbarrow_constants::plans::TEXT_CHUNK_BYTES;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A replacement of consecutive items of a sequence. Positions refer to the sequence as it is
/// before the record that contains the splice is applied; the splices of one record are in
/// ascending order and don't overlap.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Splice<I> {
    /// Index of the first item that is replaced.
    pub at: u64,
    /// Number of items that are removed, starting at `at`.
    pub removed: u64,
    /// Items that are inserted at `at` instead of the removed ones.
    pub inserted: I,
}

/// A splice of the plan's routes; positions count routes.
pub type RouteSplice = Splice<Vec<Route>>;
/// A splice of the plan's text; positions count bytes.
pub type TextSplice = Splice<serde_bytes::ByteBuf>;

/// Applies splices to the routes. Routes that no splice replaces stay shared with earlier images.
pub(crate) fn patch_routes(routes: &mut Vector<Arc<Route>>, splices: &[RouteSplice]) {
    let keeps_length = |splice: &RouteSplice| {
        splice.removed == splice.inserted.len() as u64
            && splice.at.saturating_add(splice.removed) <= routes.len() as u64
    };
    if splices.iter().all(keeps_length) {
        for splice in splices {
            for (index, route) in splice.inserted.iter().enumerate() {
                routes.set(splice.at as usize + index, Arc::new(route.clone()));
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

/// Applies splices to the text. The result is divided again into chunks of `TEXT_CHUNK_BYTES`, like
/// the text of a complete plan, so that the number of chunks doesn't grow with each change. Chunks
/// with unchanged content stay shared with earlier images.
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
    let mut old_chunks = chunks.iter();
    let new_chunks = patched.chunks(TEXT_CHUNK_BYTES).map(|chunk| match old_chunks.next() {
        Some(old) if old.as_slice() == chunk => old.clone(),
        _ => Arc::new(chunk.to_vec()),
    });
    *chunks = new_chunks.collect();
}
