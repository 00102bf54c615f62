//! Members of the log, as its entries and messages name them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identity of a member: of its disk, not of its process or address.
pub type MemberId = u64;

/// A voter or learner, and where it is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Identity of its disk.
    pub id: MemberId,
    /// Where it accepts messages.
    pub address: SocketAddr,
}
