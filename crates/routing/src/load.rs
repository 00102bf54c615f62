//! The load of a target: the requests in flight there, as far as one node knows them.
//!
//! A target's slots are the number of requests that it can run concurrently; the slots of some
//! targets are not known.
//!
//! A node counts its own requests exactly. It learns the number of the other nodes' requests from
//! the target's reports in responses and probes. As a report ages, its weight falls to a third in
//! [`LOAD_REPORT_DECAY_MS`] (400 ms, about the duration of one request), and the estimate
//! approaches the mean of the reports of all candidates.

use crate::Ejection;
use postbarrow_constants::traffic::LOAD_REPORT_DECAY_MS;
use postbarrow_state::{Name, State};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// The load and the ejection of one target, as this node knows them.
#[derive(Debug, Default)]
pub struct Load {
    in_flight: AtomicU64,
    /// Requests of other nodes in flight at the target, by its last report.
    reported: AtomicU64,
    /// When the last report of a target with known slots was stored; 0 before the first.
    reported_ms: AtomicU64,
    ejection: Ejection,
}

impl Load {
    /// Counts a request of this node at the target, from the target's selection on.
    pub fn request_started(&self) {
        self.in_flight.fetch_add(1, Relaxed);
    }

    /// Removes a request of this node that has ended from the count.
    pub fn request_ended(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    /// Returns the number of this node's requests in flight at the target.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }

    /// Stores the number of other nodes' requests that a target without known slots reported.
    pub fn store_report(&self, in_flight: u64) {
        self.reported.store(in_flight, Relaxed);
    }

    /// Stores the number of other nodes' requests that a target with known slots reported; the
    /// weight of this report decreases with its age.
    pub fn store_report_with_slots(&self, now_ms: u64, in_flight: u64) {
        self.reported.store(in_flight, Relaxed);
        self.reported_ms.store(now_ms, Relaxed);
    }

    /// Ejects the target after a failed attempt; see [`Ejection::on_failure`].
    pub fn on_failure(&self, now_ms: u64) {
        self.ejection.on_failure(now_ms);
    }

    /// Ejects the target briefly after a rejection; see [`Ejection::on_rejection`].
    pub fn on_rejection(&self, now_ms: u64) {
        self.ejection.on_rejection(now_ms);
    }

    /// Ends an ejection after a complete response; see [`Ejection::on_success`].
    pub fn on_success(&self) {
        self.ejection.on_success();
    }

    /// Returns whether selection skips the target now.
    pub(crate) fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejection.is_ejected(now_ms)
    }

    /// Returns the last report of a target with known slots; none before the first.
    pub(crate) fn last_report(&self) -> Option<u64> {
        (self.reported_ms.load(Relaxed) > 0).then(|| self.reported.load(Relaxed))
    }

    /// Returns an estimate of the other nodes' requests in flight at the target: the last report,
    /// which decays towards `mean`.
    pub(crate) fn others_in_flight(&self, now_ms: u64, mean: f64) -> f64 {
        let reported_ms = self.reported_ms.load(Relaxed);
        if reported_ms == 0 {
            return mean;
        }
        let age = now_ms.saturating_sub(reported_ms) as f64 / LOAD_REPORT_DECAY_MS;
        mean + (self.reported.load(Relaxed) as f64 - mean) * (-age).exp()
    }

    /// Returns the number of all requests in flight at the target: this node's, and the other
    /// nodes' by the last report.
    pub(crate) fn total_in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed) + self.reported.load(Relaxed)
    }
}

/// The loads of all targets of an image, by instance.
pub type Loads = HashMap<Name, Arc<Load>>;

/// Returns the loads for a new image. Targets that remain keep their loads; others start without
/// load.
pub(crate) fn carry_over(old: &Loads, state: &State) -> Loads {
    let load = |instance: &Name| old.get(instance).cloned().unwrap_or_default();
    state.targets.keys().map(|instance| (instance.clone(), load(instance))).collect()
}
