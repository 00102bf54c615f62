//! Updates this node's view of its targets' load, by which `postbarrow_routing` selects targets.

use postbarrow_routing::{Entry, Load};
use postbarrow_transport::clock_ms;
use std::sync::Arc;

/// Returns the route with one of its weighted services, chosen by weight from the random number
/// `seed`; the route itself if it has no weighted services.
pub fn draw_service(entry: &Arc<Entry>, seed: u64) -> Arc<Entry> {
    entry.draw_service(seed)
}

/// Counts a request in its target's load, released when dropped. The count starts at the selection
/// of the target, so that concurrent requests do not select the same free capacity.
pub struct LoadPermit(Arc<Load>);

impl LoadPermit {
    /// Adds one request to a target's load.
    pub fn acquire(load: Arc<Load>) -> LoadPermit {
        load.request_started();
        LoadPermit(load)
    }

    /// Removes the request from the load, and returns the load so that a report can be recorded in
    /// it.
    pub fn release(self) -> Arc<Load> {
        self.0.clone()
    }
}

impl Drop for LoadPermit {
    fn drop(&mut self) {
        self.0.request_ended();
    }
}

/// Records the number of requests in flight that a target's response states, less those that this
/// node itself has in flight there.
pub fn report_in_flight(load: &Load, in_flight: u64) {
    load.store_report_with_slots(clock_ms(), in_flight.saturating_sub(load.in_flight()));
}
