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
    news_offset: u64,
}

impl ControlNode {
    pub(crate) fn on_commit(&mut self, now_ms: u64, entries: Vec<Entry>) {
        for entry in entries {
            match &entry.payload {
                Payload::TermStart | Payload::Members(_) => self.tail.skip_to(entry.index),
                Payload::Batch(bytes) => self.on_batch(now_ms, entry.index, bytes),
            }
        }
        self.answer_committed(now_ms);
        self.tell_watches(now_ms);
        self.continue_open(now_ms);
    }

    fn on_batch(&mut self, now_ms: u64, offset: u64, bytes: &[u8]) {
        let lines: Vec<Line<Record>> =
            decode(bytes).unwrap_or_else(|error| panic!("log offset {offset}: {error}"));
        let seen = match self.tail.apply(offset, bytes.len(), &lines) {
            Ok(seen) => seen,
            Err(error) => panic!("log offset {offset}: {error}"),
        };
        if self.lead.is_some() {
            self.note_committed(now_ms, &lines);
        }
        let news: Vec<Line<Record>> = lines.into_iter().filter(is_news).collect();
        if !news.is_empty() {
            let entry = NewsEntry { prev: self.news_offset, offset, bytes: encode(&news) };
            self.relay.push(entry);
            self.news_offset = offset;
            if seen != Seen::Pending {
                self.image_offset = offset;
            }
        }
    }

    pub(crate) fn restore(&mut self, snapshot: &Snapshot) {
        let kept = if snapshot.state.is_empty() {
            Kept { state: Arc::default(), news_offset: 0 }
        } else {
            rmp_serde::from_slice(&snapshot.state)
                .unwrap_or_else(|error| panic!("snapshot {}: {error}", snapshot.index))
        };
        self.tail = Tail::new(snapshot.index, kept.state.as_ref().clone());
        self.news_offset = kept.news_offset;
        self.image_offset = kept.news_offset;
        self.relay.clear();
    }

    /// Between transactions only: a snapshot carries no markers. It is encoded elsewhere, since
    /// that takes longer than a hold can spare; each member's own bound keeps them from all
    /// writing their slots at once.
    pub(crate) fn compact(&mut self) {
        if self.log_bytes < self.log_bound_bytes || self.tail.is_open() {
            return;
        }
        self.log_bytes = 0;
        let index = self.tail.offset().min(self.consensus.commit());
        let kept = Kept { state: self.tail.image().clone(), news_offset: self.news_offset };
        self.effects.push(Effect::Encode(Snap { index, kept }));
    }

    pub(crate) fn on_encoded(&mut self, now_ms: u64, index: u64, state: Vec<u8>) {
        self.say(format!("snapshot at {index}, {} bytes", state.len()));
        self.log(now_ms, postbarrow_consensus::Input::Compact { index, state });
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
