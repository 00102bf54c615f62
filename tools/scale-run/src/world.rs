use crate::Cli;
use postbarrow_consensus::Member;
use postbarrow_controller::ControlNode;
use postbarrow_messages::{Envelope, Message, Response, to_frame};
use postbarrow_node::DataNode;
use postbarrow_state::{Labels, Name, Node, Target};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};

pub(crate) const PULSE_US: u64 = 20_000;
pub enum Body {
    Control(Box<ControlNode>),
    Data(Box<DataNode>),
    Down,
}

/// What one process sent, got and worked since the counts were last cleared.
#[derive(Clone, Default)]
pub struct Counts {
    pub sent: u64,
    pub sentBytes: u64,
    pub got: u64,
    pub gotBytes: u64,
    pub workNs: u64,
}

pub struct Process {
    pub body: Body,
    pub life: u64,
    pub address: SocketAddr,
    pub zone: usize,
    pub counts: Counts,
    pub holdUntilMs: u64,
    pub version: Option<Name>,
    pub publishedUs: u64,
}

pub(crate) enum Event {
    Pulse,
    Frame(Vec<u8>),
    Synced(u64),
    Page(u64, usize),
    Encoded(u64, Vec<u8>),
}

/// Whole clusters on one simulated network; the processes' protocol parts are the real ones.
pub struct World {
    pub nowUs: u64,
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
    pub(crate) syncUs: u64,
    pub(crate) zoneUs: u64,
    pub(crate) regionUs: u64,
}

pub fn address(at: usize) -> SocketAddr {
    let [_, _, high, low] = (at as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_000))
}

impl World {
    pub fn new(cli: &Cli, nodes: usize, targets: usize) -> World {
        let zones = cli.zones;
        let mut world = World {
            nowUs: 1_000_000,
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
            syncUs: cli.sync_us,
            zoneUs: cli.zone_us,
            regionUs: cli.region_us,
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
                holdUntilMs: 0,
                version: None,
                publishedUs: 0,
            });
        }
        for at in 0..world.processes.len() {
            world.start(at);
        }
        world
    }

    pub fn now_ms(&self) -> u64 {
        self.nowUs / 1_000
    }

    /// A new life with nothing remembered; control nodes keep no disk here.
    pub fn start(&mut self, at: usize) {
        let nowMs = self.now_ms();
        let seeds: Vec<SocketAddr> = (0..self.control.min(3)).map(address).collect();
        let process = &mut self.processes[at];
        process.life += 1;
        process.version = None;
        process.holdUntilMs = 0;
        let id = (at as u64 + 1) * 0x9e37_79b9 + process.life;
        process.body = if at < self.control {
            let own = Member { id, address: process.address };
            let node = ControlNode::new(own, Default::default(), &seeds, id, nowMs);
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
            Body::Data(Box::new(DataNode::new(own, seeds, nowMs)))
        };
        let life = process.life;
        let spreadUs = (at as u64 * 7_919) % PULSE_US;
        self.push(at, life, spreadUs, Event::Pulse);
    }

    pub fn end(&mut self, at: usize) {
        self.processes[at].body = Body::Down;
        self.processes[at].life += 1;
        self.processes[at].holdUntilMs = 0;
    }

    pub(crate) fn push(&mut self, at: usize, life: u64, inUs: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.nowUs + inUs, self.sequence)));
        self.events.insert(self.sequence, (at, life, event));
    }

    pub fn run_until(&mut self, untilUs: u64) {
        while let Some(Reverse((atUs, sequence))) = self.queue.peek().copied() {
            if atUs > untilUs {
                break;
            }
            self.queue.pop();
            self.nowUs = atUs;
            if let Some((at, life, event)) = self.events.remove(&sequence)
                && self.processes[at].life == life
            {
                self.step(at, life, event);
            }
        }
        self.nowUs = untilUs;
    }

    pub fn ask(&mut self, at: usize, key: u64, ask: postbarrow_messages::Ask) {
        let from = address(60_000);
        let frame = to_frame(&Envelope { from, message: Message::Ask { key, ask } });
        let life = self.processes[at].life;
        if let Ok(frame) = frame {
            self.push(at, life, 100, Event::Frame(frame));
        }
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.control).find(|at| {
            matches!(&self.processes[*at].body, Body::Control(node) if node.holds(self.now_ms()))
        })
    }

    /// Data nodes up, and how many of them may serve.
    pub fn serving(&self) -> (usize, usize) {
        let nowMs = self.now_ms();
        let up =
            self.processes[self.control..].iter().filter(|one| !matches!(one.body, Body::Down));
        let up: Vec<&Process> = up.collect();
        (up.len(), up.iter().filter(|one| nowMs < one.holdUntilMs).count())
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
        cold: false,
    }
}
