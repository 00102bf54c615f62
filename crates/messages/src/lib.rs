//! The messages between postbarrow's processes, and their frames.
//!
//! Each message travels in an `Envelope`, and each envelope in a frame: four bytes of length,
//! big-endian, and MessagePack. Structs are sent by position, variants of enums by name; a renamed
//! variant has its earlier name on the wire, so that two releases understand each other.
//!
//! | file | what it does |
//! | --- | --- |
//! | `message.rs` | the messages |
//! | `request.rs` | requests to the controller, and its responses |
//! | `frame.rs` | writes and reads frames |
//! | `encoded_image.rs` | encodes an image once for all that fetch it |
#![deny(missing_docs)]

mod encoded_image;
mod frame;
mod message;
mod request;

pub use encoded_image::EncodedImage;
pub use frame::{FrameError, read_frame, to_frame};
pub use message::{
    DiscoveryAnnouncement, Envelope, ImageFrame, LeaseRequest, LeaseResponse, Message,
};
pub use request::{Request, Response, Submission};
