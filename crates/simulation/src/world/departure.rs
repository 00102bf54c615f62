//! Clients that close their connection (depart) before the response.

use crate::client::requests::AwaitedEvent;
use crate::event::Event;
use crate::world::World;
use postbarrow_constants::traffic::CLIENT_CLOSED_CHECK_MS;
use postbarrow_messages::Response;
use postbarrow_node::{AttemptOutcome, Input};

/// Probability that the client of an attempt departs before the response, in thousandths.
const DEPARTURES_PER_MILLE: u64 = 40;

/// Latest early departure, in microseconds after the attempt: within the time of an ordinary
/// request. Most departing clients depart early.
const EARLY_DEPARTURE_US: u64 = 8_000;

/// Latest late departure, in microseconds after the attempt.
const LATE_DEPARTURE_US: u64 = 2_000_000;

/// Probability that a departure is a late one, in thousandths.
const LATE_PER_MILLE: u64 = 200;

/// Maximum time after which a departed client sends its request again with its key, in
/// microseconds.
const MAX_RETURN_US: u64 = 1_000_000;

impl World {
    /// Schedules the departure of the client of an attempt, with a probability of
    /// `DEPARTURES_PER_MILLE`.
    pub(super) fn schedule_departure(&mut self, request: u64) {
        if self.random.chance(DEPARTURES_PER_MILLE) {
            let is_late = self.random.chance(LATE_PER_MILLE);
            let max_us = if is_late { LATE_DEPARTURE_US } else { EARLY_DEPARTURE_US };
            let departs_us = self.random.below(max_us);
            self.schedule(departs_us, Event::ClientDeparts { request });
        }
    }

    /// Closes a client's connection before the response; a client with an idempotency key may send
    /// a one-time request again.
    pub fn client_departs(&mut self, request: u64) {
        let Some(run) = self.requests.get_mut(&request) else { return };
        if run.flow.is_none() || self.data[run.data].incarnation != run.incarnation {
            return;
        }
        run.client_departed = true;
        let (id, keyed, attempts, service) = (run.id, run.keyed, run.attempts, run.service);
        let (data, incarnation) = (run.data, run.incarnation);
        self.ledger.record_departure(id);
        let observed_us = self.random.below(CLIENT_CLOSED_CHECK_MS * 1_000);
        self.schedule(observed_us, Event::DepartureObserved { request, data, incarnation });
        if keyed && service != "catalogue" && attempts < 3 && self.random.chance(500) {
            let return_us = self.random.below(MAX_RETURN_US);
            self.schedule(return_us, Event::ClientReturns { request });
        }
    }

    /// Sends the request of a departed client again.
    pub fn client_returns(&mut self, request: u64) {
        let Some(run) = self.requests.get(&request) else { return };
        let (id, keyed, attempts, service) = (run.id, run.keyed, run.attempts, run.service);
        self.send_attempt(id, service, keyed, attempts + 1);
    }

    /// Handles that data node `data` observes a client's departure: the node stops waiting, unless
    /// it waits for a target that may be running a one-time request.
    pub fn observe_departure(&mut self, request: u64, data: usize, incarnation: u64) {
        let Some(run) = self.requests.get_mut(&request) else { return };
        if run.flow.is_none() || self.data[data].incarnation != incarnation {
            return;
        }
        run.departure_observed = true;
        let is_lookup = run.service == "catalogue";
        let reason = || "the client left".to_string();
        let event = match run.awaited_event {
            AwaitedEvent::Connection => postbarrow_node::Event::ConnectFailed(reason()),
            AwaitedEvent::Controller { key } => {
                self.data[data].response_recipients.remove(&key);
                self.data_input(data, Input::Withdraw { key });
                postbarrow_node::Event::ControllerResponded(Response::TimedOut)
            }
            AwaitedEvent::Target if is_lookup => {
                let outcome = AttemptOutcome::Unknown { timed_out: false, reason: reason() };
                postbarrow_node::Event::AttemptEnded(outcome)
            }
            AwaitedEvent::Sending | AwaitedEvent::Target => return,
        };
        self.resume_request(request, data, event);
    }

    /// Makes the last check before the first byte: returns whether the client is still connected.
    /// If it is, the attempt waits for the target from now on; if not, the node has now observed
    /// the departure.
    pub fn check_client_before_send(&mut self, request: u64) -> bool {
        let Some(run) = self.requests.get_mut(&request) else { return false };
        run.departure_observed |= run.client_departed;
        if !run.client_departed {
            run.awaited_event = AwaitedEvent::Target;
        }
        !run.client_departed
    }
}
