//! Grants and settles tickets of one-time requests.

use crate::ControlNode;
use crate::origin::Origin;
use postbarrow_constants::coordination::{STORED_RESPONSES_BYTES, TICKETS_MAX};
use postbarrow_messages::Response;
use postbarrow_state::{Record, Settlement, State, StoredResponse, Ticket};

impl ControlNode {
    /// Grants a key to one attempt. Another attempt is granted the key only once the first was
    /// settled as unsent.
    pub(super) fn on_ticket(&mut self, now_ms: u64, origin: Origin, ticket: Ticket) {
        let Some(state) = self.proposed_state() else { return };
        if !state.nodes.contains_key(&ticket.node) {
            let refused = Response::Refused("the node is not registered".into());
            return self.reply_when_committed(now_ms, origin, refused);
        }
        let is_full =
            state.tickets.len() >= TICKETS_MAX && !state.tickets.contains_key(&ticket.key);
        match response_of_known_key(state, &ticket) {
            Some(response) => self.reply_when_committed(now_ms, origin, response),
            None if is_full => self.shed(now_ms, origin),
            None => {
                let offset = self.propose(now_ms, vec![Record::Ticket(unsettled(ticket))]);
                self.reply_at(now_ms, offset, origin, Response::Granted);
            }
        }
    }

    /// Settles a ticket; only the attempt that was granted it can. If the key has no ticket because
    /// the attempt's ticket request has not arrived, a settled ticket is written, so that the late
    /// ticket request is not granted.
    pub(super) fn on_settle(
        &mut self,
        now_ms: u64,
        origin: Origin,
        ticket: Ticket,
        settlement: Settlement,
        response: Option<StoredResponse>,
    ) {
        let Some(state) = self.proposed_state() else { return };
        let size_bytes = response.as_ref().map_or(0, |response| response.size() as u64);
        let fits = state.stored_response_bytes + size_bytes <= STORED_RESPONSES_BYTES;
        let response = response.filter(|_| fits);
        let settled = Record::Settled { key: ticket.key.clone(), settlement, response };
        let records = match state.tickets.get(&ticket.key) {
            Some(known) if is_same_attempt(known, &ticket) => match known.settlement {
                None | Some(Settlement::Unknown) if known.settlement != Some(settlement) => {
                    vec![settled]
                }
                _ => Vec::new(),
            },
            Some(_) => Vec::new(),
            None => vec![Record::Ticket(unsettled(ticket)), settled],
        };
        if records.is_empty() {
            return self.reply_when_committed(now_ms, origin, Response::Settled);
        }
        if let Some(leader) = self.leader.as_mut().filter(|_| !fits) {
            leader.shedding.responses += 1;
        }
        let offset = self.propose(now_ms, records);
        self.reply_at(now_ms, offset, origin, Response::Settled);
    }
}

/// Returns the response for a key that has a ticket; `None` if the key may be granted.
fn response_of_known_key(state: &State, ticket: &Ticket) -> Option<Response> {
    let known = state.tickets.get(&ticket.key)?;
    if known.digest != ticket.digest {
        return Some(Response::OtherDigest);
    }
    match known.settlement {
        None if is_same_attempt(known, ticket) => Some(Response::Granted),
        Some(Settlement::Unsent) if !is_same_attempt(known, ticket) => None,
        _ => Some(Response::Known(known.as_ref().clone().into())),
    }
}

fn unsettled(ticket: Ticket) -> Ticket {
    Ticket { settlement: None, response: None, ..ticket }
}

fn is_same_attempt(known: &Ticket, ticket: &Ticket) -> bool {
    known.node == ticket.node && known.number == ticket.number
}
