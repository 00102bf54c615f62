//! Tests of a node on real sockets, with scripted targets and a scripted controller.

mod admission;
mod client_departure;
mod execution_evidence;
mod library_behaviour;
mod named_targets;
mod node_endpoints;
mod requests;
mod responses;
mod rig;
mod scripted;
mod unresponsive_named_targets;
mod unresponsive_targets;
