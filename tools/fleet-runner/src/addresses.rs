//! Which port of this machine each process has.

use std::net::SocketAddr;

/// From the port at which a process is reached, through its relay, to the one it listens on.
pub const BIND_OFFSET: u16 = 6_000;

/// An address of this machine.
pub fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The ports of one fleet, counted from its first.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    first: u16,
}

impl Ports {
    /// The fleet's ports from this one on.
    pub fn new(first: u16) -> Ports {
        Ports { first }
    }

    /// The endpoint list's.
    pub fn list(self) -> u16 {
        self.first
    }

    /// A control node's for messages. A machine that comes back empty gets another position.
    pub fn control(self, position: u16) -> u16 {
        self.first + 100 + position
    }

    /// A control node's for HTTP.
    pub fn control_http(self, position: u16) -> u16 {
        self.first + 150 + position
    }

    /// A data node's for messages.
    pub fn data(self, at: usize) -> u16 {
        self.first + 200 + at as u16
    }

    /// A data node's for HTTP.
    pub fn data_http(self, at: usize) -> u16 {
        self.first + 400 + at as u16
    }

    /// The one before the first target's.
    pub fn before_targets(self) -> u16 {
        self.first + 1_000
    }
}
