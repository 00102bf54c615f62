//! Decides, from the last complete scan and earlier ones, which targets are no longer listed.

use super::page::ListPage;
use postbarrow_constants::nodes::{LIST_MISSES, LIST_SHRUNK_SCANS};
use postbarrow_state::Name;
use std::collections::{BTreeMap, BTreeSet};

/// Known targets that a complete scan did not find.
pub(crate) struct Absence {
    /// Targets that are no longer listed.
    pub removed: Vec<Name>,
    /// Targets that were not found, but whose row may only have shifted to a page that had been
    /// read already.
    pub unconfirmed: Vec<Name>,
}

/// The results of earlier scans that the decision depends on.
#[derive(Default)]
pub(crate) struct AbsenceTracker {
    /// Instances in the last complete scan, in the list's order; unconfirmed targets keep their
    /// place among them.
    order: Vec<Name>,
    /// Number of consecutive scans in which each unconfirmed target was missing.
    misses: BTreeMap<Name, u8>,
    /// Number of consecutive complete scans that found less than half of the known targets.
    shrunk_scans: u8,
}

impl AbsenceTracker {
    pub fn order(&self) -> &[Name] {
        &self.order
    }

    pub fn set_order(&mut self, order: Vec<Name>) {
        self.order = order;
    }

    /// Records that a request to the list failed. Shrunk scans before and after a failure don't
    /// count as consecutive, since the list may be at fault.
    pub fn on_failure(&mut self) {
        self.shrunk_scans = 0;
    }

    /// Decides on the known targets that a complete scan of these pages did not find. A target
    /// counts as removed if its neighbours show that it has left the list, or after `LIST_MISSES`
    /// scans without it. A scan that finds less than half of the known targets may be a fault of
    /// the list itself: it removes targets only after `LIST_SHRUNK_SCANS` such scans in a row.
    pub fn on_scan(&mut self, pages: &[&ListPage], known: &[Name]) -> Absence {
        let rows = || pages.iter().flat_map(|page| &page.targets);
        let found: BTreeSet<&Name> = rows().map(|row| &row.instance).collect();
        let has_shrunk = found.len() * 2 < known.len();
        self.shrunk_scans = if has_shrunk { self.shrunk_scans.saturating_add(1) } else { 0 };
        let is_trusted = !has_shrunk || self.shrunk_scans >= LIST_SHRUNK_SCANS;
        let earlier = std::mem::take(&mut self.misses);
        let misses = |name: &Name| earlier.get(name).copied().unwrap_or(0) + 1;
        let missing = known.iter().filter(|name| !found.contains(name));
        let (removed, unconfirmed): (Vec<Name>, Vec<Name>) = missing.cloned().partition(|name| {
            let is_confirmed = self.has_left_list(name, &found, pages);
            is_trusted && (is_confirmed || misses(name) >= LIST_MISSES)
        });
        self.misses = unconfirmed.iter().map(|name| (name.clone(), misses(name))).collect();
        self.order =
            self.next_order(rows().map(|row| row.instance.clone()).collect(), &unconfirmed);
        Absence { removed, unconfirmed }
    }

    /// Returns the listed instances in their order. Each unconfirmed one is inserted behind the
    /// last listed instance that preceded it in earlier scans.
    fn next_order(&self, mut order: Vec<Name>, unconfirmed: &[Name]) -> Vec<Name> {
        for name in unconfirmed.iter().filter(|name| self.order.contains(name)) {
            let before = self.order.iter().take_while(|known| *known != name);
            let last =
                before.filter_map(|known| order.iter().position(|other| other == known)).max();
            order.insert(last.map_or(0, |at| at + 1), name.clone());
        }
        order
    }

    /// Returns whether the target has certainly left the list: its neighbours in the last scan are
    /// now adjacent on one page, so its row has not shifted to a page that had been read already.
    /// At an end of the list, the only neighbour must now be the first or the last row.
    fn has_left_list(&self, name: &Name, found: &BTreeSet<&Name>, pages: &[&ListPage]) -> bool {
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
