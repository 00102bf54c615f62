//! Which targets are no longer listed, by a complete scan and those before it.

use super::page::ListPage;
use postbarrow_constants::nodes::{LIST_MISSES, LIST_SHRUNK_SCANS};
use postbarrow_state::Name;
use std::collections::{BTreeMap, BTreeSet};

/// Known targets that a complete scan did not find.
pub(crate) struct Absence {
    /// No longer listed, for certain.
    pub gone: Vec<Name>,
    /// Missing, but a row may only have shifted to a page that was read before.
    pub doubtful: Vec<Name>,
}

/// What earlier scans found.
#[derive(Default)]
pub(crate) struct AbsenceTracker {
    /// Rows of the last complete scan, in their order.
    order: Vec<Name>,
    /// Doubtful targets, with in how many consecutive scans each was missing.
    misses: BTreeMap<Name, u8>,
    /// Consecutive complete scans that found less than half of the known targets.
    shrunk_scans: u8,
}

impl AbsenceTracker {
    pub fn order(&self) -> &[Name] {
        &self.order
    }

    pub fn set_order(&mut self, order: Vec<Name>) {
        self.order = order;
    }

    /// A failing list says little: shrunk scans around a failure are not consecutive.
    pub fn on_failure(&mut self) {
        self.shrunk_scans = 0;
    }

    /// Decides on the known targets that a complete scan of these pages did not find. A list that
    /// shrank sharply may be the list's own fault: it needs further scans to be believed.
    pub fn on_scan(&mut self, pages: &[&ListPage], known: &[Name]) -> Absence {
        let rows = || pages.iter().flat_map(|page| &page.targets);
        let found: BTreeSet<&Name> = rows().map(|row| &row.instance).collect();
        let has_shrunk = found.len() * 2 < known.len();
        self.shrunk_scans = if has_shrunk { self.shrunk_scans.saturating_add(1) } else { 0 };
        let is_believed = !has_shrunk || self.shrunk_scans >= LIST_SHRUNK_SCANS;
        let earlier = std::mem::take(&mut self.misses);
        let misses = |name: &Name| earlier.get(name).copied().unwrap_or(0) + 1;
        let missing = known.iter().filter(|name| !found.contains(name));
        let (gone, doubtful): (Vec<Name>, Vec<Name>) = missing.cloned().partition(|name| {
            let is_certain = self.is_certain(name, &found, pages);
            is_believed && (is_certain || misses(name) >= LIST_MISSES)
        });
        self.misses = doubtful.iter().map(|name| (name.clone(), misses(name))).collect();
        self.order = self.next_order(rows().map(|row| row.instance.clone()).collect(), &doubtful);
        Absence { gone, doubtful }
    }

    /// The listed rows in their order, with doubtful ones behind those that they followed before.
    fn next_order(&self, mut order: Vec<Name>, doubtful: &[Name]) -> Vec<Name> {
        for name in doubtful.iter().filter(|name| self.order.contains(name)) {
            let before = self.order.iter().take_while(|known| *known != name);
            let last =
                before.filter_map(|known| order.iter().position(|other| other == known)).max();
            order.insert(last.map_or(0, |at| at + 1), name.clone());
        }
        order
    }

    /// Its neighbours of the last scan stand side by side on one page, so it has not shifted to a
    /// page that had been read already.
    fn is_certain(&self, name: &Name, found: &BTreeSet<&Name>, pages: &[&ListPage]) -> bool {
        let Some(at) = self.order.iter().position(|known| known == name) else { return false };
        let is_found = |known: &&Name| found.contains(*known);
        let before = self.order[..at].iter().rev().find(is_found);
        let after = self.order[at + 1..].iter().find(is_found);
        let position = |wanted: &Name| {
            pages.iter().enumerate().find_map(|(page, listed)| {
                let row = listed.targets.iter().position(|row| row.instance == *wanted)?;
                Some((page, row))
            })
        };
        match (before.and_then(position), after.and_then(position)) {
            (Some((page, row)), Some((next, later))) => page == next && later == row + 1,
            (None, Some(first)) => before.is_none() && first == (0, 0),
            (Some((page, row)), None) => {
                after.is_none() && page + 1 == pages.len() && row + 1 == pages[page].targets.len()
            }
            (None, None) => before.is_none() && after.is_none(),
        }
    }
}
