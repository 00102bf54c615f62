use crate::ControlNode;
use postbarrow_constants::coordination::*;
use postbarrow_state::{Name, Record};
use postbarrow_transactions::BatchRecord;

impl ControlNode {
    pub(crate) fn track_committed(&mut self, now_ms: u64, records: &[BatchRecord<Record>]) {
        let era = self.committed().era;
        let Some(leader) = &mut self.leader else { return };
        for record in records {
            match record {
                BatchRecord::Data(Record::Settled { key, .. }) => {
                    leader.settled_keys.push_back((era, key.clone()));
                }
                BatchRecord::Data(Record::Lock { name, ttl_ms, .. }) => {
                    leader.locks_due_ms.insert(name.clone(), now_ms + ttl_ms);
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
        let Some(leader) = &mut self.leader else { return };
        if now_ms < leader.retention_due_ms {
            return;
        }
        leader.retention_due_ms = now_ms + RETENTION_MS;
        let Some(state) = leader.writer.as_ref().map(|writer| writer.current()) else { return };
        let eras = now_ms.saturating_sub(leader.era_ms) / ERA_MS;
        leader.era_ms += eras * ERA_MS;
        let mut tickets: Vec<Name> = Vec::new();
        while let Some((era, key)) = leader.settled_keys.front() {
            let is_retained = state.era <= era + TICKET_RETENTION_MS / ERA_MS;
            if tickets.len() >= RETENTION_RECORDS || is_retained {
                break;
            }
            let known = state.tickets.get(key);
            if known.is_some_and(|known| known.settlement.is_some() && known.era == *era) {
                tickets.push(key.clone());
            }
            leader.settled_keys.pop_front();
        }
        let is_expired =
            |(era, _): &&(u64, Name)| state.era > era + STORED_RESULT_RETENTION_MS / ERA_MS;
        let repeats: Vec<Name> = state
            .repeat_queue
            .iter()
            .take_while(is_expired)
            .take(RETENTION_RECORDS)
            .map(|(_, id)| id.clone())
            .collect();
        leader.history_revisions.push_back((now_ms, state.revision));
        let mut floor = state.history_floor;
        while let Some((at_ms, revision)) = leader.history_revisions.front().copied() {
            if now_ms < at_ms + history_ms {
                break;
            }
            floor = floor.max(revision);
            leader.history_revisions.pop_front();
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
