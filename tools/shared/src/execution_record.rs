//! The lines in which a stand-in target records its executions, one file a target.

use std::fmt::{self, Display, Formatter};

/// How the long work of a request ended at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkEnd {
    /// It lasted as long as the request wanted.
    Complete,
    /// The connection ended before it.
    Dropped,
    /// The target broke off, as the request wanted.
    Broke,
}

impl WorkEnd {
    const ALL: [WorkEnd; 3] = [WorkEnd::Complete, WorkEnd::Dropped, WorkEnd::Broke];

    /// The name that stands in a record.
    fn name(self) -> &'static str {
        match self {
            WorkEnd::Complete => "whole",
            WorkEnd::Dropped => "dropped",
            WorkEnd::Broke => "broke",
        }
    }
}

/// One line of a target's records. The times are milliseconds of the wall clock, `None` in a line
/// whose time is no number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionRecord {
    /// The target ran a request once.
    Run {
        /// The request's `X-Id`.
        id: String,
        /// The target's instance name.
        instance: String,
        /// The request's method.
        method: String,
        /// The SHA-256 of the request's body, in hexadecimal digits.
        digest: String,
        /// The request's target, path and query.
        target: String,
        /// When it ran.
        at_ms: Option<u64>,
    },
    /// The long work of a request ended.
    Ended {
        /// The request's `X-Id`.
        id: String,
        /// How it ended.
        end: WorkEnd,
        /// When it ended.
        at_ms: Option<u64>,
    },
}

impl ExecutionRecord {
    /// Reads one line; `None` if it is no record.
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

    /// When it was recorded, in milliseconds of the wall clock.
    pub fn at_ms(&self) -> Option<u64> {
        match self {
            ExecutionRecord::Run { at_ms, .. } | ExecutionRecord::Ended { at_ms, .. } => *at_ms,
        }
    }
}

/// The line without its line break.
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
