//! Where two requests, their connections and targets stand.

use super::request::Faults;
use super::request_flow::{Phase, TicketEnd};
use super::request_wire::{Connection, ConnectionUse, Content, TargetMessage};

/// Where all stand.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestState {
    /// Where the flows stand, by the number of their view.
    pub(super) flow_state: usize,
    pub(super) phases: [Phase; 2],
    pub(super) tickets: [TicketEnd; 2],
    /// Clients that closed their connection, and those of whom the node has seen it.
    pub(super) departed: [bool; 2],
    pub(super) departure_observed: [bool; 2],
    /// Requests of which a byte went out after their client had left.
    pub(super) sent_after_departure: [bool; 2],
    pub(super) connections: Vec<Connection>,
    pub(super) incarnations: [u8; 2],
    pub(super) ran: [u8; 2],
    pub(super) late: bool,
    pub(super) serves: bool,
    pub(super) remaining: Faults,
}

impl RequestState {
    pub(super) fn connection_of(&self, client: usize) -> Option<usize> {
        let is_own = |usage: ConnectionUse| {
            usage == ConnectionUse::InUse(client) || usage == ConnectionUse::Reading(client)
        };
        self.connections.iter().position(|connection| is_own(connection.usage))
    }

    /// The connection that `Pools::take` gives, if one rests.
    pub(super) fn idle_connection(&self, target: usize) -> Option<usize> {
        let unused = |found: &Connection| found.is_idle_at(target) && found.is_unused();
        self.connections.iter().rposition(unused)
    }

    /// `Pools::take` drops what is not fresh on its way.
    pub(super) fn drop_unusable(&mut self, target: usize) {
        for connection in &mut self.connections {
            if connection.is_idle_at(target) && !connection.is_unused() {
                connection.usage = ConnectionUse::Dropped;
            }
        }
    }

    pub(super) fn is_reading(&self, client: usize) -> bool {
        let mut all = self.connections.iter();
        all.any(|connection| connection.usage == ConnectionUse::Reading(client))
    }
}

impl RequestState {
    pub(super) fn runs(&mut self, at: usize, content: Option<Content>) {
        let connection = &mut self.connections[at];
        let Some((client, _)) = connection.pending.take() else { return };
        self.ran[client] += 1;
        connection.push_response(client, content, true);
    }

    pub(super) fn replaces(&mut self, target: usize) {
        self.remaining.replaces -= 1;
        self.incarnations[target] += 1;
        for connection in self.connections.iter_mut().filter(|found| found.target == target) {
            connection.closed = true;
            connection.pending = None;
        }
    }

    /// Forgets connections that neither end will use.
    pub(super) fn remove_unused_connections(&mut self) {
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
    pub(super) fn is_idle_at(&self, target: usize) -> bool {
        self.target == target && self.usage == ConnectionUse::Idle
    }

    pub(super) fn push_response(
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
