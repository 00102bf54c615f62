//! What a relay sends its children: updates in order, or an image to one that is too far behind.

use crate::subscription::Subscription;
use crate::update_log::{UpdateEntry, UpdateLog};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a child is sent next.
pub enum Delivery {
    /// The updates after the last that it was sent.
    Updates {
        /// The child.
        to: SocketAddr,
        /// In the order of their offsets.
        entries: Vec<UpdateEntry>,
    },
    /// The retained updates don't reach back to the child's offset: it needs an image first.
    Image {
        /// The child.
        to: SocketAddr,
    },
}

/// What one relay, or the controller at the root of the tree, retains for its children, and how far
/// each child is.
#[derive(Default)]
pub struct Relay {
    updates: UpdateLog,
    children: BTreeMap<SocketAddr, Subscription>,
}

impl Relay {
    /// Retains an entry; the oldest are removed beyond a bound of their number and one of their
    /// bytes, and all earlier ones if this one doesn't continue them.
    pub fn push(&mut self, entry: UpdateEntry) {
        self.updates.push(entry);
    }

    /// Forgets all entries and children.
    pub fn clear(&mut self) {
        self.updates.clear();
        self.children.clear();
    }

    /// A child reports the offset that it has reached; this subscribes it or renews that.
    pub fn on_tail(&mut self, now_ms: u64, child: SocketAddr, after: u64) {
        match self.children.get_mut(&child) {
            Some(subscription) => subscription.renew(now_ms, after),
            None => drop(self.children.insert(child, Subscription::new(now_ms, after))),
        }
    }

    /// The image of this offset was sent to a child.
    pub fn on_image_sent(&mut self, now_ms: u64, child: SocketAddr, offset: u64) {
        if let Some(subscription) = self.children.get_mut(&child) {
            subscription.on_sent(now_ms, offset);
        }
    }

    /// What each child lacks, given the relay's own offset and that of the image it could send: an
    /// image that the child has already would only be sent again and again.
    pub fn deliver(&mut self, now_ms: u64, own: u64, image: u64) -> Vec<Delivery> {
        self.children.retain(|_, subscription| !subscription.is_expired(now_ms));
        let mut deliveries = Vec::new();
        for (to, subscription) in &mut self.children {
            if subscription.sent() >= own {
                continue;
            }
            match self.updates.frames_after(subscription.sent()) {
                Some(frames) => {
                    for entries in frames {
                        entries.iter().for_each(|entry| subscription.on_sent(now_ms, entry.offset));
                        deliveries.push(Delivery::Updates { to: *to, entries });
                    }
                }
                None if subscription.sent() < image => {
                    deliveries.push(Delivery::Image { to: *to });
                }
                None => {}
            }
        }
        deliveries
    }

    /// Bytes of the retained entries.
    pub fn retained_bytes(&self) -> usize {
        self.updates.retained_bytes()
    }

    /// The children's addresses, in their order.
    pub fn children(&self) -> Vec<SocketAddr> {
        self.children.keys().copied().collect()
    }
}
