//! Injection and healing of each kind of fault.

use crate::event::{Event, ProcessId};
use crate::fault::{Fault, Stage};
use crate::node::target::Target;
use crate::world::World;
use postbarrow_constants::consensus::VOTERS;
use postbarrow_messages::Response;
use postbarrow_node::{AttemptOutcome, Event as FlowEvent};
use std::collections::btree_map::Entry;
use std::net::IpAddr;

impl World {
    /// Injects one fault now. The machines are drawn before the fault is matched, so that these
    /// draws do not depend on the fault.
    pub fn inject(&mut self, fault: Fault) {
        let log_line = format!("{:.3} fault {fault:?}", self.now_us as f64 / 1e6);
        if let Some(log) = &mut self.log {
            log.push(log_line);
        }
        let leader = self.leader();
        let drawn_control = self.random.below(3) as usize;
        let control =
            if self.random.chance(600) { leader.unwrap_or(drawn_control) } else { drawn_control };
        let data = self.random.below(self.data.len() as u64) as usize;
        match fault {
            Fault::KillControl => self.end_control(control, false),
            Fault::PowerLoss => self.end_control(control, true),
            Fault::PowerLossOfAll => (0..3).for_each(|at| self.end_control(at, true)),
            Fault::KillAllControl => (0..3).for_each(|at| self.end_control(at, false)),
            Fault::EmptyDisk => self.empty_disk(control, false),
            Fault::EmptyDiskAtNewAddress => self.empty_disk(control, true),
            Fault::FreezeControl => self.freeze(ProcessId::Control(control)),
            Fault::CutControl => self.isolate(control),
            Fault::SplitControl => self.split_control(control),
            Fault::OneWayCut => self.cut_one_way(drawn_control),
            Fault::KillData => self.end_data(data),
            Fault::KillManyData => (0..self.data.len() / 2).for_each(|at| self.end_data(at)),
            Fault::FreezeData => self.freeze(ProcessId::Data(data)),
            Fault::CutData => self.partition_from_all(self.data[data].address.ip()),
            Fault::SlowLinks => self.network.slow_us = 30_000,
            Fault::LossyLinks => self.network.loss_per_mille = 100,
            Fault::KillTarget => self.change_random_target(|target| target.alive = false),
            Fault::FreezeTarget => self.change_random_target(|target| target.frozen = true),
            Fault::DrainTarget => self.drain_target(),
            Fault::ReuseAddress => self.reuse_address(),
            Fault::Disk(fault) => self.control[control].disk.set_fault(Some(fault)),
            Fault::SlowDisks => self.slow_disks = true,
            Fault::FreezeAt(stage) => self.freeze_before = Some(stage),
            Fault::List(fault) => self.inject_list_fault(fault),
            Fault::KillController => self.end_control(leader.unwrap_or(drawn_control), false),
            Fault::ReplaceControl(at) => self.empty_disk(at, true),
            Fault::RestartData(at) => {
                self.end_data(at);
                self.start_data(at);
            }
            Fault::RollingRestartControl(at) => self.rolling_restart_control(at),
            Fault::RollingRestartData(at) => self.rolling_restart_data(at),
            Fault::Heal => self.heal(),
        }
    }

    /// Returns the IP addresses of all control and data machines.
    fn addresses(&self) -> Vec<IpAddr> {
        let control = self.control.iter().map(|machine| machine.address.ip());
        control.chain(self.data.iter().map(|machine| machine.address.ip())).collect()
    }

    /// Freezes a process for 0.2 to 6 s.
    fn freeze(&mut self, process: ProcessId) {
        self.frozen.entry(process).or_default();
        let for_us = self.random.between(200_000, 6_000_000);
        self.schedule(for_us, Event::Wake(process));
    }

    /// Freezes a process for 0.5 to 5 s, unless it is frozen.
    pub fn freeze_during_release(&mut self, process: ProcessId) {
        if let Entry::Vacant(frozen) = self.frozen.entry(process) {
            frozen.insert(Vec::new());
            let for_us = self.random.between(500_000, 5_000_000);
            self.schedule(for_us, Event::Wake(process));
        }
    }

    /// Freezes the data node that is about to handle this event if `Fault::FreezeAt` is active and
    /// the event starts that stage of a one-time request.
    pub fn freeze_before(&mut self, event: &Event) {
        let Some(stage) = self.freeze_before else { return };
        let (data, request, is_at_stage) = match event {
            Event::Arrive { data, request, .. } => (*data, *request, stage == Stage::Arrived),
            Event::Send { data, request, .. } => (*data, *request, stage == Stage::Sending),
            Event::Resume { data, request, event, .. } => {
                let is_at_stage = match event {
                    FlowEvent::Connected => stage == Stage::Connected,
                    FlowEvent::ControllerResponded(Response::Granted) => stage == Stage::Granted,
                    FlowEvent::AttemptEnded(AttemptOutcome::Complete(_)) => {
                        stage == Stage::Responded
                    }
                    _ => false,
                };
                (*data, *request, is_at_stage)
            }
            _ => return,
        };
        let one_time = self.requests.get(&request).is_some_and(|run| run.service != "catalogue");
        if is_at_stage && one_time && !self.frozen.contains_key(&ProcessId::Data(data)) {
            self.freeze_before = None;
            self.frozen.insert(ProcessId::Data(data), Vec::new());
            let for_us = self.random.between(3_000_000, 8_000_000);
            self.schedule(for_us, Event::Wake(ProcessId::Data(data)));
        }
    }

    /// Partitions control machine `at` from all other machines, in both directions.
    pub fn isolate(&mut self, at: usize) {
        self.partition_from_all(self.control[at].address.ip());
    }

    /// Partitions the machine at this address from all control and data machines, in both
    /// directions.
    fn partition_from_all(&mut self, isolated: IpAddr) {
        for other in self.addresses() {
            self.network.partition(isolated, other);
            self.network.partition(other, isolated);
        }
    }

    /// Partitions control machine `at` from the other two control machines, in both directions.
    fn split_control(&mut self, at: usize) {
        let one = self.control[at].address.ip();
        let others = (0..3).filter(|other| *other != at);
        for other in others.map(|other| self.control[other].address.ip()).collect::<Vec<_>>() {
            self.network.partition(one, other);
            self.network.partition(other, one);
        }
    }

    /// Loses all frames from control machine `at` to the next one from now on.
    fn cut_one_way(&mut self, at: usize) {
        let (one, other) = (self.control[at].address, self.control[(at + 1) % 3].address);
        self.network.partition(one.ip(), other.ip());
    }

    /// Replaces the disk of control machine `at` by an empty one and restarts the machine, at a new
    /// address if `new_address`; does nothing unless the other two tolerate the loss.
    fn empty_disk(&mut self, at: usize, new_address: bool) {
        if !self.tolerates_loss_of(at) {
            return;
        }
        self.end_control(at, true);
        self.control[at].disk.wipe();
        if new_address {
            let number = 20 + self.random.below(200) as usize;
            self.control[at].address = crate::world::address(1, number, 1);
        }
        self.start_control(at);
    }

    /// Returns whether the cluster tolerates the loss of control machine `at`: each of the two
    /// others runs, is not frozen, is a member and knows three members, and both know the same
    /// three.
    fn tolerates_loss_of(&self, at: usize) -> bool {
        let is_full_member = |other: &usize| {
            let machine = &self.control[*other];
            let Some(node) = &machine.node else { return false };
            let own = node.consensus().id();
            let members = node.consensus().members();
            members.len() == VOTERS
                && members.iter().any(|member| member.id == own)
                && !self.frozen.contains_key(&ProcessId::Control(*other))
        };
        let others: Vec<usize> = (0..3).filter(|other| *other != at).collect();
        let ids = |other: &usize| {
            let node = self.control[*other].node.as_ref()?;
            let mut ids: Vec<u64> =
                node.consensus().members().iter().map(|member| member.id).collect();
            ids.sort_unstable();
            Some(ids)
        };
        others.iter().all(is_full_member) && ids(&others[0]) == ids(&others[1])
    }

    /// Applies a change to one randomly drawn target, if any may be changed.
    fn change_random_target(&mut self, change: impl Fn(&mut Target)) {
        let Some(instance) = self.draw_target() else { return };
        if let Some(target) = self.target_mut(&instance) {
            change(target);
        }
    }

    /// Draws a target that runs, is not frozen and is listed as not draining; `None` unless there
    /// are more than four such targets.
    fn draw_target(&mut self) -> Option<String> {
        let candidates: Vec<String> = self
            .targets
            .iter()
            .filter(|target| target.alive && !target.frozen)
            .filter(|target| self.list.rows.get(&target.instance).is_some_and(|row| !row.draining))
            .map(|target| target.instance.clone())
            .collect();
        let index = self.random.below(candidates.len() as u64) as usize;
        candidates.get(index).filter(|_| candidates.len() > 4).cloned()
    }

    /// Lists a randomly drawn target as draining, and starts another of its service.
    fn drain_target(&mut self) {
        let Some(instance) = self.draw_target() else { return };
        self.record_departure(&instance);
        if let Some(row) = self.list.rows.get_mut(&instance) {
            row.draining = true;
        }
        let service = instance.split('-').next().unwrap_or_default().to_string();
        self.add_target(&service, None);
    }

    /// Ends a target of `ledger` and starts one of `photos` at its address, while the endpoint list
    /// still shows the ended target and not the one of `photos`. Another target of `ledger` starts
    /// at a new address.
    fn reuse_address(&mut self) {
        let position =
            self.targets.iter().position(|target| target.alive && target.service == "ledger");
        let Some(at) = position else { return };
        self.targets[at].alive = false;
        let (instance, address) = (self.targets[at].instance.clone(), self.targets[at].address);
        let unlisted = self.add_target("photos", Some(address));
        self.list.rows.remove(&unlisted);
        self.add_target("ledger", None);
        let _still_listed = instance;
    }

    /// Ends all faults: stopped processes start, frozen ones wake, links carry frames, and the
    /// endpoint list replaces targets that ended or froze by new ones.
    pub fn heal(&mut self) {
        self.network.heal();
        self.slow_disks = false;
        self.control.iter().for_each(|machine| machine.disk.set_fault(None));
        self.freeze_before = None;
        self.list.heal(self.now_us);
        let frozen: Vec<ProcessId> = self.frozen.keys().copied().collect();
        frozen.into_iter().for_each(|process| self.wake(process));
        for at in 0..3 {
            if self.control[at].node.is_none() {
                self.start_control(at);
            }
        }
        for at in 0..self.data.len() {
            if self.data[at].node.is_none() {
                self.start_data(at);
            }
        }
        let departed: Vec<String> = self
            .targets
            .iter()
            .filter(|target| !target.alive || target.frozen)
            .map(|target| target.instance.clone())
            .collect();
        for instance in departed {
            if self.list.rows.remove(&instance).is_some() {
                self.record_departure(&instance);
                let service = instance.split('-').next().unwrap_or_default().to_string();
                self.add_target(&service, None);
            }
        }
    }
}
