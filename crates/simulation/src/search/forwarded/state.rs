//! The state of the forwarded calls' model: members, their clients and the calls.

use crate::search::forwarded::log::{Entry, Member, Origin, Reply, state_of};
use postbarrow_controller_client::ControllerClient;
use postbarrow_messages::{Request, Response};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// A frame in flight. The names keep the order in which equal states list their frames.
#[derive(Clone, Debug)]
pub enum Frame {
    /// A request on its way to a member.
    ToMember { to: usize, origin: Origin, request: Request },
    /// A response on its way to a client.
    ToClient { origin: Origin, response: Response },
}

/// The progress of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// Not sent yet.
    Unsent,
    /// Sent when the number had this committed value.
    Pending { number: u64 },
    /// Answered; with the number's value when it was sent.
    Answered { number: u64, response: Response },
    /// Its client's process ended first.
    Gone,
}

/// The state of the model; states are equal where their printed forms are.
#[derive(Clone, Debug)]
pub struct ForwardedState {
    pub(in crate::search) now_ms: u64,
    pub(in crate::search) clients: [ControllerClient; 2],
    pub(in crate::search) incarnations: [u64; 2],
    pub(in crate::search) members: [Member; 2],
    pub(in crate::search) in_flight: Vec<Frame>,
    pub(in crate::search) progress: Vec<Progress>,
    pub(in crate::search) leader: usize,
    pub(in crate::search) full: bool,
    pub(in crate::search) meanwhile: bool,
    pub(in crate::search) losses: u8,
    pub(in crate::search) ticks: u8,
    pub(in crate::search) printed: String,
}

impl PartialEq for ForwardedState {
    fn eq(&self, other: &Self) -> bool {
        self.printed == other.printed
    }
}

impl Eq for ForwardedState {}

impl Hash for ForwardedState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.printed.hash(hasher);
    }
}

/// The name of the number that calls increment.
pub const NUMBER: &str = "n";

/// A member's address.
pub fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1 + member as u8], 1))
}

/// The client of a process that just started.
pub fn new_client() -> ControllerClient {
    let mut client = ControllerClient::default();
    client.on_members(0, Some(address(0)), &[address(0), address(1)]);
    client
}

impl ForwardedState {
    /// Sorts the frames, which have no order among each other, and prints what decides later
    /// events.
    pub fn canonicalize(&mut self) {
        let mut printed: Vec<(String, Frame)> =
            self.in_flight.drain(..).map(|frame| (format!("{frame:?}"), frame)).collect();
        printed.sort_by(|one, other| one.0.cmp(&other.0));
        let names: Vec<&String> = printed.iter().map(|(name, _)| name).collect();
        let shared = (&self.clients, &self.members, &names, &self.progress, self.leader);
        let remaining =
            (self.full, self.meanwhile, self.losses, self.ticks, self.now_ms, self.incarnations);
        self.printed = format!("{shared:?} {remaining:?}");
        self.in_flight = printed.into_iter().map(|(_, frame)| frame).collect();
    }

    /// Sends these replies.
    pub fn send_replies(&mut self, replies: Vec<Reply>) {
        let in_flight =
            replies.into_iter().map(|(origin, response)| Frame::ToClient { origin, response });
        self.in_flight.extend(in_flight);
    }

    /// The committed value of the number.
    pub fn number(&self) -> u64 {
        let leader = &self.members[self.leader];
        let state = state_of(&leader.log[..leader.committed]);
        state.numbers.get(NUMBER).copied().unwrap_or(0)
    }

    /// The entries that no change of leader removes.
    pub fn committed(&self) -> &[Entry] {
        let leader = &self.members[self.leader];
        &leader.log[..leader.committed]
    }
}
