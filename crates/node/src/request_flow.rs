//! The flow of one request, without I/O.

use crate::completion::{Completion, ExecutionEvidence, RequestOutcome};
use crate::flow_step::{
    AttemptOutcome, Event, FlowContext, RequestContext, Step, TicketSettlement,
};
use postbarrow_constants::coordination::TICKET_USE_MS;
use postbarrow_constants::traffic::{ATTEMPTS, TICKETED_ATTEMPTS};
use postbarrow_messages::Response;
use postbarrow_routing::{Entry, Load, mix};
use postbarrow_state::{Name, RouteKind, Settlement, StoredResponse, Target, Ticket};
use std::fmt;
use std::sync::Arc;

/// The flow of one request: which target is next, whether it needs a ticket, how it ends. Once its
/// client has left it begins nothing more; what a target may be running goes on to its settlement.
pub struct RequestFlow {
    context: RequestContext,
    entry: Arc<Entry>,
    tried: Vec<Name>,
    target: Option<Arc<Target>>,
    load: Option<Arc<Load>>,
    ticket: Option<Ticket>,
    ticket_asked_ms: u64,
    proved: bool,
    /// An earlier attempt may have run.
    sent: bool,
    why: String,
}

impl RequestFlow {
    /// A request that has found its route.
    pub fn new(context: RequestContext, entry: Arc<Entry>) -> Self {
        RequestFlow {
            context,
            entry,
            tried: Vec::new(),
            target: None,
            load: None,
            ticket: None,
            ticket_asked_ms: 0,
            proved: false,
            sent: false,
            why: String::new(),
        }
    }

    /// What to do next, after this event.
    pub fn handle(&mut self, now: &FlowContext<'_>, event: Event) -> Step {
        match event {
            Event::Start => {
                self.entry.retry_budget.on_request(now.table.nodes());
                self.next_attempt(now)
            }
            Event::ConnectFailed(why) => {
                if !now.client_departed {
                    self.load_failed(now);
                }
                self.why = why;
                self.retry(now)
            }
            Event::Connected => self.on_connected(now),
            Event::ControllerResponded(response) => self.on_answered(now, response),
            Event::AttemptEnded(passed) => self.on_passed(now, passed),
        }
    }

    fn left_ms(&self, now: &FlowContext<'_>) -> u64 {
        self.context.deadline_ms.saturating_sub(now.now_ms)
    }

    fn is_one_time(&self) -> bool {
        self.entry.route().kind == RouteKind::OneTime
    }

    fn load_failed(&self, now: &FlowContext<'_>) {
        if let Some(load) = &self.load {
            load.on_failure(now.now_ms);
        }
    }

    /// Targets come from the entry the request began with, checked against the image of this moment.
    fn next_attempt(&mut self, now: &FlowContext<'_>) -> Step {
        if now.client_departed {
            return self.end(RequestOutcome::ClientDeparted);
        }
        if !now.serves {
            return self.end(RequestOutcome::Unready);
        }
        if self.left_ms(now) == 0 {
            return self.end(RequestOutcome::DeadlinePassed);
        }
        loop {
            let seed = mix(self.context.seed ^ self.tried.len() as u64);
            let picked =
                self.entry.select_target(&self.context.zone, &self.tried, now.now_ms, seed);
            let Some((target, load)) = picked else {
                let why = std::mem::take(&mut self.why);
                return self.end(RequestOutcome::NoTarget(why));
            };
            self.tried.push(target.instance.clone());
            if now.table.allows(&self.entry.route().service, &target.instance) {
                self.target = Some(target.clone());
                self.load = Some(load.clone());
                return Step::Connect { target, load, wait_ms: self.left_ms(now) };
            }
        }
    }

    fn retry(&mut self, now: &FlowContext<'_>) -> Step {
        if now.client_departed {
            return self.end(RequestOutcome::ClientDeparted);
        }
        let most = if self.is_one_time() { TICKETED_ATTEMPTS } else { ATTEMPTS };
        let tries = self.entry.route().max_attempts;
        let most = tries.map_or(most, |tries| tries as usize);
        let nodes = now.table.nodes();
        if self.tried.len() >= most || !self.entry.retry_budget.take(now.now_ms, nodes) {
            let why = std::mem::take(&mut self.why);
            return self.end(RequestOutcome::GaveUp(why));
        }
        self.next_attempt(now)
    }

    fn may_pass(&self, now: &FlowContext<'_>) -> bool {
        let service = &self.entry.route().service;
        let allowed =
            self.target.as_ref().is_some_and(|target| now.table.allows(service, &target.instance));
        now.serves && allowed && self.left_ms(now) > 0 && !now.client_departed
    }

    fn on_connected(&mut self, now: &FlowContext<'_>) -> Step {
        let Some(target) = &self.target else { return self.end(RequestOutcome::Unready) };
        if !self.is_one_time() || !self.context.uses_ticket_log {
            return match self.may_pass(now) {
                true => Step::Forward { wait_ms: self.left_ms(now), until_ms: u64::MAX },
                false => self.next_attempt(now),
            };
        }
        if now.client_departed {
            return self.end(RequestOutcome::ClientDeparted);
        }
        let ticket = Ticket {
            key: self.context.key.clone(),
            digest: self.context.digest,
            service: self.entry.route().service.clone(),
            instance: target.instance.clone(),
            node: self.context.node,
            number: now.number,
            settlement: None,
            response: None,
            era: 0,
        };
        self.ticket = Some(ticket.clone());
        self.ticket_asked_ms = now.now_ms;
        Step::RequestTicket { ticket, wait_ms: self.left_ms(now).min(TICKET_USE_MS) }
    }

    fn on_answered(&mut self, now: &FlowContext<'_>, response: Response) -> Step {
        match response {
            Response::Granted => {
                self.proved = true;
                let fresh = now.now_ms < self.ticket_asked_ms + TICKET_USE_MS;
                if fresh && self.may_pass(now) {
                    let until_ms = self.ticket_asked_ms + TICKET_USE_MS;
                    return Step::Forward { wait_ms: self.left_ms(now), until_ms };
                }
                self.why = "the ticket came too late for its target".into();
                self.settle_unsent(now)
            }
            Response::Settled => {
                self.ticket = None;
                self.retry(now)
            }
            Response::Known(known) => {
                self.ticket = None;
                self.end(RequestOutcome::Known(known))
            }
            Response::OtherDigest => {
                self.ticket = None;
                self.end(RequestOutcome::OtherDigest)
            }
            Response::Full => {
                self.ticket = None;
                self.proved = true;
                self.end(RequestOutcome::NoTicket("the log has no space for new keys".into()))
            }
            Response::Refused(why) => {
                self.ticket = None;
                self.end(RequestOutcome::NoTicket(why))
            }
            _ => {
                let settling = self.settle(Settlement::Unsent, None);
                let verdict = self.verdict(RequestOutcome::TicketUnknown);
                Step::Done { completion: verdict, settling }
            }
        }
    }

    /// The end of the ticket, if there is one; it is not this flow's any more.
    fn settle(
        &mut self,
        settlement: Settlement,
        response: Option<StoredResponse>,
    ) -> Option<TicketSettlement> {
        let ticket = self.ticket.take()?;
        Some(TicketSettlement { ticket, settlement, response })
    }

    /// No target ran it. Another attempt may follow once its ticket, if it has one, is settled; nobody
    /// waits for that where the client has left.
    fn settle_unsent(&mut self, now: &FlowContext<'_>) -> Step {
        if now.client_departed {
            let settling = self.settle(Settlement::Unsent, None);
            return Step::Done {
                completion: self.verdict(RequestOutcome::ClientDeparted),
                settling,
            };
        }
        match &self.ticket {
            Some(ticket) => Step::SettleTicket {
                settlement: TicketSettlement {
                    ticket: ticket.clone(),
                    settlement: Settlement::Unsent,
                    response: None,
                },
                wait_ms: self.left_ms(now).clamp(1, TICKET_USE_MS),
            },
            None => self.retry(now),
        }
    }

    fn on_passed(&mut self, now: &FlowContext<'_>, passed: AttemptOutcome) -> Step {
        match passed {
            AttemptOutcome::Complete(response) => {
                if let Some(load) = &self.load {
                    load.on_success();
                }
                let kept = response.kept();
                let settling = self.settle(Settlement::Ran, kept);
                Step::Done {
                    completion: self.verdict(RequestOutcome::Complete(response)),
                    settling,
                }
            }
            AttemptOutcome::NotRun(why) => {
                if let Some(load) = &self.load {
                    load.on_rejection(now.now_ms);
                }
                self.why = why;
                self.settle_unsent(now)
            }
            AttemptOutcome::Unsent(why) => {
                self.why = why;
                self.settle_unsent(now)
            }
            AttemptOutcome::Unknown { .. } if now.client_departed => {
                self.sent = true;
                let settling = self.settle(Settlement::Unknown, None);
                Step::Done { completion: self.verdict(RequestOutcome::ClientDeparted), settling }
            }
            AttemptOutcome::Unknown { late, reason: why } => {
                self.load_failed(now);
                self.sent = true;
                if !self.is_one_time() && !late {
                    self.why = why;
                    return self.retry(now);
                }
                let settling = self.settle(Settlement::Unknown, None);
                let told = if late {
                    RequestOutcome::TargetTimedOut(why)
                } else {
                    RequestOutcome::TargetFailed(why)
                };
                Step::Done { completion: self.verdict(told), settling }
            }
        }
    }

    /// What may have run is never told as not run, whatever ended it.
    fn end(&mut self, told: RequestOutcome) -> Step {
        let told = match told {
            RequestOutcome::NoTarget(why) if self.sent => RequestOutcome::GaveUp(why),
            RequestOutcome::Unready if self.sent => {
                RequestOutcome::GaveUp("this node is not ready".into())
            }
            told => told,
        };
        Step::Done { completion: self.verdict(told), settling: None }
    }

    fn verdict(&self, told: RequestOutcome) -> Completion {
        let about = ExecutionEvidence {
            one_time: self.is_one_time(),
            keyed: self.context.keyed,
            ticketed: self.proved,
            may_have_run: self.sent,
        };
        let key = (about.one_time && !about.keyed).then(|| self.context.key.clone());
        Completion { outcome: told, evidence: about, key }
    }
}

/// All that decides what the flow does next, but for its entry's own counters.
impl fmt::Debug for RequestFlow {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let target = self.target.as_ref().map(|target| &target.instance);
        let ticket = self.ticket.as_ref().map(|ticket| ticket.number);
        out.debug_struct("RequestFlow")
            .field("tried", &self.tried)
            .field("target", &target)
            .field("ticket", &ticket)
            .field("ticket_asked_ms", &self.ticket_asked_ms)
            .field("proved", &self.proved)
            .field("sent", &self.sent)
            .finish_non_exhaustive()
    }
}
