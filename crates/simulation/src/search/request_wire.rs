//! Connections to two targets, as bytes and resets leave them.
//!
//! The node's end mirrors `programs/data-plane/src/target_connection.rs` (`is_reusable`, `send` from
//! the final check on, `receive`) and `shared/connection_pools.rs` (`Pools::take`); the reading of a
//! name mirrors `platform/src/data_dialect.rs` (`TargetIdentification::judge_response`).

use postbarrow_node::AttemptOutcome;

/// What may be done again: a lookup may, a one-time request may not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    OneTime,
    Lookup,
}

/// What a response says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Content {
    Complete,
    /// The target's word that it did not run the request, nor will.
    NotRun,
    Garbage,
    /// The first bytes of a response, and then the end of its connection.
    Truncated,
}

/// A response on its way to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TargetMessage {
    pub content: Content,
    /// Whose request it really answers.
    pub for_client: usize,
    /// It tells whose it is.
    pub is_named: bool,
}

/// What the node's end of a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionUse {
    Idle,
    InUse(usize),
    Reading(usize),
    Dropped,
}

/// One connection; a target's end may outlive the node's, and the other way round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Connection {
    pub target: usize,
    /// Which process is at the other end.
    pub incarnation: u8,
    pub usage: ConnectionUse,
    /// No response was read on it yet.
    pub first: bool,
    /// The target's end is closed.
    pub closed: bool,
    /// A request that was delivered and not yet run: whose, and which life it names.
    pub pending: Option<(usize, u8)>,
    /// Whose request was answered last.
    pub answered: Option<usize>,
    pub inbox: Vec<TargetMessage>,
}

/// What reading came to, and whether the connection rests again.
pub struct Read {
    pub outcome: AttemptOutcome,
    pub is_idle: bool,
}

/// How a target's response is to be taken.
enum Classification {
    OtherRequest,
    Malformed,
    NotRun,
    Complete,
}

impl Connection {
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

    /// As `TargetConnection::is_reusable`: nothing came since it was given back, and it is not closed.
    pub fn is_unused(&self) -> bool {
        self.inbox.is_empty() && !self.closed
    }

    /// As `Named::heard`.
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

    /// As `TargetConnection::receive`: reads up to a response that is not another's. `rest`:
    /// bytes that follow it are already read in.
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

/// A response that carries whose it really is.
pub fn response(for_client: usize) -> postbarrow_node::TargetResponse {
    let body = for_client.to_string().into_bytes();
    postbarrow_node::TargetResponse { status: 200, headers: Vec::new(), body }
}
