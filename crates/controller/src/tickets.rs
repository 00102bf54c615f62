use crate::{ControlNode, Origin};
use postbarrow_constants::coordination::{STORED_RESPONSES_BYTES, TICKETS};
use postbarrow_messages::Response;
use postbarrow_state::{Record, Settlement, StoredResponse, Ticket};

impl ControlNode {
    pub(crate) fn on_ticket(&mut self, now_ms: u64, origin: Origin, ticket: Ticket) {
        let Some(state) = self.current() else { return };
        if !state.nodes.contains_key(&ticket.node) {
            return self.reply_when_committed(now_ms, origin, unregistered_node());
        }
        let response = match state.tickets.get(&ticket.key) {
            None => None,
            Some(known) if known.digest != ticket.digest => Some(Response::OtherDigest),
            Some(known) if is_same_attempt(known, &ticket) && known.settlement.is_none() => {
                Some(Response::Granted)
            }
            Some(known) if is_same_attempt(known, &ticket) => {
                Some(Response::Known(known.as_ref().clone().into()))
            }
            Some(known) if known.settlement == Some(Settlement::Unsent) => None,
            Some(known) => Some(Response::Known(known.as_ref().clone().into())),
        };
        let full = state.tickets.len() >= TICKETS && !state.tickets.contains_key(&ticket.key);
        match response {
            Some(response) => self.reply_when_committed(now_ms, origin, response),
            None if full => self.shed(now_ms, origin),
            None => {
                let open_ticket = Ticket { settlement: None, response: None, ..ticket };
                let offset = self.propose(now_ms, vec![Record::Ticket(open_ticket)]);
                self.reply_at(now_ms, offset, origin, Response::Granted);
            }
        }
    }

    /// Only the go that holds the ticket settles it; a go whose ticket never came leaves a settled
    /// one, so that its late question is not granted any more.
    pub(crate) fn on_settle(
        &mut self,
        now_ms: u64,
        origin: Origin,
        ticket: Ticket,
        settlement: Settlement,
        response: Option<StoredResponse>,
    ) {
        let Some(state) = self.current() else { return };
        let size = response.as_ref().map_or(0, |response| response.size() as u64);
        let fits = state.stored_response_bytes + size <= STORED_RESPONSES_BYTES;
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
            None => {
                let open_ticket = Ticket { settlement: None, response: None, ..ticket };
                vec![Record::Ticket(open_ticket), settled]
            }
        };
        if records.is_empty() {
            return self.reply_when_committed(now_ms, origin, Response::Settled);
        }
        if let Some(leader) = self.leader.as_mut().filter(|_| !fits) {
            leader.responses_not_stored += 1;
        }
        let offset = self.propose(now_ms, records);
        self.reply_at(now_ms, offset, origin, Response::Settled);
    }

    /// Space is out: what is new is shed, what is kept stays.
    pub(crate) fn shed(&mut self, now_ms: u64, origin: Origin) {
        if let Some(leader) = &mut self.leader {
            leader.requests_shed += 1;
        }
        self.reply_when_committed(now_ms, origin, Response::Full);
    }
}

fn unregistered_node() -> Response {
    Response::Refused("the node is not registered".into())
}

fn is_same_attempt(known: &Ticket, ticket: &Ticket) -> bool {
    known.node == ticket.node && known.number == ticket.number
}
