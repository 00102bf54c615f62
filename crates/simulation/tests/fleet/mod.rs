//! A fleet of control and data nodes of any size on a simple simulated network. Every frame is
//! encoded and decoded, and none is lost except by a process that a test ends or by a partition
//! that it sets.

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

/// The node that a process runs; `Down` while the process is ended.
enum RunningNode {
    Control(Box<ControlNode>),
    Data(Box<DataNode>),
    Down,
}

struct Process {
    running: RunningNode,
    incarnation: u64,
    address: SocketAddr,
    zone: usize,
    /// Number of bytes sent and received since the count was last reset.
    transferred_bytes: u64,
    /// The end of a data node's lease; 0 without a lease.
    lease_until_ms: u64,
    /// The version of the plan that a data node published last, if any.
    version: Option<Name>,
    /// The time at which a data node published that version.
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

/// The processes, control nodes first, and the events scheduled for them, e.g. frames in flight.
pub struct Fleet {
    pub now_us: u64,
    /// Number of control nodes.
    control_count: usize,
    /// Number of simultaneous losses that the control nodes must tolerate.
    tolerated_losses: usize,
    processes: Vec<Process>,
    by_address: HashMap<SocketAddr, usize>,
    /// The time and the sequence number of each scheduled event, earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// The scheduled events by sequence number.
    events: HashMap<u64, Scheduled>,
    sequence: u64,
    /// The targets of the endpoint list.
    targets: Vec<Target>,
    /// The zone that, with all higher ones, is partitioned from the zones below it; `None` without
    /// a partition.
    partition: Option<usize>,
    /// The responses to requests from outside the fleet.
    responses: Vec<Response>,
}

fn address(process: usize) -> SocketAddr {
    let [_, _, high, low] = (process as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7_000))
}

impl Fleet {
    pub fn new(
        control_count: usize,
        tolerated_losses: usize,
        data_count: usize,
        target_count: usize,
    ) -> Fleet {
        let mut fleet = Fleet {
            now_us: 1_000_000,
            control_count,
            tolerated_losses,
            processes: Vec::new(),
            by_address: HashMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            targets: (0..target_count).map(target).collect(),
            partition: None,
            responses: Vec::new(),
        };
        for process_index in 0..control_count + data_count {
            fleet.by_address.insert(address(process_index), process_index);
            fleet.processes.push(Process {
                running: RunningNode::Down,
                incarnation: 0,
                address: address(process_index),
                zone: process_index % ZONES,
                transferred_bytes: 0,
                lease_until_ms: 0,
                version: None,
                published_us: 0,
            });
        }
        for process_index in 0..control_count + data_count {
            fleet.start(process_index);
        }
        fleet
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// Starts a new incarnation of a process without earlier state; control nodes have no disk
    /// here.
    pub fn start(&mut self, process_index: usize) {
        let seeds: Vec<SocketAddr> = (0..self.control_count.min(3)).map(address).collect();
        let (now_ms, tolerated_losses) = (self.now_ms(), self.tolerated_losses);
        let process = &mut self.processes[process_index];
        process.incarnation += 1;
        process.version = None;
        process.lease_until_ms = 0;
        let id = (process_index as u64 + 1) * 0x9e37_79b9 + process.incarnation;
        process.running = if process_index < self.control_count {
            let own = Member { id, address: process.address };
            let node = ControlNode::new(own, Default::default(), &seeds, id, now_ms);
            let node = node.with_bootstrap_members(&seeds).with_tolerated_losses(tolerated_losses);
            let node = if process.incarnation == 1 { node } else { node.with_known_log() };
            RunningNode::Control(Box::new(node))
        } else {
            let own = Node {
                incarnation: id,
                name: Name::from(format!("node-{process_index}")),
                address: process.address,
                http: process.address,
                zone: Name::from(format!("zone-{}", process.zone)),
            };
            RunningNode::Data(Box::new(DataNode::new(own, seeds, now_ms)))
        };
        let first_tick_us = (process_index as u64 * 7_919) % TICK_US;
        self.schedule(process_index, first_tick_us, Event::Tick);
    }

    /// Ends a process, which also discards the events scheduled for it.
    pub fn end(&mut self, process_index: usize) {
        let process = &mut self.processes[process_index];
        process.running = RunningNode::Down;
        process.incarnation += 1;
        process.lease_until_ms = 0;
    }

    /// Partitions `first_zone` and all higher zones from the zones below it; `None` heals the
    /// partition.
    pub fn set_partition(&mut self, first_zone: Option<usize>) {
        self.partition = first_zone;
    }

    fn schedule(&mut self, process: usize, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now_us + delay_us, self.sequence)));
        let incarnation = self.processes[process].incarnation;
        self.events.insert(self.sequence, Scheduled { process, incarnation, event });
    }

    /// Handles all events of the next `duration_us`.
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
                self.handle_event(scheduled.process, scheduled.event);
            }
        }
        self.now_us = until_us;
    }

    /// Handles one event of a process.
    fn handle_event(&mut self, process_index: usize, event: Event) {
        let now_ms = self.now_ms();
        if matches!(event, Event::Tick) {
            self.schedule(process_index, TICK_US, Event::Tick);
        }
        let mut running =
            std::mem::replace(&mut self.processes[process_index].running, RunningNode::Down);
        match &mut running {
            RunningNode::Control(node) => {
                let input = self.control_input(event);
                for effect in node.handle(now_ms, input) {
                    self.control_effect(process_index, effect);
                }
            }
            RunningNode::Data(node) => {
                let input = match event {
                    Event::Frame(frame) => NodeInput::Receive(decode(&frame)),
                    _ => NodeInput::Tick,
                };
                for effect in node.handle(now_ms, input) {
                    self.node_effect(process_index, effect);
                }
            }
            RunningNode::Down => {}
        }
        self.processes[process_index].running = running;
    }

    fn control_input(&self, event: Event) -> Input {
        match event {
            Event::Tick => Input::Tick,
            Event::Frame(frame) => Input::Receive(decode(&frame)),
            Event::Synced(sequence) => Input::Synced(sequence),
            Event::Encoded { index, state } => Input::Encoded { index, state },
            Event::Page { number, page } => {
                let targets = self.targets.chunks(PAGE_TARGETS).nth(page).unwrap_or(&[]).to_vec();
                let has_more = (page + 1) * PAGE_TARGETS < self.targets.len();
                let next = has_more.then(|| (page + 1).to_string());
                let fetched = Fetched::Parsed(ListPage { targets, next });
                Input::Page(PageResult { number, fetched })
            }
        }
    }

    fn control_effect(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(node, to, message),
            Effect::Write { sequence, .. } => self.schedule(node, SYNC_US, Event::Synced(sequence)),
            Effect::Fetch { number, cursor } => {
                let page = cursor.and_then(|cursor| cursor.parse().ok()).unwrap_or(0);
                self.schedule(node, PAGE_US, Event::Page { number, page });
            }
            Effect::Encode(snapshot) => {
                let (index, state) = (snapshot.index, snapshot.encode());
                self.schedule(node, ENCODE_US, Event::Encoded { index, state });
            }
            Effect::Log(_) => {}
        }
    }

    fn node_effect(&mut self, node: usize, effect: NodeEffect) {
        match effect {
            NodeEffect::Send { to, message } => self.send(node, to, message),
            NodeEffect::Publish { state, .. } => self.on_publish(node, &state),
            NodeEffect::Lease { until_ms } => self.processes[node].lease_until_ms = until_ms,
            NodeEffect::Answer { .. } | NodeEffect::Log(_) => {}
        }
    }

    fn on_publish(&mut self, process_index: usize, state: &State) {
        let version = state.plan.as_ref().map(|plan| plan.version.clone());
        if version != self.processes[process_index].version {
            self.processes[process_index].version = version;
            self.processes[process_index].published_us = self.now_us;
        }
    }

    /// Sends a message to a process; a message to another address is recorded if it is a response.
    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let Some(process_index) = self.by_address.get(&to).copied() else {
            if let Message::Response { response, .. } = message {
                self.responses.push(response);
            }
            return;
        };
        let envelope = Envelope { from: self.processes[from].address, message };
        let frame = to_frame(&envelope).expect("the frame is within its size limit");
        self.processes[from].transferred_bytes += frame.len() as u64;
        let (from_zone, to_zone) = (self.processes[from].zone, self.processes[process_index].zone);
        if self
            .partition
            .is_some_and(|first_zone| (from_zone < first_zone) != (to_zone < first_zone))
        {
            return;
        }
        self.processes[process_index].transferred_bytes += frame.len() as u64;
        let delay_us = if from_zone == to_zone { SAME_ZONE_US } else { OTHER_ZONE_US };
        self.schedule(process_index, delay_us, Event::Frame(frame));
    }

    /// Sends a request from outside the fleet to a control node.
    fn request(&mut self, process_index: usize, key: u64, request: Request) {
        let envelope =
            Envelope { from: address(60_000), message: Message::Request { key, request } };
        let frame = to_frame(&envelope).expect("the frame is within its size limit");
        self.schedule(process_index, SAME_ZONE_US, Event::Frame(frame));
    }

    /// Returns the index of the control node that has the leader's lease, if any.
    pub fn leader(&self) -> Option<usize> {
        (0..self.control_count).find(|index| match &self.processes[*index].running {
            RunningNode::Control(node) => node.has_lease(self.now_ms()),
            _ => false,
        })
    }

    /// Returns the number of voters in the leader's log; 0 without a leader.
    pub fn voter_count(&self) -> usize {
        match self.leader().map(|leader| &self.processes[leader].running) {
            Some(RunningNode::Control(node)) => node.consensus().members().len(),
            _ => 0,
        }
    }

    /// Returns the indexes of the data nodes' processes.
    pub fn data_nodes(&self) -> std::ops::Range<usize> {
        self.control_count..self.processes.len()
    }

    /// Returns how many data nodes are up, and how many of them hold a lease.
    pub fn up_and_leased_counts(&self) -> (usize, usize) {
        let now_ms = self.now_ms();
        let data = &self.processes[self.control_count..];
        let up = data.iter().filter(|process| !matches!(process.running, RunningNode::Down));
        let leased = data.iter().filter(|process| now_ms < process.lease_until_ms);
        (up.count(), leased.count())
    }

    /// Runs for `duration_us`; returns the bytes that a data node sent and received on average, a
    /// second.
    pub fn data_node_bytes_per_s(&mut self, duration_us: u64) -> f64 {
        self.processes.iter_mut().for_each(|process| process.transferred_bytes = 0);
        self.run_for(duration_us);
        let data = &self.processes[self.control_count..];
        let bytes: u64 = data.iter().map(|process| process.transferred_bytes).sum();
        bytes as f64 / data.len() as f64 / (duration_us as f64 / 1e6)
    }

    /// Submits a plan; returns the milliseconds until each data node published it, for those that
    /// did within 5 s.
    pub fn change_plan(&mut self, version: u64, route_count: usize) -> Vec<u64> {
        let start_us = self.now_us;
        if let Some(leader) = self.leader() {
            self.request(leader, version, Request::Submit(submission(version, route_count)));
        }
        let expected = Some(Name::from(format!("v{version}")));
        for _ in 0..500 {
            self.run_for(10_000);
            if self
                .data_nodes()
                .all(|process_index| self.processes[process_index].version == expected)
            {
                break;
            }
        }
        let data = self.processes[self.control_count..].iter();
        let published = data.filter(|process| process.version == expected);
        published.map(|process| process.published_us.saturating_sub(start_us) / 1_000).collect()
    }

    /// Runs until every data node that is up holds a lease, and for 3 s at least. Returns the
    /// milliseconds until the leases were complete, 0 if they always were; `None` if it takes 20 s.
    pub fn recovery_ms(&mut self) -> Option<u64> {
        let start_us = self.now_us;
        let mut lease_was_missing = false;
        let mut recovered_us = None;
        while self.now_us < start_us + 20_000_000 {
            self.run_for(10_000);
            let (up, leased) = self.up_and_leased_counts();
            let min_time_passed = self.now_us > start_us + 3_000_000;
            if up != leased {
                lease_was_missing = true;
                recovered_us = None;
            } else if lease_was_missing || min_time_passed {
                let took_us = if lease_was_missing { self.now_us - start_us } else { 0 };
                recovered_us.get_or_insert(took_us);
                if min_time_passed {
                    return recovered_us.map(|took_us| took_us / 1_000);
                }
            }
        }
        None
    }
}

fn decode(frame: &[u8]) -> Envelope {
    read_frame(&mut &frame[..]).expect("a sent frame can be decoded")
}

fn service_name(index: usize) -> Name {
    Name::from(format!("service-{}", index % SERVICES))
}

fn target(index: usize) -> Target {
    Target {
        instance: Name::from(format!("i-{index:08x}")),
        service: service_name(index),
        address: SocketAddr::from((Ipv4Addr::from(0x0a80_0000 + index as u32), 8_080)),
        zone: Name::from(format!("zone-{}", index % ZONES)),
        labels: Labels::from([("edition".into(), "v1".into())]),
        draining: false,
        down: false,
        slots: 6,
        warming_up: false,
    }
}

fn route(index: usize, version: u64) -> Route {
    Route {
        path: Name::from(format!("/path{index:05}/*")),
        methods: vec!["*".into()],
        kind: RouteKind::Lookup,
        service: service_name(index),
        when: None,
        body_bytes: 1_000_000,
        rate_per_s: None,
        concurrency: None,
        deadline_ms: 1_500 + version,
        host: Some(Name::from(format!("host{index:05}.example"))),
        weighted_services: Vec::<WeightedService>::new(),
        max_attempts: Some(2),
        latency_target_ms: Some(600),
        priority: 1,
    }
}

/// Returns the submission of a plan with this version, on the version before it.
fn submission(version: u64, route_count: usize) -> Submission {
    let name = |version: u64| Name::from(format!("v{version}"));
    let base = (version > 1).then(|| name(version - 1));
    let mut records = vec![Record::PlanStart { version: name(version), base: base.clone() }];
    for service in (0..SERVICES).map(service_name) {
        let labels = Labels::from([("service".into(), service.clone())]);
        records.push(Record::Service(Service { name: service, labels }));
    }
    records.extend((0..route_count).map(|index| Record::Route(route(index, version))));
    let text = vec![b'x'; route_count * 250];
    records.extend(text.chunks(16_384).map(|chunk| Record::PlanText(chunk.to_vec())));
    Submission { version: name(version), base, records, dry_run: false, allow_empty: true }
}
