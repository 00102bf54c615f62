use crate::endpoint_list_scan::EndpointListScan;
use crate::list_page::ListPage;
use postbarrow_constants::nodes::*;
use postbarrow_constants::plans::DRAIN_TRANSACTION_WAIT_MS;
use postbarrow_state::Name;
use std::collections::BTreeSet;

/// What a whole walk says of those it did not find.
impl EndpointListScan {
    pub(crate) fn is_departing(&self, instance: &Name) -> bool {
        let read = self.pages.iter().filter_map(|page| page.read.as_ref());
        read.flat_map(|listed| &listed.targets).any(|row| row.draining && row.instance == *instance)
    }

    /// Who is missing, of those that were known: for certain, or doubtfully. A row may only have been
    /// pushed to a page read before, and a list that shrank sharply may be the list's own trouble:
    /// these need further walks, made at once, to be believed.
    pub(crate) fn complete(&mut self, now_ms: u64, known: &[Name]) -> (Vec<Name>, Vec<Name>) {
        let read: Vec<&ListPage> =
            self.pages.iter().filter_map(|page| page.read.as_ref()).collect();
        let rows = || read.iter().flat_map(|listed| &listed.targets);
        let found: BTreeSet<&Name> = rows().map(|row| &row.instance).collect();
        let shrunk = found.len() * 2 < known.len();
        self.shrunk_walks = if shrunk { self.shrunk_walks.saturating_add(1) } else { 0 };
        let believed = !shrunk || self.shrunk_walks >= LIST_SHRUNK_SCANS;
        let old = std::mem::take(&mut self.suspects);
        let missed = |name: &Name| old.get(name).copied().unwrap_or(0) + 1;
        let missing = known.iter().filter(|name| !found.contains(name));
        let (gone, doubtful): (Vec<Name>, Vec<Name>) = missing.cloned().partition(|name| {
            let certain = self.is_certain(name, &found, &read);
            believed && (certain || missed(name) >= LIST_MISSES)
        });
        let mut order: Vec<Name> = rows().map(|row| row.instance.clone()).collect();
        for name in doubtful.iter().filter(|name| self.order.contains(name)) {
            let before = self.order.iter().take_while(|known| *known != name);
            let last = before
                .filter_map(|known| order.iter().position(|is_found| is_found == known))
                .max();
            order.insert(last.map_or(0, |at| at + 1), name.clone());
        }
        self.suspects = doubtful.iter().map(|name| (name.clone(), missed(name))).collect();
        self.chain = self.pages.iter().map(|page| page.cursor.clone()).collect();
        self.order = order;
        self.fetches_ahead = true;
        self.finding = None;
        if doubtful.is_empty() {
            self.completed_ms = Some(now_ms);
        }
        let took_ms = now_ms.saturating_sub(self.start_ms);
        let count = self.pages.len() as u64;
        self.cycle_ms =
            LIST_SCAN_INTERVAL_MS.max(count * self.poll_rate.gap_ms()).max(took_ms + LIST_PAUSE_MS);
        self.slowest_ms = std::mem::take(&mut self.page_ms);
        self.wait_ms = (4 * self.slowest_ms).clamp(LIST_PAGE_FIRST_WAIT_MS, LIST_PAGE_WAIT_MS);
        let due_ms = match doubtful.is_empty() {
            true => (now_ms + LIST_PAUSE_MS).max(self.start_ms + LIST_SCAN_INTERVAL_MS),
            false => now_ms,
        };
        self.restart(due_ms);
        if self.leave_bound_ms() > DRAIN_BOUND_MS {
            self.poll_rate.relax(now_ms);
        }
        (gone, doubtful)
    }

    /// Its neighbours of the last walk stand side by side on one page, so it was not pushed to a
    /// page that had been read already.
    fn is_certain(&self, name: &Name, found: &BTreeSet<&Name>, read: &[&ListPage]) -> bool {
        let Some(at) = self.order.iter().position(|known| known == name) else { return false };
        let is_found = |known: &&Name| found.contains(*known);
        let before = self.order[..at].iter().rev().find(is_found);
        let after = self.order[at + 1..].iter().find(is_found);
        let on = |wanted: &Name| {
            read.iter().enumerate().find_map(|(page, listed)| {
                let row = listed.targets.iter().position(|row| row.instance == *wanted)?;
                Some((page, row))
            })
        };
        match (before.and_then(on), after.and_then(on)) {
            (Some((page, row)), Some((next, later))) => page == next && later == row + 1,
            (None, Some(position)) => before.is_none() && position == (0, 0),
            (Some((page, row)), None) => {
                after.is_none() && page + 1 == read.len() && row + 1 == read[page].targets.len()
            }
            (None, None) => before.is_none() && after.is_none(),
        }
    }

    /// From a mark in the list to the last ask at that target, at worst, with the list as it is.
    pub fn leave_bound_ms(&self) -> u64 {
        self.cycle_ms
            + self.slowest_ms
            + DRAIN_TRANSACTION_WAIT_MS
            + COMMIT_ALLOWANCE_MS
            + NODE_LEASE_MS
    }
}
