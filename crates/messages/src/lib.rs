//! What postbarrow's processes say to each other, and how it is framed.

mod frame;
mod image;
mod request;

pub use frame::{FrameError, read_frame, to_frame};
pub use image::EncodedImage;
pub use request::*;

use postbarrow_consensus as consensus;
use postbarrow_consensus::{Member, MemberId};
use postbarrow_membership::UpdateEntry;
use postbarrow_state::{Incarnation, Name, Node, Sample};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::net::SocketAddr;
use std::sync::Arc;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Where responses go.
    pub from: SocketAddr,
    pub message: Message,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    Consensus {
        from: Member,
        to: MemberId,
        message: consensus::Message,
    },
    #[serde(rename = "Greet")]
    DiscoveryAnnouncement(DiscoveryAnnouncement),
    #[serde(rename = "Form")]
    Bootstrap(Vec<Member>),
    Introduce,
    Introduction {
        control: Vec<SocketAddr>,
        formed: bool,
    },
    #[serde(rename = "Fresh")]
    LeaseRequest(LeaseRequest),
    #[serde(rename = "FreshResponse")]
    LeaseResponse {
        number: u64,
        fresh: LeaseResponse,
    },
    Tail {
        after: u64,
    },
    #[serde(rename = "News")]
    Updates {
        entries: Vec<UpdateEntry>,
    },
    Image(ImageFrame),
    #[serde(rename = "Beat")]
    Heartbeat {
        node: Incarnation,
    },
    /// Goes by its first name on the wire, so that releases understand each other.
    #[serde(rename = "Ask")]
    Request {
        key: u64,
        request: Request,
    },
    Response {
        key: u64,
        response: Response,
    },
}

/// A control node with an empty disk, or outside the members, speaks up.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveryAnnouncement {
    pub member: Member,
    pub uninitialized: bool,
    /// The fresh ones it has heard, itself included.
    pub known_peers: Vec<MemberId>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub number: u64,
    pub node: Node,
    pub published: u64,
    pub version: Option<Name>,
    pub ready: bool,
    /// Targets this node's probes fail on.
    pub failing: Vec<Name>,
    /// Nodes silent on the ring.
    pub suspects: Vec<Incarnation>,
    /// Some of the asks since the last question, and how many there were.
    #[serde(default)]
    pub samples: Vec<Sample>,
    #[serde(default)]
    pub request_count: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaseResponse {
    Granted { term: u64, watermark: u64, members: Vec<SocketAddr> },
    NotController { controller: Option<SocketAddr>, members: Vec<SocketAddr> },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ImageFrame {
    pub offset: u64,
    /// Encoded once for all that ask for this offset.
    pub state: Arc<ByteBuf>,
}
