//! The messages between postbarrow's processes, and their frames.
//!
//! Control nodes replicate the log, and data nodes serve clients. The controller is the control
//! node that leads the log and has the leader's lease.
//!
//! Each message is sent in an `Envelope`, and each envelope in a frame: a big-endian length of four
//! bytes, followed by MessagePack. Fields of structs are encoded by position, variants of enums by
//! name. A renamed variant keeps its earlier name on the wire, so that processes of different
//! releases understand each other.
//!
//! | file | what it does |
//! | --- | --- |
//! | `message.rs` | the messages |
//! | `request.rs` | requests to the controller, and its responses |
//! | `frame.rs` | writes and reads frames |
//! | `encoded_image.rs` | encodes an image once for all subscribers that it is sent to |
#![deny(missing_docs)]

mod encoded_image;
mod frame;
mod message;
mod request;

pub use encoded_image::ImageEncoder;
pub use frame::{FrameError, read_frame, to_frame};
pub use message::{
    DiscoveryAnnouncement, Envelope, ImageFrame, LeaseRequest, LeaseResponse, Message,
};
pub use request::{Request, Response, Submission};
