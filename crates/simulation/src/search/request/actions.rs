//! The events of the model of two requests through one node.

use crate::search::request::wire::Content;

/// One event of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// The request of this client arrives at the node.
    Arrives(usize),
    /// The node opens a connection for this client's request, or takes an idle one from the pool.
    Connects(usize),
    /// The node's attempt to connect for this client's request fails.
    ConnectFails(usize),
    /// The controller grants the ticket of this client's request.
    TicketGranted(usize),
    /// The controller records the settlement of the ticket of this client's request.
    TicketSettled(usize),
    /// The controller sends no response about the ticket of this client's request in time.
    TicketTimesOut(usize),
    /// The node sends this client's request, if its last check before the first byte allows it.
    SendsRequest(usize),
    /// Sending the first byte of this client's request fails, because the target's reset has
    /// already arrived.
    SendFails(usize),
    /// The node reads a response.
    ReadsResponse {
        /// The client whose request the node reads a response for.
        client: usize,
        /// Whether the node also reads the bytes that follow the response.
        reads_ahead: bool,
    },
    /// The deadline of this client's request passes while the node reads.
    DeadlinePasses(usize),
    /// The target on this connection runs the pending request and sends a complete response.
    TargetRuns(usize),
    /// The target on this connection runs the pending request and sends no response.
    TargetRunsWithoutResponse(usize),
    /// The target runs the pending request, sends part of its response and closes this connection.
    TargetRunsAndTruncatesResponse(usize),
    /// The target responds that it does not run the pending request.
    TargetRejects {
        /// The index of the connection.
        connection: usize,
        /// Whether the response names the request that it answers.
        is_named: bool,
    },
    /// The target sends a response that no request waits for.
    TargetSendsStray {
        /// The index of the connection.
        connection: usize,
        /// The content of the stray response.
        content: Content,
        /// Whether the stray response names the request that was answered last.
        is_named: bool,
    },
    /// The target closes this connection.
    TargetCloses(usize),
    /// Another process replaces this target under its address.
    TargetReplaced(usize),
    /// This client closes its connection.
    ClientDeparts(usize),
    /// The node observes that this client departed, while it waits for something else.
    NodeObservesDeparture(usize),
    /// The node stops waiting for a target or the controller because this client departed.
    NodeStopsWaiting(usize),
    /// All deadlines pass, as when the node was frozen.
    DeadlinesPass,
    /// The node's lease expires.
    LeaseExpires,
}
