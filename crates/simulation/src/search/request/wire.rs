//! Connections to two targets: bytes in flight, resets, reuse.
//!
//! The node's end mirrors the data plane's `target_connection.rs` (whether a connection is unused,
//! the exchange from its last check on, reading the own response) and its connection pools; the
//! reading of a response's name mirrors the platform's `front.rs`.

use postbarrow_node::AttemptOutcome;

/// Whether a request may run again: a lookup may, a one-time request may not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Runs once at most.
    OneTime,
    /// May run more than once.
    Lookup,
}

/// What a response says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Content {
    /// A complete response.
    Complete,
    /// The target's statement that it did not run the request, nor will.
    NotRun,
    /// Bytes that are no response.
    Garbage,
    /// The first bytes of a response, then the end of its connection.
    Truncated,
}

/// A response on its way to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetMessage {
    /// What it says.
    pub content: Content,
    /// The client whose request it really answers.
    pub for_client: usize,
    /// Whether it names its request.
    pub is_named: bool,
}

/// How the node uses its end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionUse {
    /// In the pool.
    Idle,
    /// Connected for this client's request, of which nothing is sent.
    InUse(usize),
    /// Reading the response to this client's request.
    Reading(usize),
    /// Closed by the node.
    Dropped,
}

/// One connection; a target's end may outlive the node's, and vice versa.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Connection {
    /// The target at the other end.
    pub target: usize,
    /// Which incarnation of the target is at the other end.
    pub incarnation: u8,
    /// How the node uses its end.
    pub usage: ConnectionUse,
    /// No response was read on it yet.
    pub first: bool,
    /// The target's end is closed.
    pub closed: bool,
    /// A request that was delivered and has not run: its client, and the incarnation that it names.
    pub pending: Option<(usize, u8)>,
    /// The client whose request was answered last.
    pub answered: Option<usize>,
    /// Responses that have arrived and are not read.
    pub inbox: Vec<TargetMessage>,
}

/// The outcome of reading, and whether the connection is idle again.
pub struct Read {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the connection returns to the pool.
    pub is_idle: bool,
}

/// What a target's response means to the request that reads it.
enum Classification {
    OtherRequest,
    Malformed,
    NotRun,
    Complete,
}

impl Connection {
    /// A new connection for this client's request.
    pub fn open(target: usize, incarnation: u8, client: usize) -> Connection {
        Connection {
            target,
            incarnation,
            usage: ConnectionUse::InUse(client),
            first: true,
            closed: false,
            pending: None,
            answered: None,
            inbox: Vec::new(),
        }
    }

    /// Nothing arrived since it was returned to the pool, and it is not closed.
    pub fn is_unused(&self) -> bool {
        self.inbox.is_empty() && !self.closed
    }

    /// As the platform's front classifies a response.
    fn classify(
        &self,
        client: usize,
        answer: TargetMessage,
        requires_name: bool,
    ) -> Classification {
        if matches!(answer.content, Content::Garbage | Content::Truncated) {
            return Classification::Malformed;
        }
        if answer.is_named && answer.for_client != client {
            return Classification::OtherRequest;
        }
        let is_unnamed = !answer.is_named && !self.first;
        match answer.content {
            Content::NotRun if is_unnamed && requires_name => Classification::Malformed,
            Content::NotRun => Classification::NotRun,
            _ if is_unnamed => Classification::Malformed,
            _ => Classification::Complete,
        }
    }

    /// Reads up to a response that is not another request's, as the data plane does. `rest`: bytes
    /// that follow it are read already.
    pub fn read(&mut self, client: usize, rest: bool, requires_name: bool) -> Option<Read> {
        let unknown = |why: &str| AttemptOutcome::Unknown { late: false, reason: why.into() };
        while !self.inbox.is_empty() {
            let answer = self.inbox.remove(0);
            let classification = self.classify(client, answer, requires_name);
            self.first = false;
            let outcome = match classification {
                Classification::OtherRequest => continue,
                Classification::Malformed => {
                    return Some(Read { outcome: unknown("unsound"), is_idle: false });
                }
                Classification::NotRun => AttemptOutcome::NotRun("it says so".into()),
                Classification::Complete => AttemptOutcome::Complete(response(answer.for_client)),
            };
            let is_idle = self.inbox.is_empty() || !rest;
            return Some(Read { outcome, is_idle });
        }
        self.closed.then(|| Read { outcome: unknown("closed before the end"), is_idle: false })
    }
}

/// A response that carries the client whose request it answers.
pub fn response(for_client: usize) -> postbarrow_node::TargetResponse {
    let body = for_client.to_string().into_bytes();
    postbarrow_node::TargetResponse { status: 200, headers: Vec::new(), body }
}
