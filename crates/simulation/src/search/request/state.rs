//! The state of the model of two requests, with their connections and targets.

use crate::search::request::flow::{Phase, TicketStatus};
use crate::search::request::wire::{Connection, ConnectionUse, Content, TargetMessage};

/// The faults that may occur in a search, or those that may still occur from a state on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    /// Number of unsolicited messages (a second response or garbage) that targets may send.
    pub stray_responses: u8,
    /// Number of connections that targets may close.
    pub closed_connections: u8,
    /// Number of times that a target may be replaced under the same address.
    pub replaced_targets: u8,
    /// Whether the node may freeze past all deadlines, and its lease may expire.
    pub freezes: bool,
    /// Whether clients may depart while their requests are in progress.
    pub departures: bool,
}

/// The state of the model. Arrays are indexed by client, unless stated otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestState {
    /// The index of the state of both request flows in `FlowStates`.
    pub(in crate::search) flow_state_index: usize,
    /// The phase of each request.
    pub(in crate::search) phases: [Phase; 2],
    /// The ticket status of each request.
    pub(in crate::search) tickets: [TicketStatus; 2],
    /// Whether the client has closed its connection.
    pub(in crate::search) departed: [bool; 2],
    /// Whether the node has observed that the client closed its connection.
    pub(in crate::search) departure_observed: [bool; 2],
    /// Whether a byte of the request was sent after its client had departed.
    pub(in crate::search) sent_after_departure: [bool; 2],
    /// The connections that at least one end may still use, oldest first.
    pub(in crate::search) connections: Vec<Connection>,
    /// The current incarnation of each target, by target.
    pub(in crate::search) incarnations: [u8; 2],
    /// How often each request ran at a target.
    pub(in crate::search) run_counts: [u8; 2],
    /// Whether the deadlines of both requests have passed.
    pub(in crate::search) deadlines_passed: bool,
    /// Whether the node has its lease.
    pub(in crate::search) has_lease: bool,
    /// The faults that may still occur.
    pub(in crate::search) remaining_faults: Faults,
}

impl RequestState {
    /// Returns the index of the connection that is in use for this client's request.
    pub(in crate::search) fn connection_of(&self, client: usize) -> Option<usize> {
        let is_used_by_client = |usage: ConnectionUse| {
            usage == ConnectionUse::InUse(client) || usage == ConnectionUse::Reading(client)
        };
        self.connections.iter().position(|connection| is_used_by_client(connection.usage))
    }

    /// Returns the index of the connection that the pool would return: the newest reusable idle
    /// one.
    pub(in crate::search) fn idle_connection(&self, target: usize) -> Option<usize> {
        let is_available = |found: &Connection| found.is_idle_at(target) && found.is_reusable();
        self.connections.iter().rposition(is_available)
    }

    /// Drops the idle connections to this target that the pool would not return.
    pub(in crate::search) fn drop_unusable_connections(&mut self, target: usize) {
        for connection in &mut self.connections {
            if connection.is_idle_at(target) && !connection.is_reusable() {
                connection.usage = ConnectionUse::Dropped;
            }
        }
    }

    /// Returns whether the node is reading the response to this client's request.
    pub(in crate::search) fn is_reading(&self, client: usize) -> bool {
        let mut connections = self.connections.iter();
        connections.any(|connection| connection.usage == ConnectionUse::Reading(client))
    }
}

impl RequestState {
    /// Runs the pending request of a connection, whose target then sends this content, if any.
    pub(in crate::search) fn run_pending(&mut self, index: usize, content: Option<Content>) {
        let connection = &mut self.connections[index];
        let Some((client, _)) = connection.pending.take() else { return };
        self.run_counts[client] += 1;
        connection.push_response(client, content, true);
    }

    /// Replaces the process at a target's address: its connections close, and the requests pending
    /// on them never run.
    pub(in crate::search) fn replace_target(&mut self, target: usize) {
        self.remaining_faults.replaced_targets -= 1;
        self.incarnations[target] += 1;
        for connection in self.connections.iter_mut().filter(|found| found.target == target) {
            connection.closed = true;
            connection.pending = None;
        }
    }

    /// Removes the connections that neither end will use, and the responses that will not be read.
    pub(in crate::search) fn remove_unused_connections(&mut self) {
        self.connections.retain(|connection| {
            connection.usage != ConnectionUse::Dropped || connection.pending.is_some()
        });
        for connection in &mut self.connections {
            if connection.usage == ConnectionUse::Dropped {
                connection.inbox.clear();
            }
        }
    }
}

impl Connection {
    /// Returns whether this is a connection to this target in the pool.
    pub(in crate::search) fn is_idle_at(&self, target: usize) -> bool {
        self.target == target && self.usage == ConnectionUse::Idle
    }

    /// Adds a response to the inbox, if there is content and the target's end is open.
    pub(in crate::search) fn push_response(
        &mut self,
        client: usize,
        content: Option<Content>,
        is_named: bool,
    ) {
        let Some(content) = content else { return };
        if !self.closed {
            self.last_answered = Some(client);
            self.inbox.push(TargetMessage { content, for_client: client, is_named });
        }
    }
}
