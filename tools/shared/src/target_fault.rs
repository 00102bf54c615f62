//! The faults that a stand-in target can inject into its responses and executions.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

/// A fault that a stand-in target injects into one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// The target executes the request, then closes the connection without a response.
    Lost,
    /// The target executes the request, then sends bytes that are not HTTP.
    Garbage,
    /// The target executes the request, then sends half of the body that its `Content-Length`
    /// states.
    Truncated,
    /// The target executes the request, then sends half of a body without a length, which is ended
    /// only by the close of the connection.
    Unterminated,
    /// The target sends a success without executing the request. The load generator's checks must
    /// find this violation.
    FalseSuccess,
    /// The target executes the request twice. The load generator's checks must find this violation.
    DoubleRun,
}

impl TargetFault {
    /// Every fault, in the order in which the help text lists them.
    pub const ALL: [TargetFault; 6] = [
        TargetFault::Lost,
        TargetFault::Garbage,
        TargetFault::Truncated,
        TargetFault::Unterminated,
        TargetFault::FalseSuccess,
        TargetFault::DoubleRun,
    ];

    /// Returns the fault's name on command lines.
    pub fn name(self) -> &'static str {
        match self {
            TargetFault::Lost => "lost",
            TargetFault::Garbage => "garbage",
            TargetFault::Truncated => "cut",
            TargetFault::Unterminated => "endless",
            TargetFault::FalseSuccess => "lie",
            TargetFault::DoubleRun => "double",
        }
    }
}

impl FromStr for TargetFault {
    type Err = UnknownTargetFault;

    fn from_str(name: &str) -> Result<TargetFault, UnknownTargetFault> {
        let known = TargetFault::ALL.into_iter().find(|fault| fault.name() == name);
        known.ok_or_else(|| UnknownTargetFault(name.into()))
    }
}

/// The error of parsing a name that no fault of a target has; contains the name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownTargetFault(pub String);

impl Display for UnknownTargetFault {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(out, "{}: unknown target fault", self.0)
    }
}

impl std::error::Error for UnknownTargetFault {}
