//! The errors of starting a fleet and of injecting faults into it.

use std::io;

/// Why a fleet can't run, why a fault could not be injected, or why the fleet did not recover.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The command line is invalid. Contains a text for each error that was found in it.
    #[error("{}", .0.join("; "))]
    CommandLine(Vec<String>),
    /// The command line names a deployment that does not exist.
    #[error("{0}: unknown deployment; expected blue-mahoe or kutch")]
    UnknownDeployment(String),
    /// The command line names a fault schedule that does not exist.
    #[error("{0}: unknown fault schedule; expected none, plain, rolling or all")]
    UnknownSchedule(String),
    /// A system call failed for a known file, process or port.
    #[error("{subject}: {source}")]
    System {
        /// The file, process or port for which the call failed.
        subject: String,
        /// The error that the system returned.
        source: io::Error,
    },
    /// A system call failed; the error does not name the file or process.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The operation needs a running process, but the process was ended before.
    #[error("the process is not running")]
    NotRunning,
    /// Some data nodes did not become ready in time.
    #[error("only {ready} of {nodes} data nodes are ready")]
    NotReady {
        /// The number of data nodes that are ready.
        ready: usize,
        /// The number of data nodes in the fleet.
        nodes: usize,
    },
    /// The first plan was not accepted by any of its submissions.
    #[error("the first plan was not accepted by any of its submissions")]
    FirstPlanNotAccepted,
    /// A plan based on the version in force was refused as a conflict, with status 409.
    #[error("a plan based on the version in force was refused with status 409")]
    PlanConflict,
    /// A plan was neither accepted nor refused as a conflict by any of its submissions.
    #[error("the plan was not acknowledged by any of its submissions")]
    PlanNotAcknowledged,
    /// After 5 s, some ready data nodes still follow an earlier plan.
    #[error("the plan was not in force on every ready data node after 5 s")]
    PlanNotInForce,
    /// Of two plans with the same base, both or neither were accepted. Contains the status that
    /// each got; `None` if no control node responded.
    #[error("two plans with the same base got the statuses {0:?}, of which one must be 200")]
    PlanRace(Vec<Option<u16>>),
    /// An invalid plan was not refused with status 400. Contains the status; `None` if no control
    /// node responded.
    #[error("an invalid plan got the status {0:?}, not 400")]
    InvalidPlanNotRefused(Option<u16>),
    /// The fleet has no such process, or the process advertises no valid address. Contains the kind
    /// of the process.
    #[error("the fleet has no such {0}")]
    MissingProcess(&'static str),
    /// The fault needs a listed target that is not draining, but there is none.
    #[error("the fault needs a listed target that is not draining, but there is none")]
    NoTarget,
    /// A partition contains no link between two nodes.
    #[error("the partition contains no link")]
    NoLink,
    /// The zone to isolate has no targets.
    #[error("zone {0} has no targets")]
    ZoneWithoutTargets(String),
    /// A process did not end although its disk is full.
    #[error("the process kept running although its disk is full")]
    FullDiskIgnored,
    /// A disk was not emptied: `Fleet::has_three_voters` stayed false, so the control nodes could
    /// have lost their quorum.
    #[error("no disk was emptied: the leader and two voters are not all in contact")]
    VotersMissing,
    /// A control node with an emptied disk did not become a voter again in time.
    #[error("the control node with the emptied disk did not become a voter")]
    NotVoter,
    /// A process, given by its name, runs without the library that makes its clock jump.
    #[error("{0}: libjumping_clock is not loaded, so the clock can't jump")]
    ClockLibraryMissing(String),
}

impl FleetError {
    /// Returns a conversion of a system error that adds the file, process or port for which the
    /// call failed.
    pub fn system(subject: impl Into<String>) -> impl FnOnce(io::Error) -> FleetError {
        let subject = subject.into();
        move |source| FleetError::System { subject, source }
    }
}
