use postbarrow_constants::nodes::{NEWS_BYTES, NEWS_KEPT, TAIL_KEEP_MS};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// One batch of news; `prev` chains it to the batch of news before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NewsEntry {
    pub prev: u64,
    pub offset: u64,
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

struct Child {
    at: u64,
    renewed_ms: u64,
}

pub enum Deliver {
    News {
        to: SocketAddr,
        entries: Vec<NewsEntry>,
    },
    /// The child is too far behind for what is kept: it needs an image first.
    Image {
        to: SocketAddr,
    },
}

/// What one relay, or the controller at the root, keeps and owes its children.
#[derive(Default)]
pub struct Relay {
    entries: VecDeque<Arc<NewsEntry>>,
    children: BTreeMap<SocketAddr, Child>,
}

impl Relay {
    pub fn push(&mut self, entry: NewsEntry) {
        if self.entries.back().is_some_and(|last| last.offset != entry.prev) {
            self.entries.clear();
        }
        self.entries.push_back(Arc::new(entry));
        while self.entries.len() > NEWS_KEPT {
            self.entries.pop_front();
        }
    }

    pub fn clear(&mut self) {
        self.entries.clear();
        self.children.clear();
    }

    /// A child says where it is; this subscribes it or renews that.
    pub fn on_tail(&mut self, now_ms: u64, child: SocketAddr, after: u64) {
        self.children.insert(child, Child { at: after, renewed_ms: now_ms });
    }

    /// After an image was sent.
    pub fn moved(&mut self, child: SocketAddr, offset: u64) {
        if let Some(child) = self.children.get_mut(&child) {
            child.at = offset;
        }
    }

    /// What each child lacks, given where the relay itself is.
    pub fn deliver(&mut self, now_ms: u64, own: u64) -> Vec<Deliver> {
        self.children.retain(|_, child| now_ms < child.renewed_ms + TAIL_KEEP_MS);
        let mut out = Vec::new();
        for (to, child) in &mut self.children {
            if child.at >= own {
                continue;
            }
            let from = self.entries.iter().position(|entry| entry.prev == child.at);
            let Some(from) = from else {
                out.push(Deliver::Image { to: *to });
                continue;
            };
            let mut entries = Vec::new();
            let mut size = 0;
            for entry in self.entries.iter().skip(from) {
                if !entries.is_empty() && size + entry.bytes.len() > NEWS_BYTES {
                    out.push(Deliver::News { to: *to, entries: std::mem::take(&mut entries) });
                    size = 0;
                }
                size += entry.bytes.len();
                child.at = entry.offset;
                entries.push(entry.as_ref().clone());
            }
            out.push(Deliver::News { to: *to, entries });
        }
        out
    }

    pub fn children(&self) -> Vec<SocketAddr> {
        self.children.keys().copied().collect()
    }
}
