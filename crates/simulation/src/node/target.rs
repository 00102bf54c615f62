//! Targets, which run requests, may crash or freeze, and may be succeeded by another target at the
//! same address.

use std::net::SocketAddr;

/// One target: a process that runs the requests of one service.
pub struct Target {
    /// The unique name of the target.
    pub instance: String,
    /// The name of the service that the target belongs to.
    pub service: String,
    /// The address at which the target accepts requests.
    pub address: SocketAddr,
    /// Whether the target's process runs.
    pub alive: bool,
    /// Whether the target runs requests without answering them in time.
    pub frozen: bool,
    /// Probability that the response to a request that ran is lost, in thousandths.
    pub lost_per_mille: u64,
}
