//! Sends commands to the control loop, and through it requests to the controller.

use crate::command::Command;
use postbarrow_constants::coordination::CONTROLLER_RESPONSE_SLACK_MS;
use postbarrow_downstream::client_watch::{ClientWatch, ReceiveError};
use postbarrow_messages::{Request, Response};
use postbarrow_transport::{RequestKeys, clock_ms, random};
use std::sync::mpsc::{Sender, sync_channel};

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

    /// Sends a request to the controller and returns the response. While there is no response, the
    /// request is resent for `wait_ms` milliseconds; `TimedOut` is returned
    /// `CONTROLLER_RESPONSE_SLACK_MS` after that at the latest. If the client departs, the request
    /// is no longer resent; it may already have been applied, so its outcome is unknown and
    /// `TimedOut` is returned.
    pub fn request(&self, request: Request, wait_ms: u64, client: &ClientWatch) -> Response {
        let (reply, response) = sync_channel(1);
        let (key, wait_ms) = (self.request_keys.next(), wait_ms.max(1));
        let command = Command::Request { key, request, wait_ms, reply: Some(reply) };
        if self.commands.send(command).is_err() {
            return Response::TimedOut;
        }
        match client.receive(&response, clock_ms() + wait_ms + CONTROLLER_RESPONSE_SLACK_MS) {
            Ok(response) => response,
            Err(ReceiveError::ClientDeparted) => {
                self.send(Command::Withdraw { key });
                Response::TimedOut
            }
            Err(ReceiveError::TimedOut | ReceiveError::Disconnected) => Response::TimedOut,
        }
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
