//! Checks of recorded history: what clients received, what targets ran, what operators were
//! answered. Checkers read a history and know no world.

pub mod calls;
mod invariants;
pub mod ledger;
pub mod linearizability;
pub mod orders;
