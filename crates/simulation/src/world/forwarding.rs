//! Forwarding of requests: connections to targets, sending, and runs at targets.

use crate::event::{Event, ProcessId};
use crate::world::World;
use postbarrow_node::{AttemptOutcome, TargetResponse};
use postbarrow_state::{Name, Target};

impl World {
    /// Connects data node `data` to the target's address. The other end proves its identity before
    /// the request is sent; another target there, a frozen one or none fails the connection.
    pub fn connect(&mut self, request: u64, data: usize, target: &Target) {
        let incarnation = self.data[data].incarnation;
        let found = self.target_at(target.address).map(|found| found.instance.clone());
        if let Some(run) = self.requests.get_mut(&request) {
            run.connected_instance = found;
        }
        let (took_us, event) = match self.target_at(target.address) {
            None => (600, postbarrow_node::Event::ConnectFailed("refused".into())),
            Some(found) if found.frozen => {
                (800_000, postbarrow_node::Event::ConnectFailed("no proof in time".into()))
            }
            Some(found) if found.instance != target.instance.as_str() => {
                (1_200, postbarrow_node::Event::ConnectFailed("another target".into()))
            }
            Some(_) => (1_200, postbarrow_node::Event::Connected),
        };
        self.schedule(took_us, Event::Resume { request, data, incarnation, event });
    }

    /// Makes the last checks right before the first byte and then sends the request: the client is
    /// connected, the target is still allowed, the time `until_ms` has not passed, and the node
    /// serves.
    pub fn send(&mut self, request: u64, data: usize, until_ms: u64) {
        let incarnation = self.data[data].incarnation;
        let now_ms = self.local_ms(ProcessId::Data(data));
        let Some((target, load)) = self.requests.get(&request).and_then(|run| run.target.clone())
        else {
            return;
        };
        let service = Name::from(self.requests[&request].service);
        let allowed = self.data[data].table.allows(&service, &target.instance);
        let is_client_connected = self.check_client_before_send(request);
        if !(is_client_connected && allowed && now_ms < until_ms && self.serves(data)) {
            let event = postbarrow_node::Event::AttemptEnded(AttemptOutcome::Unsent(
                "a last check failed".into(),
            ));
            return self.schedule(0, Event::Resume { request, data, incarnation, event });
        }
        self.check_forward(request, data);
        let Some(run) = self.requests.get_mut(&request) else { return };
        load.request_started();
        let Some(instance) = run.connected_instance.clone() else { return };
        let delay_us = self.random.between(200, 900);
        self.schedule(delay_us, Event::Run { request, data, incarnation, instance });
    }

    /// Handles a request's bytes at the target of this instance: the target runs the request, or
    /// the connection breaks because its process has ended.
    pub fn run(&mut self, request: u64, data: usize, incarnation: u64, instance: &str) {
        let Some(run) = self.requests.get(&request) else { return };
        let (id, service) = (run.id, run.service);
        if let Some((_, load)) = &run.target {
            load.request_ended();
        }
        let draw = self.random.below(1_000);
        let target = self.targets.iter().find(|target| target.instance == instance);
        let Some((alive, frozen, lost_per_mille, target_service)) = target.map(|target| {
            (target.alive, target.frozen, target.lost_per_mille, target.service.clone())
        }) else {
            return;
        };
        let unknown_outcome =
            |timed_out, reason: &str| AttemptOutcome::Unknown { timed_out, reason: reason.into() };
        let (took_us, outcome) = if !alive {
            (300, unknown_outcome(false, "broken"))
        } else if frozen {
            self.ledger.record_run(id, request, instance, &target_service, service);
            self.ledger.run_times_us.push(self.now_us);
            (4_000_000, unknown_outcome(true, "late"))
        } else {
            self.ledger.record_run(id, request, instance, &target_service, service);
            self.ledger.run_times_us.push(self.now_us);
            let took_us = self.random.between(1_000, 6_000);
            if draw < lost_per_mille {
                (took_us, unknown_outcome(false, "the response is lost"))
            } else {
                (took_us, AttemptOutcome::Complete(response(id)))
            }
        };
        let event = postbarrow_node::Event::AttemptEnded(outcome);
        self.schedule(took_us, Event::Resume { request, data, incarnation, event });
    }
}

/// Returns a target's response, whose header `x-id` contains the request's id.
fn response(id: u64) -> TargetResponse {
    let headers = vec![("x-id".to_string(), id.to_string())];
    TargetResponse { status: 200, headers, body: vec![1] }
}
