//! The paths of a model's calls: through the client of a member, as frames to the members, and back
//! to the caller.

use crate::search::forwarded::log::{Origin, Write, not_controller};
use crate::search::forwarded::state::{ForwardedState, Frame, Progress, address, new_client};
use crate::search::forwarded::{FIRST_TERM, ForwardedCall, ForwardedCalls};
use postbarrow_constants::coordination::CONTROLLER_REQUEST_MS;
use postbarrow_controller::GrantVersions;
use postbarrow_controller_client::Effect;
use postbarrow_messages::{Message, Request, Response};
use postbarrow_state::{Call, Outcome, Record, State};
use postbarrow_transport::RequestKeys;

impl ForwardedCalls {
    /// Returns the request key of a call: the first that `RequestKeys` draws for its incarnation,
    /// as in the programs, and a later one for each confirmation of a release.
    pub(super) fn key(&self, state: &ForwardedState, call_index: usize) -> u64 {
        let keys = RequestKeys::new(self.calls[call_index].key_seed);
        let is_release = self.departing_caller.is_some_and(|caller| caller.release == call_index);
        let earlier_keys = if is_release { state.departure.confirmations } else { 0 };
        (0..earlier_keys).fold(keys.next(), |_, _| keys.next())
    }

    /// Returns the versions of the initial grants, all of which the first member's term has made.
    pub(super) fn initial_grants(&self) -> GrantVersions {
        let mut grants = GrantVersions::new(FIRST_TERM);
        for record in &self.initial_records {
            if let Record::Lock { name, holder, fence, ttl_ms } = record {
                let (name, holder) = (name.clone(), holder.clone());
                let outcome = Outcome::Locked { fence: *fence, ttl_ms: *ttl_ms };
                let call = Call::Lock { name, holder, ttl_ms: *ttl_ms };
                grants.on_outcome(&State::default(), &call, &outcome);
            }
        }
        grants
    }

    /// Returns the index of the pending call to which a client assigns a response under this key.
    pub(super) fn pending_call(
        &self,
        state: &ForwardedState,
        client: usize,
        key: u64,
    ) -> Option<usize> {
        (0..self.calls.len()).find(|call_index| {
            let candidate = &self.calls[*call_index];
            let is_pending = matches!(state.progress[*call_index], Progress::Pending { .. });
            candidate.client == client && is_pending && self.key(state, *call_index) == key
        })
    }

    /// Applies the effects of a client: requests to members, and responses to callers.
    pub(super) fn apply_effects(
        &self,
        state: &mut ForwardedState,
        client: usize,
        effects: Vec<Effect>,
    ) {
        for effect in effects {
            match effect {
                Effect::Send { to, message: Message::Request { key, request } } => {
                    let to = usize::from(to == address(1));
                    state.in_flight.push(Frame::ToMember {
                        to,
                        origin: Origin { client, key },
                        request,
                    });
                }
                Effect::Answer { key, response } => self.answer(state, client, key, response),
                Effect::Send { .. } => {}
            }
        }
    }

    /// Ends the pending call that a client assigns this response to, unless the call is a release
    /// that is sent again because it must be confirmed.
    fn answer(&self, state: &mut ForwardedState, client: usize, key: u64, response: Response) {
        let Some(call_index) = self.pending_call(state, client, key) else { return };
        let Progress::Pending { number_when_sent } = state.progress[call_index] else { return };
        let ending = match response {
            Response::ConfirmClient { version } => self.on_confirmation_required(state, version),
            response => Some(response),
        };
        if let Some(response) = ending {
            state.progress[call_index] = Progress::Answered { number_when_sent, response };
        }
    }

    /// Returns whether a call is not sent yet and its caller and client can send it now.
    pub(super) fn may_send(&self, state: &ForwardedState, call_index: usize) -> bool {
        let incarnation = state.incarnations[self.calls[call_index].client];
        state.progress[call_index] == Progress::Unsent
            && self.incarnation_of(call_index) == incarnation
            && self.has_caller_returned(state, call_index)
    }

    /// Sends a call through its client.
    pub(super) fn send_call(&self, state: &mut ForwardedState, call_index: usize) {
        let ForwardedCall { client, id, call, .. } = self.calls[call_index].clone();
        state.progress[call_index] = Progress::Pending { number_when_sent: state.number() };
        let request = Request::Call { id, call };
        let key = self.key(state, call_index);
        let effects =
            state.clients[client].send_request(state.now_ms, key, request, CONTROLLER_REQUEST_MS);
        self.apply_effects(state, client, effects);
    }

    /// Has both clients repeat or time out their pending requests.
    pub(super) fn tick_clients(&self, state: &mut ForwardedState) {
        for client in 0..state.clients.len() {
            let effects = state.clients[client].tick(state.now_ms);
            self.apply_effects(state, client, effects);
        }
    }

    /// Delivers a frame in flight to its member or client.
    pub(super) fn deliver_frame(&self, state: &mut ForwardedState, frame_index: usize) {
        match state.in_flight.remove(frame_index) {
            Frame::ToClient { origin, response } => {
                let client = &mut state.clients[origin.client];
                let effects = client.on_response(state.now_ms, origin.key, response);
                self.apply_effects(state, origin.client, effects);
            }
            Frame::ToMember { to, origin, request } if self.serves(state, to) => {
                let Request::Call { id, call } = request else { return };
                let write = Write {
                    source: self.call_index(origin, &call),
                    id,
                    call: &call,
                    log_full: state.log_full,
                    ignores_grant_versions: self.ignores_grant_versions,
                };
                let replies = state.members[to].accept_write(origin, write);
                state.send_replies(replies);
            }
            Frame::ToMember { origin, .. } => {
                state.send_replies(vec![(origin, not_controller(address(state.leader)))]);
            }
        }
    }

    /// Returns whether the member takes requests as the leader.
    pub(super) fn serves(&self, state: &ForwardedState, member: usize) -> bool {
        let has_lease = self.departing_caller.is_none() || state.leader == member;
        state.members[member].is_leading && has_lease
    }

    /// Returns the index of the call that arrives, also if another call has the same key.
    pub(super) fn call_index(&self, origin: Origin, call: &Call) -> usize {
        let as_made = match call.clone() {
            Call::FreeConfirmed { name, holder, fence, .. } => Call::Free { name, holder, fence },
            call => call,
        };
        let call_index = self
            .calls
            .iter()
            .position(|candidate| candidate.client == origin.client && candidate.call == as_made);
        call_index.expect("every request is one of the model's calls")
    }

    /// Restarts the process of the first member's client; the unanswered calls of the ended process
    /// get no response.
    pub(super) fn restart_first_client(&self, state: &mut ForwardedState) {
        state.incarnations[0] += 1;
        state.clients[0] = new_client();
        for (call_index, call) in self.calls.iter().enumerate() {
            let is_unanswered =
                matches!(state.progress[call_index], Progress::Pending { .. } | Progress::Unsent);
            if call.client == 0 && self.incarnation_of(call_index) == 0 && is_unanswered {
                state.progress[call_index] = Progress::ClientEnded;
            }
        }
    }

    /// Returns the incarnation, from 0, of the client's process that sends this call.
    pub(super) fn incarnation_of(&self, call_index: usize) -> u64 {
        let earlier = &self.calls[..call_index];
        earlier.iter().filter(|call| call.client == self.calls[call_index].client).count() as u64
    }

    /// Returns whether some call is sent by a second incarnation of its client's process.
    pub(super) fn includes_restart(&self) -> bool {
        (0..self.calls.len()).any(|call_index| self.incarnation_of(call_index) > 0)
    }
}
