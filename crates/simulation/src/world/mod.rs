//! All machines, clients and faults of one simulated run, and the queue of its events.
//!
//! Each module has what one concern adds to `World`; the state that it works on is in the layers
//! below (`node`, `client`, `fault`, `checker`), which do not know the world.

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

/// A cluster with its surroundings, on one queue of events.
pub struct World {
    /// True time in microseconds; processes see only their own clocks.
    pub now_us: u64,
    /// The source of every draw of the run but those of the scenario's faults.
    pub random: Random,
    /// The network.
    pub network: Network,
    /// Control machines, by index.
    pub control: Vec<ControlMachine>,
    /// Data machines, by index.
    pub data: Vec<DataMachine>,
    /// Targets, ended ones too.
    pub targets: Vec<Target>,
    /// The platform's endpoint list.
    pub list: PlatformList,
    /// The operators.
    pub operator: Operator,
    /// Applications that call for locks, numbers, keys and watches.
    pub callers: Callers,
    pub(crate) pinned: Option<PinnedClients>,
    /// Every attempt of a client, by number.
    pub requests: BTreeMap<u64, RequestRun>,
    /// What the checks compare, and the violations.
    pub ledger: Ledger,
    /// Addresses by which a starting process finds the cluster.
    pub seeds: Vec<SocketAddr>,
    /// Frozen processes, each with the events that wait for it.
    pub frozen: BTreeMap<ProcessId, Vec<Event>>,
    /// The next data node that reaches this stage of a one-time request freezes right before it.
    pub freeze_before: Option<Stage>,
    /// How many requests clients have sent.
    pub next_request: u64,
    /// Mean pause between two requests in microseconds.
    pub request_pause_us: u64,
    /// No more changes of plans: the run only waits for full service.
    pub quiet: bool,
    /// The run's log, if it is recorded.
    pub log: Option<Vec<String>>,
    /// A digest of the time and order of all events.
    pub digest: u64,
    /// Snapshots that were encoded.
    pub snapshots: usize,
    /// Every sync takes 10 to 50 ms.
    pub slow_disks: bool,
    /// Simultaneous losses that the control nodes must tolerate.
    pub losses: usize,
    /// A starting process has only control machines among its seeds.
    pub control_seeds_only: bool,
    /// Milliseconds after which an unresponsive voter counts as lost.
    pub voter_dead_ms: u64,
    /// A control machine on a slow link and disk.
    pub slow: Option<SlowMachine>,
    pub(crate) injection: Option<Injection>,
    /// Syncs, and the writes that shared them.
    pub synced: (usize, usize),
    /// Control processes that ended because a write or sync failed.
    pub disk_failures: usize,
    queue: BTreeMap<(u64, u64), Event>,
    order: u64,
}

impl World {
    /// A cluster of three control machines, these data nodes and these targets, all starting now.
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
            next_request: 0,
            request_pause_us: 12_000,
            quiet: false,
            log: None,
            digest: 0,
            snapshots: 0,
            slow_disks: false,
            losses: 1,
            control_seeds_only: false,
            voter_dead_ms: VOTER_DEAD_MS,
            slow: None,
            injection: None,
            synced: (0, 0),
            disk_failures: 0,
            queue: BTreeMap::new(),
            order: 0,
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
        self.after(2_500_000, Event::Operate);
        self.after(3_000_000, Event::NextRequest);
        for caller in 0..4 {
            self.after(3_000_000, Event::NextCall { caller });
        }
    }

    /// Schedules an event; events of one time keep the order in which they were scheduled.
    pub fn after(&mut self, delay_us: u64, event: Event) {
        self.order += 1;
        self.queue.insert((self.now_us + delay_us, self.order), event);
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.order += 1;
        self.queue.insert((at_us, self.order), event);
    }

    /// A process's own clock in milliseconds, whose zero and rate no other shares.
    pub fn local_ms(&self, process: ProcessId) -> u64 {
        let clock = match process {
            ProcessId::Control(at) => self.control[at].clock,
            ProcessId::Data(at) => self.data[at].clock,
        };
        clock.local_ms(self.now_us)
    }

    /// Sends a message over the network, which may delay or lose it.
    pub fn transmit(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        let envelope = Envelope { from, message };
        if from == to {
            return self.after(0, Event::Deliver { to, envelope });
        }
        let sent_us = self.now_us + self.link_wait_us(to, &envelope);
        let arrival = self.network.arrival(sent_us, from, to, &mut self.random);
        if let Some(at_us) = arrival {
            self.at(at_us, Event::Deliver { to, envelope });
        }
    }

    /// Adds a line to the run's log.
    pub fn log_line(&mut self, process: ProcessId, text: &str) {
        if let Some(log) = &mut self.log {
            log.push(format!("{:.3} {process:?}: {text}", self.now_us as f64 / 1e6));
        }
    }

    /// Handles all events up to this time.
    pub fn run_until(&mut self, until_us: u64) {
        while let Some(((at_us, _), _)) = self.queue.first_key_value() {
            if *at_us > until_us {
                break;
            }
            let Some(((at_us, order), event)) = self.queue.pop_first() else { break };
            self.now_us = at_us;
            self.digest = self.digest.rotate_left(5) ^ at_us.wrapping_mul(31) ^ order;
            self.step(event);
        }
        self.now_us = until_us;
    }

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
                self.disk_done(at)
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
            Event::NextRequest => self.next_request(),
            Event::NextCall { caller } => self.next_call(caller),
            Event::Operate => self.operate(),
            Event::SendPinned => self.send_pinned_request(),
            Event::PinnedArrives { key, requested_us, request, .. } => {
                self.pinned_request_arrives(key, requested_us, request)
            }
            _ => unreachable!("`step` handles all other events"),
        }
    }

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
        self.after(TICK_MS * 1_000, Event::Tick { process, incarnation });
    }

    /// Responses belong to the clients pinned to this machine, all else to its node.
    fn control_receives(&mut self, at: usize, envelope: Envelope) {
        match envelope.message {
            Message::Response { key, response } => self.pinned_clients_receive(at, key, response),
            _ => self.control_input(at, ControlInput::Receive(envelope)),
        }
    }

    /// Ends a freeze: the process receives all that arrived meanwhile.
    pub fn wake(&mut self, process: ProcessId) {
        for event in self.frozen.remove(&process).unwrap_or_default() {
            self.after(0, event);
        }
    }
}

impl World {
    /// The process that handles an event; while it is frozen, the event waits.
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
            | Event::Send { data, .. }
            | Event::Probe { data, .. } => Some(ProcessId::Data(*data)),
            _ => None,
        }
    }
}
