//! Selects the records of the state that are old enough to be removed.

use postbarrow_constants::coordination::*;
use postbarrow_state::{Name, Record, State};
use std::collections::VecDeque;

/// Tracks the age of settled tickets, stored outcomes of calls, and events. They are removed by
/// records in the log, so that all replicas agree. Ages of tickets and outcomes are counted in
/// eras, which records in the log advance; an era lasts `ERA_MS`.
pub(crate) struct Retention {
    due_ms: u64,
    /// Start of the current era, in milliseconds of this leader's clock.
    era_start_ms: u64,
    /// Settled keys with the era of their settlement, oldest first.
    settled_keys: VecDeque<(u64, Name)>,
    /// Times in milliseconds and the state's revision at each, oldest first.
    revisions: VecDeque<(u64, u64)>,
}

impl Retention {
    pub fn new(now_ms: u64) -> Self {
        Retention {
            due_ms: 0,
            era_start_ms: now_ms,
            settled_keys: VecDeque::new(),
            revisions: VecDeque::new(),
        }
    }

    /// Starts tracking the settled tickets and the revision of a state that earlier leaders wrote.
    pub fn restore(&mut self, now_ms: u64, state: &State) {
        let settled = state.tickets.iter().filter(|(_, ticket)| ticket.settlement.is_some());
        let mut settled: Vec<_> = settled.map(|(key, ticket)| (ticket.era, key.clone())).collect();
        settled.sort_unstable();
        self.settled_keys = settled.into();
        self.revisions.push_back((now_ms, state.revision));
    }

    pub fn on_settled(&mut self, era: u64, key: &Name) {
        self.settled_keys.push_back((era, key.clone()));
    }

    /// Returns the records that advance the era and remove what is due now. Events are retained for
    /// `history_ms`.
    pub fn due_records(&mut self, now_ms: u64, history_ms: u64, state: &State) -> Vec<Record> {
        let eras = self.take_elapsed_eras(now_ms);
        let tickets = self.take_expired_tickets(state);
        let outcomes = expired_outcomes(state);
        let floor = self.history_floor(now_ms, history_ms, state);
        let mut records = Vec::new();
        if eras > 0 {
            records.push(Record::Era { by: eras });
        }
        if !tickets.is_empty() {
            records.push(Record::TicketsForgotten(tickets));
        }
        if !outcomes.is_empty() {
            records.push(Record::RepeatsForgotten(outcomes));
        }
        if state.history.front().is_some_and(|event| event.revision <= floor) {
            records.push(Record::HistoryTrimmed { floor });
        }
        records
    }

    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.due_ms
    }

    pub fn schedule_next(&mut self, now_ms: u64) {
        self.due_ms = now_ms + RETENTION_INTERVAL_MS;
    }

    fn take_elapsed_eras(&mut self, now_ms: u64) -> u64 {
        let eras = now_ms.saturating_sub(self.era_start_ms) / ERA_MS;
        self.era_start_ms += eras * ERA_MS;
        eras
    }

    fn take_expired_tickets(&mut self, state: &State) -> Vec<Name> {
        let mut expired = Vec::new();
        while let Some((era, key)) = self.settled_keys.front() {
            let is_retained = state.era <= era + TICKET_RETENTION_MS / ERA_MS;
            if expired.len() >= RETENTION_RECORDS || is_retained {
                break;
            }
            let known = state.tickets.get(key);
            if known.is_some_and(|known| known.settlement.is_some() && known.era == *era) {
                expired.push(key.clone());
            }
            self.settled_keys.pop_front();
        }
        expired
    }

    /// Returns the revision up to which events are removed.
    fn history_floor(&mut self, now_ms: u64, history_ms: u64, state: &State) -> u64 {
        self.revisions.push_back((now_ms, state.revision));
        let mut floor = state.history_floor;
        while let Some((at_ms, revision)) = self.revisions.front().copied() {
            if now_ms < at_ms + history_ms {
                break;
            }
            floor = floor.max(revision);
            self.revisions.pop_front();
        }
        floor
    }
}

/// Returns the call ids of the stored outcomes whose retention has ended, oldest first.
fn expired_outcomes(state: &State) -> Vec<Name> {
    let is_expired =
        |(era, _): &&(u64, Name)| state.era > era + STORED_OUTCOME_RETENTION_MS / ERA_MS;
    let expired = state.stored_outcome_queue.iter().take_while(is_expired).take(RETENTION_RECORDS);
    expired.map(|(_, id)| id.clone()).collect()
}
