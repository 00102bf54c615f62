//! Entry point of all requests: serves a request, redirects it to the leader, or queues it while a
//! transaction is open.

use crate::ControlNode;
use crate::origin::Origin;
use postbarrow_messages::{Request, Response};

impl ControlNode {
    /// Serves, redirects or queues a request. Without the leader lease, nothing is answered from
    /// the committed state, which another leader may have changed, and nothing is written. So
    /// `NotController` always means that the request had no effect on this node.
    pub(super) fn on_request(&mut self, now_ms: u64, origin: Origin, request: Request) {
        if !self.has_lease(now_ms) || self.is_departing() {
            let controller = self.other_leader();
            return self.respond(origin, Response::NotController { controller });
        }
        if self.has_open_transaction() && !is_read(&request) {
            return self.queue_request(now_ms, origin, request);
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

    /// Queues a request until the open transaction ends. A repeat of a request that is already
    /// queued, or that submitted the open plan, is answered as a duplicate.
    fn queue_request(&mut self, now_ms: u64, origin: Origin, request: Request) {
        let Some(leader) = &mut self.leader else { return };
        if leader.transaction.is_duplicate(origin) {
            return self.respond(origin, Response::Duplicate);
        }
        leader.transaction.enqueue(now_ms, origin, request);
    }

    /// Serves the queued requests in order, until one of them opens the next transaction.
    pub(super) fn serve_waiting_requests(&mut self, now_ms: u64) {
        loop {
            let Some(leader) = &mut self.leader else { return };
            let Some(next) = leader.transaction.next_waiting(now_ms) else { return };
            self.on_request(now_ms, next.origin, next.request);
        }
    }

    fn on_request_samples(&mut self, now_ms: u64, origin: Origin) {
        let Some(leader) = &self.leader else { return };
        let response = leader.samples.response(now_ms);
        self.respond(origin, response);
    }

    /// Sheds a request because a storage limit is reached; stored records are never dropped for it.
    pub(super) fn shed(&mut self, now_ms: u64, origin: Origin) {
        if let Some(leader) = &mut self.leader {
            leader.shedding.requests += 1;
        }
        self.reply_when_committed(now_ms, origin, Response::Full);
    }
}

/// Returns whether the request only reads; reads are served while a transaction is open.
fn is_read(request: &Request) -> bool {
    match request {
        Request::Show
        | Request::Targets
        | Request::Members
        | Request::Status
        | Request::RequestSamples => true,
        Request::Call { call, .. } => call.is_read(),
        Request::Ticket(_) | Request::Settle { .. } | Request::Submit(_) => false,
    }
}
