#![doc = include_str!("../README.md")]

mod asks;
mod book;
mod calls;
mod check;
mod control;
mod data;
mod disk;
mod faults;
mod history;
mod linear;
mod net;
mod operator;
mod random;
mod scenario;
mod targets;
mod world;

pub use disk::SimDisk;
pub use faults::{ALL, Fault};
pub use random::Random;
pub use scenario::{Ended, Scenario};
pub use world::World;
