//! A small replicated state of one's own, outside the daemons: a sum that three members keep, on
//! postbarrow's log, disk and links. One thread owns each member and works through its queue.

use postbarrow_consensus::{
    Consensus, Effect, Entry, Input, Member, Payload, RecoveredState, Snapshot, Write,
};
use postbarrow_constants::consensus::TICK_MS;
use postbarrow_messages::{Envelope, Message};
use postbarrow_storage::{FolderDisk, Opened, Storage, open};
use postbarrow_transport::{Links, clock_ms, listen, random};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;

enum Command {
    Envelope(Envelope),
    Begin(Vec<Member>),
    Welcome(Member),
    Add {
        by: u64,
        reply: Sender<Option<u64>>,
    },
    /// The sum, if this member leads and holds.
    Read {
        reply: Sender<Option<u64>>,
    },
    End,
}

pub struct Sum {
    commands: Sender<Command>,
    pub member: Member,
    worker: Option<JoinHandle<()>>,
}

struct Owner {
    log: Consensus,
    storage: Storage<FolderDisk>,
    links: Links,
    own: Member,
    sum: u64,
    waits: VecDeque<(u64, Sender<Option<u64>>)>,
}

const ENTRIES_A_SLOT: u64 = 50;

impl Sum {
    pub fn start(folder: PathBuf, at: SocketAddr) -> io::Result<Sum> {
        let (storage, recovered) = match open(FolderDisk::new(folder)?)? {
            Opened::Recovered { storage, recovered } => (storage, recovered),
            Opened::Empty(disk) | Opened::Damaged { disk, .. } => {
                (Storage::create(disk, random())?, RecoveredState::default())
            }
        };
        let listener = TcpListener::bind(at)?;
        let member = Member { id: storage.id(), address: listener.local_addr()? };
        let (commands, queue) = channel();
        let hand = commands.clone();
        listen(listener, move |envelope| hand.send(Command::Envelope(envelope)).is_ok())?;
        let sum = recovered.snapshot.as_ref().map_or(0, |kept| read(kept));
        let log = Consensus::new(member.id, recovered, random(), clock_ms());
        let links = Links::new(member.address);
        let owner = Owner { log, storage, links, own: member, sum, waits: VecDeque::new() };
        let worker = thread::Builder::new().name("sum".into()).spawn(move || owner.run(&queue))?;
        Ok(Sum { commands, member, worker: Some(worker) })
    }

    /// The first members of a new log, told to each of them.
    pub fn begin(&self, members: Vec<Member>) {
        let _ = self.commands.send(Command::Begin(members));
    }

    /// A member that came back elsewhere, or a new one that is to learn.
    pub fn welcome(&self, member: Member) {
        let _ = self.commands.send(Command::Welcome(member));
    }

    /// The sum after this addition was committed; None if this member could not say so.
    pub fn add(&self, by: u64) -> Option<u64> {
        let (reply, told) = channel();
        self.commands.send(Command::Add { by, reply }).ok()?;
        told.recv_timeout(Duration::from_secs(5)).ok()?
    }

    pub fn read(&self) -> Option<u64> {
        let (reply, told) = channel();
        self.commands.send(Command::Read { reply }).ok()?;
        told.recv_timeout(Duration::from_secs(5)).ok()?
    }
}

impl Drop for Sum {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::End);
        if let Some(worker) = self.worker.take() {
            let _ = worker.join();
        }
    }
}

impl Owner {
    fn run(mut self, queue: &Receiver<Command>) {
        let mut tick_ms = 0;
        loop {
            if clock_ms() >= tick_ms {
                tick_ms = clock_ms() + TICK_MS;
                self.handle(Input::Tick);
            }
            let wait_ms = tick_ms.saturating_sub(clock_ms()).max(1);
            match queue.recv_timeout(Duration::from_millis(wait_ms)) {
                Ok(Command::Envelope(Envelope { message, .. })) => self.receive(message),
                Ok(Command::Begin(members)) => self.handle(Input::Bootstrap(members)),
                Ok(Command::Welcome(member)) => self.handle(Input::AddLearner(member)),
                Ok(Command::Add { by, reply }) if self.log.is_ready() => {
                    self.waits.push_back((self.log.last_index() + 1, reply));
                    self.handle(Input::Propose(vec![by.to_le_bytes().to_vec()]));
                }
                Ok(Command::Read { reply }) => {
                    let holds = self.log.is_ready() && clock_ms() < self.log.lease_until();
                    let _ = reply.send(holds.then_some(self.sum));
                }
                Ok(Command::Add { reply, .. }) => drop(reply.send(None)),
                Ok(Command::End) => return,
                Err(_) => {}
            }
        }
    }

    fn receive(&mut self, message: Message) {
        if let Message::Consensus { from, to, message } = message
            && to == self.own.id
        {
            self.handle(Input::Receive { from, message });
        }
    }

    fn handle(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.log.handle(clock_ms(), input) {
                match effect {
                    Effect::Send { to, message } => {
                        let message = Message::Consensus { from: self.own, to: to.id, message };
                        self.links.send(to.address, message);
                    }
                    Effect::Write { sequence, write } => {
                        self.write(write);
                        inputs.push_back(Input::Synced(sequence));
                    }
                    Effect::Commit(entries) => inputs.extend(self.commit(&entries)),
                    Effect::Restore(kept) => self.sum = read(&kept),
                    Effect::Role(_) => self.waits.clear(),
                    Effect::LeadershipReceived { .. } => {}
                }
            }
        }
    }

    /// Who can't write can't promise anything.
    fn write(&mut self, write: Write) {
        self.storage.apply(vec![write]).expect("the disk takes every write");
    }

    fn commit(&mut self, entries: &[Entry]) -> Option<Input> {
        let mut compact = None;
        for entry in entries {
            if let Payload::Batch(bytes) = &entry.payload {
                self.sum += number(bytes);
            }
            while self.waits.front().is_some_and(|(index, _)| *index <= entry.index) {
                if let Some((_, reply)) = self.waits.pop_front() {
                    let _ = reply.send(Some(self.sum));
                }
            }
            if entry.index % ENTRIES_A_SLOT == 0 {
                let state = self.sum.to_le_bytes().to_vec();
                compact = Some(Input::Compact { index: entry.index, state });
            }
        }
        compact
    }
}

fn number(bytes: &[u8]) -> u64 {
    bytes.try_into().map_or(0, u64::from_le_bytes)
}

fn read(kept: &Snapshot) -> u64 {
    number(&kept.state)
}
