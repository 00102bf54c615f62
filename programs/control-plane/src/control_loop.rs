//! The thread that owns a control node: it executes one command at a time and carries out the
//! node's effects.

use crate::command::{Command, PageRequest};
use crate::disk_writer::DiskWriter;
use crate::graceful_shutdown::GracefulShutdown;
use crate::member_health::MemberHealth;
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

/// Exit status of a process whose disk failed.
const DISK_FAILED_STATUS: i32 = 3;

/// Owns the control node and carries out its effects.
pub struct ControlLoop {
    node: ControlNode,
    own_address: SocketAddr,
    links: Links,
    /// Messages that this process sends to itself, which need no network connection.
    messages_to_self: VecDeque<Envelope>,
    controller_client: ControllerClient,
    /// The channels on which clients' threads wait for responses, by request key.
    replies: HashMap<u64, SyncSender<Response>>,
    disk: DiskWriter,
    page_requests: Sender<PageRequest>,
    /// The loop's own queue, for the threads that encode snapshots.
    commands: Sender<Command>,
    /// The number of client requests that have no response yet.
    pending_requests: Arc<AtomicUsize>,
    health: Arc<MemberHealth>,
    /// The shutdown in progress, and the channel to notify when the process may exit. None until
    /// the process is requested to stop.
    shutdown: Option<(GracefulShutdown, Sender<()>)>,
}

/// The address, the queues and the counter that a control loop uses besides its node.
pub struct Connections {
    /// The address at which other postbarrow processes reach this one.
    pub own_address: SocketAddr,
    /// The queue of writes to the disk.
    pub disk: DiskWriter,
    /// The queue of the threads that fetch the endpoint list.
    pub page_requests: Sender<PageRequest>,
    /// The sender of the loop's own queue, for threads that the loop starts.
    pub commands: Sender<Command>,
    /// The number of client requests that have no response yet.
    pub pending_requests: Arc<AtomicUsize>,
    /// The health of the member, which the loop sets.
    pub health: Arc<MemberHealth>,
}

impl ControlLoop {
    /// Creates a loop, which [`ControlLoop::run`] starts.
    pub fn new(node: ControlNode, connections: Connections) -> Self {
        let Connections { own_address, disk, page_requests, commands, pending_requests, health } =
            connections;
        ControlLoop {
            node,
            own_address,
            links: Links::new(own_address),
            messages_to_self: VecDeque::new(),
            controller_client: ControllerClient::default(),
            replies: HashMap::new(),
            disk,
            page_requests,
            commands,
            pending_requests,
            health,
            shutdown: None,
        }
    }

    /// Runs until the process may exit or every sender of the queue is dropped. The disk's queue is
    /// written before the sender of [`Command::Stop`] is notified.
    pub fn run(mut self, queue: Receiver<Command>) {
        let mut next_tick_ms = 0;
        loop {
            let now_ms = clock_ms();
            if now_ms >= next_tick_ms {
                next_tick_ms = now_ms + TICK_MS;
                self.tick(now_ms);
            }
            let wait_ms = next_tick_ms.saturating_sub(clock_ms()).max(1);
            match queue.recv_timeout(Duration::from_millis(wait_ms)) {
                Ok(command) => self.execute(command),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while let Some(envelope) = self.messages_to_self.pop_front() {
                self.receive(envelope);
            }
            if let Some(exit_sender) = self.take_exit_sender(clock_ms()) {
                drop(self.disk);
                let _ = exit_sender.send(());
                return;
            }
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.handle(now_ms, Input::Tick);
        self.health.set(self.node.apply_failure());
        let consensus = self.node.consensus();
        let members: Vec<SocketAddr> =
            consensus.members().iter().map(|member| member.address).collect();
        let members =
            if members.is_empty() { self.node.known_control_addresses() } else { members };
        let leader = consensus.leader().map(|member| member.address);
        match self.node.contact(now_ms) {
            Contact::NotMember => self.controller_client.on_members(now_ms, leader, &members),
            Contact::Leader(leader) => {
                self.controller_client.on_members(now_ms, Some(leader), &members)
            }
            Contact::NoLeader { since_ms } => self.controller_client.on_leader_lost(since_ms),
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
                error!("disk: write failed, the process exits error={error}");
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
            Command::Stop(exit_sender) => {
                self.shutdown = Some((GracefulShutdown::new(now_ms), exit_sender));
                self.handle(now_ms, Input::Stop);
            }
        }
    }

    /// Returns the channel to notify that this process may exit, once it may.
    fn take_exit_sender(&mut self, now_ms: u64) -> Option<Sender<()>> {
        let (shutdown, _) = self.shutdown.as_mut()?;
        let pending_requests = self.pending_requests.load(SeqCst);
        if !shutdown.may_exit(now_ms, pending_requests, self.node.has_departed()) {
            return None;
        }
        self.shutdown.take().map(|(_, exit_sender)| exit_sender)
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
                    let _ = self.page_requests.send(PageRequest { number, cursor });
                }
                Effect::Encode(snapshot) => self.encode(snapshot),
                Effect::Log(text) => info!("control: {text}"),
            }
        }
    }

    /// Encodes a snapshot on a thread of its own, since a large one would delay heartbeats.
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
        if to == self.own_address {
            self.messages_to_self.push_back(Envelope { from: self.own_address, message });
        } else {
            self.links.send(to, message);
        }
    }
}
