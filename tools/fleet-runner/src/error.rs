//! Why a fleet can't run, or a fault wasn't injected or survived.

use std::io;

/// Why a fleet can't run, or a fault wasn't injected or survived.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The command line asks for what can't be run.
    #[error("{}", .0.join("; "))]
    CommandLine(Vec<String>),
    /// No deployment has this name.
    #[error("{0} is no deployment")]
    UnknownDeployment(String),
    /// No fault schedule has this name.
    #[error("{0}: none, plain, rolling or all")]
    UnknownSchedule(String),
    /// The system refused something for this file, process or port.
    #[error("{subject}: {source}")]
    System {
        /// The file, process or port.
        subject: String,
        /// What the system says.
        source: io::Error,
    },
    /// The system refused something.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The process was ended before.
    #[error("not running")]
    NotRunning,
    /// Nodes did not become ready in time.
    #[error("{ready} of {nodes} nodes are ready")]
    NotReady {
        /// How many are ready.
        ready: usize,
        /// How many there are.
        nodes: usize,
    },
    /// The first plan was refused until time ran out.
    #[error("the first plan was never in force")]
    FirstPlanNotInForce,
    /// A plan on the version in force was refused as if it were on another.
    #[error("409 on its own base")]
    PlanConflict,
    /// A plan was neither accepted nor refused.
    #[error("never acknowledged")]
    PlanNotAcknowledged,
    /// Ready nodes still follow an earlier plan.
    #[error("not in force after 5 s")]
    PlanNotInForce,
    /// Of two plans on one base, not exactly one was accepted.
    #[error("{0:?}")]
    PlanRace(Vec<Option<u16>>),
    /// An invalid plan was not refused.
    #[error("status {0:?}")]
    UnexpectedStatus(Option<u16>),
    /// The fleet has no such process.
    #[error("no such {0}")]
    NoSuch(&'static str),
    /// No target runs that the fault could hit.
    #[error("no target is left")]
    NoTarget,
    /// A partition would separate nothing.
    #[error("no link to cut")]
    NoLink,
    /// A zone to isolate has no targets.
    #[error("zone {0} has no targets")]
    ZoneWithoutTargets(String),
    /// A process kept running though its disk is full.
    #[error("the process went on with a full disk")]
    FullDiskIgnored,
    /// Emptying a disk now could lose the quorum.
    #[error("three voters are not at hand, no disk is emptied")]
    VotersMissing,
    /// A control node with an emptied disk was not taken in as a voter.
    #[error("the emptied machine never became a voter")]
    NotVoter,
    /// A process runs without the library that makes its clock jump.
    #[error("{0}: its clock can't be made to jump")]
    ClockFixed(String),
}

impl FleetError {
    /// Adds what the system's error is about.
    pub fn system(subject: impl Into<String>) -> impl FnOnce(io::Error) -> FleetError {
        let subject = subject.into();
        move |source| FleetError::System { subject, source }
    }
}
