//! Serves the requests of one client connection sequentially.

use super::read_head::{HeadRead, read_head};
use super::write_response::{write_completion, write_rejection};
use super::{request, write_response::Persistence};
use crate::dialect::ListenerRole;
use crate::shared::Shared;
use postbarrow_downstream::connection::Connection;
use std::sync::Arc;

/// Serves a connection that was accepted at an address with this role, until the client or this
/// node closes it.
pub fn serve(mut connection: Connection, role: ListenerRole, shared: &Arc<Shared>) {
    loop {
        let head = match read_head(&mut connection, shared) {
            HeadRead::Head(head) => head,
            HeadRead::Rejected(rejection) => {
                return write_rejection(&mut connection, shared, "GET", rejection);
            }
            HeadRead::Closed => return,
        };
        match request::process(&mut connection, role, shared, &head) {
            Ok(end) => match write_completion(&mut connection, shared, &head, end) {
                Persistence::KeepAlive => {}
                Persistence::Close => return,
            },
            Err(rejection) => {
                return write_rejection(&mut connection, shared, &head.method, rejection);
            }
        }
    }
}
