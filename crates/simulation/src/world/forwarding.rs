//! Forwarding: a request on its connection to a target, and what the target does with it.

use crate::event::{Event, ProcessId};
use crate::world::World;
use postbarrow_node::{AttemptOutcome, TargetResponse};
use postbarrow_state::{Name, Target};

/// From a node to a target and back.
impl World {
    /// Connects; the other end proves its identity before anything is sent.
    pub fn connect(&mut self, request: u64, data: usize, target: &Target) {
        let incarnation = self.data[data].incarnation;
        let found = self.target_at(target.address).map(|found| found.instance.clone());
        if let Some(run) = self.requests.get_mut(&request) {
            run.connected = found;
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
        self.after(took_us, Event::Resume { request, data, incarnation, event });
    }

    /// The last check right before the first byte, then the bytes.
    pub fn send(&mut self, request: u64, data: usize, until_ms: u64) {
        let incarnation = self.data[data].incarnation;
        let now_ms = self.local_ms(ProcessId::Data(data));
        let Some((target, load)) = self.requests.get(&request).and_then(|run| run.target.clone())
        else {
            return;
        };
        let service = Name::from(self.requests[&request].service);
        let allowed = self.data[data].table.allows(&service, &target.instance);
        let client_waits = self.check_client_before_send(request);
        if !(client_waits && allowed && now_ms < until_ms && self.serves(data)) {
            let event = postbarrow_node::Event::AttemptEnded(AttemptOutcome::Unsent(
                "the gate is shut".into(),
            ));
            return self.after(0, Event::Resume { request, data, incarnation, event });
        }
        self.check_forward(request, data);
        let Some(run) = self.requests.get_mut(&request) else { return };
        load.enter();
        let Some(instance) = run.connected.clone() else { return };
        let delay_us = self.random.between(200, 900);
        self.after(delay_us, Event::Run { request, data, incarnation, instance });
    }

    /// The bytes reach the target, or the connection breaks and the outcome is unknown.
    pub fn run(&mut self, request: u64, data: usize, incarnation: u64, instance: &str) {
        let Some(run) = self.requests.get(&request) else { return };
        let (id, service) = (run.id, run.service);
        if let Some((_, load)) = &run.target {
            load.leave();
        }
        let lost = self.random.below(1_000);
        let target = self.targets.iter().find(|target| target.instance == instance);
        let Some((alive, frozen, lossy, kind)) = target.map(|target| {
            (target.alive, target.frozen, target.lost_per_mille, target.service.clone())
        }) else {
            return;
        };
        let failed = |late, reason: &str| AttemptOutcome::Unknown { late, reason: reason.into() };
        let (took_us, outcome) = if !alive {
            (300, failed(false, "broken"))
        } else if frozen {
            self.ledger.ran(id, request, instance, &kind, service);
            self.ledger.ran_us.push(self.now_us);
            (4_000_000, failed(true, "late"))
        } else {
            self.ledger.ran(id, request, instance, &kind, service);
            self.ledger.ran_us.push(self.now_us);
            let took_us = self.random.between(1_000, 6_000);
            if lost < lossy {
                (took_us, failed(false, "the response is lost"))
            } else {
                (took_us, AttemptOutcome::Complete(response(id)))
            }
        };
        let event = postbarrow_node::Event::AttemptEnded(outcome);
        self.after(took_us, Event::Resume { request, data, incarnation, event });
    }
}

/// A target's response, which names its request.
fn response(id: u64) -> TargetResponse {
    let headers = vec![("x-id".to_string(), id.to_string())];
    TargetResponse { status: 200, headers, body: vec![1] }
}
