use crate::{ControlNode, Origin};
use postbarrow_messages::{Ask, Response};

impl ControlNode {
    pub(crate) fn on_ask(&mut self, nowMs: u64, origin: Origin, ask: Ask) {
        if !self.is_leading() || self.is_leaving() {
            let controller = self.consensus.leader().map(|leader| leader.address);
            let controller = controller.filter(|address| *address != self.own.address);
            return self.respond(origin, Response::NotController { controller });
        }
        let reads =
            matches!(ask, Ask::Show | Ask::Targets | Ask::Members | Ask::Status | Ask::Recent);
        if !reads && self.is_open() && !is_read(&ask) {
            return self.wait_for_close(nowMs, origin, ask);
        }
        match ask {
            Ask::Ticket(ticket) => self.on_ticket(nowMs, origin, ticket),
            Ask::Settle { ticket, settlement, response } => {
                self.on_settle(nowMs, origin, ticket, settlement, response)
            }
            Ask::Call { id, call } => self.on_call(nowMs, origin, id, call),
            Ask::Submit(submission) => self.on_submit(nowMs, origin, submission),
            Ask::Show => self.on_show(nowMs, origin),
            Ask::Targets => self.on_targets(nowMs, origin),
            Ask::Members => self.on_members(nowMs, origin),
            Ask::Status => self.on_status(nowMs, origin),
            Ask::Recent => self.on_recent(nowMs, origin),
        }
    }

    /// Nothing is interleaved with an open transaction; a repeat of a waiting question is dropped.
    fn wait_for_close(&mut self, nowMs: u64, origin: Origin, ask: Ask) {
        let Some(lead) = &mut self.lead else { return };
        let waits = |other: &Origin| other.to == origin.to && other.key == origin.key;
        let open = lead.open.as_ref().is_some_and(|open| waits(&open.origin));
        if !open && !lead.waiting.iter().any(|(_, other, _)| waits(other)) {
            lead.waiting.push_back((nowMs, origin, ask));
        }
    }

    pub(crate) fn drain_waiting(&mut self, nowMs: u64) {
        while !self.is_open() {
            let Some(lead) = &mut self.lead else { return };
            let Some((sinceMs, origin, ask)) = lead.waiting.pop_front() else { return };
            lead.longestStallMs = lead.longestStallMs.max(nowMs.saturating_sub(sinceMs));
            self.on_ask(nowMs, origin, ask);
        }
    }

    /// Reads of committed state are linearizable while a majority's hold lasts.
    pub(crate) fn refuse_without_hold(&mut self, nowMs: u64, origin: Origin) -> bool {
        let holds = self.holds(nowMs);
        if !holds {
            self.respond(origin, Response::NotController { controller: None });
        }
        !holds
    }
}

fn is_read(ask: &Ask) -> bool {
    use postbarrow_state::Call;
    matches!(
        ask,
        Ask::Call {
            call: Call::ReadLock { .. }
                | Call::ReadNumber { .. }
                | Call::ReadKey { .. }
                | Call::Watch { .. },
            ..
        }
    )
}
