use crate::disk::DiskWriter;
use crate::stopping::GracefulShutdown;
use log::{info, warn};
use postbarrow_constants::consensus::TICK_MS;
use postbarrow_controller::{Contact, ControlNode, Effect, Input, PageResult, PendingSnapshot};
use postbarrow_controller_client::{ControllerClient, Effect as ClientEffect};
use postbarrow_messages::{Envelope, Message, Request, Response};
use postbarrow_transport::{Links, clock_ms};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender};
use std::thread;
use std::time::Duration;

pub enum Command {
    Envelope(Envelope),
    Synced(u64),
    DiskFailed(String),
    Page(PageResult),
    Encoded {
        index: u64,
        state: Vec<u8>,
    },
    Request {
        /// Drawn from the process's `QuestionKeys`.
        key: u64,
        request: Request,
        wait_ms: u64,
        reply: SyncSender<Response>,
    },
    /// Nobody waits for the answer of this request any more.
    Withdraw {
        key: u64,
    },
    Seeds(Vec<SocketAddr>),
    /// Hand over, give up the seat, and tell when this process may end.
    Stop(Sender<()>),
}

pub struct Fetch {
    pub number: u64,
    pub cursor: Option<String>,
}

/// The one owner of the control node: works through its queue, carries out effects.
pub struct ControlLoop {
    node: ControlNode,
    own: SocketAddr,
    links: Links,
    controller_client: ControllerClient,
    /// Who waits for an answer, by the key of the request.
    replies: HashMap<u64, SyncSender<Response>>,
    writes: DiskWriter,
    fetches: Sender<Fetch>,
    commands: Sender<Command>,
    local: VecDeque<Envelope>,
    /// Requests at this process's door that have no answer yet.
    pending_requests: Arc<AtomicUsize>,
    stopping: Option<(GracefulShutdown, Sender<()>)>,
}

impl ControlLoop {
    pub fn new(
        node: ControlNode,
        own: SocketAddr,
        writes: DiskWriter,
        fetches: Sender<Fetch>,
        commands: Sender<Command>,
        pending_requests: Arc<AtomicUsize>,
    ) -> Self {
        let links = Links::new(own);
        ControlLoop {
            node,
            own,
            links,
            controller_client: ControllerClient::default(),
            replies: HashMap::new(),
            writes,
            fetches,
            commands,
            local: VecDeque::new(),
            pending_requests,
            stopping: None,
        }
    }

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
            if let Some(done) = self.ended(clock_ms()) {
                drop(self.writes);
                let _ = done.send(());
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
                warn!("disk: {error}; this process ends, for it can't promise anything");
                std::process::exit(3);
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
            Command::Stop(done) => {
                self.stopping = Some((GracefulShutdown::new(now_ms), done));
                self.handle(now_ms, Input::Stop);
            }
        }
    }

    /// Whom to tell that this process may end, once it may.
    fn ended(&mut self, now_ms: u64) -> Option<Sender<()>> {
        let (stopping, _) = self.stopping.as_mut()?;
        let open_requests = self.pending_requests.load(SeqCst);
        if !stopping.may_end(now_ms, open_requests, self.node.has_departed()) {
            return None;
        }
        self.stopping.take().map(|(_, done)| done)
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
                Effect::Write { sequence, write } => self.writes.write(sequence, write),
                Effect::Fetch { number, cursor } => {
                    let _ = self.fetches.send(Fetch { number, cursor });
                }
                Effect::Encode(snap) => self.encode(snap),
                Effect::Log(text) => info!("control: {text}"),
            }
        }
    }

    fn encode(&self, snap: PendingSnapshot) {
        let commands = self.commands.clone();
        let spawned = thread::Builder::new().name("snapshot".into()).spawn(move || {
            let (index, state) = (snap.index, snap.encode());
            let _ = commands.send(Command::Encoded { index, state });
        });
        if let Err(error) = spawned {
            warn!("control: no thread for a snapshot: {error}");
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
