//! The routing table in force.

use arc_swap::{ArcSwap, Guard};
use postbarrow_routing::Table;
use postbarrow_startup::Bounds;
use std::sync::Arc;

/// The routing table in force: swapped as one, never locked.
pub struct RoutingTable {
    table: ArcSwap<Table>,
}

impl RoutingTable {
    /// An empty table with the retry budget of the settings.
    pub fn new(bounds: &Bounds) -> Self {
        RoutingTable {
            table: ArcSwap::from_pointee(
                Table::empty().with_retry_allowance(bounds.retry_budget()),
            ),
        }
    }

    /// The table for a short look.
    pub fn load(&self) -> Guard<Arc<Table>> {
        self.table.load()
    }

    /// The table for the time of a request.
    pub fn load_full(&self) -> Arc<Table> {
        self.table.load_full()
    }

    /// Puts a table into force.
    pub fn store(&self, table: Table) {
        self.table.store(Arc::new(table));
    }
}
