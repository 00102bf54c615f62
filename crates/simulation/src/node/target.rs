//! Targets that run requests, crash, freeze and give their address to another.

use std::net::SocketAddr;

pub struct Target {
    pub instance: String,
    pub service: String,
    pub address: SocketAddr,
    pub alive: bool,
    pub frozen: bool,
    /// Of a thousand runs, how many lose their response.
    pub lost_per_mille: u64,
}
