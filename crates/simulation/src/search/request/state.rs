//! The state of two requests, their connections and targets.

use crate::search::request::flow::{Phase, TicketEnd};
use crate::search::request::wire::{Connection, ConnectionUse, Content, TargetMessage};

/// The faults that may occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    /// Second responses and garbage that targets may send.
    pub strays: u8,
    /// Connections that targets may close.
    pub closes: u8,
    /// Targets that may be replaced under the same address.
    pub replaces: u8,
    /// The node may freeze beyond its deadlines, and its lease may expire.
    pub freezes: bool,
    /// Clients may depart at any time.
    pub departures: bool,
}

/// The state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestState {
    /// The flows' state, by its number.
    pub(in crate::search) flow_state: usize,
    pub(in crate::search) phases: [Phase; 2],
    pub(in crate::search) tickets: [TicketEnd; 2],
    /// Clients that closed their connection, and those of which the node has observed it.
    pub(in crate::search) departed: [bool; 2],
    pub(in crate::search) departure_observed: [bool; 2],
    /// Requests of which a byte was sent after their client had departed.
    pub(in crate::search) sent_after_departure: [bool; 2],
    pub(in crate::search) connections: Vec<Connection>,
    pub(in crate::search) incarnations: [u8; 2],
    pub(in crate::search) ran: [u8; 2],
    pub(in crate::search) late: bool,
    pub(in crate::search) serves: bool,
    pub(in crate::search) remaining: Faults,
}

impl RequestState {
    pub(in crate::search) fn connection_of(&self, client: usize) -> Option<usize> {
        let is_own = |usage: ConnectionUse| {
            usage == ConnectionUse::InUse(client) || usage == ConnectionUse::Reading(client)
        };
        self.connections.iter().position(|connection| is_own(connection.usage))
    }

    /// The connection that the pool returns, if one is idle.
    pub(in crate::search) fn idle_connection(&self, target: usize) -> Option<usize> {
        let unused = |found: &Connection| found.is_idle_at(target) && found.is_unused();
        self.connections.iter().rposition(unused)
    }

    /// Drops the idle connections that the pool would not return.
    pub(in crate::search) fn drop_unusable(&mut self, target: usize) {
        for connection in &mut self.connections {
            if connection.is_idle_at(target) && !connection.is_unused() {
                connection.usage = ConnectionUse::Dropped;
            }
        }
    }

    pub(in crate::search) fn is_reading(&self, client: usize) -> bool {
        let mut all = self.connections.iter();
        all.any(|connection| connection.usage == ConnectionUse::Reading(client))
    }
}

impl RequestState {
    pub(in crate::search) fn runs(&mut self, at: usize, content: Option<Content>) {
        let connection = &mut self.connections[at];
        let Some((client, _)) = connection.pending.take() else { return };
        self.ran[client] += 1;
        connection.push_response(client, content, true);
    }

    pub(in crate::search) fn replaces(&mut self, target: usize) {
        self.remaining.replaces -= 1;
        self.incarnations[target] += 1;
        for connection in self.connections.iter_mut().filter(|found| found.target == target) {
            connection.closed = true;
            connection.pending = None;
        }
    }

    /// Removes connections that neither end will use.
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
    pub(in crate::search) fn is_idle_at(&self, target: usize) -> bool {
        self.target == target && self.usage == ConnectionUse::Idle
    }

    pub(in crate::search) fn push_response(
        &mut self,
        client: usize,
        content: Option<Content>,
        is_named: bool,
    ) {
        let Some(content) = content else { return };
        if !self.closed {
            self.answered = Some(client);
            self.inbox.push(TargetMessage { content, for_client: client, is_named });
        }
    }
}
