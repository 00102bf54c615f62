//! The events of the model of two requests.

use crate::search::request::wire::Content;

/// One event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// This client's request arrives at the node.
    Arrives(usize),
    /// The node connects, or takes an idle connection.
    Connects(usize),
    /// The node's attempt to connect fails.
    ConnectFails(usize),
    /// The controller grants the ticket.
    TicketGranted(usize),
    /// The controller records the ticket's settlement.
    TicketSettled(usize),
    /// No response comes from the controller.
    TicketTimesOut(usize),
    /// The request's bytes are sent, if the last check allows it.
    Writes(usize),
    /// Sending the first byte fails, for the target's reset is known already.
    WriteRefused(usize),
    /// The node reads a response.
    Reads {
        /// Whose response.
        client: usize,
        /// Whether the bytes after it are read too.
        rest: bool,
    },
    /// The deadline passes while the node reads.
    Expires(usize),
    /// The target at the other end runs the request and answers.
    Runs(usize),
    /// The target runs the request and sends no response.
    RunsWithoutResponse(usize),
    /// The target runs the request, sends part of its response and closes the connection.
    RunsAndTruncatesResponse(usize),
    /// The target answers that it does not run the request.
    Rejects {
        /// On which connection.
        connection: usize,
        /// Whether the response names its request.
        is_named: bool,
    },
    /// The target sends a response that nobody waits for.
    Strays {
        /// On which connection.
        connection: usize,
        /// What it says.
        content: Content,
        /// Whether it names the request answered last.
        is_named: bool,
    },
    /// The target closes this connection.
    Closes(usize),
    /// Another process takes this target's address.
    Replaces(usize),
    /// The client closes its connection.
    ClientDeparts(usize),
    /// The node observes the departure while it waits for something else.
    ObservesDeparture(usize),
    /// The node, which waits for a socket, stops waiting since the client departed.
    Abandons(usize),
    /// All deadlines pass, as for a node that was frozen.
    TimePasses,
    /// The node's lease expires.
    LeaseEnds,
}
