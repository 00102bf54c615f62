//! Sends commands to the control loop, and through it requests to the controller.

use crate::command::Command;
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::controller_request::{ControlLoopQueue, send_for_client};
use postbarrow_messages::{Request, Response};
use postbarrow_transport::{RequestKeys, random};
use std::sync::mpsc::{Sender, SyncSender};

/// A handle that sends commands to the control loop.
pub struct ControlLoopHandle {
    request_keys: RequestKeys,
    commands: Sender<Command>,
}

impl ControlLoopHandle {
    /// Returns a handle that sends commands into this queue.
    pub fn new(commands: Sender<Command>) -> Self {
        ControlLoopHandle { request_keys: RequestKeys::new(random()), commands }
    }

    /// Sends a request to the controller for a client and returns its response, as
    /// [`send_for_client`] does.
    pub fn request(&self, request: Request, wait_ms: u64, client: &ClientWatch) -> Response {
        send_for_client(self, request, wait_ms, client)
    }

    /// Sends a request to the controller without waiting for the response. The request is resent
    /// until the controller accepts it, for at most `wait_ms` milliseconds.
    pub fn notify(&self, request: Request, wait_ms: u64) {
        let key = self.request_keys.next();
        self.send(Command::Request { key, request, wait_ms, reply: None });
    }

    /// Sends a command to the control loop; has no effect once the loop has ended.
    pub fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}

impl ControlLoopQueue for ControlLoopHandle {
    fn next_key(&self) -> u64 {
        self.request_keys.next()
    }

    fn enqueue(
        &self,
        key: u64,
        request: Request,
        wait_ms: u64,
        reply: SyncSender<Response>,
    ) -> bool {
        let reply = Some(reply);
        self.commands.send(Command::Request { key, request, wait_ms, reply }).is_ok()
    }

    fn withdraw(&self, key: u64) {
        self.send(Command::Withdraw { key });
    }
}
