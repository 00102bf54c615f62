//! The ports on this machine of each process of a fleet.

use std::net::SocketAddr;

/// Offset from the port of a process's relay, which the process advertises, to the port on which
/// the process itself listens.
pub const BIND_OFFSET: u16 = 6_000;

/// Returns the loopback address with this port.
pub fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The ports of one fleet, as offsets from its first port.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    first: u16,
}

impl Ports {
    /// Returns the ports of a fleet whose first port is this one.
    pub fn new(first: u16) -> Ports {
        Ports { first }
    }

    /// Returns the HTTP port of the endpoint list.
    pub fn list(self) -> u16 {
        self.first
    }

    /// Returns the advertised port of a control node for messages. A control node that is started
    /// again with an empty disk gets another position.
    pub fn control(self, position: u16) -> u16 {
        self.first + 100 + position
    }

    /// Returns the HTTP port of a control node.
    pub fn control_http(self, position: u16) -> u16 {
        self.first + 150 + position
    }

    /// Returns the advertised port of a data node for messages.
    pub fn data(self, index: usize) -> u16 {
        self.first + 200 + index as u16
    }

    /// Returns the HTTP port of a data node.
    pub fn data_http(self, index: usize) -> u16 {
        self.first + 400 + index as u16
    }

    /// Returns the port before the first target's advertised port.
    pub fn before_targets(self) -> u16 {
        self.first + 1_000
    }
}
