//! Starts, ends, inputs and probes of data machines.

use crate::event::{Event, ProcessId};
use crate::node::data::ResponseRecipient;
use crate::world::World;
use postbarrow_node::{DataNode, Effect, Input};
use postbarrow_routing::Table;
use postbarrow_state::{Name, Node};
use std::sync::Arc;

impl World {
    /// Starts the process of data machine `at` with an empty routing table.
    pub fn start_data(&mut self, at: usize) {
        let announced_incarnation = self.random.draw();
        let now_ms = self.local_ms(ProcessId::Data(at));
        let mut seeds = self.seeds.clone();
        if at > 0 && !self.control_seeds_only {
            seeds[2] = self.data[0].address;
        }
        let machine = &mut self.data[at];
        machine.incarnation += 1;
        machine.announced_incarnation = announced_incarnation;
        machine.table = Arc::new(Table::empty());
        machine.lease_until_ms = 0;
        machine.response_recipients.clear();
        let own_node = Node {
            incarnation: announced_incarnation,
            name: Name::from(format!("data-{}", machine.at)),
            address: machine.address,
            http: machine.address,
            zone: machine.zone.clone(),
        };
        machine.node = Some(DataNode::new(own_node, seeds, now_ms));
        let incarnation = machine.incarnation;
        self.schedule(0, Event::Tick { process: ProcessId::Data(at), incarnation });
        self.schedule(200_000, Event::Probe { data: at, incarnation });
    }

    /// Ends the process of data machine `at`; its state is lost.
    pub fn end_data(&mut self, at: usize) {
        let machine = &mut self.data[at];
        machine.node = None;
        machine.incarnation += 1;
        machine.response_recipients.clear();
    }

    /// Returns whether data node `at` runs and its lease has not expired by its own clock.
    pub fn serves(&self, at: usize) -> bool {
        let machine = &self.data[at];
        machine.node.is_some() && self.local_ms(ProcessId::Data(at)) < machine.lease_until_ms
    }

    /// Returns whether data node `at` runs and reports itself ready.
    pub fn is_ready(&self, at: usize) -> bool {
        let now_ms = self.local_ms(ProcessId::Data(at));
        self.data[at].node.as_ref().is_some_and(|node| node.is_ready(now_ms))
    }

    /// Passes one input to data node `at` and carries out its effects.
    pub fn data_input(&mut self, at: usize, input: Input) {
        let (now_us, now_ms) = (self.now_us, self.local_ms(ProcessId::Data(at)));
        let machine = &mut self.data[at];
        let Some(node) = &mut machine.node else { return };
        let effects = node.handle(now_ms, input);
        if node.is_ready(now_ms) {
            machine.ready_us = now_us;
        }
        let from = machine.address;
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.transmit(from, to, message),
                Effect::Publish { state, offset } => {
                    let machine = &mut self.data[at];
                    let is_older = offset < machine.table.offset;
                    machine.table = Arc::new(Table::new(state, offset, &machine.table));
                    if is_older {
                        self.ledger.report(format!("data-{at} fell back to an older image"));
                    }
                    self.check_published(at);
                }
                Effect::Lease { until_ms } => self.data[at].lease_until_ms = until_ms,
                Effect::Log(text) => self.log_line(ProcessId::Data(at), &text),
                Effect::Answer { key, response } => {
                    match self.data[at]
                        .response_recipients
                        .remove(&key)
                        .unwrap_or(ResponseRecipient::None)
                    {
                        ResponseRecipient::Request(request) => {
                            let event = postbarrow_node::Event::ControllerResponded(response);
                            let incarnation = self.data[at].incarnation;
                            self.schedule(
                                0,
                                Event::Resume { request, data: at, incarnation, event },
                            );
                        }
                        ResponseRecipient::Caller { caller, number } => {
                            self.node_receives_outcome(at, caller, number, response)
                        }
                        ResponseRecipient::None => {}
                    }
                }
            }
        }
    }

    /// Sends a request to the controller through data node `at`, with a new key.
    pub fn send_to_controller(
        &mut self,
        at: usize,
        request: postbarrow_messages::Request,
        wait_ms: u64,
        recipient: ResponseRecipient,
    ) {
        let key = self.next_request_key(at);
        self.send_keyed_request(at, key, request, wait_ms, recipient);
    }

    /// Returns a request key that data node `at` has not used yet.
    pub fn next_request_key(&mut self, at: usize) -> u64 {
        let machine = &mut self.data[at];
        machine.number += 1;
        machine.number
    }

    /// Sends a request to the controller through data node `at` with this key, which names the
    /// recipient of the response.
    pub fn send_keyed_request(
        &mut self,
        at: usize,
        key: u64,
        request: postbarrow_messages::Request,
        wait_ms: u64,
        recipient: ResponseRecipient,
    ) {
        self.data[at].response_recipients.insert(key, recipient);
        self.data_input(at, Input::Request { key, request, wait_ms });
    }

    /// Probes every target in the routing table of data node `at` and schedules the next probes.
    pub fn probe(&mut self, at: usize, incarnation: u64) {
        if self.data[at].incarnation != incarnation || self.data[at].node.is_none() {
            return;
        }
        let table = self.data[at].table.clone();
        for (instance, target) in &table.state.targets {
            let identified = self
                .target_at(target.address)
                .is_some_and(|found| !found.frozen && found.instance == instance.as_str());
            let instance = instance.clone();
            self.data_input(at, Input::Probed { instance, identified });
        }
        self.schedule(500_000, Event::Probe { data: at, incarnation });
    }
}
