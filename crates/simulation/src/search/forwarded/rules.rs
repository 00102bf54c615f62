//! The invariants of every forwarded call.

use crate::search::Violation;
use crate::search::forwarded::ForwardedCalls;
use crate::search::forwarded::log::is_refusal;
use crate::search::forwarded::state::{ForwardedState, Progress};
use postbarrow_messages::Response;
use postbarrow_state::{Call, Outcome, Record};
use std::collections::BTreeSet;

impl ForwardedCalls {
    /// Checks that the response to the call with index `call` is true of this call: a refused call
    /// has no committed entry, and a reported number, fence or key is in one of its own.
    /// `number_when_sent` is the committed value of the number when the call was sent, which a
    /// reported number must exceed.
    pub(in crate::search) fn check_response(
        &self,
        state: &ForwardedState,
        call: usize,
        number_when_sent: u64,
    ) -> Result<(), Violation> {
        let Progress::Answered { response, .. } = &state.progress[call] else { return Ok(()) };
        let own_records: Vec<&Record> = state
            .committed()
            .iter()
            .filter(|entry| entry.source == Some(call))
            .flat_map(|entry| &entry.records)
            .collect();
        // A release that another copy of it executed is answered as not owned; it is no refusal.
        let is_release = matches!(self.calls[call].call, Call::Free { .. });
        if is_refusal(response) && !is_release && !own_records.is_empty() {
            return Err(Violation(format!(
                "call {call} was refused with {response:?} and took effect"
            )));
        }
        let is_own_result =
            match response {
                Response::Outcome(Outcome::Number(reported)) => *reported > number_when_sent
                    && own_records.iter().any(
                        |found| matches!(found, Record::Number { value, .. } if value == reported),
                    ),
                Response::Outcome(Outcome::Locked { fence: reported, .. }) => {
                    own_records.iter().any(
                        |found| matches!(found, Record::Lock { fence, .. } if fence == reported),
                    ) || self.is_initial_grant(call, *reported)
                }
                Response::Outcome(Outcome::Key(reported)) => own_records.iter().any(
                    |found| matches!(found, Record::Key { key: Some(key), .. } if key == reported),
                ),
                _ => true,
            };
        if is_own_result {
            Ok(())
        } else {
            Err(Violation(format!(
                "call {call} received {response:?}, which is not its own result"
            )))
        }
    }

    /// Returns whether the owner that makes this call had the lock with this fence before any call:
    /// its start gives it the same fence again.
    fn is_initial_grant(&self, call: usize, reported: u64) -> bool {
        let Call::Lock { name: own_name, holder: own_holder, .. } = &self.calls[call].call else {
            return false;
        };
        self.initial_records.iter().any(|record| {
            matches!(record, Record::Lock { name, holder, fence, .. }
                if name == own_name && holder == own_holder && *fence == reported)
        })
    }

    /// Checks that the call with index `call` has at most one revision, if it is a put, or one
    /// fence, if it is a lock, however often its request arrives.
    pub(in crate::search) fn check_single_effect(
        &self,
        state: &ForwardedState,
        call: usize,
    ) -> Result<(), Violation> {
        let own_entries = state.committed().iter().filter(|entry| entry.source == Some(call));
        let versions: BTreeSet<u64> = own_entries
            .flat_map(|entry| &entry.records)
            .filter_map(|record| match record {
                Record::Lock { fence, .. } => Some(*fence),
                Record::Key { key: Some(key), .. } => Some(key.revision),
                _ => None,
            })
            .collect();
        if versions.len() > 1 {
            return Err(Violation(format!(
                "call {call} took effect several times, with revisions or fences {versions:?}"
            )));
        }
        Ok(())
    }
}
