//! Sends requests of operators and applications to the controller, which may run in another
//! process.

use crate::command::Command;
use crate::member_health::MemberHealth;
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::controller_request::{ControlLoopQueue, send_for_client};
use postbarrow_messages::{Request, Response};
use postbarrow_transport::{RequestKeys, random};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{Sender, SyncSender};

/// Sends requests to the controller on behalf of clients. Clones share the count of pending
/// requests, the request keys, the stop flag and the member's health.
#[derive(Clone)]
pub struct RequestSender {
    commands: Sender<Command>,
    keys: Arc<RequestKeys>,
    pending: Arc<AtomicUsize>,
    is_stopping: Arc<AtomicBool>,
    health: Arc<MemberHealth>,
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
        RequestSender {
            commands,
            keys,
            pending: Arc::default(),
            is_stopping: Arc::default(),
            health: Arc::default(),
        }
    }

    /// Sends a request to the controller for a client and returns its response, as
    /// [`send_for_client`] does.
    pub fn send(&self, request: Request, wait_ms: u64, client: &ClientWatch) -> Response {
        send_for_client(self, request, wait_ms, client)
    }

    pub(crate) fn start_request(&self) -> PendingRequest {
        self.pending.fetch_add(1, SeqCst);
        PendingRequest(self.pending.clone())
    }

    /// Returns the count of pending requests, which all clones share.
    pub(crate) fn pending_requests(&self) -> Arc<AtomicUsize> {
        self.pending.clone()
    }

    /// Returns the health of this process's member, which all clones share.
    pub(crate) fn health(&self) -> &Arc<MemberHealth> {
        &self.health
    }

    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, SeqCst);
    }

    /// Returns whether this process was requested to stop.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(SeqCst)
    }
}

impl ControlLoopQueue for RequestSender {
    fn next_key(&self) -> u64 {
        self.keys.next()
    }

    fn enqueue(
        &self,
        key: u64,
        request: Request,
        wait_ms: u64,
        reply: SyncSender<Response>,
    ) -> bool {
        self.commands.send(Command::Request { key, request, wait_ms, reply }).is_ok()
    }

    fn withdraw(&self, key: u64) {
        let _ = self.commands.send(Command::Withdraw { key });
    }
}
