use crate::{DataNode, Effect};
use postbarrow_constants::nodes::*;
use postbarrow_membership::{Delivery, UpdateEntry, parent};
use postbarrow_messages::{ImageFrame, Message};
use postbarrow_state::{Incarnation, State};
use postbarrow_transactions::{BatchOutcome, Tail, decode};
use std::net::SocketAddr;

impl DataNode {
    /// The parent in the tree, or the controller itself while the tree fails this node.
    fn news_from(&self, now_ms: u64) -> Option<SocketAddr> {
        let controller = self.lease.controller()?;
        if now_ms < self.direct_until_ms || !self.has_image || self.resync {
            return Some(controller);
        }
        let state = self.tail.image();
        let nodes: Vec<Incarnation> = state.nodes.keys().copied().collect();
        let up = parent(self.own.incarnation, &nodes).and_then(|up| state.nodes.get(&up));
        Some(up.map_or(controller, |node| node.address))
    }

    pub(crate) fn tail_tick(&mut self, now_ms: u64) {
        let behind = !self.has_image || self.published < self.lease.watermark();
        match (behind, self.behind_ms) {
            (false, _) => self.behind_ms = None,
            (true, None) => self.behind_ms = Some(now_ms),
            (true, Some(since_ms)) => {
                if now_ms > since_ms + RELAY_LAG_MS && now_ms >= self.direct_until_ms {
                    self.direct_until_ms = now_ms + DIRECT_TAIL_MS;
                    self.tail_due_ms = now_ms;
                    self.effects.push(Effect::Log("tails the controller directly".into()));
                }
            }
        }
        let from = self.news_from(now_ms);
        if from != self.tailed_from {
            self.tail_due_ms = now_ms;
        }
        if now_ms < self.tail_due_ms {
            return;
        }
        let Some(from) = from else { return };
        self.tailed_from = Some(from);
        self.tail_due_ms = now_ms + if behind { TAIL_RETRY_MS } else { TAIL_RENEW_MS };
        let after = if self.resync { 0 } else { self.tail.offset() };
        self.send(from, Message::Tail { after });
    }

    pub(crate) fn on_updates(&mut self, now_ms: u64, entries: Vec<UpdateEntry>) {
        for entry in entries {
            if entry.offset <= self.tail.offset() {
                continue;
            }
            if entry.prev != self.tail.offset() {
                self.tail_due_ms = self.tail_due_ms.min(now_ms + TAIL_RETRY_MS);
                return;
            }
            let seen = decode(&entry.bytes)
                .and_then(|lines| self.tail.apply(entry.offset, entry.bytes.len(), &lines));
            match seen {
                Ok(BatchOutcome::Pending) => self.relay.push(entry),
                Ok(_) => {
                    self.relay.push(entry);
                    self.publish();
                }
                Err(error) => {
                    self.effects.push(Effect::Log(format!("news: {error}; fetches an image")));
                    self.tail = Tail::new(0, State::default());
                    self.resync = true;
                    self.tail_due_ms = now_ms;
                    return;
                }
            }
        }
    }

    pub(crate) fn on_image(&mut self, now_ms: u64, frame: ImageFrame) {
        if frame.offset < self.published || (frame.offset <= self.tail.offset() && self.has_image) {
            return;
        }
        match rmp_serde::from_slice::<State>(&frame.state) {
            Ok(state) => {
                self.tail = Tail::new(frame.offset, state);
                self.resync = false;
                self.publish();
            }
            Err(error) => {
                self.effects.push(Effect::Log(format!("image: {error}")));
                self.tail_due_ms = now_ms + TAIL_RETRY_MS;
            }
        }
    }

    /// Never an older image than the last; only then may the hold of a newer grant count.
    fn publish(&mut self) {
        if self.has_image && self.tail.offset() < self.published {
            return;
        }
        self.has_image = true;
        self.resync = false;
        self.published = self.tail.offset();
        let (state, offset) = (self.tail.image().clone(), self.published);
        self.effects.push(Effect::Publish { state, offset });
        self.announce_lease();
    }

    pub(crate) fn relay_on(&mut self, now_ms: u64) {
        if !self.has_image || self.resync {
            return;
        }
        self.encoded.forget_before(self.published);
        for deliver in self.relay.deliver(now_ms, self.tail.offset(), self.published) {
            match deliver {
                Delivery::Updates { to, entries } => self.send(to, Message::Updates { entries }),
                Delivery::Image { to } => {
                    let offset = self.published;
                    let frame = self.encoded.frame(offset, || self.tail.image().as_ref().clone());
                    self.send(to, Message::Image(frame));
                    self.relay.on_image_sent(now_ms, to, offset);
                }
            }
        }
    }
}
