use crate::ControlNode;
use postbarrow_constants::coordination::*;
use postbarrow_state::{Name, Record};
use postbarrow_transactions::Line;

impl ControlNode {
    pub(crate) fn note_committed(&mut self, nowMs: u64, lines: &[Line<Record>]) {
        let era = self.committed().era;
        let Some(lead) = &mut self.lead else { return };
        for line in lines {
            match line {
                Line::Data(Record::Settled { key, .. }) => {
                    lead.settledQueue.push_back((era, key.clone()));
                }
                Line::Data(Record::Lock { name, ttlMs, .. }) => {
                    lead.locksDueMs.insert(name.clone(), nowMs + ttlMs);
                }
                _ => {}
            }
        }
    }

    /// Old settled tickets, repeats and events go by records, so that all replicas agree.
    pub(crate) fn forget_pulse(&mut self, nowMs: u64) {
        if self.is_open() {
            return;
        }
        let historyMs = self.historyMs;
        let Some(lead) = &mut self.lead else { return };
        if nowMs < lead.forgetDueMs {
            return;
        }
        lead.forgetDueMs = nowMs + FORGET_MS;
        let Some(state) = lead.writer.as_ref().map(|writer| writer.current()) else { return };
        let eras = nowMs.saturating_sub(lead.eraMs) / ERA_MS;
        lead.eraMs += eras * ERA_MS;
        let mut tickets: Vec<Name> = Vec::new();
        while let Some((era, key)) = lead.settledQueue.front() {
            let young = state.era <= era + TICKET_KEEP_MS / ERA_MS;
            if tickets.len() >= FORGET_RECORDS || young {
                break;
            }
            let known = state.tickets.get(key);
            if known.is_some_and(|known| known.settled.is_some() && known.era == *era) {
                tickets.push(key.clone());
            }
            lead.settledQueue.pop_front();
        }
        let old = |(era, _): &&(u64, Name)| state.era > era + REPEAT_KEEP_MS / ERA_MS;
        let repeats: Vec<Name> = state
            .repeatQueue
            .iter()
            .take_while(old)
            .take(FORGET_RECORDS)
            .map(|(_, id)| id.clone())
            .collect();
        lead.historyMarks.push_back((nowMs, state.revision));
        let mut floor = state.historyFloor;
        while let Some((atMs, revision)) = lead.historyMarks.front().copied() {
            if nowMs < atMs + historyMs {
                break;
            }
            floor = floor.max(revision);
            lead.historyMarks.pop_front();
        }
        let mut records = Vec::new();
        if eras > 0 {
            records.push(Record::Era { by: eras });
        }
        if !tickets.is_empty() {
            records.push(Record::TicketsForgotten(tickets));
        }
        if !repeats.is_empty() {
            records.push(Record::RepeatsForgotten(repeats));
        }
        if state.history.front().is_some_and(|event| event.revision <= floor) {
            records.push(Record::HistoryTrimmed { floor });
        }
        if !records.is_empty() {
            self.propose(nowMs, records);
        }
    }
}
