//! Phase: reads the head of the next request, within the limits of the plan in force.

use super::rejection::Rejection;
use crate::shared::Shared;
use postbarrow_downstream::connection::{Connection, NextRequest, ReadLimits};
use postbarrow_downstream::head::Head;

/// The next input on a connection.
pub enum HeadRead {
    /// A request; its body is not read yet.
    Head(Head),
    /// Bytes that are no request.
    Rejected(Rejection),
    /// Either side ended the connection.
    Closed,
}

/// Reads the head of the next request.
pub fn read_head(connection: &mut Connection, shared: &Shared) -> HeadRead {
    match connection.next_request(limits(shared), || shared.lifecycle.is_closed()) {
        NextRequest::Head(head) => HeadRead::Head(head),
        NextRequest::Closed => HeadRead::Closed,
        NextRequest::Reject(reject) => {
            let unsure = matches!(reject.status, 408 | 431);
            HeadRead::Rejected(Rejection::Unreadable { reject, unsure })
        }
    }
}

/// The limits of the plan in force, or else the node's own.
fn limits(shared: &Shared) -> ReadLimits {
    let table = shared.routing.load();
    let (plan, own) = (&table.state.client_limits, ReadLimits::default());
    ReadLimits {
        head_bytes: plan.head_bytes.map_or(own.head_bytes, |bytes| bytes as usize),
        head_wait_ms: plan.head_wait_ms.unwrap_or(own.head_wait_ms),
        idle_ms: plan.idle_ms.unwrap_or(own.idle_ms),
    }
}
