//! Clients that depart before their response.

use crate::client::requests::Awaits;
use crate::event::Event;
use crate::world::World;
use postbarrow_constants::traffic::CLIENT_CLOSED_CHECK_MS;
use postbarrow_messages::Response;
use postbarrow_node::{AttemptOutcome, Input};

/// Of a thousand requests, how many have a client that departs before the response.
const DEPARTURES_PER_MILLE: u64 = 40;

/// Most of these depart within the time of an ordinary request, a few later.
const EARLY_DEPARTURE_US: u64 = 8_000;

const LATE_DEPARTURE_US: u64 = 2_000_000;

const LATE_PER_MILLE: u64 = 200;

/// A departed client returns with its key after this time at most.
const MAX_RETURN_US: u64 = 1_000_000;

impl World {
    /// Schedules the departure of some clients, of most soon.
    pub(super) fn schedule_departure(&mut self, request: u64) {
        if self.random.chance(DEPARTURES_PER_MILLE) {
            let is_late = self.random.chance(LATE_PER_MILLE);
            let max_us = if is_late { LATE_DEPARTURE_US } else { EARLY_DEPARTURE_US };
            let departs_us = self.random.below(max_us);
            self.after(departs_us, Event::ClientDeparts { request });
        }
    }

    /// A client closes its connection before its response; one with a key may return with it.
    pub fn client_departs(&mut self, request: u64) {
        let Some(run) = self.requests.get_mut(&request) else { return };
        if run.flow.is_none() || self.data[run.data].incarnation != run.incarnation {
            return;
        }
        run.client_left = true;
        let (id, keyed, attempts, service) = (run.id, run.keyed, run.attempts, run.service);
        let (data, incarnation) = (run.data, run.incarnation);
        self.ledger.record_departure(id);
        let observed_us = self.random.below(CLIENT_CLOSED_CHECK_MS * 1_000);
        self.after(observed_us, Event::DepartureObserved { request, data, incarnation });
        if keyed && service != "catalogue" && attempts < 3 && self.random.chance(500) {
            let back_us = self.random.below(MAX_RETURN_US);
            self.after(back_us, Event::ClientReturns { request });
        }
    }

    /// A client that departed sends the same request again.
    pub fn client_returns(&mut self, request: u64) {
        let Some(run) = self.requests.get(&request) else { return };
        let (id, keyed, attempts, service) = (run.id, run.keyed, run.attempts, run.service);
        self.client_sends(id, service, keyed, attempts + 1);
    }

    /// The node stops waiting, unless it waits for a target that may be running a one-time request.
    pub fn observe_departure(&mut self, request: u64, data: usize, incarnation: u64) {
        let Some(run) = self.requests.get_mut(&request) else { return };
        if run.flow.is_none() || self.data[data].incarnation != incarnation {
            return;
        }
        run.departure_observed = true;
        let is_lookup = run.service == "catalogue";
        let reason = || "the client left".to_string();
        let event = match run.awaits {
            Awaits::Connection => postbarrow_node::Event::ConnectFailed(reason()),
            Awaits::Controller { key } => {
                self.data[data].waits.remove(&key);
                self.data_input(data, Input::Withdraw { key });
                postbarrow_node::Event::ControllerResponded(Response::TimedOut)
            }
            Awaits::Target if is_lookup => {
                let outcome = AttemptOutcome::Unknown { late: false, reason: reason() };
                postbarrow_node::Event::AttemptEnded(outcome)
            }
            Awaits::Sending | Awaits::Target => return,
        };
        self.resume_request(request, data, event);
    }

    /// The last check before the first byte: whether the client is still connected as far as is
    /// known.
    pub fn check_client_before_send(&mut self, request: u64) -> bool {
        let Some(run) = self.requests.get_mut(&request) else { return false };
        run.departure_observed |= run.client_left;
        if !run.client_left {
            run.awaits = Awaits::Target;
        }
        !run.client_left
    }
}
