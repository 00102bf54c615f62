//! A model of calls forwarded to the controller: the real `ControllerClient`s at two members, over
//! a modelled log.

mod delivery;
mod departure;
mod log;
mod rules;
mod state;

pub use departure::DepartingCaller;
pub use state::{ForwardedState, NUMBER};

use crate::search::forwarded::departure::Departure;
use crate::search::forwarded::log::{Entry, Member};
use crate::search::forwarded::state::{Progress, new_client};
use crate::search::{Model, Violation};
use postbarrow_constants::coordination::{CONTROLLER_REQUEST_MS, REQUEST_RETRY_MS};
use postbarrow_controller::GrantVersions;
use postbarrow_state::{Call, Name, Record};

/// The term in which the first member leads; the second member leads in the next one.
const FIRST_TERM: u64 = 1;

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
    /// A caller that departs during one of the calls; `None` if all callers wait. With it, a
    /// deposed leader answers nothing, as the real one without its lease.
    pub departing_caller: Option<DepartingCaller>,
    /// Whether leaders release locks without regard to the versions of their grants.
    pub ignores_grant_versions: bool,
}

/// One event of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardedAction {
    /// The client of the call with this index sends it.
    ClientSends(usize),
    /// The departing caller departs from its release.
    CallerDeparts,
    /// The client of the release sends it again with the version that it was confirmed with.
    ClientConfirmsRelease,
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

impl Model for ForwardedCalls {
    type State = ForwardedState;
    type Action = ForwardedAction;

    fn initial(&self) -> ForwardedState {
        let log = vec![Entry { source: None, records: self.initial_records.clone() }];
        let member = Member {
            log,
            committed: 1,
            is_leading: false,
            pending_replies: Vec::new(),
            grants: GrantVersions::new(FIRST_TERM + 1),
        };
        let grants = self.initial_grants();
        let mut state = ForwardedState {
            now_ms: 0,
            clients: [new_client(), new_client()],
            incarnations: [0, 0],
            members: [Member { is_leading: true, grants, ..member.clone() }, member],
            in_flight: Vec::new(),
            progress: vec![Progress::Unsent; self.calls.len()],
            leader: 0,
            log_full: self.log_starts_full,
            may_append_concurrent: !self.concurrent_records.is_empty(),
            remaining_losses: self.frame_losses,
            remaining_ticks: self.retry_ticks,
            departure: Departure::default(),
            printed_form: String::new(),
        };
        state.canonicalize();
        state
    }

    fn actions(&self, state: &ForwardedState) -> Vec<ForwardedAction> {
        use ForwardedAction::*;
        let mut actions: Vec<_> = (0..self.calls.len())
            .filter(|call| self.may_send(state, *call))
            .map(ClientSends)
            .collect();
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
            (self.departing_caller.is_some() && !state.departure.has_departed, CallerDeparts),
            (state.departure.confirmed_version.is_some(), ClientConfirmsRelease),
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
            CallerDeparts => next.departure.has_departed = true,
            ClientConfirmsRelease => self.confirm_release(&mut next),
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
        self.check_departing_caller(state)
    }
}
