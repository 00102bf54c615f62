//! What postbarrow's processes say to each other, and how it is framed.

mod frame;
mod image;
mod request;

pub use frame::{FrameError, read_frame, to_frame};
pub use image::EncodedImage;
pub use request::*;

use postbarrow_consensus as consensus;
use postbarrow_consensus::{Member, MemberId};
use postbarrow_membership::NewsEntry;
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
    Greet(Greet),
    Form(Vec<Member>),
    Introduce,
    Introduction {
        control: Vec<SocketAddr>,
        formed: bool,
    },
    Fresh(FreshAsk),
    FreshResponse {
        number: u64,
        fresh: Fresh,
    },
    Tail {
        after: u64,
    },
    News {
        entries: Vec<NewsEntry>,
    },
    Image(ImageFrame),
    Beat {
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
pub struct Greet {
    pub member: Member,
    pub fresh: bool,
    /// The fresh ones it has heard, itself included.
    pub knows: Vec<MemberId>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FreshAsk {
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
    pub recent: Vec<Sample>,
    #[serde(default)]
    pub seen: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Fresh {
    Granted { term: u64, watermark: u64, members: Vec<SocketAddr> },
    NotController { controller: Option<SocketAddr>, members: Vec<SocketAddr> },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ImageFrame {
    pub offset: u64,
    /// Encoded once for all that ask for this offset.
    pub state: Arc<ByteBuf>,
}
