//! Whether this process's member applies the log, as its log, its answers and its health check
//! state it.

use log::{error, info};
use postbarrow_controller::ApplyFailure;
use std::sync::Mutex;

/// Path of the health check of a control node, in every dialect.
pub const HEALTH_PATH: &str = "/health";

/// The health of the member, set by the control loop and read by clients' threads.
#[derive(Default)]
pub struct MemberHealth {
    apply_failure: Mutex<Option<ApplyFailure>>,
}

impl MemberHealth {
    /// Sets why the member can't apply the log, and logs a change.
    pub(crate) fn set(&self, failure: Option<&ApplyFailure>) {
        let Ok(mut known) = self.apply_failure.lock() else { return };
        if known.as_ref() == failure {
            return;
        }
        match failure {
            Some(failure) => {
                error!(
                    "control: member steps aside, upgrade it and keep its disk error=\"{failure}\""
                );
            }
            None => info!("control: member applies the log again"),
        }
        *known = failure.cloned();
    }

    /// Returns why the member can't apply the log, for clients; `None` while it can.
    pub(crate) fn failure_text(&self) -> Option<String> {
        let known = self.apply_failure.lock().ok()?;
        known.as_ref().map(|failure| format!("this member has stepped aside: {failure}"))
    }
}
