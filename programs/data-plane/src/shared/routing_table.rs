//! The routing table in force.

use arc_swap::{ArcSwap, Guard};
use postbarrow_routing::Table;
use postbarrow_startup::Bounds;
use std::sync::Arc;

/// The routing table in force, which is replaced atomically and read without locks.
pub struct RoutingTable {
    table: ArcSwap<Table>,
}

impl RoutingTable {
    /// Returns an empty table with the retry budget of the settings.
    pub fn new(bounds: &Bounds) -> Self {
        RoutingTable {
            table: ArcSwap::from_pointee(
                Table::empty().with_retry_allowance(bounds.retry_budget()),
            ),
        }
    }

    /// Returns a guard of the table for a short read; see [`RoutingTable::load_full`] for longer
    /// use.
    pub fn load(&self) -> Guard<Arc<Table>> {
        self.table.load()
    }

    /// Returns a reference to the table that may be held for the duration of a request.
    pub fn load_full(&self) -> Arc<Table> {
        self.table.load_full()
    }

    /// Replaces the table in force.
    pub fn store(&self, table: Table) {
        self.table.store(Arc::new(table));
    }
}
