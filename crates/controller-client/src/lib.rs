#![doc = include_str!("../README.md")]
#![deny(missing_docs)]

mod pending_request;

use pending_request::{PendingRequest, is_refusal};
use postbarrow_constants::consensus::CONTACT_LOST_MS;
use postbarrow_constants::coordination::REQUEST_RETRY_MS;
use postbarrow_messages::{Message, Request, Response};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Open questions, and where the controller is as far as is known.
#[derive(Clone, Debug, Default)]
pub struct ControllerClient {
    pending_count: BTreeMap<u64, PendingRequest>,
    controller: Option<SocketAddr>,
    members: Vec<SocketAddr>,
    turn: usize,
    /// Since when this member of the log hears of no leader; none for others, and while it does.
    silent_since_ms: Option<u64>,
}

/// What the owner of a client does next.
pub enum Effect {
    /// A question goes out.
    Send {
        /// A control node.
        to: SocketAddr,
        /// The question with its key.
        message: Message,
    },
    /// A question has its end.
    Answer {
        /// Of the question.
        key: u64,
        /// The controller's, or what the client concludes.
        response: Response,
    },
}

impl ControllerClient {
    /// What was learnt of the control plane; a new controller gets every open question at once.
    /// Ends the silence that a member of the log was in.
    pub fn on_members(
        &mut self,
        now_ms: u64,
        controller: Option<SocketAddr>,
        members: &[SocketAddr],
    ) {
        if !members.is_empty() {
            self.members = members.to_vec();
        }
        self.silent_since_ms = None;
        if controller.is_some() && controller != self.controller {
            self.controller = controller;
            for open in self.pending_count.values_mut() {
                open.again_ms = now_ms;
                open.unanswered_copies = 0;
            }
        }
    }

    /// A member of the log has heard of no leader since then. Questions wait here for one, for the
    /// log will tell of it first; after `CONTACT_LOST_MS` they are answered as not taken, unless
    /// one was sent to somebody who may have taken it.
    pub fn on_leader_lost(&mut self, since_ms: u64) {
        self.controller = None;
        self.silent_since_ms = Some(since_ms);
    }

    /// Asks until there is an answer, or for so long.
    pub fn send_request(
        &mut self,
        now_ms: u64,
        key: u64,
        request: Request,
        wait_ms: u64,
    ) -> Vec<Effect> {
        self.pending_count.insert(key, PendingRequest::new(now_ms, request, wait_ms));
        self.tick(now_ms)
    }

    /// Forgets a question whose asker has left: no further copy goes out, and it gets no answer. The
    /// copies that went out may yet take effect.
    pub fn withdraw(&mut self, key: u64) {
        self.pending_count.remove(&key);
    }

    /// Sends what is due, and ends what is over.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Effect> {
        self.doubt_the_silent(now_ms);
        let mut effects = self.end_what_is_over(now_ms);
        if self.silent_since_ms.is_some() {
            return effects;
        }
        let to = self
            .controller
            .or_else(|| self.members.get(self.turn % self.members.len().max(1)).copied());
        let mut turned = false;
        for (key, open) in self.pending_count.iter_mut().filter(|(_, open)| open.is_due(now_ms)) {
            open.again_ms = now_ms + REQUEST_RETRY_MS;
            if let Some(to) = to {
                open.on_send();
                let message = Message::Request { key: *key, request: open.request.clone() };
                effects.push(Effect::Send { to, message });
                turned = true;
            }
        }
        if turned && self.controller.is_none() {
            self.turn += 1;
        }
        effects
    }

    fn end_what_is_over(&mut self, now_ms: u64) -> Vec<Effect> {
        let cut_off = self.is_cut_off(now_ms);
        let ended = self
            .pending_count
            .iter()
            .filter_map(|(key, open)| open.end(now_ms, cut_off).map(|response| (*key, response)));
        let ended: Vec<(u64, Response)> = ended.collect();
        let answer = |(key, response)| {
            self.pending_count.remove(&key);
            Effect::Answer { key, response }
        };
        ended.into_iter().map(answer).collect()
    }

    /// A controller that left two sends of one question unanswered may be gone.
    fn doubt_the_silent(&mut self, now_ms: u64) {
        let due = |open: &&mut PendingRequest| open.unanswered_copies >= 2 && open.is_due(now_ms);
        let silent: Vec<&mut PendingRequest> =
            self.pending_count.values_mut().filter(due).collect();
        if !silent.is_empty() {
            self.controller = None;
        }
        silent.into_iter().for_each(|open| open.unanswered_copies = 0);
    }

    /// A response to a question that is no longer open is nobody's. A refusal is told only once
    /// every copy of its question is known to be without effect: one still on its way could be
    /// taken after the caller heard that its call was not.
    pub fn on_response(&mut self, now_ms: u64, key: u64, response: Response) -> Vec<Effect> {
        let Some(open) = self.pending_count.get_mut(&key) else { return Vec::new() };
        match response {
            // Only a client can say that nobody took a question.
            Response::Unavailable => return Vec::new(),
            Response::Lost => {
                open.on_lost();
                self.controller = None;
            }
            Response::NotController { controller } => {
                open.on_copy_answered();
                self.controller = controller;
                open.again_ms = match controller {
                    Some(_) => now_ms,
                    None => open.again_ms.min(now_ms + REQUEST_RETRY_MS / 3),
                };
            }
            Response::Duplicate => {
                open.on_copy_answered();
                open.unanswered_copies = 0;
            }
            response if is_refusal(&open.request, &response) => {
                open.on_copy_answered();
                open.on_refusal(response);
            }
            response => {
                self.pending_count.remove(&key);
                return vec![Effect::Answer { key, response }];
            }
        }
        let mut effects = self.tell_refusal(key);
        effects.extend(self.tick(now_ms));
        effects
    }

    fn tell_refusal(&mut self, key: u64) -> Vec<Effect> {
        let refusal = self.pending_count.get(&key).and_then(PendingRequest::settled_refusal);
        let Some(response) = refusal else { return Vec::new() };
        self.pending_count.remove(&key);
        vec![Effect::Answer { key, response }]
    }

    /// The controller did not answer other questions either.
    pub fn suspect_controller(&mut self) {
        self.controller = None;
    }

    /// No leader was heard of for longer than an ordinary election takes.
    pub fn is_cut_off(&self, now_ms: u64) -> bool {
        self.silent_since_ms.is_some_and(|since_ms| now_ms >= since_ms + CONTACT_LOST_MS)
    }

    /// Where questions go first.
    pub fn controller(&self) -> Option<SocketAddr> {
        self.controller
    }

    /// Questions without an end.
    pub fn open(&self) -> usize {
        self.pending_count.len()
    }
}
