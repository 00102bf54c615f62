//! The thread that owns a control node: it takes one command at a time and carries out its effects.

use crate::command::{Command, PageRequest};
use crate::disk_writer::DiskWriter;
use crate::graceful_shutdown::GracefulShutdown;
use log::{error, info, warn};
use postbarrow_constants::consensus::TICK_MS;
use postbarrow_controller::{Contact, ControlNode, Effect, Input, PendingSnapshot};
use postbarrow_controller_client::{ControllerClient, Effect as ClientEffect};
use postbarrow_messages::{Envelope, Message, Response};
use postbarrow_transport::{Links, clock_ms};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender};
use std::thread;
use std::time::Duration;

/// The status with which a process ends whose disk failed.
const DISK_FAILED_STATUS: i32 = 3;

/// The only owner of the control node.
pub struct ControlLoop {
    node: ControlNode,
    own: SocketAddr,
    links: Links,
    /// Messages of this process to itself, which take no link.
    local: VecDeque<Envelope>,
    controller_client: ControllerClient,
    /// Where responses go, by the key of the request.
    replies: HashMap<u64, SyncSender<Response>>,
    disk: DiskWriter,
    pages: Sender<PageRequest>,
    /// For the threads that encode snapshots.
    commands: Sender<Command>,
    /// Requests of this process's clients that have no response yet.
    pending_requests: Arc<AtomicUsize>,
    /// Set once the process was requested to stop, with whom to notify when it may.
    shutdown: Option<(GracefulShutdown, Sender<()>)>,
}

/// What a control loop works with, besides its node.
pub struct Connections {
    /// The address that other processes know.
    pub own: SocketAddr,
    /// The disk's queue.
    pub disk: DiskWriter,
    /// The queue of the endpoint list's fetchers.
    pub pages: Sender<PageRequest>,
    /// The loop's own queue, for threads that it starts.
    pub commands: Sender<Command>,
    /// Requests of this process's clients that have no response yet.
    pub pending_requests: Arc<AtomicUsize>,
}

impl ControlLoop {
    /// A loop that was not run yet.
    pub fn new(node: ControlNode, connections: Connections) -> Self {
        let Connections { own, disk, pages, commands, pending_requests } = connections;
        ControlLoop {
            node,
            own,
            links: Links::new(own),
            local: VecDeque::new(),
            controller_client: ControllerClient::default(),
            replies: HashMap::new(),
            disk,
            pages,
            commands,
            pending_requests,
            shutdown: None,
        }
    }

    /// Runs until the process may end or every sender of the queue is gone. The disk's queue is
    /// written before the end is notified.
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
                Ok(command) => self.execute(command),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Some(envelope) = self.local.pop_front() {
                self.receive(envelope);
            }
            if let Some(ended) = self.take_ended(clock_ms()) {
                drop(self.disk);
                let _ = ended.send(());
                return;
            }
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.handle(now_ms, Input::Tick);
        let log = self.node.consensus();
        let members: Vec<SocketAddr> = log.members().iter().map(|member| member.address).collect();
        let members = if members.is_empty() { self.node.introduced() } else { members };
        let leader = log.leader().map(|member| member.address);
        match self.node.contact(now_ms) {
            Contact::Outside => self.controller_client.on_members(now_ms, leader, &members),
            Contact::Leader(leader) => {
                self.controller_client.on_members(now_ms, Some(leader), &members)
            }
            Contact::Silent { since_ms } => self.controller_client.on_leader_lost(since_ms),
        }
        let effects = self.controller_client.tick(now_ms);
        self.carry_out(effects);
    }

    fn execute(&mut self, command: Command) {
        let now_ms = clock_ms();
        match command {
            Command::Envelope(envelope) => self.receive(envelope),
            Command::Synced(sequence) => self.handle(now_ms, Input::Synced(sequence)),
            Command::DiskFailed(error) => {
                error!("disk: write failed, the process ends error={error}");
                std::process::exit(DISK_FAILED_STATUS);
            }
            Command::Page(page) => self.handle(now_ms, Input::Page(page)),
            Command::Encoded { index, state } => {
                self.handle(now_ms, Input::Encoded { index, state })
            }
            Command::Request { key, request, wait_ms, reply } => {
                self.replies.insert(key, reply);
                let effects = self.controller_client.send_request(now_ms, key, request, wait_ms);
                self.carry_out(effects);
            }
            Command::Withdraw { key } => {
                self.replies.remove(&key);
                self.controller_client.withdraw(key);
            }
            Command::Seeds(seeds) => self.handle(now_ms, Input::Seeds(seeds)),
            Command::Stop(ended) => {
                self.shutdown = Some((GracefulShutdown::new(now_ms), ended));
                self.handle(now_ms, Input::Stop);
            }
        }
    }

    /// Whom to notify that this process may end, once it may.
    fn take_ended(&mut self, now_ms: u64) -> Option<Sender<()>> {
        let (shutdown, _) = self.shutdown.as_mut()?;
        let pending_requests = self.pending_requests.load(SeqCst);
        if !shutdown.may_end(now_ms, pending_requests, self.node.has_departed()) {
            return None;
        }
        self.shutdown.take().map(|(_, ended)| ended)
    }

    fn receive(&mut self, envelope: Envelope) {
        let now_ms = clock_ms();
        if let Message::Response { key, response } = envelope.message {
            let effects = self.controller_client.on_response(now_ms, key, response);
            self.carry_out(effects);
        } else {
            self.handle(now_ms, Input::Receive(envelope));
        }
    }

    fn handle(&mut self, now_ms: u64, input: Input) {
        for effect in self.node.handle(now_ms, input) {
            match effect {
                Effect::Send { to, message } => self.send(to, message),
                Effect::Write { sequence, write } => self.disk.write(sequence, write),
                Effect::Fetch { number, cursor } => {
                    let _ = self.pages.send(PageRequest { number, cursor });
                }
                Effect::Encode(snapshot) => self.encode(snapshot),
                Effect::Log(text) => info!("control: {text}"),
            }
        }
    }

    /// Encodes a snapshot on a thread of its own, since a large one would hold up heartbeats.
    fn encode(&self, snapshot: PendingSnapshot) {
        let commands = self.commands.clone();
        let spawned = thread::Builder::new().name("snapshot".into()).spawn(move || {
            let (index, state) = (snapshot.index, snapshot.encode());
            let _ = commands.send(Command::Encoded { index, state });
        });
        if let Err(error) = spawned {
            warn!("control: snapshot thread failed to start error={error}");
        }
    }

    fn carry_out(&mut self, effects: Vec<ClientEffect>) {
        for effect in effects {
            match effect {
                ClientEffect::Send { to, message } => self.send(to, message),
                ClientEffect::Answer { key, response } => {
                    if let Some(reply) = self.replies.remove(&key) {
                        let _ = reply.try_send(response);
                    }
                }
            }
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        if to == self.own {
            self.local.push_back(Envelope { from: self.own, message });
        } else {
            self.links.send(to, message);
        }
    }
}
