//! Selects the messages to data nodes: the log's routing updates, or an image for a node that is
//! too far behind.

use postbarrow_membership::{Delivery, Relay, UpdateEntry};
use postbarrow_messages::{ImageEncoder, Message};
use postbarrow_state::{Record, State};
use postbarrow_transactions::{BatchRecord, encode};
use std::net::SocketAddr;

/// The newest routing updates, their subscribers, and the encoder of the images sent to them.
#[derive(Default)]
pub(crate) struct RoutingUpdates {
    /// Log offset of the last routing update.
    update_offset: u64,
    /// Log offset of the image: that of the last update outside an open transaction.
    image_offset: u64,
    relay: Relay,
    image_encoder: ImageEncoder,
}

impl RoutingUpdates {
    pub fn update_offset(&self) -> u64 {
        self.update_offset
    }

    pub fn image_offset(&self) -> u64 {
        self.image_offset
    }

    /// Returns the number of images that were encoded so far.
    pub fn images_encoded(&self) -> u64 {
        self.image_encoder.encoded_count()
    }

    /// Restarts from a snapshot whose last update has this log offset.
    pub fn restore(&mut self, update_offset: u64) {
        self.update_offset = update_offset;
        self.image_offset = update_offset;
        self.clear();
    }

    /// Drops the retained updates and all subscriptions. Subscribers renew them with the next
    /// leader.
    pub fn clear(&mut self) {
        self.relay.clear();
    }

    /// Retains those records of a committed batch that data nodes need.
    pub fn on_batch(
        &mut self,
        offset: u64,
        records: Vec<BatchRecord<Record>>,
        is_in_transaction: bool,
    ) {
        let updates: Vec<BatchRecord<Record>> = records.into_iter().filter(is_update).collect();
        if updates.is_empty() {
            return;
        }
        let entry =
            UpdateEntry { previous_offset: self.update_offset, offset, bytes: encode(&updates) };
        self.relay.push(entry);
        self.update_offset = offset;
        if !is_in_transaction {
            self.image_offset = offset;
        }
    }

    pub fn on_tail(&mut self, now_ms: u64, from: SocketAddr, after: u64) {
        self.relay.on_tail(now_ms, from, after);
    }

    /// Returns the messages that bring the subscribers up to date with the committed state, each
    /// with the subscriber's address.
    pub fn messages(&mut self, now_ms: u64, committed: &State) -> Vec<(SocketAddr, Message)> {
        let offset = self.image_offset;
        self.image_encoder.drop_older_than(offset);
        let deliveries = self.relay.deliver(now_ms, self.update_offset, offset);
        let mut messages = Vec::with_capacity(deliveries.len());
        for delivery in deliveries {
            match delivery {
                Delivery::Updates { to, entries } => {
                    messages.push((to, Message::Updates { entries }));
                }
                Delivery::Image { to } => {
                    let frame = self.image_encoder.frame(offset, || committed.routing_view());
                    messages.push((to, Message::Image(frame)));
                    self.relay.on_image_sent(now_ms, to, offset);
                }
            }
        }
        messages
    }
}

/// Returns whether data nodes need the record: a routing update, or a marker of a transaction.
fn is_update(record: &BatchRecord<Record>) -> bool {
    match record {
        BatchRecord::Data(record) => record.is_routing_update(),
        BatchRecord::Begin { .. } | BatchRecord::End | BatchRecord::Abort { .. } => true,
    }
}
