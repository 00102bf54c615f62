//! A caller that departs while its release of a lock is under way, and starts the lock again under
//! the same name through another member.
//!
//! The process that has the release may be suspended at any step: it sends the release, or
//! confirms it, any time after it has checked that the caller is present.

use crate::search::Violation;
use crate::search::forwarded::ForwardedCalls;
use crate::search::forwarded::log::state_of;
use crate::search::forwarded::state::{ForwardedState, Progress};
use postbarrow_constants::coordination::CONTROLLER_REQUEST_MS;
use postbarrow_messages::{Request, Response};
use postbarrow_state::{Call, GrantVersion, Outcome};

/// Number of times that a release is confirmed at most.
const CONFIRMATIONS_MAX: usize = 2;

/// The calls of a caller that departs.
#[derive(Clone, Copy, Debug)]
pub struct DepartingCaller {
    /// The index of the release during which the caller departs.
    pub release: usize,
    /// The index of the start that the caller sends after it has returned.
    pub start: usize,
}

/// How far the departing caller and its release are.
#[derive(Clone, Debug, Default)]
pub struct Departure {
    /// Whether the caller has departed from its release.
    pub has_departed: bool,
    /// The version with which the release is about to be confirmed: the caller was present after
    /// the version was received.
    pub confirmed_version: Option<GrantVersion>,
    /// Number of times that the release was confirmed.
    pub confirmations: usize,
}

impl ForwardedCalls {
    /// Returns whether the departing caller, if this call is its later start, has returned.
    pub(super) fn has_caller_returned(&self, state: &ForwardedState, call: usize) -> bool {
        self.departing_caller
            .is_none_or(|caller| call != caller.start || state.departure.has_departed)
    }

    /// Handles the response that a release must be confirmed: the process checks whether the caller
    /// is present.
    pub(super) fn on_confirmation_required(
        &self,
        state: &mut ForwardedState,
        version: GrantVersion,
    ) -> Option<Response> {
        let departure = &mut state.departure;
        if departure.has_departed || departure.confirmations >= CONFIRMATIONS_MAX {
            return Some(Response::TimedOut);
        }
        departure.confirmed_version = Some(version);
        None
    }

    /// Sends the confirmed release through the client of its process.
    pub(super) fn confirm_release(&self, state: &mut ForwardedState) {
        let Some(caller) = self.departing_caller else { return };
        let Some(version) = state.departure.confirmed_version.take() else { return };
        state.departure.confirmations += 1;
        let release = &self.calls[caller.release];
        let request = Request::Call { id: release.id.clone(), call: release.call.clone() };
        let key = self.key(state, caller.release);
        let effects = state.clients[release.client].send_request(
            state.now_ms,
            key,
            request.confirmed(version),
            CONTROLLER_REQUEST_MS,
        );
        self.apply_effects(state, release.client, effects);
    }

    /// Checks that a start that was answered is not undone by the release that the caller sent
    /// before it, and that an answered release has ended the hold.
    pub(super) fn check_departing_caller(&self, state: &ForwardedState) -> Result<(), Violation> {
        let Some(caller) = self.departing_caller else { return Ok(()) };
        let committed = state_of(state.committed());
        let is_owned = |name, fence| {
            committed
                .locks
                .get(name)
                .is_some_and(|lock: &postbarrow_state::Lock| lock.fence == fence)
        };
        let response = |call: usize| match &state.progress[call] {
            Progress::Answered { response, .. } => Some(response.clone()),
            _ => None,
        };
        if let (Some(Response::Outcome(Outcome::Locked { fence, .. })), Call::Lock { name, .. }) =
            (response(caller.start), &self.calls[caller.start].call)
            && !is_owned(name, fence)
        {
            return Err(Violation(format!("a late release ended the hold with fence {fence}")));
        }
        if let (Some(Response::Outcome(_)), Call::Free { name, fence, .. }) =
            (response(caller.release), &self.calls[caller.release].call)
            && !state.departure.has_departed
            && is_owned(name, *fence)
        {
            return Err(Violation("an answered release did not end the hold".into()));
        }
        Ok(())
    }
}
