//! Phase: writes the response to the client.

use super::rejection::Rejection;
use super::request_state::RequestEnd;
use crate::shared::Shared;
use postbarrow_downstream::body;
use postbarrow_downstream::connection::Connection;
use postbarrow_downstream::head::Head;

/// Whether the client connection stays open after a response.
pub enum Persistence {
    /// The connection stays open for another request.
    KeepAlive,
    /// The connection is closed.
    Close,
}

/// Writes the response to a request that was read completely, unless its client departed.
pub fn write_completion(
    connection: &mut Connection,
    shared: &Shared,
    head: &Head,
    end: RequestEnd,
) -> Persistence {
    let RequestEnd::Respond(response, _memory) = end else { return Persistence::Close };
    let close = head.close || shared.lifecycle.is_stopping();
    if connection.write(&response, &head.method, close).is_err() || close {
        return Persistence::Close;
    }
    Persistence::KeepAlive
}

/// Writes the response to a rejected request, after which its connection is closed; writes nothing
/// if the client departed.
pub fn write_rejection(
    connection: &mut Connection,
    shared: &Shared,
    method: &str,
    rejection: Rejection,
) {
    match rejection {
        Rejection::Unreadable { reject, .. } if reject == body::CLIENT_DEPARTED => return,
        Rejection::Unreadable { reject, may_have_run_before } => {
            let response =
                shared.dialect.render_rejection(reject.status, may_have_run_before, reject.reason);
            let _ = connection.write(&response, "GET", true);
        }
        Rejection::Decided(response) => {
            let _ = connection.write(&response, method, true);
        }
    }
    connection.close_after_rejection();
}
