//! Connections to two targets, as bytes and resets leave them.
//!
//! The node's end mirrors `programs/data-plane/src/target_connection.rs` (`is_fresh`, `exchange` from
//! the last look on, `read_own`) and `pools.rs` (`Pools::take`); the reading of a name mirrors
//! `platform/src/front.rs` (`Named::heard`).

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
    Whole,
    /// The target's word that it did not run the request, nor will.
    NotRun,
    Garbage,
    /// The first bytes of a response, and then the end of its connection.
    Cut,
}

/// A response on its way to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    pub content: Content,
    /// Whose request it really answers.
    pub made_for: usize,
    /// It tells whose it is.
    pub named: bool,
}

/// What the node's end of a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Use {
    Resting,
    Taken(usize),
    Reading(usize),
    Dropped,
}

/// One connection; a target's end may outlive the node's, and the other way round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Connection {
    pub target: usize,
    /// Which process is at the other end.
    pub life: u8,
    pub used: Use,
    /// No response was read on it yet.
    pub first: bool,
    /// The target's end is closed.
    pub closed: bool,
    /// A request that was delivered and not yet run: whose, and which life it names.
    pub pending: Option<(usize, u8)>,
    /// Whose request was answered last.
    pub answered: Option<usize>,
    pub inbox: Vec<Answer>,
}

/// What reading came to, and whether the connection rests again.
pub struct Read {
    pub passed: AttemptOutcome,
    pub rests: bool,
}

/// How a target's response is to be taken.
enum Heard {
    Another,
    Unsound,
    NotRun,
    Whole,
}

impl Connection {
    pub fn open(target: usize, life: u8, client: usize) -> Connection {
        Connection {
            target,
            life,
            used: Use::Taken(client),
            first: true,
            closed: false,
            pending: None,
            answered: None,
            inbox: Vec::new(),
        }
    }

    /// As `TargetConnection::is_fresh`: nothing came since it was given back, and it is not closed.
    pub fn is_fresh(&self) -> bool {
        self.inbox.is_empty() && !self.closed
    }

    /// As `Named::heard`.
    fn heard(&self, client: usize, answer: Answer, strict: bool) -> Heard {
        if matches!(answer.content, Content::Garbage | Content::Cut) {
            return Heard::Unsound;
        }
        if answer.named && answer.made_for != client {
            return Heard::Another;
        }
        let nameless = !answer.named && !self.first;
        match answer.content {
            Content::NotRun if nameless && strict => Heard::Unsound,
            Content::NotRun => Heard::NotRun,
            _ if nameless => Heard::Unsound,
            _ => Heard::Whole,
        }
    }

    /// As `TargetConnection::read_own`: reads up to a response that is not another's. `rest`:
    /// bytes that follow it are already read in.
    pub fn read(&mut self, client: usize, rest: bool, strict: bool) -> Option<Read> {
        let unknown = |why: &str| AttemptOutcome::Unknown { late: false, reason: why.into() };
        while !self.inbox.is_empty() {
            let answer = self.inbox.remove(0);
            let heard = self.heard(client, answer, strict);
            self.first = false;
            let passed = match heard {
                Heard::Another => continue,
                Heard::Unsound => {
                    return Some(Read { passed: unknown("unsound"), rests: false });
                }
                Heard::NotRun => AttemptOutcome::NotRun("it says so".into()),
                Heard::Whole => AttemptOutcome::Complete(response(answer.made_for)),
            };
            let rests = self.inbox.is_empty() || !rest;
            return Some(Read { passed, rests });
        }
        self.closed.then(|| Read { passed: unknown("closed before the end"), rests: false })
    }
}

/// A response that carries whose it really is.
pub fn response(made_for: usize) -> postbarrow_node::TargetResponse {
    let body = made_for.to_string().into_bytes();
    postbarrow_node::TargetResponse { status: 200, headers: Vec::new(), body }
}
