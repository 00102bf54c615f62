#![doc = include_str!("../README.md")]

mod asks;
mod book;
mod calls;
mod check;
mod control;
mod data;
mod disk;
mod event;
mod fault;
mod faults;
mod history;
mod linear;
mod list;
mod net;
mod operator;
mod passing;
mod random;
mod roll;
mod scenario;
mod slow;
mod steps;
mod targets;
mod world;

pub use control::ControlMachine;
pub use disk::{DiskTrouble, SimDisk};
pub use fault::{ALL, Fault, Stage};
pub use list::Trouble;
pub use random::Random;
pub use scenario::{Ended, Scenario};
pub use slow::SlowMachine;
pub use steps::{HOWS, How, Step, WHATS, What};
pub use world::World;
