use crate::asks::AskRun;
use crate::book::Book;
use crate::calls::Callers;
use crate::control::ControlMachine;
use crate::data::DataMachine;
use crate::event::{Event, Who};
use crate::fault::Stage;
use crate::list::PlatformList;
use crate::net::Net;
use crate::operator::Operator;
use crate::random::Random;
use crate::steps::Strike;
use crate::targets::Target;
use postbarrow_constants::consensus::PULSE_MS;
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
    pub nowUs: u64,
    pub random: Random,
    pub net: Net,
    pub control: Vec<ControlMachine>,
    pub data: Vec<DataMachine>,
    pub targets: Vec<Target>,
    pub list: PlatformList,
    pub operator: Operator,
    pub callers: Callers,
    pub asks: BTreeMap<u64, AskRun>,
    pub book: Book,
    pub seeds: Vec<SocketAddr>,
    pub frozen: BTreeMap<Who, Vec<Event>>,
    /// The next node about to take this step of an ask freezes right before it.
    pub freezeBefore: Option<Stage>,
    pub nextAsk: u64,
    pub askPauseUs: u64,
    pub quiet: bool,
    pub log: Option<Vec<String>>,
    pub digest: u64,
    pub snapshots: usize,
    pub slowDisks: bool,
    pub(crate) strike: Option<Strike>,
    /// Syncs that were done, and the writes that shared them.
    pub synced: (usize, usize),
    pub diskFailures: usize,
    queue: BTreeMap<(u64, u64), Event>,
    order: u64,
}

pub fn address(net: u8, at: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, net, (at / 250) as u8, (at % 250) as u8 + 1], port))
}

impl World {
    pub fn new(seed: u64, dataNodes: usize, targets: usize) -> World {
        let mut world = World {
            nowUs: 1_000_000,
            random: Random::new(seed),
            net: Net::default(),
            control: Vec::new(),
            data: Vec::new(),
            targets: Vec::new(),
            list: PlatformList::default(),
            operator: Operator::new(address(3, 0, 1)),
            callers: Callers::default(),
            asks: BTreeMap::new(),
            book: Book::default(),
            seeds: (0..3).map(|at| address(1, at, 1)).collect(),
            frozen: BTreeMap::new(),
            freezeBefore: None,
            nextAsk: 0,
            askPauseUs: 12_000,
            quiet: false,
            log: None,
            digest: 0,
            snapshots: 0,
            slowDisks: false,
            strike: None,
            synced: (0, 0),
            diskFailures: 0,
            queue: BTreeMap::new(),
            order: 0,
        };
        for at in 0..3 {
            let offsetMs = world.random.below(1_000_000);
            let rate = world.random.below(RATE_MOST);
            world.control.push(ControlMachine::new(address(1, at, 1), offsetMs, rate));
        }
        for at in 0..dataNodes {
            let offsetMs = world.random.below(1_000_000);
            let rate = world.random.below(RATE_MOST);
            world.data.push(DataMachine::new(at, offsetMs, rate));
        }
        for at in 0..targets {
            world.add_target(["catalogue", "ledger", "photos"][at % 3], None);
        }
        for at in 0..3 {
            world.start_control(at);
        }
        for at in 0..dataNodes {
            world.start_data(at);
        }
        world.after(2_500_000, Event::Operate);
        world.after(3_000_000, Event::NextAsk);
        for caller in 0..4 {
            world.after(3_000_000, Event::NextCall { caller });
        }
        world
    }

    pub fn after(&mut self, delayUs: u64, event: Event) {
        self.order += 1;
        self.queue.insert((self.nowUs + delayUs, self.order), event);
    }

    fn at(&mut self, atUs: u64, event: Event) {
        self.order += 1;
        self.queue.insert((atUs, self.order), event);
    }

    /// A process's own clock: it shares neither zero nor rate with any other.
    pub fn local_ms(&self, who: Who) -> u64 {
        let (offsetMs, rate) = match who {
            Who::Control(at) => (self.control[at].offsetMs, self.control[at].rate),
            Who::Data(at) => (self.data[at].offsetMs, self.data[at].rate),
        };
        (self.nowUs + self.nowUs * rate / RATE_SCALE) / 1_000 + offsetMs
    }

    pub fn transmit(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        let arrival = self.net.arrival(self.nowUs, from, to, &mut self.random);
        if let Some(atUs) = arrival {
            self.at(atUs, Event::Deliver { to, envelope: Envelope { from, message } });
        }
    }

    pub fn say(&mut self, who: Who, text: &str) {
        if let Some(log) = &mut self.log {
            log.push(format!("{:.3} {who:?}: {text}", self.nowUs as f64 / 1e6));
        }
    }

    pub fn run_until(&mut self, untilUs: u64) {
        while let Some(((atUs, _), _)) = self.queue.first_key_value() {
            if *atUs > untilUs {
                break;
            }
            let Some(((atUs, order), event)) = self.queue.pop_first() else { break };
            self.nowUs = atUs;
            self.digest = self.digest.rotate_left(5) ^ atUs.wrapping_mul(31) ^ order;
            self.step(event);
        }
        self.nowUs = untilUs;
    }

    fn step(&mut self, event: Event) {
        let whose = self.whose(&event);
        self.freeze_before(&event);
        if let Some(held) = whose.and_then(|who| self.frozen.get_mut(&who)) {
            return held.push(event);
        }
        match event {
            Event::Pulse { who, life } => self.pulse(who, life),
            Event::Deliver { to, envelope } => match whose {
                Some(Who::Control(at)) => self.control_input(at, ControlInput::Receive(envelope)),
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
            Event::Arrive { ask, data, life } => self.ask_arrives(ask, data, life),
            Event::Go { ask, data, life, event } => {
                if self.data[data].life == life {
                    self.go_on(ask, data, event);
                }
            }
            Event::Send { ask, data, life, untilMs } => {
                if self.data[data].life == life {
                    self.send(ask, data, untilMs);
                }
            }
            Event::Run { ask, data, life, instance } => self.run(ask, data, life, &instance),
            Event::Probe { data, life } => self.probe(data, life),
            Event::NextAsk => self.next_ask(),
            Event::NextCall { caller } => self.next_call(caller),
            Event::Operate => self.operate(),
            Event::Fault(fault) => self.bring(fault),
            Event::Wake(who) => self.wake(who),
            Event::Start(who) => self.start(who),
            Event::Leave { who, life, sinceUs } => self.leave(who, life, sinceUs),
        }
    }

    fn pulse(&mut self, who: Who, life: u64) {
        let alive = match who {
            Who::Control(at) => self.control[at].life == life && self.control[at].node.is_some(),
            Who::Data(at) => self.data[at].life == life && self.data[at].node.is_some(),
        };
        if !alive {
            return;
        }
        match who {
            Who::Control(at) => self.control_input(at, ControlInput::Pulse),
            Who::Data(at) => self.data_input(at, DataInput::Pulse),
        }
        self.after(PULSE_MS * 1_000, Event::Pulse { who, life });
    }

    pub fn wake(&mut self, who: Who) {
        for event in self.frozen.remove(&who).unwrap_or_default() {
            self.after(0, event);
        }
    }
}
