use crate::share::Shared;
use crate::upstream::Pools;
use log::info;
use postbarrow_constants::consensus::PULSE_MS;
use postbarrow_messages::{Ask, Envelope, Response};
use postbarrow_node::{DataNode, Effect, Input};
use postbarrow_routing::Table;
use postbarrow_state::Name;
use postbarrow_transport::{Links, Slab, now_ms};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::*;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender};
use std::time::Duration;

pub enum Command {
    Envelope(Envelope),
    Ask {
        ask: Ask,
        waitMs: u64,
        reply: Option<SyncSender<Response>>,
    },
    Probed {
        instance: Name,
        sound: bool,
    },
    Seeds(Vec<SocketAddr>),
    Stop,
    /// Ends once the controller has taken every settlement, or at this time.
    End {
        untilMs: u64,
        done: Sender<()>,
    },
}

/// The one owner of the node's tables: works through its queue, carries out effects.
pub struct Core {
    node: DataNode,
    links: Links,
    asks: Slab<Option<SyncSender<Response>>>,
    shared: Arc<Shared>,
    ending: Option<(u64, Sender<()>)>,
}

impl Core {
    pub fn new(node: DataNode, shared: Arc<Shared>) -> Self {
        let links = Links::new(node.own().address);
        Core { node, links, asks: Slab::default(), shared, ending: None }
    }

    pub fn run(mut self, queue: Receiver<Command>) {
        let mut pulseMs = 0;
        loop {
            let nowMs = now_ms();
            if nowMs >= pulseMs {
                pulseMs = nowMs + PULSE_MS;
                let (samples, seen) = self.shared.seen();
                if seen > 0 {
                    self.handle(nowMs, Input::Saw { samples, seen });
                }
                self.handle(nowMs, Input::Pulse);
            }
            let waitMs = pulseMs.saturating_sub(now_ms()).max(1);
            match queue.recv_timeout(Duration::from_millis(waitMs)) {
                Err(RecvTimeoutError::Disconnected) => return,
                Ok(command) => self.work(command),
                Err(RecvTimeoutError::Timeout) => {}
            }
            if let Some((untilMs, done)) = &self.ending
                && (self.node.open_asks() == 0 || now_ms() >= *untilMs)
            {
                let _ = done.send(());
                return;
            }
        }
    }

    fn work(&mut self, command: Command) {
        let nowMs = now_ms();
        match command {
            Command::Envelope(envelope) => self.handle(nowMs, Input::Receive(envelope)),
            Command::Ask { ask, waitMs, reply } => {
                let key = self.asks.insert(reply);
                self.handle(nowMs, Input::Ask { key, ask, waitMs });
            }
            Command::Probed { instance, sound } => {
                self.handle(nowMs, Input::Probed { instance, sound })
            }
            Command::Seeds(seeds) => self.handle(nowMs, Input::Seeds(seeds)),
            Command::Stop => self.handle(nowMs, Input::Stop),
            Command::End { untilMs, done } => self.ending = Some((untilMs, done)),
        }
    }

    fn handle(&mut self, nowMs: u64, input: Input) {
        for effect in self.node.handle(nowMs, input) {
            match effect {
                Effect::Send { to, message } => self.links.send(to, message),
                Effect::Answer { key, response } => {
                    if let Some(Some(reply)) = self.asks.take(key) {
                        let _ = reply.try_send(response);
                    }
                }
                Effect::Publish { state, offset } => {
                    let old = self.shared.table.load();
                    let table = Table::new(state, offset, &old);
                    let pools = Pools::carry(&self.shared.pools.load(), &table);
                    self.shared.pools.store(Arc::new(pools));
                    self.shared.table.store(Arc::new(table));
                }
                Effect::Hold { untilMs } => self.shared.holdUntilMs.store(untilMs, Release),
                Effect::Say(text) => info!("node: {text}"),
            }
        }
    }
}
