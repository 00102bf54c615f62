//! Questions of operators and applications to whoever is controller.

use crate::core::Command;
use postbarrow_constants::coordination::CONTROLLER_ANSWER_SLACK_MS;
use postbarrow_downstream::client_watch::{ClientWatch, ReceiveError};
use postbarrow_messages::{Request, Response};
use postbarrow_transport::{RequestKeys, clock_ms, random};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{Sender, sync_channel};

/// Asks whoever is controller, on behalf of operators and applications.
#[derive(Clone)]
pub struct RequestSender {
    commands: Sender<Command>,
    keys: Arc<RequestKeys>,
    pending: Arc<AtomicUsize>,
    stopping: Arc<AtomicBool>,
}

/// A question at work; this process does not end before it is dropped.
pub struct PendingRequest(Arc<AtomicUsize>);

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, SeqCst);
    }
}

impl RequestSender {
    pub(crate) fn new(commands: Sender<Command>) -> RequestSender {
        let keys = Arc::new(RequestKeys::new(random()));
        RequestSender { commands, keys, pending: Arc::default(), stopping: Arc::default() }
    }

    /// The controller's response; `Unavailable` where nobody who could take the question was ever
    /// sent it, `TimedOut` after so many milliseconds where somebody may have taken it. A question
    /// whose caller leaves is withdrawn: what it did already stays done, and its end is unknown.
    pub fn request(&self, request: Request, wait_ms: u64, client: &ClientWatch) -> Response {
        let (reply, response) = sync_channel(1);
        let key = self.keys.next();
        if self.commands.send(Command::Request { key, request, wait_ms, reply }).is_err() {
            return Response::Unavailable;
        }
        match client.receive(&response, clock_ms() + wait_ms + CONTROLLER_ANSWER_SLACK_MS) {
            Ok(response) => response,
            Err(ReceiveError::ClientDeparted) => {
                let _ = self.commands.send(Command::Withdraw { key });
                Response::TimedOut
            }
            Err(ReceiveError::TimedOut | ReceiveError::Disconnected) => Response::TimedOut,
        }
    }

    pub(crate) fn start_request(&self) -> PendingRequest {
        self.pending.fetch_add(1, SeqCst);
        PendingRequest(self.pending.clone())
    }

    /// How many requests are at work here; it is shared, and goes on counting.
    pub(crate) fn pending_requests(&self) -> Arc<AtomicUsize> {
        self.pending.clone()
    }

    pub(crate) fn stop(&self) {
        self.stopping.store(true, SeqCst);
    }

    /// This process is about to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(SeqCst)
    }
}
