use crate::ControlNode;
use postbarrow_constants::coordination::*;
use postbarrow_state::{Name, Record};
use postbarrow_transactions::Line;

impl ControlNode {
    pub(crate) fn note_committed(&mut self, nowMs: u64, lines: &[Line<Record>]) {
        let Some(lead) = &mut self.lead else { return };
        for line in lines {
            match line {
                Line::Data(Record::Settled { key, .. }) => {
                    lead.settledMs.insert(key.clone(), nowMs);
                    lead.settledQueue.push_back((nowMs, key.clone()));
                }
                Line::Data(Record::Ticket(ticket)) => {
                    lead.settledMs.remove(&ticket.key);
                }
                Line::Data(Record::Repeat { id, .. }) => {
                    lead.repeatQueue.push_back((nowMs, id.clone()));
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
        let Some(lead) = &mut self.lead else { return };
        if nowMs < lead.forgetDueMs {
            return;
        }
        lead.forgetDueMs = nowMs + FORGET_MS;
        let Some(state) = lead.writer.as_ref().map(|writer| writer.current()) else { return };
        let mut tickets: Vec<Name> = Vec::new();
        while let Some((atMs, key)) = lead.settledQueue.front() {
            let over = state.tickets.len() - tickets.len() > TICKETS;
            if tickets.len() >= FORGET_RECORDS || (nowMs < atMs + TICKET_KEEP_MS && !over) {
                break;
            }
            if lead.settledMs.get(key) == Some(atMs) {
                tickets.push(key.clone());
                lead.settledMs.remove(key);
            }
            lead.settledQueue.pop_front();
        }
        let mut repeats: Vec<Name> = Vec::new();
        while let Some((atMs, id)) = lead.repeatQueue.front() {
            let over = lead.repeatQueue.len() > REPEATS;
            if repeats.len() >= FORGET_RECORDS || (nowMs < atMs + REPEAT_KEEP_MS && !over) {
                break;
            }
            repeats.push(id.clone());
            lead.repeatQueue.pop_front();
        }
        lead.historyMarks.push_back((nowMs, state.revision));
        let mut floor = state.historyFloor;
        while let Some((atMs, revision)) = lead.historyMarks.front().copied() {
            let over = state.history.len() > HISTORY_EVENTS;
            if nowMs < atMs + HISTORY_KEEP_MS && !over {
                break;
            }
            floor = floor.max(revision);
            lead.historyMarks.pop_front();
            if over {
                break;
            }
        }
        let mut records = Vec::new();
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
