//! Checks the responses to pinned clients against what others had received before.

use crate::client::operator::SubmittedOrder;
use crate::client::pinned::PinnedRequest;
use crate::client::plans::began_at;
use crate::node::control::ControlMachine;
use crate::world::World;
use postbarrow_messages::Response;
use postbarrow_state::{Call, Outcome};

impl World {
    /// A response must be true at some time between request and response.
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
                self.ledger.violate(format!("{request:?} was answered by {response:?}"));
            }
        }
    }

    fn check_shown(&mut self, start_us: u64, offset: u64) {
        let before = self.ledger.in_force.iter().filter(|(at_us, _)| *at_us <= start_us);
        let newest = before.map(|(_, offset)| *offset).max().unwrap_or(0);
        if offset < newest {
            self.ledger
                .violate(format!("a plan of {offset} was shown after {newest} was in force"));
        }
    }

    /// No valid order is refused, and none is acknowledged that no majority has.
    fn check_order(&mut self, submitted: &SubmittedOrder, status: u16, body: &str) {
        let order = &submitted.order;
        let valid = self.operator.version == order.base
            || self.operator.version.as_ref() == Some(&order.version);
        match status {
            200 => {
                self.check_majority(submitted, body);
                if self.pinned.as_ref().is_some_and(|pinned| pinned.is_order(submitted)) {
                    self.operator.unsure.remove(&order.text);
                    let found = self.ledger.orders.acknowledged(order);
                    found.into_iter().for_each(|text| self.ledger.violate(text));
                    self.plan_acknowledged(order.clone(), body);
                    self.pinned.iter_mut().for_each(|pinned| pinned.order = None);
                }
            }
            503 => {}
            _ if valid => self.ledger.violate(format!("a valid order got {status}: {body}")),
            _ => {}
        }
    }

    fn check_majority(&mut self, submitted: &SubmittedOrder, body: &str) {
        let Some(began) = began_at(body) else {
            return self
                .ledger
                .violate(format!("{} is in force from nowhere", submitted.order.version));
        };
        let has = |machine: &&ControlMachine| {
            machine.node.as_ref().is_some_and(|node| node.consensus().last_index() >= began)
        };
        if self.control.iter().filter(has).count() < 2 {
            self.ledger.violate(format!(
                "{} was acknowledged without a majority",
                submitted.order.version
            ));
        }
    }

    fn check_outcome(&mut self, start_us: u64, call: &Call, outcome: &Outcome) {
        let value = match (call, outcome) {
            (Call::Next { .. }, Outcome::Number(value)) => {
                return self.pinned.iter_mut().for_each(|pinned| pinned.numbers.push(*value));
            }
            (Call::ReadNumber { .. }, Outcome::Number(value)) => *value,
            (Call::ReadKey { .. }, Outcome::Key(key)) => key.revision,
            (Call::ReadKey { .. }, Outcome::NoKey) => 0,
            (Call::Put { .. }, Outcome::Conflict { revision }) => *revision,
            _ => return self.ledger.violate(format!("{call:?} was answered by {outcome:?}")),
        };
        let max = self.callers.max_acknowledged(call, start_us);
        if value < max {
            self.ledger.violate(format!("{call:?} got {value} after {max} was acknowledged"));
        }
    }
}
