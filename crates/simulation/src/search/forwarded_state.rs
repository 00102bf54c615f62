//! Where the members, their clients and the callers of the forwarded calls' model stand.

use super::forwarded_log::{Entry, Member, Origin, Reply, state_of};
use postbarrow_controller_client::ControllerClient;
use postbarrow_messages::{Request, Response};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// A message on its way.
#[derive(Clone, Debug)]
pub enum Frame {
    ToMember { to: usize, origin: Origin, request: Request },
    ToClient { origin: Origin, response: Response },
}

/// How far a call has come.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    Unsent,
    /// Asked when the number stood so high.
    Pending {
        number: u64,
    },
    Answered {
        number: u64,
        response: Response,
    },
    Gone,
}

/// Where all stand; equal where their printed forms are.
#[derive(Clone, Debug)]
pub struct ForwardedState {
    pub(super) now_ms: u64,
    pub(super) clients: [ControllerClient; 2],
    pub(super) incarnations: [u64; 2],
    pub(super) members: [Member; 2],
    pub(super) in_flight: Vec<Frame>,
    pub(super) progress: Vec<Progress>,
    pub(super) leader: usize,
    pub(super) full: bool,
    pub(super) meanwhile: bool,
    pub(super) losses: u8,
    pub(super) ticks: u8,
    pub(super) printed: String,
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

/// The name of the number that calls draw.
pub const NUMBER: &str = "n";

/// Where a member is reached.
pub fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1 + member as u8], 1))
}

/// A process's client at its start.
pub fn new_client() -> ControllerClient {
    let mut client = ControllerClient::default();
    client.on_members(0, Some(address(0)), &[address(0), address(1)]);
    client
}

impl ForwardedState {
    /// Messages without an order between them, and nothing that no event reads.
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

    /// Responses are sent.
    pub fn send_replies(&mut self, replies: Vec<Reply>) {
        let in_flight =
            replies.into_iter().map(|(origin, response)| Frame::ToClient { origin, response });
        self.in_flight.extend(in_flight);
    }

    /// How high the number stands for all.
    pub fn number(&self) -> u64 {
        let leader = &self.members[self.leader];
        let state = state_of(&leader.log[..leader.committed]);
        state.numbers.get(NUMBER).copied().unwrap_or(0)
    }

    /// What no change of leader takes back.
    pub fn committed(&self) -> &[Entry] {
        let leader = &self.members[self.leader];
        &leader.log[..leader.committed]
    }
}
