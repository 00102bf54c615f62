//! Members of the log, in the form that log entries and messages contain.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identity of a member. It belongs to the member's disk: it stays when the process restarts or the
/// address changes.
pub type MemberId = u64;

/// A voter or learner and its network address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the member's disk.
    pub id: MemberId,
    /// Address at which the member accepts messages of other members.
    pub address: SocketAddr,
}
