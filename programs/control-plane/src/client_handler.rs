//! The interface between the client listener and the protocol of its clients.

use crate::RequestSender;
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_downstream::head::Head;
use postbarrow_node::TargetResponse;

/// Answers the HTTP requests of operators and applications.
pub trait ClientHandler: Send + Sync {
    /// Returns the response to a request that was read completely.
    fn answer(&self, request: &ClientRequest<'_>) -> TargetResponse;

    /// Returns the response to a request that could not be read, with this HTTP status and a reason
    /// for the client.
    fn reject(&self, status: u16, reason: &str) -> TargetResponse;
}

/// A client's request that was read completely.
pub struct ClientRequest<'a> {
    /// The request line and the headers.
    pub head: &'a Head,
    /// The body, without chunk framing.
    pub body: &'a [u8],
    /// Sends requests to the controller.
    pub request_sender: &'a RequestSender,
    /// Observes whether the client has departed.
    pub client: &'a ClientWatch<'a>,
}

impl ClientRequest<'_> {
    /// Returns the value of a query parameter, without percent-decoding. A parameter without `=`
    /// has an empty value.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.head.query().split('&');
        let mut pairs = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        pairs.find(|(parameter, _)| *parameter == name).map(|(_, value)| value)
    }
}
