use crate::{ControlNode, Effect};
use postbarrow_consensus::{Entry, Payload, Snapshot};
use postbarrow_membership::NewsEntry;
use postbarrow_state::{Record, State};
use postbarrow_transactions::{Line, Seen, Tail, decode, encode};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

#[derive(Debug, Serialize, Deserialize)]
struct Kept {
    state: Arc<State>,
    newsOffset: u64,
}

impl ControlNode {
    pub(crate) fn on_commit(&mut self, nowMs: u64, entries: Vec<Entry>) {
        for entry in entries {
            match &entry.payload {
                Payload::TermStart | Payload::Members(_) => self.tail.skip_to(entry.index),
                Payload::Batch(bytes) => self.on_batch(nowMs, entry.index, bytes),
            }
        }
        self.answer_committed();
        self.tell_watches();
        self.continue_open(nowMs);
    }

    fn on_batch(&mut self, nowMs: u64, offset: u64, bytes: &[u8]) {
        let lines: Vec<Line<Record>> =
            decode(bytes).unwrap_or_else(|error| panic!("log offset {offset}: {error}"));
        let seen = match self.tail.apply(offset, bytes.len(), &lines) {
            Ok(seen) => seen,
            Err(error) => panic!("log offset {offset}: {error}"),
        };
        if self.lead.is_some() {
            self.note_committed(nowMs, &lines);
        }
        let news: Vec<Line<Record>> = lines.into_iter().filter(is_news).collect();
        if !news.is_empty() {
            let entry = NewsEntry { prev: self.newsOffset, offset, bytes: encode(&news) };
            self.relay.push(entry);
            self.newsOffset = offset;
            if seen != Seen::Pending {
                self.imageOffset = offset;
            }
        }
    }

    fn answer_committed(&mut self) {
        let commit = self.consensus.commit();
        let Some(lead) = &mut self.lead else { return };
        let mut due = Vec::new();
        lead.replies.retain_mut(|(offset, origin, response)| {
            let waits = *offset > commit;
            if !waits {
                due.push((*origin, response.clone()));
            }
            waits
        });
        for (origin, response) in due {
            self.respond(origin, response);
        }
    }

    pub(crate) fn restore(&mut self, snapshot: &Snapshot) {
        let kept = if snapshot.state.is_empty() {
            Kept { state: Arc::default(), newsOffset: 0 }
        } else {
            rmp_serde::from_slice(&snapshot.state)
                .unwrap_or_else(|error| panic!("snapshot {}: {error}", snapshot.index))
        };
        self.tail = Tail::new(snapshot.index, kept.state.as_ref().clone());
        self.newsOffset = kept.newsOffset;
        self.imageOffset = kept.newsOffset;
        self.relay.clear();
    }

    /// Between transactions only: a snapshot carries no markers. It is encoded elsewhere, since
    /// that takes longer than a hold can spare; each member's own bound keeps them from all
    /// writing their slots at once.
    pub(crate) fn compact(&mut self) {
        if self.logBytes < self.logBoundBytes || self.tail.is_open() {
            return;
        }
        self.logBytes = 0;
        let index = self.tail.offset().min(self.consensus.commit());
        let kept = Kept { state: self.tail.image().clone(), newsOffset: self.newsOffset };
        self.effects.push(Effect::Encode(Snap { index, kept }));
    }

    pub(crate) fn on_encoded(&mut self, nowMs: u64, index: u64, state: Vec<u8>) {
        self.say(format!("snapshot at {index}, {} bytes", state.len()));
        self.log(nowMs, postbarrow_consensus::Input::Compact { index, state });
    }
}

/// A committed state on its way to a slot.
#[derive(Debug)]
pub struct Snap {
    pub index: u64,
    kept: Kept,
}

impl Snap {
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(&self.kept).expect("a state encodes into memory")
    }
}

fn is_news(line: &Line<Record>) -> bool {
    match line {
        Line::Data(record) => record.is_news(),
        Line::Begin { .. } | Line::End | Line::Abort { .. } => true,
    }
}
