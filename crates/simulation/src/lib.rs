#![doc = include_str!("../README.md")]
#![deny(missing_docs)]

mod calls;
mod check;
mod check_pinned;
mod contact_loss;
mod control;
mod data;
mod disk;
mod event;
mod fault;
mod faults;
mod history;
mod ledger;
mod linear;
mod list;
mod net;
mod operator;
mod orders;
mod passing;
mod pinned;
mod random;
mod replacement;
mod requests;
mod rolling_restart;
mod scenario;
pub mod search;
mod slow;
mod steps;
mod targets;
mod world;

pub use contact_loss::{ContactLoss, ContactLossResult, ContactLossRun};
pub use control::ControlMachine;
pub use disk::{DiskFault, SimDisk};
pub use fault::{ALL, Fault, Stage};
pub use ledger::OutcomeCounts;
pub use list::ListFault;
pub use orders::{Order, OrderLedger};
pub use random::Random;
pub use replacement::{Replacement, ReplacementResult};
pub use scenario::{RunResult, Scenario};
pub use slow::SlowMachine;
pub use steps::{INJECTED_FAULTS, InjectedFault, InjectionPoint, OPERATIONS, Operation};
pub use world::World;
