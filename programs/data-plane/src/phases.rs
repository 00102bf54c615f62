//! The phases of a request in order, each in the module of its name.
//!
//! | phase | action | statuses or reasons that end the request |
//! | --- | --- | --- |
//! | [`accept`] | accepts a client connection | 503 over the node's limit or the client's share |
//! | [`read_head`] | reads the head of the next request | 400, 408, 431 |
//! | [`match_route`] | finds the route in the table in force | 404, 405; 503 without a lease |
//! | [`admit_or_reject`] | checks the idempotency key, acquires the permits | 400, 429, 503 |
//! | [`read_body`] | reads the body within its limits | 408, 413, 503 |
//! | [`select_endpoint`] | chooses a service; each attempt selects a target | no target available |
//! | [`connect`] | reuses or opens a connection, verifies the target's identity | |
//! | [`authorise_by_ticket`] | obtains the ticket of a one-time request | ticket not granted |
//! | [`forward`] | sends the request, after the final check | |
//! | [`read_response`] | reads the response and judges it | |
//! | [`retry_or_finish`] | settles the ticket; retries or finishes the request | all other ends |
//! | [`write_response`] | writes the response to the client | |
//!
//! [`client_connection`] runs `read_head` and `write_response` for each request of a connection,
//! [`request`] runs the phases between them, and [`attempts`] those from `select_endpoint` to
//! `retry_or_finish`. `postbarrow_node::RequestFlow` decides what follows an attempt. It does no
//! I/O: it returns a step, the phase of that step runs, and the phase's result is its next event.

pub mod accept;
mod admit_or_reject;
mod attempts;
mod authorise_by_ticket;
mod client_connection;
mod connect;
mod forward;
mod match_route;
mod read_body;
mod read_head;
mod read_response;
mod rejection;
mod request;
mod request_state;
mod retry_or_finish;
mod select_endpoint;
mod write_response;
