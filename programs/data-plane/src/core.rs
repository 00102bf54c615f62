use crate::pools::Pools;
use crate::share::Shared;
use log::info;
use postbarrow_constants::consensus::TICK_MS;
use postbarrow_messages::{Envelope, Request, Response};
use postbarrow_node::{DataNode, Effect, Input};
use postbarrow_routing::Table;
use postbarrow_state::Name;
use postbarrow_transport::{Links, clock_ms};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::*;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender};
use std::time::Duration;

pub enum Command {
    Envelope(Envelope),
    Request {
        /// Drawn from the process's `QuestionKeys`.
        key: u64,
        request: Request,
        wait_ms: u64,
        reply: Option<SyncSender<Response>>,
    },
    /// Nobody waits for the answer of this request any more.
    Withdraw {
        key: u64,
    },
    Probed {
        instance: Name,
        sound: bool,
    },
    Seeds(Vec<SocketAddr>),
    Stop,
    /// Ends once the controller has taken every settlement, or at this time.
    End {
        until_ms: u64,
        done: Sender<()>,
    },
}

/// The one owner of the node's tables: works through its queue, carries out effects.
pub struct Core {
    node: DataNode,
    links: Links,
    /// Who waits for an answer, by the key of the request.
    replies: HashMap<u64, SyncSender<Response>>,
    shared: Arc<Shared>,
    ending: Option<(u64, Sender<()>)>,
}

impl Core {
    pub fn new(node: DataNode, shared: Arc<Shared>) -> Self {
        let links = Links::new(node.own().address);
        Core { node, links, replies: HashMap::new(), shared, ending: None }
    }

    pub fn run(mut self, queue: Receiver<Command>) {
        let mut tick_ms = 0;
        loop {
            let now_ms = clock_ms();
            if now_ms >= tick_ms {
                tick_ms = now_ms + TICK_MS;
                let (samples, seen) = self.shared.seen();
                if seen > 0 {
                    self.handle(now_ms, Input::Sampled { samples, seen });
                }
                self.handle(now_ms, Input::Tick);
            }
            let wait_ms = tick_ms.saturating_sub(clock_ms()).max(1);
            match queue.recv_timeout(Duration::from_millis(wait_ms)) {
                Err(RecvTimeoutError::Disconnected) => return,
                Ok(command) => self.work(command),
                Err(RecvTimeoutError::Timeout) => {}
            }
            if let Some((until_ms, done)) = &self.ending
                && (self.node.pending_requests() == 0 || clock_ms() >= *until_ms)
            {
                let _ = done.send(());
                return;
            }
        }
    }

    fn work(&mut self, command: Command) {
        let now_ms = clock_ms();
        match command {
            Command::Envelope(envelope) => self.handle(now_ms, Input::Receive(envelope)),
            Command::Request { key, request, wait_ms, reply } => {
                if let Some(reply) = reply {
                    self.replies.insert(key, reply);
                }
                self.handle(now_ms, Input::Request { key, request, wait_ms });
            }
            Command::Withdraw { key } => {
                self.replies.remove(&key);
                self.handle(now_ms, Input::Withdraw { key });
            }
            Command::Probed { instance, sound } => {
                self.handle(now_ms, Input::Probed { instance, sound })
            }
            Command::Seeds(seeds) => self.handle(now_ms, Input::Seeds(seeds)),
            Command::Stop => self.handle(now_ms, Input::Stop),
            Command::End { until_ms, done } => self.ending = Some((until_ms, done)),
        }
    }

    fn handle(&mut self, now_ms: u64, input: Input) {
        for effect in self.node.handle(now_ms, input) {
            match effect {
                Effect::Send { to, message } => self.links.send(to, message),
                Effect::Answer { key, response } => {
                    if let Some(reply) = self.replies.remove(&key) {
                        let _ = reply.try_send(response);
                    }
                }
                Effect::Publish { state, offset } => {
                    let old = self.shared.table.load();
                    let same_targets = state.targets.ptr_eq(&old.state.targets);
                    let table = Table::new(state, offset, &old);
                    if !same_targets {
                        let pools = Pools::carry(&self.shared.pools.load(), &table);
                        self.shared.pools.store(Arc::new(pools));
                    }
                    self.shared.table.store(Arc::new(table));
                }
                Effect::Lease { until_ms } => self.shared.lease_until_ms.store(until_ms, Release),
                Effect::Log(text) => info!("node: {text}"),
            }
        }
    }
}
