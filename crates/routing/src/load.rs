//! What one node knows of the requests in flight at one target.
//!
//! A node counts its own requests exactly. Those of other nodes it learns from the target's reports
//! in responses and probes, which grow old: a report's weight falls to a third in
//! [`LOAD_REPORT_DECAY_MS`] (400 ms, about one request's time), and the estimate drifts towards the mean of what is reported.

use crate::Ejection;
use postbarrow_constants::traffic::LOAD_REPORT_DECAY_MS;
use postbarrow_state::{Name, State};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// One target's load and health, as this node knows them.
#[derive(Debug, Default)]
pub struct Load {
    in_flight: AtomicU64,
    /// Requests of other nodes there, by the target's last report.
    reported: AtomicU64,
    /// When a target with known slots sent that report; 0 before the first.
    reported_ms: AtomicU64,
    ejection: Ejection,
}

impl Load {
    /// Counts a request of this node from its selection on.
    pub fn enter(&self) {
        self.in_flight.fetch_add(1, Relaxed);
    }

    /// Gives back what `enter` counted.
    pub fn leave(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    /// Requests of this node in flight there.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed)
    }

    /// Stores the requests of other nodes that a target without known slots reported.
    pub fn report(&self, in_flight: u64) {
        self.reported.store(in_flight, Relaxed);
    }

    /// Stores the same from a target with known slots, whose reports fade.
    pub fn report_slots_used(&self, now_ms: u64, in_flight: u64) {
        self.reported.store(in_flight, Relaxed);
        self.reported_ms.store(now_ms, Relaxed);
    }

    /// Ejects the target after a failed attempt; see [`Ejection::on_failure`].
    pub fn on_failure(&self, now_ms: u64) {
        self.ejection.on_failure(now_ms);
    }

    /// Passes over the target after a rejection; see [`Ejection::on_rejection`].
    pub fn on_rejection(&self, now_ms: u64) {
        self.ejection.on_rejection(now_ms);
    }

    /// Ends an ejection after a complete response; see [`Ejection::on_success`].
    pub fn on_success(&self) {
        self.ejection.on_success();
    }

    /// Whether the target is passed over now.
    pub(crate) fn is_ejected(&self, now_ms: u64) -> bool {
        self.ejection.is_ejected(now_ms)
    }

    /// The last report of a target with known slots; none before the first.
    pub(crate) fn last_report(&self) -> Option<u64> {
        (self.reported_ms.load(Relaxed) > 0).then(|| self.reported.load(Relaxed))
    }

    /// Requests of other nodes there, as an estimate: the last report, faded towards the mean.
    pub(crate) fn others_in_flight(&self, now_ms: u64, mean: f64) -> f64 {
        let reported_ms = self.reported_ms.load(Relaxed);
        if reported_ms == 0 {
            return mean;
        }
        let age = now_ms.saturating_sub(reported_ms) as f64 / LOAD_REPORT_DECAY_MS;
        mean + (self.reported.load(Relaxed) as f64 - mean) * (-age).exp()
    }

    /// All requests there: this node's, and those last reported of others.
    pub(crate) fn total_in_flight(&self) -> u64 {
        self.in_flight.load(Relaxed) + self.reported.load(Relaxed)
    }
}

/// The loads of all known targets, by instance.
pub type Loads = HashMap<Name, Arc<Load>>;

/// The loads for a new image: loads outlive the plan, so targets that remain keep theirs.
pub(crate) fn carry_over(old: &Loads, state: &State) -> Loads {
    let load = |instance: &Name| old.get(instance).cloned().unwrap_or_default();
    state.targets.keys().map(|instance| (instance.clone(), load(instance))).collect()
}
