//! Phase: reads the response to a forwarded request and determines the outcome of the attempt.

use super::forward::Forwarded;
use super::request_state::RequestState;
use crate::balancing::report_in_flight;
use crate::dialect::ResponseJudgement;
use crate::target_connection::ExpectedResponse;
use postbarrow_node::{AttemptOutcome, TargetResponse};

/// Reads the response, returns a reusable connection to its pool, and returns the attempt's
/// outcome.
pub fn read_response(request: &mut RequestState<'_>, forwarded: Forwarded) -> AttemptOutcome {
    let Forwarded { mut connection, load, mut memory, until_ms } = forwarded;
    let (head, dialect) = (request.incoming.head, request.shared.dialect.as_ref());
    let judge = |response: &TargetResponse, first| match dialect.target_identification() {
        Some(identification) => identification.judge_response(head, response, first),
        None => ResponseJudgement::Complete,
    };
    let expected = ExpectedResponse { method: &head.method, until_ms, judge: &judge };
    let (outcome, is_reusable) =
        connection.receive(&expected, &request.cancellation(), &mut memory);
    let connection = is_reusable.then_some(connection);
    let load = load.release();
    if let (AttemptOutcome::Complete(response), Some(identification)) =
        (&outcome, dialect.target_identification())
        && let Some(in_flight) = identification.in_flight(response)
    {
        report_in_flight(&load, in_flight);
    }
    request.response_memory = Some(memory);
    if let (Some(connection), Some(target)) = (connection, &request.attempt.target) {
        request.shared.pools.load().put(target, connection);
    }
    outcome
}
