//! Splices: the edits by which a plan's delta changes the routes and the text of the plan in force.

use crate::Route;
use imbl::Vector;
use postbarrow_constants::plans::TEXT_CHUNK_BYTES;
use serde::{Deserialize, Serialize};
use std::ops::Range;
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
/// with unchanged content stay shared with earlier images, and only those that the splices can
/// change are copied: a large delta consists of many records.
pub(crate) fn patch_text(chunks: &mut Vector<Arc<Vec<u8>>>, splices: &[TextSplice]) {
    let affected = affected_chunks(chunks, splices);
    let suffix = chunks.split_off(affected.end);
    let old_chunks = chunks.split_off(affected.start);
    let start_offset = affected.start * TEXT_CHUNK_BYTES;
    let patched = patched_bytes(&old_chunks, start_offset, splices);
    let mut old_chunks = old_chunks.iter();
    let new_chunks = patched.chunks(TEXT_CHUNK_BYTES).map(|chunk| match old_chunks.next() {
        Some(old) if old.as_slice() == chunk => old.clone(),
        _ => Arc::new(chunk.to_vec()),
    });
    chunks.extend(new_chunks);
    chunks.append(suffix);
}

/// Returns the range of the chunks outside which the splices leave every chunk as it is.
fn affected_chunks(chunks: &Vector<Arc<Vec<u8>>>, splices: &[TextSplice]) -> Range<usize> {
    let complete = chunks.len().saturating_sub(1);
    let is_aligned = chunks.iter().take(complete).all(|chunk| chunk.len() == TEXT_CHUNK_BYTES)
        && chunks.last().is_none_or(|chunk| chunk.len() <= TEXT_CHUNK_BYTES);
    let (Some(first), Some(last), true) = (splices.first(), splices.last(), is_aligned) else {
        return 0..chunks.len();
    };
    let start = (first.at as usize / TEXT_CHUNK_BYTES).min(complete);
    let inserted_bytes: usize = splices.iter().map(|splice| splice.inserted.len()).sum();
    let removed_bytes =
        splices.iter().fold(0, |sum: u64, splice| sum.saturating_add(splice.removed));
    let shift_bytes = (inserted_bytes as u64).abs_diff(removed_bytes);
    let end_offset = last.at.saturating_add(last.removed) as usize;
    let end = end_offset.div_ceil(TEXT_CHUNK_BYTES);
    if shift_bytes.is_multiple_of(TEXT_CHUNK_BYTES as u64) && (start..complete).contains(&end) {
        start..end
    } else {
        start..chunks.len()
    }
}

/// Returns the bytes of the chunks, the first of which starts at `start_offset` of the text, with
/// the splices applied.
fn patched_bytes(
    chunks: &Vector<Arc<Vec<u8>>>,
    start_offset: usize,
    splices: &[TextSplice],
) -> Vec<u8> {
    let mut text = Vec::with_capacity(chunks.iter().map(|chunk| chunk.len()).sum());
    chunks.iter().for_each(|chunk| text.extend_from_slice(chunk));
    let mut patched = Vec::with_capacity(text.len());
    let mut position = 0;
    for splice in splices {
        let at = (splice.at as usize).saturating_sub(start_offset).clamp(position, text.len());
        patched.extend_from_slice(&text[position..at]);
        patched.extend_from_slice(&splice.inserted);
        position = at.saturating_add(splice.removed as usize).min(text.len());
    }
    patched.extend_from_slice(&text[position..]);
    patched
}
