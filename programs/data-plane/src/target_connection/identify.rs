//! Verifies the identity of the target at the other end of a connection.

use super::{CancelScope, Cancellation, ExchangeTerms, OutgoingRequest, TargetConnection};
use crate::dialect::ResponseJudgement;
use crate::error::{Result, UpstreamError};
use crate::target_identity::read_identity;
use postbarrow_constants::traffic::{HEAD_BYTES, IDENTITY_PATH};
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::memory_budget::MemoryBudget;
use postbarrow_node::{AttemptOutcome, TargetResponse};
use postbarrow_state::Target;

impl TargetConnection {
    /// Requests the identity and checks that instance, service and labels are those of `target`.
    /// Returns how many requests are in flight at the target.
    ///
    /// # Errors
    /// Fails if there is no valid identity by `until_ms` of the boot-time clock, or if it belongs
    /// to another target.
    pub fn identify(
        &mut self,
        target: &Target,
        until_ms: u64,
        client: &ClientWatch,
    ) -> Result<u64> {
        let host = ("Host".to_string(), target.address.to_string());
        let request = OutgoingRequest {
            method: "GET",
            path: IDENTITY_PATH,
            headers: &[host],
            body: &[],
            until_ms,
            repeatable: true,
        };
        let terms = ExchangeTerms {
            may_send: &|| true,
            cancellation: Cancellation::new(client, CancelScope::Always),
            judge: &|_, _| ResponseJudgement::Complete,
        };
        let budget = MemoryBudget::new(HEAD_BYTES as u64);
        let mut memory = budget.reserve(0).ok_or(UpstreamError::OutOfIdentityMemory)?;
        match self.exchange(&request, &terms, &mut memory) {
            (AttemptOutcome::Complete(response), true) => verify_identity(&response, target),
            (AttemptOutcome::Complete(_), false) => Err(UpstreamError::ClosesAfterIdentity),
            (
                AttemptOutcome::Unsent(reason)
                | AttemptOutcome::NotRun(reason)
                | AttemptOutcome::Unknown { reason, .. },
                _,
            ) => Err(UpstreamError::IdentityExchange(reason)),
        }
    }
}

/// Checks an identity response and returns the number of requests in flight that it states.
fn verify_identity(response: &TargetResponse, target: &Target) -> Result<u64> {
    if response.status != 200 {
        return Err(UpstreamError::IdentityStatus(response.status));
    }
    let identity = read_identity(std::str::from_utf8(&response.body)?)?;
    if identity.instance != target.instance
        || identity.service != target.service
        || identity.labels != target.labels
    {
        return Err(UpstreamError::OtherTarget(target.address));
    }
    Ok(identity.in_flight)
}
