//! Sends and resends pending requests, and ends those that are past their deadlines.

use crate::pending_request::PendingRequest;
use crate::{ControllerClient, Effect};
use postbarrow_constants::coordination::REQUEST_RETRY_MS;
use postbarrow_messages::{Message, Response};

/// Number of unanswered copies of one request at which the controller is suspected to be gone.
const SUSPICIOUS_UNANSWERED_COPIES: u32 = 2;

impl ControllerClient {
    /// Ends the requests that are past their deadlines or can't be sent, and sends the copies that
    /// are due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Effect> {
        self.suspect_unresponsive_controller(now_ms);
        let mut effects = self.end_requests(now_ms);
        if !self.is_leaderless() {
            self.send_due_requests(now_ms, &mut effects);
        }
        effects
    }

    fn send_due_requests(&mut self, now_ms: u64, effects: &mut Vec<Effect>) {
        let to = self.receiver();
        let mut has_sent = false;
        for (key, pending) in self.pending.iter_mut().filter(|(_, pending)| pending.is_due(now_ms))
        {
            pending.schedule_send_at(now_ms + REQUEST_RETRY_MS);
            if let Some(to) = to {
                pending.on_send();
                let message = Message::Request { key: *key, request: pending.request.clone() };
                effects.push(Effect::Send { to, message });
                has_sent = true;
            }
        }
        if has_sent && self.controller.is_none() {
            self.advance_member();
        }
    }

    fn end_requests(&mut self, now_ms: u64) -> Vec<Effect> {
        let is_cut_off = self.is_cut_off(now_ms);
        let ended = self.pending.iter().filter_map(|(key, pending)| {
            pending.ending_response(now_ms, is_cut_off).map(|response| (*key, response))
        });
        let ended: Vec<(u64, Response)> = ended.collect();
        let answer = |(key, response)| {
            self.pending.remove(&key);
            Effect::Answer { key, response }
        };
        ended.into_iter().map(answer).collect()
    }

    fn suspect_unresponsive_controller(&mut self, now_ms: u64) {
        let is_unanswered = |pending: &&mut PendingRequest| {
            pending.unanswered_copies >= SUSPICIOUS_UNANSWERED_COPIES && pending.is_due(now_ms)
        };
        let unanswered: Vec<&mut PendingRequest> =
            self.pending.values_mut().filter(is_unanswered).collect();
        if !unanswered.is_empty() {
            self.controller = None;
        }
        unanswered.into_iter().for_each(|pending| pending.unanswered_copies = 0);
    }
}
