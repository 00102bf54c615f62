//! Targets that run requests, crash, freeze and give their address to another.

use std::net::SocketAddr;

/// A process that runs requests.
pub struct Target {
    /// Its instance.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Whether its process runs.
    pub alive: bool,
    /// Whether it runs requests without answering in time.
    pub frozen: bool,
    /// Of a thousand runs, how many lose their response.
    pub lost_per_mille: u64,
}
