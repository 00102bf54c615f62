//! Start, end, inputs and disk of control machines.

use crate::disk::SimDisk;
use crate::event::{Event, ProcessId};
use crate::world::World;
use imbl::OrdMap;
use postbarrow_consensus::{Member, RecoveredState, Write};
use postbarrow_constants::consensus::DISK_FULL_PAUSE_MS;
use postbarrow_controller::{ControlNode, Effect, Input};
use postbarrow_storage::{Opened, Storage, WriteError, is_full, open};
use std::io;

/// A process that ended starts again after this time.
const AGAIN_US: u64 = 500_000;

/// Small, so that every run writes snapshots and a late member needs one.
const LOG_BOUND_BYTES: u64 = 48 * 1024;

/// The storage on this disk and what it recovers; a new one with this id if the disk has no intact
/// one.
fn open_or_create(disk: SimDisk, id: u64) -> io::Result<(Storage<SimDisk>, RecoveredState)> {
    open(disk).and_then(|opened| match opened {
        Opened::Recovered { storage, recovered } => Ok((storage, recovered)),
        Opened::Empty(disk) | Opened::Damaged { disk, .. } => {
            Storage::create(disk, id).map(|storage| (storage, RecoveredState::default()))
        }
    })
}

impl World {
    /// Starts the process of control machine `at` from what its disk holds.
    pub fn start_control(&mut self, at: usize) {
        let seed = self.random.draw();
        let id = self.random.draw().max(1);
        let now_ms = self.local_ms(ProcessId::Control(at));
        let mut seeds = self.seeds.clone();
        if !seeds.contains(&self.control[at].address) && !self.control_seeds_only {
            seeds[2] = self.data[0].address;
        }
        let machine = &mut self.control[at];
        if machine.observer {
            machine.disk = SimDisk::default();
        }
        if machine.disk.is_stalled() {
            return self.start_later(at);
        }
        let (storage, recovered) = match open_or_create(machine.disk.clone(), id) {
            Ok(opened) => opened,
            Err(error) if is_full(&error) => return self.start_later(at),
            Err(error) => return self.disk_failed(at, &error),
        };
        let machine = &mut self.control[at];
        let own = Member { id: storage.id(), address: machine.address };
        machine.incarnation += 1;
        machine.storage = Some(storage);
        machine.writes.clear();
        machine.syncing = false;
        machine.in_storage = 0;
        machine.targets = OrdMap::new();
        let node = ControlNode::new(own, recovered, &seeds, seed, now_ms);
        let node = node.with_log_bound(LOG_BOUND_BYTES);
        let node = node.with_losses(self.losses).with_voter_dead(self.voter_dead_ms);
        machine.node = Some(if machine.observer { node.as_observer() } else { node });
        let incarnation = machine.incarnation;
        self.after(0, Event::Tick { process: ProcessId::Control(at), incarnation });
    }

    /// Ends the process; with `power`, unsynced writes are lost too, perhaps amid one of them.
    pub fn end_control(&mut self, at: usize, power: bool) {
        let fuse = self.random.below(4);
        self.end(at, power.then_some(fuse));
    }

    /// Ends the process by a loss of power after this many of the pending disk operations.
    pub fn end_with_fuse(&mut self, at: usize, fuse: u64) {
        self.end(at, Some(fuse));
    }

    fn end(&mut self, at: usize, fuse: Option<u64>) {
        let machine = &mut self.control[at];
        machine.node = None;
        machine.incarnation += 1;
        if let Some(mut storage) = machine.storage.take()
            && let Some(fuse) = fuse
            && !machine.writes.is_empty()
        {
            machine.disk.set_fuse(fuse);
            let in_storage = std::mem::take(&mut machine.in_storage);
            let writes =
                machine.writes.drain(..).map(|(_, write)| write).skip(in_storage).collect();
            let _torn = storage.apply(writes);
        }
        if fuse.is_some() {
            machine.disk.lose_power(&mut self.random);
        }
    }

    /// Feeds one input to control node `at`, carries out its effects and runs the checks.
    pub fn control_input(&mut self, at: usize, input: Input) {
        let now_ms = self.local_ms(ProcessId::Control(at));
        let machine = &mut self.control[at];
        let Some(node) = &mut machine.node else { return };
        let effects = node.handle(now_ms, input);
        let (from, incarnation) = (machine.address, machine.incarnation);
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.transmit(from, to, message),
                Effect::Write { sequence, write } => {
                    let machine = &mut self.control[at];
                    if machine.incarnation != incarnation {
                        return;
                    }
                    machine.writes.push_back((sequence, write));
                    if !machine.syncing {
                        machine.syncing = true;
                        let took_us = match self.slow_disks {
                            true => self.random.between(10_000, 50_000),
                            false => self.random.between(300, 4_000),
                        };
                        let took_us = self.sync_us(at, took_us);
                        self.after(took_us, Event::Synced { at, incarnation });
                    }
                    self.inject_at_step(at);
                }
                Effect::Fetch { number, cursor } => self.fetch(at, number, cursor),
                Effect::Encode(snap) => {
                    let (index, state) = (snap.index, snap.encode());
                    self.after(100_000, Event::Encoded { at, incarnation, index, state });
                }
                Effect::Log(text) => self.log_line(ProcessId::Control(at), &text),
            }
        }
        self.check_control(at);
    }

    /// As the program does: the start waits while the disk accepts nothing.
    fn start_later(&mut self, at: usize) {
        self.after(AGAIN_US, Event::Start(ProcessId::Control(at)));
    }

    /// As the program does: it ends, since nothing more can be acknowledged, and starts again.
    fn disk_failed(&mut self, at: usize, error: &io::Error) {
        self.log_line(ProcessId::Control(at), &format!("ends: {error}"));
        self.disk_failures += 1;
        self.end_control(at, false);
        self.start_later(at);
    }

    /// All pending writes share this sync. While the disk accepts nothing, it is tried again.
    pub fn disk_done(&mut self, at: usize) {
        let machine = &mut self.control[at];
        if machine.disk.is_stalled() {
            return self.retry_disk(at);
        }
        machine.syncing = false;
        let Some(last) = machine.writes.back().map(|(sequence, _)| *sequence) else { return };
        let writes: Vec<Write> = machine.writes.iter().map(|(_, write)| write.clone()).collect();
        let Some(storage) = &mut machine.storage else { return };
        let count = writes.len();
        match storage.apply(writes.into_iter().skip(machine.in_storage).collect()) {
            Ok(()) => {
                machine.writes.clear();
                machine.in_storage = 0;
                self.synced = (self.synced.0 + 1, self.synced.1 + count);
                self.inject_at_step(at);
                self.control_input(at, Input::Synced(last));
            }
            Err(WriteError::Full(_)) => {
                machine.in_storage = count;
                machine.syncing = true;
                self.retry_disk(at);
            }
            Err(WriteError::Failed(error)) => self.disk_failed(at, &error),
        }
    }

    fn retry_disk(&mut self, at: usize) {
        let incarnation = self.control[at].incarnation;
        self.after(DISK_FULL_PAUSE_MS * 1_000, Event::Synced { at, incarnation });
    }

    /// The index of the control machine that leads, if any does.
    pub fn leader(&self) -> Option<usize> {
        self.control
            .iter()
            .position(|machine| machine.node.as_ref().is_some_and(|node| node.is_leading()))
    }
}
