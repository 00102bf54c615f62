//! What other threads have the control loop do.

use postbarrow_messages::{Envelope, Request, Response};
use postbarrow_state::Name;
use std::net::SocketAddr;
use std::sync::mpsc::{Sender, SyncSender};

/// One input of the control loop.
pub enum Command {
    /// A message from another process arrived.
    Envelope(Envelope),
    /// A request to the controller.
    Request {
        /// Identifies the request; drawn from the process's `RequestKeys`.
        key: u64,
        /// What is sent.
        request: Request,
        /// How long it is sent again.
        wait_ms: u64,
        /// Where the response goes, if anybody waits for it.
        reply: Option<SyncSender<Response>>,
    },
    /// Nobody waits for the response to this request any more.
    Withdraw {
        /// Identifies the request.
        key: u64,
    },
    /// A probe of a target ended.
    Probed {
        /// The target's instance.
        instance: Name,
        /// Whether it identified itself as that target.
        sound: bool,
    },
    /// Other addresses that may lead to the control plane.
    Seeds(Vec<SocketAddr>),
    /// The node becomes unready.
    Stop,
    /// The loop ends once the controller has accepted every settlement, or at a deadline.
    End {
        /// The deadline, in milliseconds of the boot-time clock.
        until_ms: u64,
        /// Notified when the loop ends.
        done: Sender<()>,
    },
}
