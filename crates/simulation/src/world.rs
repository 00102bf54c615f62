//! All machines, clients and faults of one simulated run, and the queue of its events.

use crate::calls::Callers;
use crate::control::ControlMachine;
use crate::data::DataMachine;
use crate::event::{Event, ProcessId};
use crate::fault::Stage;
use crate::ledger::Ledger;
use crate::list::PlatformList;
use crate::net::Net;
use crate::operator::Operator;
use crate::pinned::PinnedClients;
use crate::random::Random;
use crate::requests::RequestRun;
use crate::slow::SlowMachine;
use crate::steps::Injection;
use crate::targets::Target;
use postbarrow_constants::consensus::{TICK_MS, VOTER_DEAD_MS};
use postbarrow_controller::Input as ControlInput;
use postbarrow_messages::{Envelope, Message};
use postbarrow_node::Input as DataInput;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Clocks run up to a hundredth faster than true time: far more than any machine's does.
const RATE_SCALE: u64 = 1_000;
const MAX_RATE: u64 = 11;

/// A whole cluster with its surroundings, on one queue of events.
pub struct World {
    pub now_us: u64,
    pub random: Random,
    pub net: Net,
    pub control: Vec<ControlMachine>,
    pub data: Vec<DataMachine>,
    pub targets: Vec<Target>,
    pub list: PlatformList,
    pub operator: Operator,
    pub callers: Callers,
    pub(crate) pinned: Option<PinnedClients>,
    pub requests: BTreeMap<u64, RequestRun>,
    pub ledger: Ledger,
    pub seeds: Vec<SocketAddr>,
    pub frozen: BTreeMap<ProcessId, Vec<Event>>,
    /// The next node about to take this step of a request freezes right before it.
    pub freeze_before: Option<Stage>,
    pub next_request: u64,
    pub request_pause_us: u64,
    pub quiet: bool,
    pub log: Option<Vec<String>>,
    pub digest: u64,
    pub snapshots: usize,
    pub slow_disks: bool,
    /// What the deployment says of its core: losses to bear, and the silence of a dead voter.
    pub losses: usize,
    /// A machine that begins is told of no data node beside its seeds.
    pub control_seeds_only: bool,
    pub voter_dead_ms: u64,
    pub slow: Option<SlowMachine>,
    pub(crate) injection: Option<Injection>,
    /// Syncs that were done, and the writes that shared them.
    pub synced: (usize, usize),
    pub disk_failures: usize,
    queue: BTreeMap<(u64, u64), Event>,
    order: u64,
}

pub fn address(net: u8, at: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, net, (at / 250) as u8, (at % 250) as u8 + 1], port))
}

impl World {
    pub fn new(seed: u64, data_nodes: usize, targets: usize) -> World {
        let mut world = World {
            now_us: 1_000_000,
            random: Random::new(seed),
            net: Net::default(),
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
        for at in 0..3 {
            let offset_ms = world.random.below(1_000_000);
            let rate = world.random.below(MAX_RATE);
            world.control.push(ControlMachine::new(address(1, at, 1), offset_ms, rate));
        }
        for at in 0..data_nodes {
            let offset_ms = world.random.below(1_000_000);
            let rate = world.random.below(MAX_RATE);
            world.data.push(DataMachine::new(at, offset_ms, rate));
        }
        for at in 0..targets {
            world.add_target(["catalogue", "ledger", "photos"][at % 3], None);
        }
        for at in 0..3 {
            world.start_control(at);
        }
        for at in 0..data_nodes {
            world.start_data(at);
        }
        world.after(2_500_000, Event::Operate);
        world.after(3_000_000, Event::NextRequest);
        for caller in 0..4 {
            world.after(3_000_000, Event::NextCall { caller });
        }
        world
    }

    pub fn after(&mut self, delay_us: u64, event: Event) {
        self.order += 1;
        self.queue.insert((self.now_us + delay_us, self.order), event);
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.order += 1;
        self.queue.insert((at_us, self.order), event);
    }

    /// A process's own clock: it shares neither zero nor rate with any other.
    pub fn local_ms(&self, process: ProcessId) -> u64 {
        let (offset_ms, rate) = match process {
            ProcessId::Control(at) => (self.control[at].offset_ms, self.control[at].rate),
            ProcessId::Data(at) => (self.data[at].offset_ms, self.data[at].rate),
        };
        (self.now_us + self.now_us * rate / RATE_SCALE) / 1_000 + offset_ms
    }

    pub fn transmit(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        let envelope = Envelope { from, message };
        if from == to {
            return self.after(0, Event::Deliver { to, envelope });
        }
        let sent_us = self.now_us + self.link_wait_us(to, &envelope);
        let arrival = self.net.arrival(sent_us, from, to, &mut self.random);
        if let Some(at_us) = arrival {
            self.at(at_us, Event::Deliver { to, envelope });
        }
    }

    pub fn log_line(&mut self, process: ProcessId, text: &str) {
        if let Some(log) = &mut self.log {
            log.push(format!("{:.3} {process:?}: {text}", self.now_us as f64 / 1e6));
        }
    }

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
            Event::Probe { data, incarnation } => self.probe(data, incarnation),
            Event::NextRequest => self.next_request(),
            Event::NextCall { caller } => self.next_call(caller),
            Event::Operate => self.operate(),
            Event::SendPinned => self.send_pinned_request(),
            Event::PinnedArrives { key, requested_us, request, .. } => {
                self.pinned_request_arrives(key, requested_us, request)
            }
            Event::Fault(fault) => self.inject(fault),
            Event::Wake(process) => self.wake(process),
            Event::Start(process) => self.start(process),
            Event::Leave { process, incarnation, since_us } => {
                self.leave(process, incarnation, since_us)
            }
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

    /// Responses are for the door of this machine, all else for the node.
    fn control_receives(&mut self, at: usize, envelope: Envelope) {
        match envelope.message {
            Message::Response { key, response } => self.pinned_clients_receive(at, key, response),
            _ => self.control_input(at, ControlInput::Receive(envelope)),
        }
    }

    pub fn wake(&mut self, process: ProcessId) {
        for event in self.frozen.remove(&process).unwrap_or_default() {
            self.after(0, event);
        }
    }
}
