//! The interface between the client listener and what its clients speak.

use crate::RequestSender;
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::head::Head;
use postbarrow_node::TargetResponse;

/// Answers the HTTP requests of operators and applications.
pub trait ClientHandler: Send + Sync {
    /// Answers a request that was read completely.
    fn answer(&self, request: &ClientRequest<'_>) -> TargetResponse;

    /// Answers a request that could not be read: the HTTP status and a reason for the client.
    fn reject(&self, status: u16, reason: &str) -> TargetResponse;
}

/// A complete request of a client.
pub struct ClientRequest<'a> {
    /// Its head.
    pub head: &'a Head,
    /// Its body, without the framing of chunks.
    pub body: &'a [u8],
    /// Sends requests to the controller.
    pub requests: &'a RequestSender,
    /// Whether the client still waits.
    pub client: &'a ClientWatch<'a>,
}

impl ClientRequest<'_> {
    /// The value of a query parameter, not decoded; empty where there is only the name.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.head.query().split('&');
        let mut pairs = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        pairs.find(|(parameter, _)| *parameter == name).map(|(_, value)| value)
    }
}
