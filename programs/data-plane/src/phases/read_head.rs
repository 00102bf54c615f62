//! Phase: reads the head of the next request, within the limits of the plan in force.

use super::rejection::Rejection;
use crate::shared::Shared;
use postbarrow_downstream::connection::{Connection, NextRequest, ReadLimits};
use postbarrow_downstream::head::Head;

/// The result of reading the next request head on a client connection.
pub enum HeadRead {
    /// The head of a request whose body is not read yet.
    Head(Head),
    /// The rejection of bytes that are not a valid request head, or that arrived too late.
    Rejected(Rejection),
    /// The client or this node closed the connection.
    Closed,
}

/// Reads the head of the next request on a client connection.
pub fn read_head(connection: &mut Connection, shared: &Shared) -> HeadRead {
    match connection.next_request(limits(shared), || shared.lifecycle.is_closed()) {
        NextRequest::Head(head) => HeadRead::Head(head),
        NextRequest::Closed => HeadRead::Closed,
        NextRequest::Reject(reject) => {
            let may_have_run_before = matches!(reject.status, 408 | 431);
            HeadRead::Rejected(Rejection::Unreadable { reject, may_have_run_before })
        }
    }
}

/// Returns the limits of the plan in force, with the node's default for each limit that the plan
/// does not set.
fn limits(shared: &Shared) -> ReadLimits {
    let table = shared.routing.load();
    let (plan, own) = (&table.state.client_limits, ReadLimits::default());
    ReadLimits {
        head_bytes: plan.head_bytes.map_or(own.head_bytes, |bytes| bytes as usize),
        head_wait_ms: plan.head_wait_ms.unwrap_or(own.head_wait_ms),
        idle_ms: plan.idle_ms.unwrap_or(own.idle_ms),
    }
}
