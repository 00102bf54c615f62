use crate::ControlNode;
use postbarrow_constants::coordination::*;
use postbarrow_state::{Name, Record};
use postbarrow_transactions::BatchRecord;

impl ControlNode {
    pub(crate) fn track_committed(&mut self, now_ms: u64, lines: &[BatchRecord<Record>]) {
        let era = self.committed().era;
        let Some(lead) = &mut self.leader else { return };
        for line in lines {
            match line {
                BatchRecord::Data(Record::Settled { key, .. }) => {
                    lead.settled_keys.push_back((era, key.clone()));
                }
                BatchRecord::Data(Record::Lock { name, ttl_ms, .. }) => {
                    lead.locks_due_ms.insert(name.clone(), now_ms + ttl_ms);
                }
                _ => {}
            }
        }
    }

    /// Old settled tickets, repeats and events go by records, so that all replicas agree.
    pub(crate) fn retention_tick(&mut self, now_ms: u64) {
        if self.is_open() {
            return;
        }
        let history_ms = self.history_ms;
        let Some(lead) = &mut self.leader else { return };
        if now_ms < lead.retention_due_ms {
            return;
        }
        lead.retention_due_ms = now_ms + RETENTION_MS;
        let Some(state) = lead.writer.as_ref().map(|writer| writer.current()) else { return };
        let eras = now_ms.saturating_sub(lead.era_ms) / ERA_MS;
        lead.era_ms += eras * ERA_MS;
        let mut tickets: Vec<Name> = Vec::new();
        while let Some((era, key)) = lead.settled_keys.front() {
            let young = state.era <= era + TICKET_RETENTION_MS / ERA_MS;
            if tickets.len() >= RETENTION_RECORDS || young {
                break;
            }
            let known = state.tickets.get(key);
            if known.is_some_and(|known| known.settlement.is_some() && known.era == *era) {
                tickets.push(key.clone());
            }
            lead.settled_keys.pop_front();
        }
        let old = |(era, _): &&(u64, Name)| state.era > era + STORED_RESULT_RETENTION_MS / ERA_MS;
        let repeats: Vec<Name> = state
            .repeat_queue
            .iter()
            .take_while(old)
            .take(RETENTION_RECORDS)
            .map(|(_, id)| id.clone())
            .collect();
        lead.history_revisions.push_back((now_ms, state.revision));
        let mut floor = state.history_floor;
        while let Some((at_ms, revision)) = lead.history_revisions.front().copied() {
            if now_ms < at_ms + history_ms {
                break;
            }
            floor = floor.max(revision);
            lead.history_revisions.pop_front();
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
            self.propose(now_ms, records);
        }
    }
}
