//! The plan of the open transaction, and the requests that wait until it ends.

use super::open_plan::OpenPlan;
use crate::origin::Origin;
use postbarrow_messages::Request;
use std::collections::VecDeque;

/// The open transaction, of which there is at most one, and the requests that wait for its end: no
/// other write is interleaved with it.
#[derive(Default)]
pub(crate) struct PlanTransaction {
    plan: Option<OpenPlan>,
    waiting: VecDeque<WaitingRequest>,
    longest_stall_ms: u64,
}

/// A request that waits for the open transaction's end.
pub(crate) struct WaitingRequest {
    pub origin: Origin,
    pub request: Request,
    since_ms: u64,
}

impl PlanTransaction {
    pub fn is_open(&self) -> bool {
        self.plan.is_some()
    }

    pub fn open(&mut self, plan: OpenPlan) {
        self.plan = Some(plan);
    }

    pub fn plan(&self) -> Option<&OpenPlan> {
        self.plan.as_ref()
    }

    pub fn plan_mut(&mut self) -> Option<&mut OpenPlan> {
        self.plan.as_mut()
    }

    /// Removes and returns the open plan. The caller writes the End or Abort marker to the log.
    pub fn take_plan(&mut self) -> Option<OpenPlan> {
        self.plan.take()
    }

    /// Returns whether this request submitted the open plan or is waiting already.
    pub fn is_duplicate(&self, origin: Origin) -> bool {
        self.plan.as_ref().is_some_and(|plan| plan.origin == origin)
            || self.waiting.iter().any(|waiting| waiting.origin == origin)
    }

    pub fn enqueue(&mut self, now_ms: u64, origin: Origin, request: Request) {
        self.waiting.push_back(WaitingRequest { origin, request, since_ms: now_ms });
    }

    /// Removes and returns the request that has waited longest; `None` while a transaction is open
    /// or if no request waits.
    pub fn next_waiting(&mut self, now_ms: u64) -> Option<WaitingRequest> {
        if self.is_open() {
            return None;
        }
        let next = self.waiting.pop_front()?;
        self.longest_stall_ms = self.longest_stall_ms.max(now_ms.saturating_sub(next.since_ms));
        Some(next)
    }

    /// Returns the longest time that a request has waited so far, in milliseconds.
    pub fn longest_stall_ms(&self) -> u64 {
        self.longest_stall_ms
    }

    pub fn into_waiting(self) -> VecDeque<WaitingRequest> {
        self.waiting
    }
}
