//! One attempt of a client's request at one data node.

use postbarrow_node::*;
use postbarrow_routing::Load;
use postbarrow_state::Target;
use std::sync::Arc;

/// One attempt of a client's request at one data node.
pub struct RequestRun {
    /// The id of the request, which all its attempts share.
    pub id: u64,
    /// Whether the client gave the request an idempotency key.
    pub keyed: bool,
    /// Number of earlier attempts that the client made one after another.
    pub attempts: u32,
    /// The service that the request is for.
    pub service: &'static str,
    /// The index of the data node that the attempt was sent to.
    pub(crate) data: usize,
    /// The incarnation of the data node's process that the attempt was sent to.
    pub(crate) incarnation: u64,
    /// The true time before which the node must answer, in microseconds; `u64::MAX` until the node
    /// has started a flow.
    pub(crate) answer_due_us: u64,
    /// The node's flow for the attempt; `None` before the node accepts the attempt and after it has
    /// answered.
    pub(crate) flow: Option<RequestFlow>,
    /// The target that the flow selected last, with its load.
    pub target: Option<(Arc<Target>, Arc<Load>)>,
    /// The instance that ran at the target's address when the node connected to it; it may be
    /// another one than the target's.
    pub connected_instance: Option<String>,
    /// Whether the client has closed its connection.
    pub client_departed: bool,
    /// Whether the node has observed that the client closed its connection.
    pub(crate) departure_observed: bool,
    /// The event that the flow waits for.
    pub(crate) awaited_event: AwaitedEvent,
}

/// The event that an attempt waits for at its data node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwaitedEvent {
    /// A connection to a target, on which the target has proven its identity.
    Connection,
    /// The controller's response to the node's request of this key.
    Controller { key: u64 },
    /// The last check before the request's bytes are sent.
    Sending,
    /// The response of the target.
    Target,
}

impl RequestRun {
    /// Returns whether the attempt is at data node `data` and has a flow, so that the node has yet
    /// to answer it.
    pub fn is_in_flight(&self, data: usize) -> bool {
        self.data == data && self.flow.is_some()
    }

    /// Returns the instance of the target that the flow selected last, if any.
    pub fn target_name(&self) -> Option<String> {
        self.target.as_ref().map(|(target, _)| target.instance.to_string())
    }
}
