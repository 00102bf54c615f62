//! The control loop: the one thread that owns the node's state machine.

use crate::command::Command;
use crate::shared::Shared;
use log::info;
use postbarrow_constants::consensus::TICK_MS;
use postbarrow_messages::Response;
use postbarrow_node::{DataNode, Effect, Input};
use postbarrow_transport::{Links, clock_ms};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender};
use std::time::Duration;

/// Owns the node's state machine: passes it each command from the queue as an input and executes
/// the effects that it returns.
pub struct ControlLoop {
    node: DataNode,
    links: Links,
    /// The channels on which other threads wait for responses, by request key.
    replies: HashMap<u64, SyncSender<Response>>,
    shared: Arc<Shared>,
    /// The deadline of [`Command::End`], in milliseconds of the boot-time clock, and the channel
    /// that is notified at the end; `None` before that command.
    pending_end: Option<(u64, Sender<()>)>,
}

impl ControlLoop {
    /// Returns the control loop of a node; [`ControlLoop::run`] starts it.
    pub fn new(node: DataNode, shared: Arc<Shared>) -> Self {
        let links = Links::new(node.own().address);
        ControlLoop { node, links, replies: HashMap::new(), shared, pending_end: None }
    }

    /// Runs until all senders of the queue are dropped, or until [`Command::End`] ends the loop.
    pub fn run(mut self, queue: Receiver<Command>) {
        let mut tick_ms = 0;
        loop {
            let now_ms = clock_ms();
            if now_ms >= tick_ms {
                tick_ms = now_ms + TICK_MS;
                self.tick(now_ms);
            }
            let wait_ms = tick_ms.saturating_sub(clock_ms()).max(1);
            match queue.recv_timeout(Duration::from_millis(wait_ms)) {
                Err(RecvTimeoutError::Disconnected) => return,
                Ok(command) => self.execute(command),
                Err(RecvTimeoutError::Timeout) => {}
            }
            if let Some((until_ms, done)) = &self.pending_end
                && (self.node.pending_request_count() == 0 || clock_ms() >= *until_ms)
            {
                let _ = done.send(());
                return;
            }
        }
    }

    fn tick(&mut self, now_ms: u64) {
        let (samples, observed_count) = self.shared.samples.drain();
        if observed_count > 0 {
            self.handle(now_ms, Input::Sampled { samples, observed: observed_count });
        }
        self.handle(now_ms, Input::Tick);
    }

    fn execute(&mut self, command: Command) {
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
            Command::Probed { instance, identified } => {
                self.handle(now_ms, Input::Probed { instance, identified })
            }
            Command::Seeds(seeds) => self.handle(now_ms, Input::Seeds(seeds)),
            Command::Stop => self.handle(now_ms, Input::Stop),
            Command::End { until_ms, done } => self.pending_end = Some((until_ms, done)),
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
                Effect::Publish { state, offset } => self.shared.publish(state, offset),
                Effect::Lease { until_ms } => self.shared.lease.set_until(until_ms),
                Effect::Log(text) => info!("node: {text}"),
            }
        }
    }
}
