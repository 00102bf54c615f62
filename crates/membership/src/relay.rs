//! What a relay owes its children: news in order, or an image to one that is too far behind.

use postbarrow_constants::nodes::{
    SUBSCRIPTION_TIMEOUT_MS, TAIL_RESEND_MAX_MS, TAIL_RESEND_MS, UPDATE_FRAME_BYTES,
    UPDATES_RETAINED, UPDATES_RETAINED_BYTES,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// One batch of news; `prev` chains it to the batch of news before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpdateEntry {
    pub prev: u64,
    pub offset: u64,
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

struct Child {
    /// Sent up to here.
    at: u64,
    /// Told up to here by the child itself.
    acknowledged: u64,
    renewed_ms: u64,
    /// Since when something is under way and the child told of no progress.
    unacknowledged_ms: Option<u64>,
    resend_ms: u64,
}

impl Child {
    fn new(now_ms: u64, after: u64) -> Child {
        Child {
            at: after,
            acknowledged: after,
            renewed_ms: now_ms,
            unacknowledged_ms: None,
            resend_ms: TAIL_RESEND_MS,
        }
    }

    /// What is under way is not sent again before it had its time: on a slow link each further
    /// copy would only wait behind the first. Without progress that time doubles.
    fn renew(&mut self, now_ms: u64, after: u64) {
        self.renewed_ms = now_ms;
        if after < self.acknowledged {
            *self = Child::new(now_ms, after);
            return;
        }
        let progress = after > self.acknowledged;
        self.acknowledged = after;
        if after >= self.at {
            self.at = after;
            self.unacknowledged_ms = None;
            self.resend_ms = TAIL_RESEND_MS;
        } else if progress {
            self.unacknowledged_ms = Some(now_ms);
            self.resend_ms = TAIL_RESEND_MS;
        } else if self.unacknowledged_ms.is_none_or(|since| now_ms >= since + self.resend_ms) {
            self.at = after;
            self.unacknowledged_ms = None;
            self.resend_ms = (self.resend_ms * 2).min(TAIL_RESEND_MAX_MS);
        }
    }

    fn sent(&mut self, now_ms: u64, offset: u64) {
        self.at = offset;
        self.unacknowledged_ms.get_or_insert(now_ms);
    }
}

pub enum Delivery {
    Updates {
        to: SocketAddr,
        entries: Vec<UpdateEntry>,
    },
    /// The child is too far behind for what is kept: it needs an image first.
    Image {
        to: SocketAddr,
    },
}

/// What one relay, or the controller at the root, keeps and owes its children.
#[derive(Default)]
pub struct Relay {
    entries: VecDeque<Arc<UpdateEntry>>,
    retained_bytes: usize,
    children: BTreeMap<SocketAddr, Child>,
}

impl Relay {
    /// Keeps the newest entries, within a bound of their number and one of their bytes.
    pub fn push(&mut self, entry: UpdateEntry) {
        if self.entries.back().is_some_and(|last| last.offset != entry.prev) {
            self.entries.clear();
            self.retained_bytes = 0;
        }
        self.retained_bytes += entry.bytes.len();
        self.entries.push_back(Arc::new(entry));
        while self.entries.len() > UPDATES_RETAINED || self.retained_bytes > UPDATES_RETAINED_BYTES
        {
            let Some(gone) = self.entries.pop_front() else { return };
            self.retained_bytes -= gone.bytes.len();
        }
    }

    pub fn clear(&mut self) {
        self.entries.clear();
        self.retained_bytes = 0;
        self.children.clear();
    }

    /// A child says where it is; this subscribes it or renews that.
    pub fn on_tail(&mut self, now_ms: u64, child: SocketAddr, after: u64) {
        match self.children.get_mut(&child) {
            Some(known) => known.renew(now_ms, after),
            None => drop(self.children.insert(child, Child::new(now_ms, after))),
        }
    }

    /// After an image was sent.
    pub fn on_image_sent(&mut self, now_ms: u64, child: SocketAddr, offset: u64) {
        if let Some(child) = self.children.get_mut(&child) {
            child.sent(now_ms, offset);
        }
    }

    /// What each child lacks, given where the relay itself is and which image it could send: one
    /// that the child has already would only be sent again and again.
    pub fn deliver(&mut self, now_ms: u64, own: u64, image: u64) -> Vec<Delivery> {
        self.children.retain(|_, child| now_ms < child.renewed_ms + SUBSCRIPTION_TIMEOUT_MS);
        let mut out = Vec::new();
        for (to, child) in &mut self.children {
            if child.at >= own {
                continue;
            }
            let from = self.entries.iter().position(|entry| entry.prev == child.at);
            let Some(from) = from else {
                if child.at < image {
                    out.push(Delivery::Image { to: *to });
                }
                continue;
            };
            let mut entries = Vec::new();
            let mut size = 0;
            for entry in self.entries.iter().skip(from) {
                if !entries.is_empty() && size + entry.bytes.len() > UPDATE_FRAME_BYTES {
                    out.push(Delivery::Updates { to: *to, entries: std::mem::take(&mut entries) });
                    size = 0;
                }
                size += entry.bytes.len();
                child.sent(now_ms, entry.offset);
                entries.push(entry.as_ref().clone());
            }
            out.push(Delivery::Updates { to: *to, entries });
        }
        out
    }

    /// Bytes of the news it keeps.
    pub fn retained_bytes(&self) -> usize {
        self.retained_bytes
    }

    pub fn children(&self) -> Vec<SocketAddr> {
        self.children.keys().copied().collect()
    }
}
