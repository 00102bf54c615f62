//! One attempt of a client's request at one data node.

use postbarrow_node::*;
use postbarrow_routing::Load;
use postbarrow_state::Target;
use std::sync::Arc;

/// One attempt of a client's request at one data node.
pub struct RequestRun {
    /// The request's id, which all its attempts share.
    pub id: u64,
    /// Whether it has an idempotency key.
    pub keyed: bool,
    /// How many attempts of its client precede this one.
    pub attempts: u32,
    /// The service that it is for.
    pub service: &'static str,
    pub(crate) data: usize,
    /// The incarnation of the node that accepted it, and the latest time of its response.
    pub(crate) incarnation: u64,
    pub(crate) answer_due_us: u64,
    pub(crate) flow: Option<RequestFlow>,
    /// The target that its flow selected last.
    pub target: Option<(Arc<Target>, Arc<Load>)>,
    /// The instance at the other end when the connection was made, whichever that is.
    pub connected: Option<String>,
    /// Whether its client closed the connection, and whether the node has observed that.
    pub client_left: bool,
    pub(crate) departure_observed: bool,
    pub(crate) awaits: Awaits,
}

/// What a request waits for at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Awaits {
    /// A connection to a target, with its proof.
    Connection,
    /// The controller's response to the request of this key.
    Controller { key: u64 },
    /// The last check before its bytes are sent.
    Sending,
    /// Its target's response.
    Target,
}

impl RequestRun {
    /// Whether data node `data` has not answered it.
    pub fn is_in_flight(&self, data: usize) -> bool {
        self.data == data && self.flow.is_some()
    }

    /// The instance of the target that its flow selected last.
    pub fn target_name(&self) -> Option<String> {
        self.target.as_ref().map(|(target, _)| target.instance.to_string())
    }
}
