mod answers;
mod asks;
mod crowds;
mod named;
mod promises;
mod rig;
mod scripted;
mod traps;
