//! Returns the plan in force to operators.

use crate::ControlNode;
use crate::operator_body::{Refused, json};
use crate::origin::Origin;
use postbarrow_messages::Response;

impl ControlNode {
    /// Responds with the text of the plan in force exactly as submitted, byte for byte.
    pub(super) fn on_show(&mut self, origin: Origin) {
        let state = self.committed();
        let response = match &state.plan {
            Some(plan) => Response::Plan {
                version: plan.version.clone(),
                offset: plan.offset,
                text: state.plan_text(),
            },
            None => json(404, &Refused::new("no plan is in force", None)),
        };
        self.respond(origin, response);
    }
}
