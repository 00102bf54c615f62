mod answers;
mod asks;
mod crowds;
mod promises;
mod rig;
mod traps;
