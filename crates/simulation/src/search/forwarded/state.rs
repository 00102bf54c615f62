//! The state of the model of forwarded calls: the members, their clients, the calls and the frames
//! in flight.

use crate::search::forwarded::departure::Departure;
use crate::search::forwarded::log::{Entry, Member, Origin, Reply, state_of};
use postbarrow_controller_client::ControllerClient;
use postbarrow_messages::{Request, Response};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// A frame in flight. A state lists its frames in the order of their printed forms, which begin
/// with the variants' names, so that these names decide the order in which a search takes the
/// frames.
#[derive(Clone, Debug)]
pub enum Frame {
    /// A request in flight to the member with index `to`.
    ToMember { to: usize, origin: Origin, request: Request },
    /// A response in flight to the client that sent the request.
    ToClient { origin: Origin, response: Response },
}

/// The progress of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// The call is not sent yet.
    Unsent,
    /// The call is sent and not answered; the number had this committed value when it was sent.
    Pending { number_when_sent: u64 },
    /// The call is answered; the number had this committed value when it was sent.
    Answered { number_when_sent: u64, response: Response },
    /// The process of the call's client ended before the call was answered.
    ClientEnded,
}

/// The state of the model of forwarded calls. Two states are equal if their printed forms are.
#[derive(Clone, Debug)]
pub struct ForwardedState {
    /// The time of the clients' clocks, in milliseconds.
    pub(in crate::search) now_ms: u64,
    /// The client of each member's process, by member.
    pub(in crate::search) clients: [ControllerClient; 2],
    /// The incarnation of each client's process, from 0, by member.
    pub(in crate::search) incarnations: [u64; 2],
    /// The two control nodes with their logs.
    pub(in crate::search) members: [Member; 2],
    /// The frames in flight, in the order of their printed forms.
    pub(in crate::search) in_flight: Vec<Frame>,
    /// The progress of each call, by its index in the model.
    pub(in crate::search) progress: Vec<Progress>,
    /// The index of the newest leader.
    pub(in crate::search) leader: usize,
    /// Whether the log has no space.
    pub(in crate::search) log_full: bool,
    /// Whether the concurrent records may still be appended.
    pub(in crate::search) may_append_concurrent: bool,
    /// Number of frames that may still be lost.
    pub(in crate::search) remaining_losses: u8,
    /// Number of retry intervals that may still pass.
    pub(in crate::search) remaining_ticks: u8,
    /// The departing caller and its release.
    pub(in crate::search) departure: Departure,
    /// The printed form of everything that decides later events.
    pub(in crate::search) printed_form: String,
}

impl PartialEq for ForwardedState {
    fn eq(&self, other: &Self) -> bool {
        self.printed_form == other.printed_form
    }
}

impl Eq for ForwardedState {}

impl Hash for ForwardedState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.printed_form.hash(hasher);
    }
}

/// The name of the number that the model's calls increment.
pub const NUMBER: &str = "n";

/// Returns the address of the member with this index.
pub fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1 + member as u8], 1))
}

/// Returns the client of a process that just started and knows the first member as the leader.
pub fn new_client() -> ControllerClient {
    let mut client = ControllerClient::default();
    client.on_members(0, Some(address(0)), &[address(0), address(1)]);
    client
}

impl ForwardedState {
    /// Sorts the frames, which may arrive in any order, and updates the printed form, so that
    /// states with the same later events are equal.
    pub fn canonicalize(&mut self) {
        let mut printed_frames: Vec<(String, Frame)> =
            self.in_flight.drain(..).map(|frame| (format!("{frame:?}"), frame)).collect();
        printed_frames.sort_by(|one, other| one.0.cmp(&other.0));
        let frame_texts: Vec<&String> = printed_frames.iter().map(|(text, _)| text).collect();
        let shared = (&self.clients, &self.members, &frame_texts, &self.progress, self.leader);
        let remaining = (
            self.log_full,
            self.may_append_concurrent,
            self.remaining_losses,
            self.remaining_ticks,
            self.now_ms,
            self.incarnations,
            &self.departure,
        );
        self.printed_form = format!("{shared:?} {remaining:?}");
        self.in_flight = printed_frames.into_iter().map(|(_, frame)| frame).collect();
    }

    /// Adds these replies to the frames in flight.
    pub fn send_replies(&mut self, replies: Vec<Reply>) {
        let frames =
            replies.into_iter().map(|(origin, response)| Frame::ToClient { origin, response });
        self.in_flight.extend(frames);
    }

    /// Returns the value of the number in the leader's committed state; 0 if there is none.
    pub fn number(&self) -> u64 {
        let leader = &self.members[self.leader];
        let state = state_of(&leader.log[..leader.committed]);
        state.numbers.get(NUMBER).copied().unwrap_or(0)
    }

    /// Returns the leader's committed entries, which no change of leader removes.
    pub fn committed(&self) -> &[Entry] {
        let leader = &self.members[self.leader];
        &leader.log[..leader.committed]
    }
}
