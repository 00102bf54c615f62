//! A small replicated state machine outside the daemons: a sum that three members replicate with
//! postbarrow's consensus, storage and transport. Each member's state is owned by one thread, which
//! executes the commands in the member's queue.

#![deny(missing_docs)]

use postbarrow_consensus::{
    Consensus, Effect, Entry, Input, Member, Payload, RecoveredState, Snapshot, Write,
};
use postbarrow_constants::consensus::TICK_MS;
use postbarrow_messages::{Envelope, Message};
use postbarrow_storage::{FolderDisk, OpenResult, Storage, open};
use postbarrow_transport::{Links, clock_ms, listen, random};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Number of entries after which the log is compacted into a snapshot.
const ENTRIES_PER_SNAPSHOT: u64 = 50;
/// How long a caller waits for its member's reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// A command in the queue of a member's thread.
enum Command {
    Envelope(Envelope),
    Bootstrap(Vec<Member>),
    AddLearner(Member),
    Add {
        amount: u64,
        reply: Sender<Option<u64>>,
    },
    /// Replies with the sum if this member leads and its lease has not expired.
    Read {
        reply: Sender<Option<u64>>,
    },
    Stop,
}

/// One member of the cluster that replicates the sum; it stops when dropped.
pub struct Sum {
    /// The member's identity, as its peers know it.
    pub member: Member,
    commands: Sender<Command>,
    thread_handle: Option<JoinHandle<()>>,
}

/// A caller of [`Sum::add`] that waits until the entry at an index is committed.
struct PendingAddition {
    index: u64,
    reply: Sender<Option<u64>>,
}

/// The state of a member, owned by the member's thread.
struct MemberThread {
    consensus: Consensus,
    storage: Storage<FolderDisk>,
    links: Links,
    member: Member,
    sum: u64,
    pending: VecDeque<PendingAddition>,
}

impl Sum {
    /// Starts a member that stores its data in this folder and listens at this address. It recovers
    /// the data in the folder; an empty or damaged folder gets a new member.
    ///
    /// # Errors
    /// The folder can't be opened, the address can't be bound, or a thread can't be started.
    pub fn start(folder: PathBuf, address: SocketAddr) -> io::Result<Sum> {
        let (storage, recovered) = match open(FolderDisk::new(folder)?)? {
            OpenResult::Recovered { storage, recovered } => (storage, recovered),
            OpenResult::Empty(disk) | OpenResult::Damaged { disk, .. } => {
                (Storage::create(disk, random())?, RecoveredState::default())
            }
        };
        let listener = TcpListener::bind(address)?;
        let member = Member { id: storage.id(), address: listener.local_addr()? };
        let (commands, queue) = channel();
        let received = commands.clone();
        listen(listener, move |envelope| received.send(Command::Envelope(envelope)).is_ok())?;
        let sum = recovered.snapshot.as_ref().map_or(0, |snapshot| sum_of(snapshot));
        let consensus = Consensus::new(member.id, recovered, random(), clock_ms());
        let links = Links::new(member.address);
        let member_thread =
            MemberThread { consensus, storage, links, member, sum, pending: VecDeque::new() };
        let thread_handle =
            thread::Builder::new().name("sum".into()).spawn(move || member_thread.run(&queue))?;
        Ok(Sum { commands, member, thread_handle: Some(thread_handle) })
    }

    /// Bootstraps a new log with its first members; must be called on each of them.
    pub fn bootstrap(&self, members: Vec<Member>) {
        let _ = self.commands.send(Command::Bootstrap(members));
    }

    /// Adds a new member, or one that restarted at another address, as a learner.
    pub fn add_learner(&self, member: Member) {
        let _ = self.commands.send(Command::AddLearner(member));
    }

    /// Adds an amount; returns the sum after the addition was committed. `None` means that this
    /// member can't confirm the commit; the addition may be committed or not.
    pub fn add(&self, amount: u64) -> Option<u64> {
        self.request(|reply| Command::Add { amount, reply })
    }

    /// Returns the sum; `None` if this member does not lead, or its lease has expired.
    pub fn read(&self) -> Option<u64> {
        self.request(|reply| Command::Read { reply })
    }

    fn request(&self, command: impl FnOnce(Sender<Option<u64>>) -> Command) -> Option<u64> {
        let (reply, replies) = channel();
        self.commands.send(command(reply)).ok()?;
        replies.recv_timeout(REPLY_TIMEOUT).ok()?
    }
}

impl Drop for Sum {
    fn drop(&mut self) {
        let _ = self.commands.send(Command::Stop);
        if let Some(thread_handle) = self.thread_handle.take() {
            let _ = thread_handle.join();
        }
    }
}

impl MemberThread {
    fn run(mut self, queue: &Receiver<Command>) {
        let mut next_tick_ms = 0;
        loop {
            if clock_ms() >= next_tick_ms {
                next_tick_ms = clock_ms() + TICK_MS;
                self.handle(Input::Tick);
            }
            let wait_ms = next_tick_ms.saturating_sub(clock_ms()).max(1);
            match queue.recv_timeout(Duration::from_millis(wait_ms)) {
                Ok(Command::Envelope(Envelope { message, .. })) => self.receive(message),
                Ok(Command::Bootstrap(members)) => self.handle(Input::Bootstrap(members)),
                Ok(Command::AddLearner(member)) => self.handle(Input::AddLearner(member)),
                Ok(Command::Add { amount, reply }) if self.consensus.is_ready() => {
                    let index = self.consensus.last_index() + 1;
                    self.pending.push_back(PendingAddition { index, reply });
                    self.handle(Input::Propose(vec![amount.to_le_bytes().to_vec()]));
                }
                Ok(Command::Read { reply }) => {
                    let has_lease =
                        self.consensus.is_ready() && clock_ms() < self.consensus.lease_until_ms();
                    let _ = reply.send(has_lease.then_some(self.sum));
                }
                Ok(Command::Add { reply, .. }) => drop(reply.send(None)),
                Ok(Command::Stop) => return,
                Err(_) => {}
            }
        }
    }

    fn receive(&mut self, message: Message) {
        if let Message::Consensus { from, to, message } = message
            && to == self.member.id
        {
            self.handle(Input::Receive { from, message });
        }
    }

    /// Passes the input to the consensus and executes the effects that it returns, until they cause
    /// no further input.
    fn handle(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.consensus.handle(clock_ms(), input) {
                match effect {
                    Effect::Send { to, message } => {
                        let message = Message::Consensus { from: self.member, to: to.id, message };
                        self.links.send(to.address, message);
                    }
                    Effect::Write { sequence, write } => {
                        self.write(write);
                        inputs.push_back(Input::Synced(sequence));
                    }
                    Effect::Commit(entries) => inputs.extend(self.commit(&entries)),
                    Effect::Restore(snapshot) => self.sum = sum_of(&snapshot),
                    Effect::Role(_) => self.pending.clear(),
                    Effect::LeadershipReceived { .. } => {}
                }
            }
        }
    }

    /// Writes to the disk. A failure ends the thread, because the member must not confirm anything
    /// that it can't write.
    fn write(&mut self, write: Write) {
        self.storage.apply(vec![write]).expect("a write to the member's disk failed");
    }

    /// Applies committed entries and replies to their callers; returns the input for a compaction
    /// if one is due.
    fn commit(&mut self, entries: &[Entry]) -> Option<Input> {
        let mut compact = None;
        for entry in entries {
            if let Payload::Batch(bytes) = &entry.payload {
                self.sum += decode(bytes);
            }
            let is_committed = |pending: &mut PendingAddition| pending.index <= entry.index;
            while let Some(addition) = self.pending.pop_front_if(is_committed) {
                let _ = addition.reply.send(Some(self.sum));
            }
            if entry.index % ENTRIES_PER_SNAPSHOT == 0 {
                let state = self.sum.to_le_bytes().to_vec();
                compact = Some(Input::Compact { index: entry.index, state });
            }
        }
        compact
    }
}

/// Returns the number in an entry or a snapshot; 0 if it does not hold eight bytes.
fn decode(bytes: &[u8]) -> u64 {
    bytes.try_into().map_or(0, u64::from_le_bytes)
}

fn sum_of(snapshot: &Snapshot) -> u64 {
    decode(&snapshot.state)
}
