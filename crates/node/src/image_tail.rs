//! The node's image: built from updates or a complete image, published, and relayed to children.
//!
//! Updates come from the parent in the relay tree. A node that stays behind the watermark of its
//! lease for [`RELAY_LAG_MS`] (250 ms) tails the controller for [`DIRECT_TAIL_MS`] (5 s) instead. A
//! node that needs a complete image also tails the controller.

use crate::Effect;
use postbarrow_constants::nodes::{DIRECT_TAIL_MS, RELAY_LAG_MS, TAIL_RENEW_MS, TAIL_RETRY_MS};
use postbarrow_membership::{Delivery, Relay, UpdateEntry, parent};
use postbarrow_messages::{ImageEncoder, ImageFrame, Message};
use postbarrow_state::{Incarnation, State};
use postbarrow_transactions::{BatchOutcome, Tail, decode};
use std::net::SocketAddr;
use std::sync::Arc;

/// The result of applying updates or an image.
pub(crate) enum ImageEvent {
    /// A newer image replaces the published one; `offset` is the log offset that it has reached.
    Published { state: Arc<State>, offset: u64 },
    /// A line for the process's log.
    Log(String),
}

/// The source of the updates, and when they are requested again.
#[derive(Default)]
struct Subscription {
    source: Option<SocketAddr>,
    due_ms: u64,
    /// The node tails the controller and not its parent until this time.
    direct_tail_until_ms: u64,
    behind_since_ms: Option<u64>,
}

/// The image of this node, with the source of its updates and the children it is relayed to.
pub(crate) struct ImageTail {
    own: Incarnation,
    tail: Tail<State>,
    published: u64,
    has_image: bool,
    /// Whether updates could not be applied, so that a complete image is needed.
    needs_image: bool,
    relay: Relay,
    image_encoder: ImageEncoder,
    subscription: Subscription,
}

impl ImageTail {
    pub fn new(own: Incarnation) -> Self {
        ImageTail {
            own,
            tail: Tail::new(0, State::default()),
            published: 0,
            has_image: false,
            needs_image: false,
            relay: Relay::default(),
            image_encoder: ImageEncoder::default(),
            subscription: Subscription::default(),
        }
    }

    /// Returns the newest image.
    pub fn image(&self) -> &Arc<State> {
        self.tail.image()
    }

    /// Returns the log offset that the published image has reached.
    pub fn published(&self) -> u64 {
        self.published
    }

    /// Makes the next tick request updates.
    pub fn request_updates_at_next_tick(&mut self, now_ms: u64) {
        self.subscription.due_ms = now_ms;
    }

    /// Handles the tail request of a child that has reached the log offset `after`; ignored until
    /// there is an image to relay.
    pub fn on_child_tail(&mut self, now_ms: u64, child: SocketAddr, after: u64) {
        if self.has_image {
            self.relay.on_tail(now_ms, child, after);
        }
    }

    /// Renews the subscription if that is due, and changes its source if the current one lags.
    pub fn tick(
        &mut self,
        now_ms: u64,
        controller: Option<SocketAddr>,
        watermark: u64,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let is_behind = !self.has_image || self.published < watermark;
        if self.leave_parent_if_behind(now_ms, is_behind) {
            effects.push(Effect::Log("relay bypassed reason=\"behind the watermark\"".into()));
        }
        let source = controller.map(|controller| self.source(now_ms, controller));
        let subscription = &mut self.subscription;
        if source != subscription.source {
            subscription.due_ms = now_ms;
        }
        if now_ms < subscription.due_ms {
            return effects;
        }
        let Some(to) = source else { return effects };
        subscription.source = source;
        subscription.due_ms = now_ms + if is_behind { TAIL_RETRY_MS } else { TAIL_RENEW_MS };
        let after = if self.needs_image { 0 } else { self.tail.offset() };
        effects.push(Effect::Send { to, message: Message::Tail { after } });
        effects
    }

    /// Makes the node tail the controller for `DIRECT_TAIL_MS` if it has been behind for longer
    /// than `RELAY_LAG_MS`; returns whether it leaves its parent now.
    fn leave_parent_if_behind(&mut self, now_ms: u64, is_behind: bool) -> bool {
        let subscription = &mut self.subscription;
        if !is_behind {
            subscription.behind_since_ms = None;
            return false;
        }
        let Some(since_ms) = subscription.behind_since_ms else {
            subscription.behind_since_ms = Some(now_ms);
            return false;
        };
        let must_leave =
            now_ms > since_ms + RELAY_LAG_MS && now_ms >= subscription.direct_tail_until_ms;
        if must_leave {
            subscription.direct_tail_until_ms = now_ms + DIRECT_TAIL_MS;
            subscription.due_ms = now_ms;
        }
        must_leave
    }

    /// Returns the parent in the relay tree, or the controller while the node tails it directly,
    /// needs a complete image or has no parent.
    fn source(&self, now_ms: u64, controller: SocketAddr) -> SocketAddr {
        let tails_controller = now_ms < self.subscription.direct_tail_until_ms;
        if tails_controller || !self.has_image || self.needs_image {
            return controller;
        }
        let state = self.tail.image();
        let nodes: Vec<Incarnation> = state.nodes.keys().copied().collect();
        let parent = parent(self.own, &nodes).and_then(|parent| state.nodes.get(&parent));
        parent.map_or(controller, |node| node.address)
    }

    /// Applies updates in order, up to the first gap or the first one that can't be applied.
    pub fn on_updates(&mut self, now_ms: u64, entries: Vec<UpdateEntry>) -> Vec<ImageEvent> {
        let mut events = Vec::new();
        for entry in entries {
            if entry.offset <= self.tail.offset() {
                continue;
            }
            if entry.previous_offset != self.tail.offset() {
                let due_ms = &mut self.subscription.due_ms;
                *due_ms = (*due_ms).min(now_ms + TAIL_RETRY_MS);
                break;
            }
            let outcome =
                decode(&entry.bytes).and_then(|records| self.tail.apply(entry.offset, &records));
            match outcome {
                Ok(BatchOutcome::Pending) => self.relay.push(entry),
                Ok(_) => {
                    self.relay.push(entry);
                    events.extend(self.publish());
                }
                Err(error) => {
                    events.push(ImageEvent::Log(format!(
                        "updates: not applied, requesting a complete image error={error}"
                    )));
                    self.tail = Tail::new(0, State::default());
                    self.needs_image = true;
                    self.subscription.due_ms = now_ms;
                    break;
                }
            }
        }
        events
    }

    /// Publishes a complete image, unless the node already has this image or a newer one.
    pub fn on_image(&mut self, now_ms: u64, frame: ImageFrame) -> Option<ImageEvent> {
        let is_current = frame.offset <= self.tail.offset() && self.has_image;
        if frame.offset < self.published || is_current {
            return None;
        }
        match rmp_serde::from_slice::<State>(&frame.state) {
            Ok(state) => {
                self.tail = Tail::new(frame.offset, state);
                self.needs_image = false;
                self.publish()
            }
            Err(error) => {
                self.subscription.due_ms = now_ms + TAIL_RETRY_MS;
                Some(ImageEvent::Log(format!("image: not decoded error={error}")))
            }
        }
    }

    /// Publishes the tail's image unless it is older than the last published one: a lease granted
    /// for the newer image must not cover an older one.
    fn publish(&mut self) -> Option<ImageEvent> {
        if self.has_image && self.tail.offset() < self.published {
            return None;
        }
        self.has_image = true;
        self.needs_image = false;
        self.published = self.tail.offset();
        Some(ImageEvent::Published { state: self.tail.image().clone(), offset: self.published })
    }

    /// Returns the messages that bring the children up to date.
    pub fn relay_to_children(&mut self, now_ms: u64) -> Vec<Effect> {
        if !self.has_image || self.needs_image {
            return Vec::new();
        }
        self.image_encoder.drop_older_than(self.published);
        let mut effects = Vec::new();
        for delivery in self.relay.deliver(now_ms, self.tail.offset(), self.published) {
            effects.push(match delivery {
                Delivery::Updates { to, entries } => {
                    Effect::Send { to, message: Message::Updates { entries } }
                }
                Delivery::Image { to } => {
                    let offset = self.published;
                    let frame =
                        self.image_encoder.frame(offset, || self.tail.image().as_ref().clone());
                    self.relay.on_image_sent(now_ms, to, offset);
                    Effect::Send { to, message: Message::Image(frame) }
                }
            });
        }
        effects
    }
}
