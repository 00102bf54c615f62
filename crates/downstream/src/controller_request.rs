//! Requests to the controller on behalf of a client, through the control loop of the client's
//! process.
//!
//! A request that changes the state is queued only while its client is present. A process that
//! was suspended reads calls whose clients have departed meanwhile; executing them would undo what
//! a client has done since through another process.

use crate::client_watch::{ClientWatch, ReceiveError};
use postbarrow_constants::coordination::CONTROLLER_RESPONSE_SLACK_MS;
use postbarrow_messages::{Request, Response};
use postbarrow_transport::clock_ms;
use std::sync::mpsc::{SyncSender, sync_channel};

/// The queue of a process's control loop, which sends requests to the controller.
pub trait ControlLoopQueue {
    /// Returns a request key that this process has not used.
    fn next_key(&self) -> u64;

    /// Queues a request, which the control loop sends and resends for `wait_ms` milliseconds.
    /// Returns whether the control loop still runs.
    fn enqueue(
        &self,
        key: u64,
        request: Request,
        wait_ms: u64,
        reply: SyncSender<Response>,
    ) -> bool;

    /// Stops resending a request, whose response is no longer needed.
    fn withdraw(&self, key: u64);
}

/// Sends a request to the controller and returns its response. A release that the controller can't
/// order against the starts of the lock's owner is confirmed if the client is still present.
///
/// Returns `Unavailable` if the request was not sent to any process that could execute it, also
/// because it is a change and the client has departed. Returns `TimedOut` after `wait_ms`
/// milliseconds if a process may have executed it. If the client departs meanwhile, the request is
/// withdrawn and `TimedOut` is returned: its outcome is unknown, and effects that it already had are
/// not undone.
pub fn send_for_client(
    queue: &impl ControlLoopQueue,
    request: Request,
    wait_ms: u64,
    client: &ClientWatch<'_>,
) -> Response {
    if request.is_change_by_client() && client.has_departed() {
        return Response::Unavailable;
    }
    let deadline_ms = clock_ms() + wait_ms.max(1);
    let release = request.is_release().then(|| request.clone());
    let mut response = exchange(queue, request, deadline_ms, client);
    while let (Response::ConfirmClient { version }, Some(release)) = (&response, &release) {
        // Must follow the response: a client that is present now has sent no start that the
        // version lacks.
        if client.has_departed() || clock_ms() >= deadline_ms {
            return Response::TimedOut;
        }
        response = exchange(queue, release.confirmed(*version), deadline_ms, client);
    }
    response
}

fn exchange(
    queue: &impl ControlLoopQueue,
    request: Request,
    deadline_ms: u64,
    client: &ClientWatch<'_>,
) -> Response {
    let (reply, response) = sync_channel(1);
    let key = queue.next_key();
    let wait_ms = deadline_ms.saturating_sub(clock_ms()).max(1);
    if !queue.enqueue(key, request, wait_ms, reply) {
        return Response::Unavailable;
    }
    match client.receive(&response, deadline_ms + CONTROLLER_RESPONSE_SLACK_MS) {
        Ok(response) => response,
        Err(ReceiveError::ClientDeparted) => {
            queue.withdraw(key);
            Response::TimedOut
        }
        Err(ReceiveError::TimedOut | ReceiveError::Disconnected) => Response::TimedOut,
    }
}

#[cfg(test)]
mod tests;
