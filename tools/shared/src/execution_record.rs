//! The lines in which a stand-in target records its executions; each target has a file of its own.

use std::fmt::{self, Display, Formatter};

/// How the work of a request that sets its duration by `X-Work-Ms` ended at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkEnd {
    /// The work lasted as long as the request set by `X-Work-Ms`.
    Complete,
    /// The request's connection closed or failed before the work was complete.
    Dropped,
    /// The target closed the connection before the work was complete, since the request set
    /// `X-Break-Ms`.
    Aborted,
}

impl WorkEnd {
    const ALL: [WorkEnd; 3] = [WorkEnd::Complete, WorkEnd::Dropped, WorkEnd::Aborted];

    /// Returns the word for this end in a record.
    fn name(self) -> &'static str {
        match self {
            WorkEnd::Complete => "whole",
            WorkEnd::Dropped => "dropped",
            WorkEnd::Aborted => "broke",
        }
    }
}

/// One line of a target's records. A time is in milliseconds of the wall clock; `None` if the
/// parsed line has no valid number in its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionRecord {
    /// The target executed a request once.
    Run {
        /// The request's `X-Id`.
        id: String,
        /// The target's instance name.
        instance: String,
        /// The HTTP method of the request.
        method: String,
        /// The SHA-256 of the request's body, in lower-case hexadecimal digits.
        digest: String,
        /// The path and query of the request.
        target: String,
        /// The time of the execution.
        at_ms: Option<u64>,
    },
    /// The work of a request that sets its duration ended.
    Ended {
        /// The request's `X-Id`.
        id: String,
        /// How the work ended.
        end: WorkEnd,
        /// The time at which the work ended.
        at_ms: Option<u64>,
    },
}

impl ExecutionRecord {
    /// Parses one line; `None` if it is not a record.
    pub fn parse(line: &str) -> Option<ExecutionRecord> {
        let fields: Vec<&str> = line.split(' ').collect();
        match fields[..] {
            [id, instance, method, digest, target, at_ms] => Some(ExecutionRecord::Run {
                id: id.into(),
                instance: instance.into(),
                method: method.into(),
                digest: digest.into(),
                target: target.into(),
                at_ms: at_ms.parse().ok(),
            }),
            ["ended", id, end, at_ms] => {
                let end = WorkEnd::ALL.into_iter().find(|known| known.name() == end)?;
                Some(ExecutionRecord::Ended { id: id.into(), end, at_ms: at_ms.parse().ok() })
            }
            _ => None,
        }
    }

    /// Returns the time of the record, in milliseconds of the wall clock.
    pub fn at_ms(&self) -> Option<u64> {
        match self {
            ExecutionRecord::Run { at_ms, .. } | ExecutionRecord::Ended { at_ms, .. } => *at_ms,
        }
    }
}

/// Formats the record as its line, without the line break; writes 0 for a time that is `None`.
impl Display for ExecutionRecord {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ExecutionRecord::Run { id, instance, method, digest, target, at_ms } => {
                write!(out, "{id} {instance} {method} {digest} {target} ")?;
                write!(out, "{}", at_ms.unwrap_or(0))
            }
            ExecutionRecord::Ended { id, end, at_ms } => {
                write!(out, "ended {id} {} {}", end.name(), at_ms.unwrap_or(0))
            }
        }
    }
}
