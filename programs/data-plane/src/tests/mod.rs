mod answers;
mod asks;
mod rig;
mod traps;
