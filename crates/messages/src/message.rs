//! The messages that postbarrow's processes send to each other.

use crate::{Request, Response};
use postbarrow_consensus as consensus;
use postbarrow_consensus::{Member, MemberId};
use postbarrow_membership::UpdateEntry;
use postbarrow_state::{Incarnation, Name, Node, Sample};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::net::SocketAddr;
use std::sync::Arc;

/// A message with the address of its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Address of the sender, to which responses are sent.
    pub from: SocketAddr,
    /// The message that is sent.
    pub message: Message,
}

/// A message from one process to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// A message of the Raft protocol, between control nodes.
    Consensus {
        /// The member that sends the message.
        from: Member,
        /// Id of the receiving member. A process that has its address but another id ignores the
        /// message.
        to: MemberId,
        /// The message of the protocol.
        message: consensus::Message,
    },
    /// A control node announces itself to other control nodes.
    #[serde(rename = "Greet")]
    DiscoveryAnnouncement(DiscoveryAnnouncement),
    /// Tells the receiver to bootstrap a log with these members.
    #[serde(rename = "Form")]
    Bootstrap(Vec<Member>),
    /// Requests an `Introduction`: the control nodes that the receiver knows.
    Introduce,
    /// Names the control nodes that the sender knows.
    Introduction {
        /// Addresses of the control nodes.
        control_addresses: Vec<SocketAddr>,
        /// Whether the sender knows that a log exists.
        log_exists: bool,
    },
    /// A data node requests or renews its lease.
    #[serde(rename = "Fresh")]
    LeaseRequest(LeaseRequest),
    /// The response to a `LeaseRequest`.
    #[serde(rename = "FreshResponse")]
    LeaseResponse {
        /// Number of the lease request.
        number: u64,
        /// Whether the lease was granted.
        response: LeaseResponse,
    },
    /// Subscribes the sender to routing updates, or renews its subscription.
    Tail {
        /// Log offset that the sender has reached; 0 if it needs an image.
        after: u64,
    },
    /// Routing updates for a subscriber.
    #[serde(rename = "News")]
    Updates {
        /// The updates in the order of their offsets.
        entries: Vec<UpdateEntry>,
    },
    /// An image for a subscriber that is too far behind for updates.
    Image(ImageFrame),
    /// Tells a watcher on the ring of data nodes that the sender is alive.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// Incarnation of the sender.
        node: Incarnation,
    },
    /// A request to the controller.
    #[serde(rename = "Ask")]
    Request {
        /// Number that the sender gave the request.
        key: u64,
        /// The request that the controller handles.
        request: Request,
    },
    /// The response to a `Request`.
    Response {
        /// Key of the request.
        key: u64,
        /// The controller's response.
        response: Response,
    },
}

/// The announcement of a control node that is no member of a log, for example because its disk is
/// uninitialized, or of a member that has been without a leader for longer than elections take.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveryAnnouncement {
    /// Id and address of the sender.
    pub member: Member,
    /// Whether the sender's disk has no log.
    pub uninitialized: bool,
    /// Uninitialized control nodes that the sender has discovered, including itself.
    pub known_peers: Vec<MemberId>,
}

/// A data node's request for a new or renewed lease, with a report of the node's condition.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Number of the request. It increases with each request, so that a late response is detected.
    pub number: u64,
    /// The data node that requests the lease.
    pub node: Node,
    /// Log offset of the image from which the node serves requests.
    pub image_offset: u64,
    /// Version of the plan that the node follows; `None` if it has no plan.
    pub version: Option<Name>,
    /// Whether the node serves requests.
    pub ready: bool,
    /// Instances of the targets that fail the node's health probes.
    pub failing_targets: Vec<Name>,
    /// Watched nodes from which the node misses heartbeats.
    pub suspects: Vec<Incarnation>,
    /// Samples of the client requests since the node's last lease request.
    #[serde(default)]
    pub samples: Vec<Sample>,
    /// Number of all client requests since the node's last lease request.
    #[serde(default)]
    pub request_count: u64,
}

/// The response to a `LeaseRequest`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaseResponse {
    /// The lease is granted or renewed.
    Granted {
        /// Raft term of the leader that granted the lease.
        term: u64,
        /// Log offset that the node's image must have reached before the node serves requests.
        watermark: u64,
        /// Addresses of the members of the log.
        members: Vec<SocketAddr>,
    },
    /// The receiver can't grant the lease: it is not the controller, or it is but the first scan of
    /// the endpoint list since it gained the leader's lease is not complete yet.
    NotController {
        /// Address of the controller; `None` if the receiver doesn't know it.
        controller: Option<SocketAddr>,
        /// Addresses of the members of the log.
        members: Vec<SocketAddr>,
    },
}

/// An encoded image of the state that data nodes need for routing.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ImageFrame {
    /// Log offset of the image.
    pub offset: u64,
    /// `State::routing_view` in MessagePack, encoded once and shared by all messages with the image
    /// of this offset.
    pub state: Arc<ByteBuf>,
}
