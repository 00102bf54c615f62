//! All machines, clients and faults of one simulated run, and the queue of its events.
//!
//! Each submodule adds the methods of one concern to `World`. The state that they work on is
//! defined in `node`, `client`, `fault` and `checker`, which do not depend on `World`.
//!
//! A parameter `at` is the index of a machine in `World::control` or `World::data`; `data` is the
//! index of a data machine. A parameter `request` is the number of an attempt in `World::requests`,
//! while an `id` identifies a client's request, which all its attempts share.

mod calls;
mod checks;
mod control;
mod data;
mod departure;
mod endpoint_list;
mod faults;
mod forwarding;
mod injection;
mod membership;
mod operator;
mod pinned;
mod pinned_checks;
mod requests;
mod rolling_restart;
mod service;
mod slow;
mod targets;

use crate::checker::ledger::Ledger;
use crate::client::calls::Callers;
use crate::client::operator::Operator;
use crate::client::pinned::PinnedClients;
use crate::client::requests::RequestRun;
use crate::clock::Clock;
use crate::event::{Event, ProcessId};
use crate::fault::Stage;
use crate::fault::injection::Injection;
use crate::network::{Network, address};
use crate::node::control::ControlMachine;
use crate::node::data::DataMachine;
use crate::node::endpoint_list::PlatformList;
use crate::node::slow::SlowMachine;
use crate::node::target::Target;
use crate::random::Random;
use postbarrow_constants::consensus::{TICK_MS, VOTER_DEAD_MS};
use postbarrow_controller::Input as ControlInput;
use postbarrow_messages::{Envelope, Message};
use postbarrow_node::Input as DataInput;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A simulated cluster with its network, clients and operators, driven by one event queue.
pub struct World {
    /// True time in microseconds; processes read only their own clocks, which differ from it.
    pub now_us: u64,
    /// The random numbers of the run, except those that draw the scenario's faults.
    pub random: Random,
    /// The network between all machines.
    pub network: Network,
    /// Control machines, by index, including those that are down or retired.
    pub control: Vec<ControlMachine>,
    /// Data machines, by index, including those that are down.
    pub data: Vec<DataMachine>,
    /// All targets that were ever started, including those that have ended.
    pub targets: Vec<Target>,
    /// The platform's endpoint list, from which control nodes learn of targets.
    pub list: PlatformList,
    /// The operators, who submit plans.
    pub operator: Operator,
    /// Applications that use locks, numbers, keys and watches.
    pub callers: Callers,
    /// Clients that send all requests to one control machine, if the run has any.
    pub(crate) pinned: Option<PinnedClients>,
    /// Every attempt of a client's request, by the attempt's number.
    pub requests: BTreeMap<u64, RequestRun>,
    /// The recorded history that the checks compare, and the violations that they found.
    pub ledger: Ledger,
    /// Addresses that a starting process contacts first to find the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Frozen processes, each with the events that it handles once it wakes.
    pub frozen: BTreeMap<ProcessId, Vec<Event>>,
    /// The stage of a one-time request right before which the next data node to reach it freezes;
    /// `None` if no such fault is active.
    pub freeze_before: Option<Stage>,
    /// Whether callers depart during the release of their lock, and a process freezes at some step
    /// of each such release until plans are paused.
    pub owners_depart: bool,
    /// The id of the newest request that a client has sent; ids count from 1.
    pub last_request_id: u64,
    /// Mean pause between two requests of the clients, in microseconds.
    pub request_pause_us: u64,
    /// Whether the operators submit no more plans on their own, because the run only waits for full
    /// service. If `request_pause_us` is 0 too, clients and callers send nothing new either.
    pub plans_paused: bool,
    /// The lines of the run's log; `None` if it is not recorded.
    pub log: Option<Vec<String>>,
    /// A digest of the times and the order of all events handled so far.
    pub digest: u64,
    /// Number of snapshots that control nodes have encoded.
    pub snapshots: usize,
    /// Whether every sync takes 10 to 50 ms instead of 0.3 to 4 ms.
    pub slow_disks: bool,
    /// Number of simultaneous losses of control machines that the control nodes must tolerate.
    pub losses: usize,
    /// Whether a starting process has only control machines, and no data machine, among its
    /// `seeds`.
    pub control_seeds_only: bool,
    /// Milliseconds after which an unresponsive voter counts as lost.
    pub voter_dead_ms: u64,
    /// The control machine on a slow link and disk, if the run has one.
    pub slow_machine: Option<SlowMachine>,
    /// The fault to inject at a chosen step of an operation, if the run has one.
    pub(crate) injection: Option<Injection>,
    /// Numbers of completed syncs of control machines and of the writes that they covered.
    pub synced: (usize, usize),
    /// Number of control processes that ended because a write or sync failed.
    pub disk_failures: usize,
    /// Scheduled events by their time in microseconds and the order of their scheduling.
    queue: BTreeMap<(u64, u64), Event>,
    /// Number of events scheduled so far.
    sequence: u64,
}

impl World {
    /// Creates a cluster of three control machines, `data_nodes` data machines and `targets`
    /// targets, and starts all of them.
    pub fn new(seed: u64, data_nodes: usize, targets: usize) -> World {
        let mut world = World {
            now_us: 1_000_000,
            random: Random::new(seed),
            network: Network::default(),
            control: Vec::new(),
            data: Vec::new(),
            targets: Vec::new(),
            list: PlatformList::default(),
            operator: Operator::new(address(3, 0, 1)),
            callers: Callers::default(),
            pinned: None,
            requests: BTreeMap::new(),
            ledger: Ledger::default(),
            seeds: (0..3).map(|at| address(1, at, 1)).collect(),
            frozen: BTreeMap::new(),
            freeze_before: None,
            owners_depart: false,
            last_request_id: 0,
            request_pause_us: 12_000,
            plans_paused: false,
            log: None,
            digest: 0,
            snapshots: 0,
            slow_disks: false,
            losses: 1,
            control_seeds_only: false,
            voter_dead_ms: VOTER_DEAD_MS,
            slow_machine: None,
            injection: None,
            synced: (0, 0),
            disk_failures: 0,
            queue: BTreeMap::new(),
            sequence: 0,
        };
        world.start_all(data_nodes, targets);
        world
    }

    /// Adds and starts all machines and targets, and schedules the first events of the clients.
    fn start_all(&mut self, data_nodes: usize, targets: usize) {
        for at in 0..3 {
            let clock = Clock::draw(&mut self.random);
            self.control.push(ControlMachine::new(address(1, at, 1), clock));
        }
        for at in 0..data_nodes {
            let clock = Clock::draw(&mut self.random);
            self.data.push(DataMachine::new(at, clock));
        }
        for at in 0..targets {
            self.add_target(["catalogue", "ledger", "photos"][at % 3], None);
        }
        for at in 0..3 {
            self.start_control(at);
        }
        for at in 0..data_nodes {
            self.start_data(at);
        }
        self.schedule(2_500_000, Event::OperatorsTick);
        self.schedule(3_000_000, Event::NextRequest);
        for caller in 0..4 {
            self.schedule(3_000_000, Event::NextCall { caller });
        }
    }

    /// Schedules an event `delay_us` from now; events with the same time are handled in the order
    /// of their scheduling.
    pub fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now_us + delay_us, self.sequence), event);
    }

    /// Schedules an event at this true time in microseconds.
    fn schedule_at(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at_us, self.sequence), event);
    }

    /// Returns the time of a process's own clock in milliseconds; each clock has its own zero and
    /// rate.
    pub fn local_ms(&self, process: ProcessId) -> u64 {
        let clock = match process {
            ProcessId::Control(at) => self.control[at].clock,
            ProcessId::Data(at) => self.data[at].clock,
        };
        clock.local_ms(self.now_us)
    }

    /// Sends a message over the network, which delays it and may lose it; a message from an address
    /// to itself arrives without delay.
    pub fn transmit(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        let envelope = Envelope { from, message };
        if from == to {
            return self.schedule(0, Event::Deliver { to, envelope });
        }
        let sent_us = self.now_us + self.link_wait_us(to, &envelope);
        let arrival = self.network.arrival(sent_us, from, to, &mut self.random);
        if let Some(at_us) = arrival {
            self.schedule_at(at_us, Event::Deliver { to, envelope });
        }
    }

    /// Adds a line to the run's log.
    pub fn log_line(&mut self, process: ProcessId, text: &str) {
        if let Some(log) = &mut self.log {
            log.push(format!("{:.3} {process:?}: {text}", self.now_us as f64 / 1e6));
        }
    }

    /// Handles all events scheduled up to this true time in microseconds, and then sets the time to
    /// it.
    pub fn run_until(&mut self, until_us: u64) {
        while let Some(((at_us, _), _)) = self.queue.first_key_value() {
            if *at_us > until_us {
                break;
            }
            let Some(((at_us, sequence), event)) = self.queue.pop_first() else { break };
            self.now_us = at_us;
            self.digest = self.digest.rotate_left(5) ^ at_us.wrapping_mul(31) ^ sequence;
            self.step(event);
        }
        self.now_us = until_us;
    }

    /// Handles one event; if its process is frozen, the event is kept until the process wakes.
    fn step(&mut self, event: Event) {
        let process = self.process_of(&event);
        self.freeze_before(&event);
        if let Some(pending) = process.and_then(|process| self.frozen.get_mut(&process)) {
            return pending.push(event);
        }
        match event {
            Event::Tick { process, incarnation } => self.tick(process, incarnation),
            Event::Deliver { to, envelope } => match process {
                Some(ProcessId::Control(at)) => self.control_receives(at, envelope),
                Some(ProcessId::Data(at)) => self.data_input(at, DataInput::Receive(envelope)),
                None if to == self.operator.address => self.operator_receives(envelope),
                None => {}
            },
            Event::Synced { at, incarnation } if self.control[at].incarnation == incarnation => {
                self.complete_sync(at)
            }
            Event::ListRead { at, incarnation, number, cursor } => {
                self.list_read(at, incarnation, number, cursor)
            }
            Event::Page { at, incarnation, result }
                if self.control[at].incarnation == incarnation =>
            {
                self.control_input(at, ControlInput::Page(result))
            }
            Event::Encoded { at, incarnation, index, state }
                if self.control[at].incarnation == incarnation =>
            {
                self.snapshots += 1;
                self.control_input(at, ControlInput::Encoded { index, state })
            }
            Event::Synced { .. } | Event::Page { .. } | Event::Encoded { .. } => {}
            Event::Probe { data, incarnation } => self.probe(data, incarnation),
            Event::Fault(fault) => self.inject(fault),
            Event::FreezeDuringRelease(process) => self.freeze_during_release(process),
            Event::Wake(process) => self.wake(process),
            Event::Start(process) => self.start(process),
            Event::CheckShutdown { process, incarnation, since_us } => {
                self.check_shutdown(process, incarnation, since_us)
            }
            event => self.handle_client_event(event),
        }
    }

    /// Handles the events of clients, callers and operators.
    fn handle_client_event(&mut self, event: Event) {
        match event {
            Event::Arrive { request, data, incarnation } => {
                self.request_arrives(request, data, incarnation)
            }
            Event::ClientDeparts { request } => self.client_departs(request),
            Event::DepartureObserved { request, data, incarnation } => {
                self.observe_departure(request, data, incarnation)
            }
            Event::ClientReturns { request } => self.client_returns(request),
            Event::Resume { request, data, incarnation, event } => {
                if self.data[data].incarnation == incarnation {
                    self.resume_request(request, data, event);
                }
            }
            Event::Send { request, data, incarnation, until_ms } => {
                if self.data[data].incarnation == incarnation {
                    self.send(request, data, until_ms);
                }
            }
            Event::Run { request, data, incarnation, instance } => {
                self.run(request, data, incarnation, &instance)
            }
            Event::NextRequest => self.send_next_request(),
            Event::NextCall { caller } => self.next_call(caller),
            Event::CallArrives { call, data, incarnation } => {
                self.call_arrives(call, data, incarnation)
            }
            Event::OperatorsTick => self.operators_tick(),
            Event::SendPinned => self.send_pinned_request(),
            Event::PinnedArrives { key, requested_us, request, .. } => {
                self.pinned_request_arrives(key, requested_us, request)
            }
            _ => unreachable!("`step` handles all other events"),
        }
    }

    /// Passes a tick to a process and schedules the next one, unless that incarnation has ended.
    fn tick(&mut self, process: ProcessId, incarnation: u64) {
        let alive = match process {
            ProcessId::Control(at) => {
                self.control[at].incarnation == incarnation && self.control[at].node.is_some()
            }
            ProcessId::Data(at) => {
                self.data[at].incarnation == incarnation && self.data[at].node.is_some()
            }
        };
        if !alive {
            return;
        }
        match process {
            ProcessId::Control(at) => {
                self.control_input(at, ControlInput::Tick);
                self.pinned_clients_tick(at);
            }
            ProcessId::Data(at) => self.data_input(at, DataInput::Tick),
        }
        self.schedule(TICK_MS * 1_000, Event::Tick { process, incarnation });
    }

    /// Passes a response to the clients that are pinned to control machine `at`, and any other
    /// message to its node.
    fn control_receives(&mut self, at: usize, envelope: Envelope) {
        match envelope.message {
            Message::Response { key, response } => self.pinned_clients_receive(at, key, response),
            _ => self.control_input(at, ControlInput::Receive(envelope)),
        }
    }

    /// Ends a freeze: the process now handles all events that arrived meanwhile.
    pub fn wake(&mut self, process: ProcessId) {
        for event in self.frozen.remove(&process).unwrap_or_default() {
            self.schedule(0, event);
        }
    }
}

impl World {
    /// Returns the process that handles an event, if any; while that process is frozen, the event
    /// is held back.
    pub fn process_of(&self, event: &Event) -> Option<ProcessId> {
        match event {
            Event::Tick { process, .. } => Some(*process),
            Event::Deliver { to, .. } => {
                let control = self.control.iter().position(|machine| machine.address == *to);
                let data = || self.data.iter().position(|machine| machine.address == *to);
                control.map(ProcessId::Control).or_else(|| data().map(ProcessId::Data))
            }
            Event::Synced { at, .. }
            | Event::Page { at, .. }
            | Event::Encoded { at, .. }
            | Event::PinnedArrives { at, .. } => Some(ProcessId::Control(*at)),
            Event::Arrive { data, .. }
            | Event::DepartureObserved { data, .. }
            | Event::Resume { data, .. }
            | Event::CallArrives { data, .. }
            | Event::Send { data, .. }
            | Event::Probe { data, .. } => Some(ProcessId::Data(*data)),
            _ => None,
        }
    }
}
