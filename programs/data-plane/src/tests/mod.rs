mod answers;
mod asks;
mod promises;
mod rig;
mod traps;
