//! Phase: writes the response to the client.

use super::rejection::Rejection;
use super::request_state::RequestEnd;
use crate::shared::Shared;
use postbarrow_downstream::body;
use postbarrow_downstream::connection::Connection;
use postbarrow_downstream::head::Head;

/// Whether the connection carries another request.
pub enum Persistence {
    /// It does.
    KeepAlive,
    /// It ends.
    Close,
}

/// Writes the response of a request that was read completely.
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

/// Writes the response of a rejected request, whose connection ends with it.
pub fn write_rejection(
    connection: &mut Connection,
    shared: &Shared,
    method: &str,
    rejection: Rejection,
) {
    match rejection {
        Rejection::Unreadable { reject, .. } if reject == body::CLIENT_DEPARTED => return,
        Rejection::Unreadable { reject, unsure } => {
            let response = shared.dialect.render_rejection(reject.status, unsure, reject.reason);
            let _ = connection.write(&response, "GET", true);
        }
        Rejection::Decided(response) => {
            let _ = connection.write(&response, method, true);
        }
    }
    connection.linger();
}
