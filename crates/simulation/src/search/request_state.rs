//! Where two requests, their connections and targets stand.

use super::request::Faults;
use super::request_flow::{Phase, TicketEnd};
use super::request_wire::{Answer, Connection, Content, Use};

/// Where all stand.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestState {
    /// Where the flows stand, by the number of their view.
    pub(super) view: usize,
    pub(super) phases: [Phase; 2],
    pub(super) tickets: [TicketEnd; 2],
    /// Clients that closed their connection, and those of whom the node has seen it.
    pub(super) gone: [bool; 2],
    pub(super) seen_gone: [bool; 2],
    /// Requests of which a byte went out after their client had left.
    pub(super) sent_for_nobody: [bool; 2],
    pub(super) connections: Vec<Connection>,
    pub(super) lives: [u8; 2],
    pub(super) ran: [u8; 2],
    pub(super) late: bool,
    pub(super) serves: bool,
    pub(super) left: Faults,
}

impl RequestState {
    pub(super) fn connection_of(&self, client: usize) -> Option<usize> {
        let mine = |used: Use| used == Use::Taken(client) || used == Use::Reading(client);
        self.connections.iter().position(|connection| mine(connection.used))
    }

    /// The connection that `Pools::take` gives, if one rests.
    pub(super) fn resting(&self, target: usize) -> Option<usize> {
        let fresh = |found: &Connection| found.rests_at(target) && found.is_fresh();
        self.connections.iter().rposition(fresh)
    }

    /// `Pools::take` drops what is not fresh on its way.
    pub(super) fn drops_unfit(&mut self, target: usize) {
        for connection in &mut self.connections {
            if connection.rests_at(target) && !connection.is_fresh() {
                connection.used = Use::Dropped;
            }
        }
    }

    pub(super) fn is_reading(&self, client: usize) -> bool {
        let mut all = self.connections.iter();
        all.any(|connection| connection.used == Use::Reading(client))
    }
}

impl RequestState {
    pub(super) fn runs(&mut self, at: usize, content: Option<Content>) {
        let connection = &mut self.connections[at];
        let Some((client, _)) = connection.pending.take() else { return };
        self.ran[client] += 1;
        connection.answers(client, content, true);
    }

    pub(super) fn replaces(&mut self, target: usize) {
        self.left.replaces -= 1;
        self.lives[target] += 1;
        for connection in self.connections.iter_mut().filter(|found| found.target == target) {
            connection.closed = true;
            connection.pending = None;
        }
    }

    /// Forgets connections that neither end will use.
    pub(super) fn tidy(&mut self) {
        self.connections
            .retain(|connection| connection.used != Use::Dropped || connection.pending.is_some());
        for connection in &mut self.connections {
            if connection.used == Use::Dropped {
                connection.inbox.clear();
            }
        }
    }
}

impl Connection {
    pub(super) fn rests_at(&self, target: usize) -> bool {
        self.target == target && self.used == Use::Resting
    }

    pub(super) fn answers(&mut self, client: usize, content: Option<Content>, named: bool) {
        let Some(content) = content else { return };
        if !self.closed {
            self.answered = Some(client);
            self.inbox.push(Answer { content, made_for: client, named });
        }
    }
}
