use crate::Cli;
use postbarrow_consensus::Member;
use postbarrow_controller::ControlNode;
use postbarrow_messages::{Envelope, Message, Response, to_frame};
use postbarrow_node::DataNode;
use postbarrow_state::{Labels, Name, Node, Target};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};

pub(crate) const TICK_US: u64 = 20_000;
pub enum Body {
    Control(Box<ControlNode>),
    Data(Box<DataNode>),
    Down,
}

/// What one process sent, got and worked since the counts were last cleared.
#[derive(Clone, Default)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub got: u64,
    pub got_bytes: u64,
    pub work_ns: u64,
}

pub struct Process {
    pub body: Body,
    pub life: u64,
    pub address: SocketAddr,
    pub zone: usize,
    pub counts: Counts,
    pub lease_until_ms: u64,
    pub version: Option<Name>,
    pub published_us: u64,
}

pub(crate) enum Event {
    Tick,
    Frame(Vec<u8>),
    Synced(u64),
    Page(u64, usize),
    Encoded(u64, Vec<u8>),
}

/// Whole clusters on one simulated network; the processes' protocol parts are the real ones.
pub struct World {
    pub now_us: u64,
    pub processes: Vec<Process>,
    pub control: usize,
    pub losses: usize,
    pub zones: usize,
    pub cut: Option<usize>,
    pub answers: Vec<(u64, Response)>,
    pub(crate) at: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, (usize, u64, Event)>,
    sequence: u64,
    pub(crate) targets: Vec<Target>,
    pub(crate) sync_us: u64,
    pub(crate) zone_us: u64,
    pub(crate) region_us: u64,
}

pub fn address(at: usize) -> SocketAddr {
    let [_, _, high, low] = (at as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_000))
}

impl World {
    pub fn new(cli: &Cli, nodes: usize, targets: usize) -> World {
        let zones = cli.zones;
        let mut world = World {
            now_us: 1_000_000,
            processes: Vec::new(),
            control: cli.control,
            losses: cli.losses,
            zones,
            cut: None,
            answers: Vec::new(),
            at: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            targets: (0..targets).map(|at| target(at, cli)).collect(),
            sync_us: cli.sync_us,
            zone_us: cli.zone_us,
            region_us: cli.region_us,
        };
        for at in 0..cli.control + nodes {
            let zone = at % zones;
            world.at.insert(address(at), at);
            world.processes.push(Process {
                body: Body::Down,
                life: 0,
                address: address(at),
                zone,
                counts: Counts::default(),
                lease_until_ms: 0,
                version: None,
                published_us: 0,
            });
        }
        for at in 0..world.processes.len() {
            world.start(at);
        }
        world
    }

    pub fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// A new life with nothing remembered; control nodes keep no disk here.
    pub fn start(&mut self, at: usize) {
        let now_ms = self.now_ms();
        let seeds: Vec<SocketAddr> = (0..self.control.min(3)).map(address).collect();
        let process = &mut self.processes[at];
        process.life += 1;
        process.version = None;
        process.lease_until_ms = 0;
        let id = (at as u64 + 1) * 0x9e37_79b9 + process.life;
        process.body = if at < self.control {
            let own = Member { id, address: process.address };
            let node = ControlNode::new(own, Default::default(), &seeds, id, now_ms);
            let node = node.with_founders(&seeds).with_losses(self.losses);
            let node = if process.life == 1 { node } else { node.with_known_log() };
            Body::Control(Box::new(node))
        } else {
            let own = Node {
                incarnation: id,
                name: Name::from(format!("node-{at}")),
                address: process.address,
                http: process.address,
                zone: Name::from(format!("zone-{}", process.zone)),
            };
            Body::Data(Box::new(DataNode::new(own, seeds, now_ms)))
        };
        let life = process.life;
        let spread_us = (at as u64 * 7_919) % TICK_US;
        self.push(at, life, spread_us, Event::Tick);
    }

    pub fn end(&mut self, at: usize) {
        self.processes[at].body = Body::Down;
        self.processes[at].life += 1;
        self.processes[at].lease_until_ms = 0;
    }

    pub(crate) fn push(&mut self, at: usize, life: u64, in_us: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now_us + in_us, self.sequence)));
        self.events.insert(self.sequence, (at, life, event));
    }

    pub fn run_until(&mut self, until_us: u64) {
        while let Some(Reverse((at_us, sequence))) = self.queue.peek().copied() {
            if at_us > until_us {
                break;
            }
            self.queue.pop();
            self.now_us = at_us;
            if let Some((at, life, event)) = self.events.remove(&sequence)
                && self.processes[at].life == life
            {
                self.step(at, life, event);
            }
        }
        self.now_us = until_us;
    }

    pub fn ask(&mut self, at: usize, key: u64, ask: postbarrow_messages::Request) {
        let from = address(60_000);
        let frame = to_frame(&Envelope { from, message: Message::Request { key, request: ask } });
        let life = self.processes[at].life;
        if let Ok(frame) = frame {
            self.push(at, life, 100, Event::Frame(frame));
        }
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.control).find(|at| {
            matches!(&self.processes[*at].body, Body::Control(node) if node.has_lease(self.now_ms()))
        })
    }

    /// Data nodes up, and how many of them may serve.
    pub fn serving(&self) -> (usize, usize) {
        let now_ms = self.now_ms();
        let up =
            self.processes[self.control..].iter().filter(|one| !matches!(one.body, Body::Down));
        let up: Vec<&Process> = up.collect();
        (up.len(), up.iter().filter(|one| now_ms < one.lease_until_ms).count())
    }

    pub fn versions(&self) -> BTreeMap<Option<Name>, usize> {
        let mut versions = BTreeMap::new();
        for process in &self.processes[self.control..] {
            *versions.entry(process.version.clone()).or_default() += 1;
        }
        versions
    }

    pub fn clear(&mut self) {
        self.processes.iter_mut().for_each(|process| process.counts = Counts::default());
    }
}

fn target(at: usize, cli: &Cli) -> Target {
    let service = Name::from(format!("service-{}", at % cli.services.max(1)));
    Target {
        instance: Name::from(format!("i-{at:08x}")),
        service,
        address: SocketAddr::from((Ipv4Addr::from(0x0a80_0000 + at as u32), 8_080)),
        zone: Name::from(format!("zone-{}", at % cli.zones)),
        labels: Labels::from([("edition".into(), "v1".into())]),
        draining: false,
        down: false,
        slots: 6,
        warming_up: false,
    }
}
