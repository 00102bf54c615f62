//! The commands that other threads send to the control loop.

use postbarrow_messages::{Envelope, Request, Response};
use postbarrow_state::Name;
use std::net::SocketAddr;
use std::sync::mpsc::{Sender, SyncSender};

/// A command to the control loop.
pub enum Command {
    /// Handles a message that arrived from another process.
    Envelope(Envelope),
    /// Sends a request to the controller.
    Request {
        /// Identifies the request and its response; drawn from the process's `RequestKeys`.
        key: u64,
        /// The request to send.
        request: Request,
        /// The time for which the request is resent while it has no response, in milliseconds.
        wait_ms: u64,
        /// The sender for the response; `None` if no thread waits for it.
        reply: Option<SyncSender<Response>>,
    },
    /// Stops resending a request, because its response is no longer needed.
    Withdraw {
        /// The key of the request.
        key: u64,
    },
    /// Reports the result of a probe of a target.
    Probed {
        /// The instance name of the target.
        instance: Name,
        /// Whether the process at the target's address identified itself as that target.
        sound: bool,
    },
    /// Replaces the seed addresses, through which the node finds the control plane.
    Seeds(Vec<SocketAddr>),
    /// Makes the node unready, as the first step of a graceful stop.
    Stop,
    /// Ends the loop once no request to the controller is pending, settlements included, or at a
    /// deadline.
    End {
        /// The deadline, in milliseconds of the boot-time clock.
        until_ms: u64,
        /// The channel on which the thread that stops the node is notified when the loop ends.
        done: Sender<()>,
    },
}
