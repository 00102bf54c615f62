//! Checks of the recorded history: outcomes that clients received, requests that targets ran,
//! responses to operators. These checks read a history only and do not depend on `World`.

pub mod calls;
mod invariants;
pub mod ledger;
pub mod linearizability;
pub mod orders;
