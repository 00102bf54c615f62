//! A model of calls forwarded to the controller: the real `ControllerClient`s at two members, over
//! a modelled log.

mod log;
mod rules;
mod state;

pub use state::{ForwardedState, NUMBER};

use crate::search::forwarded::log::{Entry, Member, Origin, Write, not_controller};
use crate::search::forwarded::state::{Frame, Progress, address, new_client};
use crate::search::{Model, Violation};
use postbarrow_constants::coordination::{CONTROLLER_REQUEST_MS, REQUEST_RETRY_MS};
use postbarrow_controller_client::Effect;
use postbarrow_messages::{Message, Request};
use postbarrow_state::{Call, Name, Record};
use postbarrow_transport::RequestKeys;

/// One call, which a caller makes through the client of one member.
#[derive(Clone, Debug)]
pub struct ForwardedCall {
    /// The index of the member whose client sends the call.
    pub client: usize,
    /// The seed of the request keys of that client's incarnation.
    pub key_seed: u64,
    /// The call's idempotency id, if it has one.
    pub id: Option<Name>,
    /// The call to forward.
    pub call: Call,
}

/// The model of forwarded calls: the calls, and the faults that may occur.
#[derive(Clone, Debug, Default)]
pub struct ForwardedCalls {
    /// The calls, each made once. A second call of the first member's client is made by its next
    /// incarnation.
    pub calls: Vec<ForwardedCall>,
    /// The records that are committed before any call.
    pub initial_records: Vec<Record>,
    /// The records that another caller, or the expiry of a lock, appends once, at any time.
    pub concurrent_records: Vec<Record>,
    /// Whether the log has no space at first; space may become available at any time.
    pub log_starts_full: bool,
    /// Number of frames that may be lost.
    pub frame_losses: u8,
    /// Number of retry intervals that may pass, after each of which clients may send again.
    pub retry_ticks: u8,
    /// Whether the second member may become leader.
    pub allows_election: bool,
}

/// One event of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardedAction {
    /// The client of the call with this index sends it.
    ClientSends(usize),
    /// The frame in flight with this index arrives.
    FrameArrives(usize),
    /// The frame in flight with this index is lost.
    FrameIsLost(usize),
    /// The clients' retry interval passes.
    RetryIntervalPasses,
    /// Every pending call times out.
    PendingCallsTimeOut,
    /// The leader commits its whole log.
    LeaderCommits,
    /// The second member becomes leader.
    SecondMemberElected {
        /// Whether the second member has the first member's uncommitted entries.
        with_uncommitted: bool,
    },
    /// The first member learns of the new leader and steps down.
    FirstMemberStepsDown,
    /// The concurrent records are appended to the leader's log.
    ConcurrentRecordsAppended,
    /// The log has space again.
    LogHasSpace,
    /// The process of the first member's client ends, and another starts at its address.
    FirstClientRestarts,
}

impl ForwardedCalls {
    /// Returns the request key of a call: the first that `RequestKeys` draws for its incarnation,
    /// as in the programs.
    fn key(&self, call_index: usize) -> u64 {
        RequestKeys::new(self.calls[call_index].key_seed).next()
    }

    /// Returns the index of the pending call to which a client assigns a response under this key.
    fn pending_call(&self, state: &ForwardedState, client: usize, key: u64) -> Option<usize> {
        (0..self.calls.len()).find(|call_index| {
            let candidate = &self.calls[*call_index];
            let is_pending = matches!(state.progress[*call_index], Progress::Pending { .. });
            candidate.client == client && is_pending && self.key(*call_index) == key
        })
    }

    /// Applies the effects of a client: requests to members, and responses to callers.
    fn apply_effects(&self, state: &mut ForwardedState, client: usize, effects: Vec<Effect>) {
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
                Effect::Answer { key, response } => {
                    if let Some(call_index) = self.pending_call(state, client, key)
                        && let Progress::Pending { number_when_sent } = state.progress[call_index]
                    {
                        state.progress[call_index] =
                            Progress::Answered { number_when_sent, response };
                    }
                }
                Effect::Send { .. } => {}
            }
        }
    }

    /// Sends a call through its client.
    fn send_call(&self, state: &mut ForwardedState, call_index: usize) {
        let ForwardedCall { client, id, call, .. } = self.calls[call_index].clone();
        state.progress[call_index] = Progress::Pending { number_when_sent: state.number() };
        let request = Request::Call { id, call };
        let effects = state.clients[client].send_request(
            state.now_ms,
            self.key(call_index),
            request,
            CONTROLLER_REQUEST_MS,
        );
        self.apply_effects(state, client, effects);
    }

    /// Has both clients repeat or time out their pending requests.
    fn tick_clients(&self, state: &mut ForwardedState) {
        for client in 0..state.clients.len() {
            let effects = state.clients[client].tick(state.now_ms);
            self.apply_effects(state, client, effects);
        }
    }

    /// Delivers a frame in flight to its member or client.
    fn deliver_frame(&self, state: &mut ForwardedState, frame_index: usize) {
        match state.in_flight.remove(frame_index) {
            Frame::ToClient { origin, response } => {
                let client = &mut state.clients[origin.client];
                let effects = client.on_response(state.now_ms, origin.key, response);
                self.apply_effects(state, origin.client, effects);
            }
            Frame::ToMember { to, origin, request } if state.members[to].is_leading => {
                let Request::Call { id, call } = request else { return };
                let call_index = self.call_index(origin, &call);
                let write = Write { source: call_index, id, call: &call, log_full: state.log_full };
                let replies = state.members[to].accept_write(origin, write);
                state.send_replies(replies);
            }
            Frame::ToMember { origin, .. } => {
                state.send_replies(vec![(origin, not_controller(address(state.leader)))]);
            }
        }
    }

    /// Returns the index of the call that arrives, also if another call has the same key.
    fn call_index(&self, origin: Origin, call: &Call) -> usize {
        let call_index = self
            .calls
            .iter()
            .position(|candidate| candidate.client == origin.client && candidate.call == *call);
        call_index.expect("every request is one of the model's calls")
    }

    /// Restarts the process of the first member's client; the unanswered calls of the ended process
    /// get no response.
    fn restart_first_client(&self, state: &mut ForwardedState) {
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
    fn incarnation_of(&self, call_index: usize) -> u64 {
        let earlier = &self.calls[..call_index];
        earlier.iter().filter(|call| call.client == self.calls[call_index].client).count() as u64
    }

    /// Returns whether some call is sent by a second incarnation of its client's process.
    fn includes_restart(&self) -> bool {
        (0..self.calls.len()).any(|call_index| self.incarnation_of(call_index) > 0)
    }
}

impl Model for ForwardedCalls {
    type State = ForwardedState;
    type Action = ForwardedAction;

    fn initial(&self) -> ForwardedState {
        let log = vec![Entry { source: None, records: self.initial_records.clone() }];
        let member = Member { log, committed: 1, is_leading: false, pending_replies: Vec::new() };
        let mut state = ForwardedState {
            now_ms: 0,
            clients: [new_client(), new_client()],
            incarnations: [0, 0],
            members: [Member { is_leading: true, ..member.clone() }, member],
            in_flight: Vec::new(),
            progress: vec![Progress::Unsent; self.calls.len()],
            leader: 0,
            log_full: self.log_starts_full,
            may_append_concurrent: !self.concurrent_records.is_empty(),
            remaining_losses: self.frame_losses,
            remaining_ticks: self.retry_ticks,
            printed_form: String::new(),
        };
        state.canonicalize();
        state
    }

    fn actions(&self, state: &ForwardedState) -> Vec<ForwardedAction> {
        use ForwardedAction::*;
        let is_sendable = |call_index: &usize| {
            let incarnations = state.incarnations[self.calls[*call_index].client];
            state.progress[*call_index] == Progress::Unsent
                && self.incarnation_of(*call_index) == incarnations
        };
        let mut actions: Vec<_> =
            (0..self.calls.len()).filter(is_sendable).map(ClientSends).collect();
        actions.extend((0..state.in_flight.len()).map(FrameArrives));
        let losable_count = if state.remaining_losses > 0 { state.in_flight.len() } else { 0 };
        actions.extend((0..losable_count).map(FrameIsLost));
        let leader = &state.members[state.leader];
        let candidates = [
            (state.remaining_ticks > 0, RetryIntervalPasses),
            (state.clients.iter().any(|client| client.pending_count() > 0), PendingCallsTimeOut),
            (leader.committed < leader.log.len(), LeaderCommits),
            (
                self.allows_election && state.leader == 0,
                SecondMemberElected { with_uncommitted: false },
            ),
            (
                self.allows_election && state.leader == 0,
                SecondMemberElected { with_uncommitted: true },
            ),
            (state.leader == 1 && state.members[0].is_leading, FirstMemberStepsDown),
            (state.may_append_concurrent, ConcurrentRecordsAppended),
            (state.log_full, LogHasSpace),
            (self.includes_restart() && state.incarnations[0] == 0, FirstClientRestarts),
        ];
        actions.extend(
            candidates
                .into_iter()
                .filter(|(is_possible, _)| *is_possible)
                .map(|(_, action)| action),
        );
        actions
    }

    fn step(&self, state: &ForwardedState, action: &ForwardedAction) -> ForwardedState {
        use ForwardedAction::*;
        let mut next = state.clone();
        match *action {
            ClientSends(call_index) => self.send_call(&mut next, call_index),
            FrameArrives(frame_index) => self.deliver_frame(&mut next, frame_index),
            FrameIsLost(frame_index) => {
                next.remaining_losses -= 1;
                next.in_flight.remove(frame_index);
            }
            RetryIntervalPasses => {
                next.remaining_ticks -= 1;
                next.now_ms += REQUEST_RETRY_MS;
                self.tick_clients(&mut next);
            }
            PendingCallsTimeOut => {
                next.now_ms += CONTROLLER_REQUEST_MS;
                self.tick_clients(&mut next);
            }
            LeaderCommits => {
                let replies = next.members[next.leader].commit_all();
                next.send_replies(replies);
            }
            SecondMemberElected { with_uncommitted } => {
                let (first, second) = next.members.split_at_mut(1);
                let length = if with_uncommitted { first[0].log.len() } else { first[0].committed };
                second[0].log = first[0].log[..length].to_vec();
                second[0].committed = first[0].committed;
                second[0].is_leading = true;
                next.leader = 1;
            }
            FirstMemberStepsDown => {
                let leader = next.members[1].clone();
                let replies = next.members[0].step_down(&leader);
                next.send_replies(replies);
            }
            ConcurrentRecordsAppended => {
                next.may_append_concurrent = false;
                let records = self.concurrent_records.clone();
                next.members[next.leader].log.push(Entry { source: None, records });
            }
            LogHasSpace => next.log_full = false,
            FirstClientRestarts => self.restart_first_client(&mut next),
        }
        next.canonicalize();
        next
    }

    fn check(&self, state: &ForwardedState) -> Result<(), Violation> {
        for (call_index, progress) in state.progress.iter().enumerate() {
            if let Progress::Answered { number_when_sent, .. } = progress {
                self.check_response(state, call_index, *number_when_sent)?;
            }
            self.check_single_effect(state, call_index)?;
        }
        Ok(())
    }
}
