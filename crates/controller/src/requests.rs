//! Where questions come in, and wait for an open transaction.

use crate::{ControlNode, Origin};
use postbarrow_messages::{Request, Response};

impl ControlNode {
    /// The one gate of all questions. Without the lease nothing is answered from committed state,
    /// which another leader may have changed, and nothing is written: so "not the controller"
    /// always says that this question did nothing here.
    pub(crate) fn on_request(&mut self, now_ms: u64, origin: Origin, request: Request) {
        if !self.has_lease(now_ms) || self.is_departing() {
            let controller = self.consensus.leader().map(|leader| leader.address);
            let controller = controller.filter(|address| *address != self.own.address);
            return self.respond(origin, Response::NotController { controller });
        }
        let is_operator_read = matches!(
            request,
            Request::Show
                | Request::Targets
                | Request::Members
                | Request::Status
                | Request::RequestSamples
        );
        if !is_operator_read && self.is_open() && !is_read_only_call(&request) {
            return self.wait_for_close(now_ms, origin, request);
        }
        match request {
            Request::Ticket(ticket) => self.on_ticket(now_ms, origin, ticket),
            Request::Settle { ticket, settlement, response } => {
                self.on_settle(now_ms, origin, ticket, settlement, response)
            }
            Request::Call { id, call } => self.on_call(now_ms, origin, id, call),
            Request::Submit(submission) => self.on_submit(now_ms, origin, submission),
            Request::Show => self.on_show(origin),
            Request::Targets => self.on_targets(now_ms, origin),
            Request::Members => self.on_members(now_ms, origin),
            Request::Status => self.on_status(now_ms, origin),
            Request::RequestSamples => self.on_request_samples(now_ms, origin),
        }
    }

    /// Nothing is interleaved with an open transaction; a repeat of a waiting question is
    /// dropped, and its sender told so.
    fn wait_for_close(&mut self, now_ms: u64, origin: Origin, request: Request) {
        let Some(leader) = &mut self.leader else { return };
        let is_repeat = |other: &Origin| other.to == origin.to && other.key == origin.key;
        let repeats_open_plan =
            leader.open_plan.as_ref().is_some_and(|plan| is_repeat(&plan.origin));
        if repeats_open_plan || leader.waiting_requests.iter().any(|(_, other, _)| is_repeat(other))
        {
            return self.respond(origin, Response::Duplicate);
        }
        leader.waiting_requests.push_back((now_ms, origin, request));
    }

    pub(crate) fn drain_waiting(&mut self, now_ms: u64) {
        while !self.is_open() {
            let Some(leader) = &mut self.leader else { return };
            let Some((since_ms, origin, request)) = leader.waiting_requests.pop_front() else {
                return;
            };
            leader.longest_stall_ms = leader.longest_stall_ms.max(now_ms.saturating_sub(since_ms));
            self.on_request(now_ms, origin, request);
        }
    }
}

fn is_read_only_call(request: &Request) -> bool {
    use postbarrow_state::Call;
    matches!(
        request,
        Request::Call {
            call: Call::ReadLock { .. }
                | Call::ReadNumber { .. }
                | Call::ReadKey { .. }
                | Call::Watch { .. },
            ..
        }
    )
}
