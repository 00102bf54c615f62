//! Sends requests of operators and applications to the controller, which may run in another
//! process.

use crate::command::Command;
use postbarrow_constants::coordination::CONTROLLER_RESPONSE_SLACK_MS;
use postbarrow_downstream::client_watch::{ClientWatch, ReceiveError};
use postbarrow_messages::{Request, Response};
use postbarrow_transport::{RequestKeys, clock_ms, random};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{Sender, sync_channel};

/// Sends requests to the controller on behalf of clients. Clones share the count of pending
/// requests, the request keys and the stop flag.
#[derive(Clone)]
pub struct RequestSender {
    commands: Sender<Command>,
    keys: Arc<RequestKeys>,
    pending: Arc<AtomicUsize>,
    is_stopping: Arc<AtomicBool>,
}

/// Counts a request as pending until it is dropped. A stopping process waits for pending requests.
pub struct PendingRequest(Arc<AtomicUsize>);

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, SeqCst);
    }
}

impl RequestSender {
    pub(crate) fn new(commands: Sender<Command>) -> RequestSender {
        let keys = Arc::new(RequestKeys::new(random()));
        RequestSender { commands, keys, pending: Arc::default(), is_stopping: Arc::default() }
    }

    /// Sends a request to the controller and returns its response. Returns `Unavailable` if the
    /// request was not sent to any process that could execute it, and `TimedOut` after `wait_ms`
    /// milliseconds if a process may have executed it. If the client departs, the request is
    /// withdrawn and `TimedOut` is returned: its outcome is unknown, and effects that it already
    /// had are not undone.
    pub fn send(&self, request: Request, wait_ms: u64, client: &ClientWatch) -> Response {
        let (reply, response) = sync_channel(1);
        let key = self.keys.next();
        if self.commands.send(Command::Request { key, request, wait_ms, reply }).is_err() {
            return Response::Unavailable;
        }
        match client.receive(&response, clock_ms() + wait_ms + CONTROLLER_RESPONSE_SLACK_MS) {
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

    /// Returns the count of pending requests, which all clones share.
    pub(crate) fn pending_requests(&self) -> Arc<AtomicUsize> {
        self.pending.clone()
    }

    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, SeqCst);
    }

    /// Returns whether this process was requested to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(SeqCst)
    }
}
