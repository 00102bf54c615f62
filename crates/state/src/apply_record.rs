//! Applies a record of the log to the state. Each kind of record has a method in a submodule.

mod coordination;
mod endpoints;
mod plan;
mod tickets;

use crate::{Record, State};
use postbarrow_transactions::Image;

impl Image for State {
    type Record = Record;

    fn apply(&mut self, offset: u64, record: &Record) {
        match record {
            Record::PlanStart { version, base } => self.start_plan(offset, version, base.as_ref()),
            Record::PlanDelta { version, base } => {
                self.start_plan_delta(offset, version, base.as_ref());
            }
            Record::PlanText(chunk) => self.append_plan_text(chunk),
            Record::TextPatch(splices) => self.patch_plan_text(splices),
            Record::Service(service) => self.set_service(service),
            Record::ServiceGone(name) => self.remove_service(name),
            Record::Route(route) => self.append_route(route),
            Record::RoutesPatch(splices) => self.patch_plan_routes(splices),
            Record::ClientLimits(limits) => self.set_client_limits(limits),
            Record::PlanAccepted { version, base, digest, began_at } => {
                self.accept_plan(offset, version, base.as_ref(), digest, *began_at);
            }
            Record::PlanRefused(refused) => self.refuse_plan(refused),
            Record::Target(target) => self.set_target(target),
            Record::TargetGone(instance) => self.remove_target(instance),
            Record::TargetDown { instance, down } => self.set_target_down(instance, *down),
            Record::Node(node) => self.set_node(node),
            Record::NodeGone(incarnation) => self.remove_node(*incarnation),
            Record::Ticket(ticket) => self.grant_ticket(ticket),
            Record::Settled { key, settlement, response } => {
                self.settle_ticket(key, *settlement, response.as_ref());
            }
            Record::TicketsForgotten(keys) => self.remove_tickets(keys),
            Record::Lock { name, holder, fence, ttl_ms } => {
                self.set_lock(name, holder, *fence, *ttl_ms);
            }
            Record::LockFreed { name } => self.free_lock(name),
            Record::Number { name, value } => self.set_number(name, *value),
            Record::Key { name, key: Some(key) } => self.set_key(name, key),
            Record::Key { name, key: None } => self.remove_key(name),
            Record::HistoryTrimmed { floor } => self.trim_history(*floor),
            Record::Repeat { id, outcome } => self.store_outcome(id, outcome),
            Record::RepeatsForgotten(ids) => self.remove_outcomes(ids),
            Record::Era { by } => self.era += by,
        }
    }
}
