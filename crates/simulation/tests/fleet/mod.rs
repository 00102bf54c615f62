//! A fleet of control and data nodes of any size on a plain simulated network: every frame is
//! encoded and read back, and nothing is lost but what a test ends or partitions.

use postbarrow_consensus::Member;
use postbarrow_controller::{ControlNode, Effect, Fetched, Input, ListPage, PageResult};
use postbarrow_messages::{Envelope, Message, Request, Response, Submission, read_frame, to_frame};
use postbarrow_node::{DataNode, Effect as NodeEffect, Input as NodeInput};
use postbarrow_state::{
    Labels, Name, Node, Record, Route, RouteKind, Service, State, Target, WeightedService,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};

const TICK_US: u64 = 20_000;
const SYNC_US: u64 = 5_000;
const ENCODE_US: u64 = 50_000;
const PAGE_US: u64 = 20_000;
const PAGE_TARGETS: usize = 50;
const SAME_ZONE_US: u64 = 100;
const OTHER_ZONE_US: u64 = 500;
const ZONES: usize = 3;
const SERVICES: usize = 3;

enum Body {
    Control(Box<ControlNode>),
    Data(Box<DataNode>),
    Down,
}

struct Process {
    body: Body,
    incarnation: u64,
    address: SocketAddr,
    zone: usize,
    /// Sent and received since the count was last cleared.
    bytes: u64,
    lease_until_ms: u64,
    version: Option<Name>,
    published_us: u64,
}

enum Event {
    Tick,
    Frame(Vec<u8>),
    Synced(u64),
    Page { number: u64, page: usize },
    Encoded { index: u64, state: Vec<u8> },
}

struct Scheduled {
    process: usize,
    incarnation: u64,
    event: Event,
}

/// The processes, control nodes first, and what is on its way between them.
pub struct Fleet {
    pub now_us: u64,
    control: usize,
    losses: usize,
    processes: Vec<Process>,
    by_address: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Scheduled>,
    sequence: u64,
    targets: Vec<Target>,
    /// Zones below this one are partitioned from the others.
    partition: Option<usize>,
    responses: Vec<Response>,
}

fn address(process: usize) -> SocketAddr {
    let [_, _, high, low] = (process as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_000))
}

impl Fleet {
    pub fn new(control: usize, losses: usize, data: usize, targets: usize) -> Fleet {
        let mut fleet = Fleet {
            now_us: 1_000_000,
            control,
            losses,
            processes: Vec::new(),
            by_address: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            targets: (0..targets).map(target).collect(),
            partition: None,
            responses: Vec::new(),
        };
        for at in 0..control + data {
            fleet.by_address.insert(address(at), at);
            fleet.processes.push(Process {
                body: Body::Down,
                incarnation: 0,
                address: address(at),
                zone: at % ZONES,
                bytes: 0,
                lease_until_ms: 0,
                version: None,
                published_us: 0,
            });
        }
        for at in 0..control + data {
            fleet.start(at);
        }
        fleet
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// A new incarnation with nothing remembered; control nodes have no disk here.
    pub fn start(&mut self, at: usize) {
        let seeds: Vec<SocketAddr> = (0..self.control.min(3)).map(address).collect();
        let (now_ms, losses) = (self.now_ms(), self.losses);
        let process = &mut self.processes[at];
        process.incarnation += 1;
        process.version = None;
        process.lease_until_ms = 0;
        let id = (at as u64 + 1) * 0x9e37_79b9 + process.incarnation;
        process.body = if at < self.control {
            let own = Member { id, address: process.address };
            let node = ControlNode::new(own, Default::default(), &seeds, id, now_ms);
            let node = node.with_founders(&seeds).with_losses(losses);
            let node = if process.incarnation == 1 { node } else { node.with_known_log() };
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
        let spread_us = (at as u64 * 7_919) % TICK_US;
        self.schedule(at, spread_us, Event::Tick);
    }

    pub fn end(&mut self, at: usize) {
        let process = &mut self.processes[at];
        process.body = Body::Down;
        process.incarnation += 1;
        process.lease_until_ms = 0;
    }

    pub fn set_partition(&mut self, zones: Option<usize>) {
        self.partition = zones;
    }

    fn schedule(&mut self, process: usize, in_us: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now_us + in_us, self.sequence)));
        let incarnation = self.processes[process].incarnation;
        self.events.insert(self.sequence, Scheduled { process, incarnation, event });
    }

    pub fn run_for(&mut self, duration_us: u64) {
        let until_us = self.now_us + duration_us;
        while let Some(Reverse((at_us, sequence))) = self.queue.peek().copied() {
            if at_us > until_us {
                break;
            }
            self.queue.pop();
            self.now_us = at_us;
            let Some(scheduled) = self.events.remove(&sequence) else { continue };
            if self.processes[scheduled.process].incarnation == scheduled.incarnation {
                self.step(scheduled.process, scheduled.event);
            }
        }
        self.now_us = until_us;
    }

    fn step(&mut self, at: usize, event: Event) {
        let now_ms = self.now_ms();
        if matches!(event, Event::Tick) {
            self.schedule(at, TICK_US, Event::Tick);
        }
        let mut body = std::mem::replace(&mut self.processes[at].body, Body::Down);
        match &mut body {
            Body::Control(node) => {
                let input = self.control_input(event);
                for effect in node.handle(now_ms, input) {
                    self.control_effect(at, effect);
                }
            }
            Body::Data(node) => {
                let input = match event {
                    Event::Frame(frame) => NodeInput::Receive(read(&frame)),
                    _ => NodeInput::Tick,
                };
                for effect in node.handle(now_ms, input) {
                    self.node_effect(at, effect);
                }
            }
            Body::Down => {}
        }
        self.processes[at].body = body;
    }

    fn control_input(&self, event: Event) -> Input {
        match event {
            Event::Tick => Input::Tick,
            Event::Frame(frame) => Input::Receive(read(&frame)),
            Event::Synced(sequence) => Input::Synced(sequence),
            Event::Encoded { index, state } => Input::Encoded { index, state },
            Event::Page { number, page } => {
                let targets = self.targets.chunks(PAGE_TARGETS).nth(page).unwrap_or(&[]).to_vec();
                let has_more = (page + 1) * PAGE_TARGETS < self.targets.len();
                let next = has_more.then(|| (page + 1).to_string());
                let fetched = Fetched::Listed(ListPage { targets, next });
                Input::Page(PageResult { number, fetched })
            }
        }
    }

    fn control_effect(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(at, to, message),
            Effect::Write { sequence, .. } => self.schedule(at, SYNC_US, Event::Synced(sequence)),
            Effect::Fetch { number, cursor } => {
                let page = cursor.and_then(|cursor| cursor.parse().ok()).unwrap_or(0);
                self.schedule(at, PAGE_US, Event::Page { number, page });
            }
            Effect::Encode(snapshot) => {
                let (index, state) = (snapshot.index, snapshot.encode());
                self.schedule(at, ENCODE_US, Event::Encoded { index, state });
            }
            Effect::Log(_) => {}
        }
    }

    fn node_effect(&mut self, at: usize, effect: NodeEffect) {
        match effect {
            NodeEffect::Send { to, message } => self.send(at, to, message),
            NodeEffect::Publish { state, .. } => self.on_publish(at, &state),
            NodeEffect::Lease { until_ms } => self.processes[at].lease_until_ms = until_ms,
            NodeEffect::Answer { .. } | NodeEffect::Log(_) => {}
        }
    }

    fn on_publish(&mut self, at: usize, state: &State) {
        let version = state.plan.as_ref().map(|plan| plan.version.clone());
        if version != self.processes[at].version {
            self.processes[at].version = version;
            self.processes[at].published_us = self.now_us;
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let Some(at) = self.by_address.get(&to).copied() else {
            if let Message::Response { response, .. } = message {
                self.responses.push(response);
            }
            return;
        };
        let envelope = Envelope { from: self.processes[from].address, message };
        let frame = to_frame(&envelope).expect("a frame within its bound");
        self.processes[from].bytes += frame.len() as u64;
        let (zone, other) = (self.processes[from].zone, self.processes[at].zone);
        if self.partition.is_some_and(|zones| (zone < zones) != (other < zones)) {
            return;
        }
        self.processes[at].bytes += frame.len() as u64;
        let delay_us = if zone == other { SAME_ZONE_US } else { OTHER_ZONE_US };
        self.schedule(at, delay_us, Event::Frame(frame));
    }

    fn request(&mut self, at: usize, key: u64, request: Request) {
        let envelope =
            Envelope { from: address(60_000), message: Message::Request { key, request } };
        let frame = to_frame(&envelope).expect("a frame within its bound");
        self.schedule(at, SAME_ZONE_US, Event::Frame(frame));
    }

    /// The control node with the leader's lease.
    pub fn leader(&self) -> Option<usize> {
        (0..self.control).find(|at| match &self.processes[*at].body {
            Body::Control(node) => node.has_lease(self.now_ms()),
            _ => false,
        })
    }

    /// How many voters the leader's log has.
    pub fn voters(&self) -> usize {
        match self.leader().map(|leader| &self.processes[leader].body) {
            Some(Body::Control(node)) => node.consensus().members().len(),
            _ => 0,
        }
    }

    pub fn data_nodes(&self) -> std::ops::Range<usize> {
        self.control..self.processes.len()
    }

    /// How many data nodes are up, and how many of them hold a lease.
    pub fn serving(&self) -> (usize, usize) {
        let now_ms = self.now_ms();
        let data = &self.processes[self.control..];
        let up = data.iter().filter(|process| !matches!(process.body, Body::Down));
        let leased = data.iter().filter(|process| now_ms < process.lease_until_ms);
        (up.count(), leased.count())
    }

    /// Bytes sent and received by an average data node during this time, a second.
    pub fn data_node_bytes_per_s(&mut self, duration_us: u64) -> f64 {
        self.processes.iter_mut().for_each(|process| process.bytes = 0);
        self.run_for(duration_us);
        let data = &self.processes[self.control..];
        let bytes: u64 = data.iter().map(|process| process.bytes).sum();
        bytes as f64 / data.len() as f64 / (duration_us as f64 / 1e6)
    }

    /// Submits a plan; milliseconds until each data node that got it within 5 s published it.
    pub fn change_plan(&mut self, version: u64, routes: usize) -> Vec<u64> {
        let start_us = self.now_us;
        if let Some(leader) = self.leader() {
            self.request(leader, version, Request::Submit(submission(version, routes)));
        }
        let expected = Some(Name::from(format!("v{version}")));
        for _ in 0..500 {
            self.run_for(10_000);
            if self.data_nodes().all(|at| self.processes[at].version == expected) {
                break;
            }
        }
        let data = self.processes[self.control..].iter();
        let published = data.filter(|process| process.version == expected);
        published.map(|process| process.published_us.saturating_sub(start_us) / 1_000).collect()
    }

    /// Milliseconds until every data node that is up serves again, and for 3 s at least none sheds;
    /// none if that takes over 20 s.
    pub fn recovery_ms(&mut self) -> Option<u64> {
        let start_us = self.now_us;
        let mut has_shed = false;
        let mut recovered_us = None;
        while self.now_us < start_us + 20_000_000 {
            self.run_for(10_000);
            let (up, serving) = self.serving();
            let is_settled = self.now_us > start_us + 3_000_000;
            if up != serving {
                has_shed = true;
                recovered_us = None;
            } else if has_shed || is_settled {
                let took_us = if has_shed { self.now_us - start_us } else { 0 };
                recovered_us.get_or_insert(took_us);
                if is_settled {
                    return recovered_us.map(|took_us| took_us / 1_000);
                }
            }
        }
        None
    }
}

fn read(frame: &[u8]) -> Envelope {
    read_frame(&mut &frame[..]).expect("what was sent is read")
}

fn service_name(at: usize) -> Name {
    Name::from(format!("service-{}", at % SERVICES))
}

fn target(at: usize) -> Target {
    Target {
        instance: Name::from(format!("i-{at:08x}")),
        service: service_name(at),
        address: SocketAddr::from((Ipv4Addr::from(0x0a80_0000 + at as u32), 8_080)),
        zone: Name::from(format!("zone-{}", at % ZONES)),
        labels: Labels::from([("edition".into(), "v1".into())]),
        draining: false,
        down: false,
        slots: 6,
        warming_up: false,
    }
}

fn route(at: usize, version: u64) -> Route {
    Route {
        path: Name::from(format!("/path{at:05}/*")),
        methods: vec!["*".into()],
        kind: RouteKind::Lookup,
        service: service_name(at),
        when: None,
        body_bytes: 1_000_000,
        rate_per_s: None,
        concurrency: None,
        deadline_ms: 1_500 + version,
        host: Some(Name::from(format!("host{at:05}.example"))),
        weighted_services: Vec::<WeightedService>::new(),
        max_attempts: Some(2),
        latency_target_ms: Some(600),
        priority: 1,
    }
}

fn submission(version: u64, routes: usize) -> Submission {
    let name = |version: u64| Name::from(format!("v{version}"));
    let base = (version > 1).then(|| name(version - 1));
    let mut records = vec![Record::PlanStart { version: name(version), base: base.clone() }];
    for service in (0..SERVICES).map(service_name) {
        let labels = Labels::from([("service".into(), service.clone())]);
        records.push(Record::Service(Service { name: service, labels }));
    }
    records.extend((0..routes).map(|at| Record::Route(route(at, version))));
    let text = vec![b'x'; routes * 250];
    records.extend(text.chunks(16_384).map(|chunk| Record::PlanText(chunk.to_vec())));
    Submission { version: name(version), base, records, dry_run: false, allow_empty: true }
}
