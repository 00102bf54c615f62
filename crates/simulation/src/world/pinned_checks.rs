//! Checks of the responses to pinned clients against responses that other clients received before.

use crate::client::operator::SubmittedOrder;
use crate::client::pinned::PinnedRequest;
use crate::client::plans::began_at;
use crate::node::control::ControlMachine;
use crate::world::World;
use postbarrow_messages::Response;
use postbarrow_state::{Call, Outcome};

impl World {
    /// Checks that a response to a pinned client was true at some time between the request and the
    /// response.
    pub fn check_answer(&mut self, start_us: u64, request: PinnedRequest, response: Response) {
        match (request, response) {
            (PinnedRequest::Show, Response::Plan { offset, .. }) => {
                self.check_shown(start_us, offset)
            }
            (PinnedRequest::Show, _) => self.check_shown(start_us, 0),
            (PinnedRequest::Order(submitted), Response::Operator { status, body }) => {
                self.check_order(&submitted, status, &String::from_utf8_lossy(&body));
            }
            (PinnedRequest::Call(call), Response::Outcome(outcome)) => {
                self.check_outcome(start_us, &call, &outcome);
            }
            (request, response) => {
                self.ledger.report(format!("{request:?} was answered by {response:?}"));
            }
        }
    }

    /// Checks that the plan in a response, whose Begin has this log offset, is not older than any
    /// plan acknowledged before the request; the offset is 0 if the response has no plan.
    fn check_shown(&mut self, start_us: u64, offset: u64) {
        let before = self.ledger.in_force.iter().filter(|(at_us, _)| *at_us <= start_us);
        let newest = before.map(|(_, offset)| *offset).max().unwrap_or(0);
        if offset < newest {
            self.ledger
                .report(format!("the plan shown began at {offset}, one acknowledged at {newest}"));
        }
    }

    /// Checks that no valid order is refused and that no order is acknowledged without a majority;
    /// records the acknowledgement of the pending order.
    fn check_order(&mut self, submitted: &SubmittedOrder, status: u16, body: &str) {
        let order = &submitted.order;
        let valid = self.operator.version == order.base
            || self.operator.version.as_ref() == Some(&order.version);
        match status {
            200 => {
                self.check_majority(submitted, body);
                if self.pinned.as_ref().is_some_and(|pinned| pinned.is_order(submitted)) {
                    self.operator.possibly_in_force.remove(&order.text);
                    let violations = self.ledger.orders.record_acknowledgement(order);
                    violations.into_iter().for_each(|text| self.ledger.report(text));
                    self.order_acknowledged(order.clone(), body);
                    self.pinned.iter_mut().for_each(|pinned| pinned.order = None);
                }
            }
            503 => {}
            _ if valid => self.ledger.report(format!("a valid order got {status}: {body}")),
            _ => {}
        }
    }

    /// Checks that at least two control nodes have the Begin of an acknowledged plan in their logs.
    fn check_majority(&mut self, submitted: &SubmittedOrder, body: &str) {
        let Some(began) = began_at(body) else {
            return self
                .ledger
                .report(format!("{} has no beganAt in its response", submitted.order.version));
        };
        let has_begin = |machine: &&ControlMachine| {
            machine.node.as_ref().is_some_and(|node| node.consensus().last_index() >= began)
        };
        if self.control.iter().filter(has_begin).count() < 2 {
            self.ledger
                .report(format!("{} was acknowledged without a majority", submitted.order.version));
        }
    }

    /// Checks that the number or revision in an outcome is not lower than one acknowledged before
    /// the call, and records increments of `OWN_NUMBER`.
    fn check_outcome(&mut self, start_us: u64, call: &Call, outcome: &Outcome) {
        let value = match (call, outcome) {
            (Call::Next { .. }, Outcome::Number(value)) => {
                return self
                    .pinned
                    .iter_mut()
                    .for_each(|pinned| pinned.acknowledged_numbers.push(*value));
            }
            (Call::ReadNumber { .. }, Outcome::Number(value)) => *value,
            (Call::ReadKey { .. }, Outcome::Key(key)) => key.revision,
            (Call::ReadKey { .. }, Outcome::NoKey) => 0,
            (Call::Put { .. }, Outcome::Conflict { revision }) => *revision,
            _ => return self.ledger.report(format!("{call:?} was answered by {outcome:?}")),
        };
        let max = self.callers.max_acknowledged(call, start_us);
        if value < max {
            self.ledger.report(format!("{call:?} got {value} after {max} was acknowledged"));
        }
    }
}
