#![doc = include_str!("../README.md")]
#![deny(missing_docs)]

mod checker;
mod client;
mod clock;
mod disk;
mod event;
mod fault;
mod network;
mod node;
mod random;
mod scenario;
pub mod search;
mod world;

pub use checker::ledger::OutcomeCounts;
pub use checker::orders::OrderLedger;
pub use client::operator::Order;
pub use disk::{DiskFault, SimDisk};
pub use fault::injection::{INJECTED_FAULTS, InjectedFault, OPERATIONS, Operation};
pub use fault::{ALL_FAULTS, Fault, Stage};
pub use node::control::ControlMachine;
pub use node::endpoint_list::ListFault;
pub use node::slow::SlowMachine;
pub use random::Random;
pub use scenario::contact_loss::{ContactLoss, ContactLossResult, ContactLossRun};
pub use scenario::injection::InjectionPoint;
pub use scenario::replacement::{Replacement, ReplacementResult};
pub use scenario::{RunResult, Scenario};
pub use world::World;
