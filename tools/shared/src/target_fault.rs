//! The faults that a stand-in target can bring about.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

/// What a stand-in target does wrong with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// Runs, then closes without a response.
    Lost,
    /// Runs, then sends what is not HTTP.
    Garbage,
    /// Runs, then sends half its response.
    Truncated,
    /// Runs, then sends half a body without a length, which only the connection's close ends.
    Unterminated,
    /// Sends a response without running: a violation that the checks have to find.
    FalseSuccess,
    /// Runs twice: a violation that the checks have to find.
    DoubleRun,
}

impl TargetFault {
    /// Every fault, in the order of the help text.
    pub const ALL: [TargetFault; 6] = [
        TargetFault::Lost,
        TargetFault::Garbage,
        TargetFault::Truncated,
        TargetFault::Unterminated,
        TargetFault::FalseSuccess,
        TargetFault::DoubleRun,
    ];

    /// The name on command lines.
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

/// A name that no fault of a target has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownTargetFault(pub String);

impl Display for UnknownTargetFault {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(out, "{} is no fault", self.0)
    }
}

impl std::error::Error for UnknownTargetFault {}
