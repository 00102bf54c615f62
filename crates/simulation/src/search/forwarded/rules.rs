//! Invariants of every forwarded call.

use crate::search::Violation;
use crate::search::forwarded::ForwardedCalls;
use crate::search::forwarded::log::is_refusal;
use crate::search::forwarded::state::{ForwardedState, Progress};
use postbarrow_messages::Response;
use postbarrow_state::{Outcome, Record};
use std::collections::BTreeSet;

impl ForwardedCalls {
    /// A caller's response is true of its own call.
    pub(in crate::search) fn check_answered(
        &self,
        state: &ForwardedState,
        at: usize,
        floor: u64,
    ) -> Result<(), Violation> {
        let Progress::Answered { response, .. } = &state.progress[at] else { return Ok(()) };
        let own: Vec<&Record> = state
            .committed()
            .iter()
            .filter(|entry| entry.source == Some(at))
            .flat_map(|entry| &entry.records)
            .collect();
        if is_refusal(response) && !own.is_empty() {
            return Err(Violation(format!("call {at} got {response:?} and took effect")));
        }
        let done =
            match response {
                Response::Outcome(Outcome::Number(reported)) => *reported > floor
                    && own.iter().any(
                        |found| matches!(found, Record::Number { value, .. } if value == reported),
                    ),
                Response::Outcome(Outcome::Locked { fence: reported, .. }) => own
                    .iter()
                    .any(|found| matches!(found, Record::Lock { fence, .. } if fence == reported)),
                Response::Outcome(Outcome::Key(reported)) => own.iter().any(
                    |found| matches!(found, Record::Key { key: Some(key), .. } if key == reported),
                ),
                _ => true,
            };
        if done {
            Ok(())
        } else {
            Err(Violation(format!("call {at} got {response:?}, not its own")))
        }
    }

    /// A put has one revision and a lock one fence, however often its request arrives.
    pub(in crate::search) fn check_once(
        &self,
        state: &ForwardedState,
        at: usize,
    ) -> Result<(), Violation> {
        let own = state.committed().iter().filter(|entry| entry.source == Some(at));
        let marks: BTreeSet<u64> = own
            .flat_map(|entry| &entry.records)
            .filter_map(|record| match record {
                Record::Lock { fence, .. } => Some(*fence),
                Record::Key { key: Some(key), .. } => Some(key.revision),
                _ => None,
            })
            .collect();
        if marks.len() > 1 {
            return Err(Violation(format!("call {at} was done as {marks:?}")));
        }
        Ok(())
    }
}
