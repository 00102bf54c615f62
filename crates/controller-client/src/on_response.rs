//! Handles responses: ends their requests, or schedules further copies.

use crate::pending_request::PendingRequest;
use crate::refusal::is_refusal;
use crate::{ControllerClient, Effect};
use postbarrow_constants::coordination::REQUEST_RETRY_MS;
use postbarrow_messages::Response;

impl ControllerClient {
    /// Handles the response to the request with this key; it is ignored if the request is no longer
    /// pending. A refusal is reported only once every copy of the request is known to be without
    /// effect: a copy in flight could be accepted after the client got the refusal.
    pub fn on_response(&mut self, now_ms: u64, key: u64, response: Response) -> Vec<Effect> {
        let Some(pending) = self.pending.get_mut(&key) else { return Vec::new() };
        match response {
            // Only this client can conclude that no process accepted a request.
            Response::Unavailable => return Vec::new(),
            Response::Lost => {
                pending.on_lost();
                self.controller = None;
            }
            Response::NotController { controller } => {
                pending.on_copy_answered();
                self.controller = controller;
                match controller {
                    Some(_) => pending.schedule_send_at(now_ms),
                    None => pending.schedule_send_by(now_ms + REQUEST_RETRY_MS / 3),
                }
            }
            Response::Duplicate => {
                pending.on_copy_answered();
                pending.unanswered_copies = 0;
            }
            response if is_refusal(&pending.request, &response) => {
                pending.on_copy_answered();
                pending.on_refusal(response);
            }
            response => {
                self.pending.remove(&key);
                return vec![Effect::Answer { key, response }];
            }
        }
        let mut effects = self.report_refusal(key);
        effects.extend(self.tick(now_ms));
        effects
    }

    fn report_refusal(&mut self, key: u64) -> Vec<Effect> {
        let refusal = self.pending.get(&key).and_then(PendingRequest::final_refusal);
        let Some(response) = refusal else { return Vec::new() };
        self.pending.remove(&key);
        vec![Effect::Answer { key, response }]
    }
}
