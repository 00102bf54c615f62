//! What this node knows of its targets' load, by which `postbarrow_routing` selects among them.

use postbarrow_routing::{Entry, Load};
use postbarrow_transport::clock_ms;
use std::sync::Arc;

/// The route with one of its weighted services drawn.
pub fn draw_service(entry: &Arc<Entry>, seed: u64) -> Arc<Entry> {
    entry.draw_service(seed)
}

/// A request counted at its target from the selection on, so that two requests at once don't select
/// the same free capacity; given back when dropped.
pub struct LoadPermit(Arc<Load>);

impl LoadPermit {
    /// Counts one more request at a target.
    pub fn acquire(load: Arc<Load>) -> LoadPermit {
        load.enter();
        LoadPermit(load)
    }

    /// Gives the count back; the load remains for a report.
    pub fn release(self) -> Arc<Load> {
        self.0.clone()
    }
}

impl Drop for LoadPermit {
    fn drop(&mut self) {
        self.0.leave();
    }
}

/// Records the requests in flight that a response states, without this node's own.
pub fn report_in_flight(load: &Load, in_flight: u64) {
    load.report_slots_used(clock_ms(), in_flight.saturating_sub(load.in_flight()));
}
