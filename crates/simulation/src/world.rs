//! All machines, clients and faults of one simulated run, and the queue of its events.

use crate::calls::Callers;
use crate::cling::Cling;
use crate::control::ControlMachine;
use crate::data::DataMachine;
use crate::event::{Event, Who};
use crate::fault::Stage;
use crate::ledger::Ledger;
use crate::list::PlatformList;
use crate::net::Net;
use crate::operator::Operator;
use crate::random::Random;
use crate::requests::RequestRun;
use crate::slow::SlowMachine;
use crate::steps::Strike;
use crate::targets::Target;
use postbarrow_constants::consensus::{TICK_MS, VOTER_DEAD_MS};
use postbarrow_controller::Input as ControlInput;
use postbarrow_messages::{Envelope, Message};
use postbarrow_node::Input as DataInput;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Clocks run up to a hundredth faster than true time: far more than any machine's does.
const RATE_SCALE: u64 = 1_000;
const RATE_MOST: u64 = 11;

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
    pub(crate) cling: Option<Cling>,
    pub requests: BTreeMap<u64, RequestRun>,
    pub ledger: Ledger,
    pub seeds: Vec<SocketAddr>,
    pub frozen: BTreeMap<Who, Vec<Event>>,
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
    pub core_seeds_only: bool,
    pub voter_dead_ms: u64,
    pub slow: Option<SlowMachine>,
    pub(crate) strike: Option<Strike>,
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
            cling: None,
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
            core_seeds_only: false,
            voter_dead_ms: VOTER_DEAD_MS,
            slow: None,
            strike: None,
            synced: (0, 0),
            disk_failures: 0,
            queue: BTreeMap::new(),
            order: 0,
        };
        for at in 0..3 {
            let offset_ms = world.random.below(1_000_000);
            let rate = world.random.below(RATE_MOST);
            world.control.push(ControlMachine::new(address(1, at, 1), offset_ms, rate));
        }
        for at in 0..data_nodes {
            let offset_ms = world.random.below(1_000_000);
            let rate = world.random.below(RATE_MOST);
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
    pub fn local_ms(&self, who: Who) -> u64 {
        let (offset_ms, rate) = match who {
            Who::Control(at) => (self.control[at].offset_ms, self.control[at].rate),
            Who::Data(at) => (self.data[at].offset_ms, self.data[at].rate),
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

    pub fn say(&mut self, who: Who, text: &str) {
        if let Some(log) = &mut self.log {
            log.push(format!("{:.3} {who:?}: {text}", self.now_us as f64 / 1e6));
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
        let whose = self.whose(&event);
        self.freeze_before(&event);
        if let Some(held) = whose.and_then(|who| self.frozen.get_mut(&who)) {
            return held.push(event);
        }
        match event {
            Event::Tick { who, life } => self.tick(who, life),
            Event::Deliver { to, envelope } => match whose {
                Some(Who::Control(at)) => self.control_hears(at, envelope),
                Some(Who::Data(at)) => self.data_input(at, DataInput::Receive(envelope)),
                None if to == self.operator.address => self.operator_hears(envelope),
                None => {}
            },
            Event::Synced { at, life } if self.control[at].life == life => self.disk_done(at),
            Event::ListRead { at, life, number, cursor } => {
                self.list_read(at, life, number, cursor)
            }
            Event::Page { at, life, result } if self.control[at].life == life => {
                self.control_input(at, ControlInput::Page(result))
            }
            Event::Encoded { at, life, index, state } if self.control[at].life == life => {
                self.snapshots += 1;
                self.control_input(at, ControlInput::Encoded { index, state })
            }
            Event::Synced { .. } | Event::Page { .. } | Event::Encoded { .. } => {}
            Event::Arrive { request, data, life } => self.request_arrives(request, data, life),
            Event::ClientLeaves { request } => self.client_leaves(request),
            Event::SeesClientLeave { request, data, life } => {
                self.sees_client_leave(request, data, life)
            }
            Event::ClientComesBack { request } => self.client_comes_back(request),
            Event::Resume { request, data, life, event } => {
                if self.data[data].life == life {
                    self.go_on(request, data, event);
                }
            }
            Event::Send { request, data, life, until_ms } => {
                if self.data[data].life == life {
                    self.send(request, data, until_ms);
                }
            }
            Event::Run { request, data, life, instance } => {
                self.run(request, data, life, &instance)
            }
            Event::Probe { data, life } => self.probe(data, life),
            Event::NextRequest => self.next_request(),
            Event::NextCall { caller } => self.next_call(caller),
            Event::Operate => self.operate(),
            Event::Cling => self.cling(),
            Event::Door { key, asked_us, question, .. } => self.door_asked(key, asked_us, question),
            Event::Fault(fault) => self.bring(fault),
            Event::Wake(who) => self.wake(who),
            Event::Start(who) => self.start(who),
            Event::Leave { who, life, since_us } => self.leave(who, life, since_us),
        }
    }

    fn tick(&mut self, who: Who, life: u64) {
        let alive = match who {
            Who::Control(at) => self.control[at].life == life && self.control[at].node.is_some(),
            Who::Data(at) => self.data[at].life == life && self.data[at].node.is_some(),
        };
        if !alive {
            return;
        }
        match who {
            Who::Control(at) => {
                self.control_input(at, ControlInput::Tick);
                self.door_tick(at);
            }
            Who::Data(at) => self.data_input(at, DataInput::Tick),
        }
        self.after(TICK_MS * 1_000, Event::Tick { who, life });
    }

    /// Responses are for the door of this machine, all else for the node.
    fn control_hears(&mut self, at: usize, envelope: Envelope) {
        match envelope.message {
            Message::Response { key, response } => self.door_hears(at, key, response),
            _ => self.control_input(at, ControlInput::Receive(envelope)),
        }
    }

    pub fn wake(&mut self, who: Who) {
        for event in self.frozen.remove(&who).unwrap_or_default() {
            self.after(0, event);
        }
    }
}
