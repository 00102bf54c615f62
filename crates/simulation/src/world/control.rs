//! Starts, ends, inputs and disk operations of control machines.

use crate::disk::SimDisk;
use crate::event::{Event, ProcessId};
use crate::world::World;
use imbl::OrdMap;
use postbarrow_consensus::{Member, RecoveredState, Write};
use postbarrow_constants::consensus::DISK_FULL_PAUSE_MS;
use postbarrow_controller::{ControlNode, Effect, Input};
use postbarrow_storage::{OpenResult, Storage, WriteError, is_out_of_space, open};
use std::io;

/// Time after which a process whose disk failed or accepts no writes starts again, in microseconds.
const RESTART_DELAY_US: u64 = 500_000;

/// Size of the log after which a node takes a snapshot, in bytes; small, so that every run writes
/// snapshots and a member that joins late needs one.
const LOG_BOUND_BYTES: u64 = 48 * 1024;

/// Opens the storage on a disk and returns it with the recovered state; creates a new one with this
/// id if the disk has no intact storage.
fn open_or_create(disk: SimDisk, id: u64) -> io::Result<(Storage<SimDisk>, RecoveredState)> {
    open(disk).and_then(|opened| match opened {
        OpenResult::Recovered { storage, recovered } => Ok((storage, recovered)),
        OpenResult::Empty(disk) | OpenResult::Damaged { disk, .. } => {
            Storage::create(disk, id).map(|storage| (storage, RecoveredState::default()))
        }
    })
}

impl World {
    /// Starts the process of control machine `at` with the state that its disk holds, or later if
    /// the disk is full or stalled.
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
            return self.schedule_start(at);
        }
        let (storage, recovered) = match open_or_create(machine.disk.clone(), id) {
            Ok(opened) => opened,
            Err(error) if is_out_of_space(&error) => return self.schedule_start(at),
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
        let node = node.with_tolerated_losses(self.losses).with_voter_dead_ms(self.voter_dead_ms);
        machine.node = Some(if machine.observer { node.as_observer() } else { node });
        let incarnation = machine.incarnation;
        self.schedule(0, Event::Tick { process: ProcessId::Control(at), incarnation });
    }

    /// Ends the process of control machine `at`. With `power` its machine loses power: up to three
    /// disk operations of the pending writes are still carried out, and anything unsynced may be
    /// lost, perhaps a part of one write.
    pub fn end_control(&mut self, at: usize, power: bool) {
        let operations = self.random.below(4);
        self.end(at, power.then_some(operations));
    }

    /// Ends the process of control machine `at` by a power loss after this many disk operations of
    /// the pending writes.
    pub fn end_by_power_loss(&mut self, at: usize, operations: u64) {
        self.end(at, Some(operations));
    }

    /// Ends the process of control machine `at`, by a power loss after this many disk operations
    /// unless `None`.
    fn end(&mut self, at: usize, power_loss_after: Option<u64>) {
        let machine = &mut self.control[at];
        machine.node = None;
        machine.incarnation += 1;
        if let Some(mut storage) = machine.storage.take()
            && let Some(operations) = power_loss_after
            && !machine.writes.is_empty()
        {
            machine.disk.set_power_loss_after(operations);
            let in_storage = std::mem::take(&mut machine.in_storage);
            let writes =
                machine.writes.drain(..).map(|(_, write)| write).skip(in_storage).collect();
            let _result = storage.apply(writes);
        }
        if power_loss_after.is_some() {
            machine.disk.lose_power(&mut self.random);
        }
    }

    /// Passes one input to control node `at`, carries out its effects and runs the checks.
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
                        self.schedule(took_us, Event::Synced { at, incarnation });
                    }
                    self.inject_at_step(at);
                }
                Effect::Fetch { number, cursor } => self.fetch(at, number, cursor),
                Effect::Encode(snapshot) => {
                    let (index, state) = (snapshot.index, snapshot.encode());
                    self.schedule(100_000, Event::Encoded { at, incarnation, index, state });
                }
                Effect::Log(text) => self.log_line(ProcessId::Control(at), &text),
            }
        }
        self.check_control(at);
    }

    /// Schedules a start of control machine `at`, which waits while its disk accepts no writes, as
    /// the control plane's program does.
    fn schedule_start(&mut self, at: usize) {
        self.schedule(RESTART_DELAY_US, Event::Start(ProcessId::Control(at)));
    }

    /// Ends the process of control machine `at` after a disk failure and schedules its restart, as
    /// the control plane's program does: without its disk the process can acknowledge nothing more.
    fn disk_failed(&mut self, at: usize, error: &io::Error) {
        self.log_line(ProcessId::Control(at), &format!("ends: {error}"));
        self.disk_failures += 1;
        self.end_control(at, false);
        self.schedule_start(at);
    }

    /// Carries out all pending writes of control machine `at` in one sync, and schedules another
    /// try while the disk is full or stalled.
    pub fn complete_sync(&mut self, at: usize) {
        let machine = &mut self.control[at];
        if machine.disk.is_stalled() {
            return self.schedule_disk_retry(at);
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
                self.schedule_disk_retry(at);
            }
            Err(WriteError::Failed(error)) => self.disk_failed(at, &error),
        }
    }

    /// Schedules another try of the pending writes of control machine `at`.
    fn schedule_disk_retry(&mut self, at: usize) {
        let incarnation = self.control[at].incarnation;
        self.schedule(DISK_FULL_PAUSE_MS * 1_000, Event::Synced { at, incarnation });
    }

    /// Returns the index of the control machine whose node leads; the first one if several do,
    /// `None` if none does.
    pub fn leader(&self) -> Option<usize> {
        self.control
            .iter()
            .position(|machine| machine.node.as_ref().is_some_and(|node| node.is_leading()))
    }
}
