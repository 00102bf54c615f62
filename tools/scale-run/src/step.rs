use crate::world::{Body, Event, TICK_US, World};
use postbarrow_controller::{Effect, Fetched, Input, ListPage, PageResult};
use postbarrow_messages::{Envelope, Message, read_frame, to_frame};
use postbarrow_node::{Effect as NodeEffect, Input as NodeInput};
use std::net::SocketAddr;
use std::time::Instant;

const PAGE: usize = 50;
const PAGE_US: u64 = 20_000;
const ENCODE_US: u64 = 50_000;

impl World {
    pub(crate) fn step(&mut self, at: usize, life: u64, event: Event) {
        let now_ms = self.now_ms();
        let start = Instant::now();
        let mut body = std::mem::replace(&mut self.processes[at].body, Body::Down);
        if matches!(event, Event::Tick) {
            self.push(at, life, TICK_US, Event::Tick);
        }
        let received = |frame: &[u8]| read_frame(&mut &frame[..]).ok();
        match &mut body {
            Body::Control(node) => {
                let input = match event {
                    Event::Tick => Some(Input::Tick),
                    Event::Frame(frame) => received(&frame).map(Input::Receive),
                    Event::Synced(sequence) => Some(Input::Synced(sequence)),
                    Event::Encoded(index, state) => Some(Input::Encoded { index, state }),
                    Event::Page(number, page) => {
                        let rows = self.targets.chunks(PAGE).nth(page).unwrap_or(&[]).to_vec();
                        let more = (page + 1) * PAGE < self.targets.len();
                        let next = more.then(|| (page + 1).to_string());
                        let fetched = Fetched::Listed(ListPage { targets: rows, next });
                        Some(Input::Page(PageResult { number, fetched }))
                    }
                };
                let effects = input.map(|input| node.handle(now_ms, input)).unwrap_or_default();
                for effect in effects {
                    self.control_effect(at, life, effect);
                }
            }
            Body::Data(node) => {
                let input = match event {
                    Event::Tick => Some(NodeInput::Tick),
                    Event::Frame(frame) => received(&frame).map(NodeInput::Receive),
                    _ => None,
                };
                let effects = input.map(|input| node.handle(now_ms, input)).unwrap_or_default();
                for effect in effects {
                    self.node_effect(at, effect);
                }
            }
            Body::Down => {}
        }
        self.processes[at].body = body;
        self.processes[at].counts.work_ns += start.elapsed().as_nanos() as u64;
    }

    fn control_effect(&mut self, at: usize, life: u64, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(at, to, message),
            Effect::Write { sequence, .. } => {
                self.push(at, life, self.sync_us, Event::Synced(sequence))
            }
            Effect::Fetch { number, cursor } => {
                let page = cursor.and_then(|cursor| cursor.parse().ok()).unwrap_or(0);
                self.push(at, life, PAGE_US, Event::Page(number, page));
            }
            Effect::Encode(snap) => {
                let (index, state) = (snap.index, snap.encode());
                self.push(at, life, ENCODE_US, Event::Encoded(index, state));
            }
            Effect::Log(_) => {}
        }
    }

    fn node_effect(&mut self, at: usize, effect: NodeEffect) {
        match effect {
            NodeEffect::Send { to, message } => self.send(at, to, message),
            NodeEffect::Publish { state, .. } => {
                let version = state.plan.as_ref().map(|plan| plan.version.clone());
                if version != self.processes[at].version {
                    self.processes[at].version = version;
                    self.processes[at].published_us = self.now_us;
                }
            }
            NodeEffect::Lease { until_ms } => self.processes[at].lease_until_ms = until_ms,
            NodeEffect::Answer { .. } | NodeEffect::Log(_) => {}
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let side = |at: usize| self.cut.map(|zones| self.processes[at].zone < zones);
        side(one) != side(other)
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let frame = to_frame(&Envelope { from: self.processes[from].address, message });
        let Ok(frame) = frame else { return };
        let counts = &mut self.processes[from].counts;
        counts.sent += 1;
        counts.sent_bytes += frame.len() as u64;
        let Some(at) = self.at.get(&to).copied() else {
            if let Ok(Envelope { message: Message::Response { response, .. }, .. }) =
                read_frame(&mut &frame[..])
            {
                self.answers.push((self.now_us, response));
            }
            return;
        };
        if self.is_cut(from, at) {
            return;
        }
        let (one, other) = (self.processes[from].zone, self.processes[at].zone);
        let half = self.zones.div_ceil(2);
        let region = (one < half) != (other < half);
        let delay_us = if region {
            self.region_us
        } else if one == other {
            100
        } else {
            self.zone_us
        };
        let counts = &mut self.processes[at].counts;
        counts.got += 1;
        counts.got_bytes += frame.len() as u64;
        let life = self.processes[at].life;
        self.push(at, life, delay_us, Event::Frame(frame));
    }
}
