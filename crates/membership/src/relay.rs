//! The updates that a relay sends to its children, and the images for children that are too far
//! behind.

use crate::subscription::Subscription;
use crate::update_log::{UpdateEntry, UpdateLog};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The next frame for a child.
pub enum Delivery {
    /// The updates that follow the last one that was sent to the child.
    Updates {
        /// Address of the child.
        to: SocketAddr,
        /// The updates in the order of their offsets.
        entries: Vec<UpdateEntry>,
    },
    /// An image of the state, because the retained updates don't reach back to the child's offset.
    Image {
        /// Address of the child.
        to: SocketAddr,
    },
}

/// The updates that one relay, or the controller at the root of the tree, retains for its children,
/// and the children's subscriptions.
#[derive(Default)]
pub struct Relay {
    updates: UpdateLog,
    children: BTreeMap<SocketAddr, Subscription>,
}

impl Relay {
    /// Retains an entry. The oldest entries are removed beyond `UPDATES_RETAINED` in number and
    /// `UPDATES_RETAINED_BYTES` in size, and all earlier ones if this one doesn't continue them.
    pub fn push(&mut self, entry: UpdateEntry) {
        self.updates.push(entry);
    }

    /// Removes all entries and subscriptions.
    pub fn clear(&mut self) {
        self.updates.clear();
        self.children.clear();
    }

    /// Subscribes a child that reports the log offset that it has reached, or renews its
    /// subscription.
    pub fn on_tail(&mut self, now_ms: u64, child: SocketAddr, child_offset: u64) {
        match self.children.get_mut(&child) {
            Some(subscription) => subscription.renew(now_ms, child_offset),
            None => drop(self.children.insert(child, Subscription::new(now_ms, child_offset))),
        }
    }

    /// Records that the image of this offset was sent to a child.
    pub fn on_image_sent(&mut self, now_ms: u64, child: SocketAddr, offset: u64) {
        if let Some(subscription) = self.children.get_mut(&child) {
            subscription.on_sent(now_ms, offset);
        }
    }

    /// Drops expired subscriptions, then returns what each child lacks. Updates count as sent at
    /// once, an image when `on_image_sent` is called. `own_offset` is the relay's own position, and
    /// `image_offset` that of the image that it can send. An image that is no newer than the
    /// child's position is left out: it would not advance the child, and would be sent again and
    /// again.
    pub fn deliver(&mut self, now_ms: u64, own_offset: u64, image_offset: u64) -> Vec<Delivery> {
        self.children.retain(|_, subscription| !subscription.is_expired(now_ms));
        let mut deliveries = Vec::new();
        for (to, subscription) in &mut self.children {
            if subscription.sent_offset() >= own_offset {
                continue;
            }
            match self.updates.frames_after(subscription.sent_offset()) {
                Some(frames) => {
                    for entries in frames {
                        entries.iter().for_each(|entry| subscription.on_sent(now_ms, entry.offset));
                        deliveries.push(Delivery::Updates { to: *to, entries });
                    }
                }
                None if subscription.sent_offset() < image_offset => {
                    deliveries.push(Delivery::Image { to: *to });
                }
                None => {}
            }
        }
        deliveries
    }

    /// Returns the size of the retained entries in bytes.
    pub fn retained_bytes(&self) -> usize {
        self.updates.retained_bytes()
    }

    /// Returns the addresses of the subscribed children, in ascending order.
    pub fn children(&self) -> Vec<SocketAddr> {
        self.children.keys().copied().collect()
    }
}
