//! The messages between processes.

use crate::{Request, Response};
use postbarrow_consensus as consensus;
use postbarrow_consensus::{Member, MemberId};
use postbarrow_membership::UpdateEntry;
use postbarrow_state::{Incarnation, Name, Node, Sample};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::net::SocketAddr;
use std::sync::Arc;

/// A message with its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The address for responses.
    pub from: SocketAddr,
    /// The message.
    pub message: Message,
}

/// A message from one process to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// One of Raft's messages, between control nodes.
    Consensus {
        /// The sender.
        from: Member,
        /// The receiver; a process at its address with another id ignores the message.
        to: MemberId,
        /// The message.
        message: consensus::Message,
    },
    /// A control node makes itself known to others.
    #[serde(rename = "Greet")]
    DiscoveryAnnouncement(DiscoveryAnnouncement),
    /// The receiver bootstraps a log with these members.
    #[serde(rename = "Form")]
    Bootstrap(Vec<Member>),
    /// Requests an introduction.
    Introduce,
    /// Which control nodes the sender knows.
    Introduction {
        /// Their addresses.
        control: Vec<SocketAddr>,
        /// Whether a log exists.
        formed: bool,
    },
    /// A data node renews its lease.
    #[serde(rename = "Fresh")]
    LeaseRequest(LeaseRequest),
    /// The answer to a `LeaseRequest`.
    #[serde(rename = "FreshResponse")]
    LeaseResponse {
        /// The request's number.
        number: u64,
        /// The answer.
        response: LeaseResponse,
    },
    /// The sender subscribes to routing updates, or renews its subscription.
    Tail {
        /// The log offset that it has reached; 0: it needs an image.
        after: u64,
    },
    /// Routing updates for a subscriber.
    #[serde(rename = "News")]
    Updates {
        /// In the order of their offsets.
        entries: Vec<UpdateEntry>,
    },
    /// An image for a subscriber that is too far behind for updates.
    Image(ImageFrame),
    /// The sender is alive.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// The sender.
        node: Incarnation,
    },
    /// A request to the controller.
    #[serde(rename = "Ask")]
    Request {
        /// The client's number of the request.
        key: u64,
        /// The request.
        request: Request,
    },
    /// The answer to a `Request`.
    Response {
        /// The request's key.
        key: u64,
        /// The answer.
        response: Response,
    },
}

/// A control node with an uninitialized disk, or that no membership names, makes itself known.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveryAnnouncement {
    /// The sender.
    pub member: Member,
    /// Whether its disk has no log.
    pub uninitialized: bool,
    /// The uninitialized control nodes that it has discovered, itself included.
    pub known_peers: Vec<MemberId>,
}

/// A data node's request for a renewal of its lease, with its condition.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Grows with each request, so that a late response is recognised.
    pub number: u64,
    /// The node.
    pub node: Node,
    /// The log offset of the image that it serves from.
    pub published: u64,
    /// The version of its plan.
    pub version: Option<Name>,
    /// Whether it serves requests.
    pub ready: bool,
    /// Targets that its probes fail on.
    pub failing: Vec<Name>,
    /// Nodes whose heartbeats it misses.
    pub suspects: Vec<Incarnation>,
    /// Some of the client requests since the last lease request.
    #[serde(default)]
    pub samples: Vec<Sample>,
    /// How many client requests there were since then.
    #[serde(default)]
    pub request_count: u64,
}

/// The answer to a `LeaseRequest`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaseResponse {
    /// The lease is renewed.
    Granted {
        /// The leader's term.
        term: u64,
        /// The log offset that the node must have published to serve requests.
        watermark: u64,
        /// The control nodes.
        members: Vec<SocketAddr>,
    },
    /// The receiver is not the controller.
    NotController {
        /// The controller, if the receiver knows it.
        controller: Option<SocketAddr>,
        /// The control nodes.
        members: Vec<SocketAddr>,
    },
}

/// An encoded image.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ImageFrame {
    /// The log offset of the image.
    pub offset: u64,
    /// The routing view in MessagePack, encoded once for all that fetch this offset's.
    pub state: Arc<ByteBuf>,
}
