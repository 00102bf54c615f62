//! Connections to two targets: responses in flight, resets and reuse.
//!
//! The node's end mirrors the data plane's `target_connection.rs` (whether a connection is
//! reusable, the exchange from its last check on, and how it finds the response to its own request)
//! and its connection pools. How a response's request id is judged mirrors the platform's
//! `data_dialect.rs`.

use postbarrow_node::AttemptOutcome;

/// Whether a request may run again: a lookup may, a one-time request may not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A request that must run at most once.
    OneTime,
    /// A request that may run more than once.
    Lookup,
}

/// The content of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Content {
    /// A complete response.
    Complete,
    /// The target's statement that it has not run the request and will not run it.
    NotRun,
    /// Bytes that form no valid response.
    Garbage,
    /// The first bytes of a response, after which the connection ends.
    Truncated,
}

/// A response on its way to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetMessage {
    /// The content of the response.
    pub content: Content,
    /// The client whose request the response really answers, named or not.
    pub for_client: usize,
    /// Whether the response names the request that it answers.
    pub is_named: bool,
}

/// How the node uses its end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionUse {
    /// The connection is in the pool.
    Idle,
    /// The connection is taken for this client's request, no byte of which has been sent.
    InUse(usize),
    /// The node reads the response to this client's request.
    Reading(usize),
    /// The node has closed its end.
    Dropped,
}

/// One connection between the node and a target. Either end may stay open after the other closed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Connection {
    /// The index of the target at the other end.
    pub target: usize,
    /// The incarnation of the target at the other end.
    pub incarnation: u8,
    /// The node's use of its end.
    pub usage: ConnectionUse,
    /// Whether the node has read no response on this connection yet.
    pub awaits_first_response: bool,
    /// Whether the target's end is closed.
    pub closed: bool,
    /// A request that was delivered and has not run, if any: its client, and the incarnation of the
    /// target that the request names.
    pub pending: Option<(usize, u8)>,
    /// The client whose request the target answered last; `None` before the first response.
    pub last_answered: Option<usize>,
    /// Responses that have arrived and that the node has not read, oldest first.
    pub inbox: Vec<TargetMessage>,
}

/// The result of reading a response.
pub struct Read {
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Whether the connection returns to the pool.
    pub is_idle: bool,
}

/// The meaning of a target's response for the request whose response is read.
enum Classification {
    OtherRequest,
    Malformed,
    NotRun,
    Complete,
}

impl Connection {
    /// Returns a new connection, taken for this client's request.
    pub fn open(target: usize, incarnation: u8, client: usize) -> Connection {
        Connection {
            target,
            incarnation,
            usage: ConnectionUse::InUse(client),
            awaits_first_response: true,
            closed: false,
            pending: None,
            last_answered: None,
            inbox: Vec::new(),
        }
    }

    /// Returns whether the connection may carry another request: no response is unread, and the
    /// target's end is open.
    pub fn is_reusable(&self) -> bool {
        self.inbox.is_empty() && !self.closed
    }

    /// Classifies a response as the platform's data dialect judges it.
    fn classify(
        &self,
        client: usize,
        message: TargetMessage,
        requires_name: bool,
    ) -> Classification {
        if matches!(message.content, Content::Garbage | Content::Truncated) {
            return Classification::Malformed;
        }
        if message.is_named && message.for_client != client {
            return Classification::OtherRequest;
        }
        let is_unnamed = !message.is_named && !self.awaits_first_response;
        match message.content {
            Content::NotRun if is_unnamed && requires_name => Classification::Malformed,
            Content::NotRun => Classification::NotRun,
            _ if is_unnamed => Classification::Malformed,
            _ => Classification::Complete,
        }
    }

    /// Reads responses up to the first that does not name another request, as the data plane does.
    /// With `reads_ahead`, bytes that follow it have been read too, so that the connection is not
    /// reused if there are any. Returns `None` if there is no such response and the connection is
    /// open.
    pub fn read(&mut self, client: usize, reads_ahead: bool, requires_name: bool) -> Option<Read> {
        let unknown =
            |reason: &str| AttemptOutcome::Unknown { timed_out: false, reason: reason.into() };
        while !self.inbox.is_empty() {
            let message = self.inbox.remove(0);
            let classification = self.classify(client, message, requires_name);
            self.awaits_first_response = false;
            let outcome = match classification {
                Classification::OtherRequest => continue,
                Classification::Malformed => {
                    return Some(Read { outcome: unknown("malformed response"), is_idle: false });
                }
                Classification::NotRun => AttemptOutcome::NotRun(
                    "the target responded that it did not run the request".into(),
                ),
                Classification::Complete => AttemptOutcome::Complete(response(message.for_client)),
            };
            let is_idle = self.inbox.is_empty() || !reads_ahead;
            return Some(Read { outcome, is_idle });
        }
        self.closed.then(|| Read {
            outcome: unknown("the connection closed before a complete response"),
            is_idle: false,
        })
    }
}

/// Returns a complete response whose body is the index of the client whose request it answers.
pub fn response(for_client: usize) -> postbarrow_node::TargetResponse {
    let body = for_client.to_string().into_bytes();
    postbarrow_node::TargetResponse { status: 200, headers: Vec::new(), body }
}
