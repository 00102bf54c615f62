//! Applies records of the tickets of one-time requests.

use crate::{Name, Settlement, State, StoredResponse, Ticket};
use std::sync::Arc;

impl State {
    pub(super) fn grant_ticket(&mut self, ticket: &Ticket) {
        let replaced = self.tickets.insert(ticket.key.clone(), Arc::new(ticket.clone()));
        self.stored_response_bytes -= replaced.map_or(0, |ticket| ticket.response_bytes());
    }

    pub(super) fn settle_ticket(
        &mut self,
        key: &Name,
        settlement: Settlement,
        response: Option<&StoredResponse>,
    ) {
        let Some(ticket) = self.tickets.get_mut(key) else { return };
        self.stored_response_bytes -= ticket.response_bytes();
        let ticket = Arc::make_mut(ticket);
        ticket.settlement = Some(settlement);
        ticket.response = response.cloned().map(Arc::new);
        ticket.era = self.era;
        self.stored_response_bytes += ticket.response_bytes();
    }

    pub(super) fn remove_tickets(&mut self, keys: &[Name]) {
        for key in keys {
            let removed = self.tickets.remove(key);
            self.stored_response_bytes -= removed.map_or(0, |ticket| ticket.response_bytes());
        }
    }
}
