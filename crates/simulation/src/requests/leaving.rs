//! Clients that leave before their answer.

use super::Awaits;
use crate::event::Event;
use crate::world::World;
use postbarrow_constants::traffic::CLIENT_CLOSED_CHECK_MS;
use postbarrow_messages::Response;
use postbarrow_node::{AttemptOutcome, Input};

/// Of a thousand requests, so many lose their client before their answer.
const LEAVES_PER_MILLE: u64 = 40;
/// Most of these leave within the time of an ordinary request, a few wait longer.
const LEAVES_SOON_US: u64 = 8_000;
const LEAVES_LATE_US: u64 = 2_000_000;
const LATE_PER_MILLE: u64 = 200;
/// A client that left comes back with its key after this at most.
const COMES_BACK_US: u64 = 1_000_000;

impl World {
    /// Some clients leave, most of them soon.
    pub(super) fn may_lose_its_client(&mut self, request: u64) {
        if self.random.chance(LEAVES_PER_MILLE) {
            let is_late = self.random.chance(LATE_PER_MILLE);
            let most_us = if is_late { LEAVES_LATE_US } else { LEAVES_SOON_US };
            let leaves_us = self.random.below(most_us);
            self.after(leaves_us, Event::ClientLeaves { request });
        }
    }

    /// A client closes its connection before its answer; one with a key may come back with it.
    pub fn client_leaves(&mut self, request: u64) {
        let Some(run) = self.requests.get_mut(&request) else { return };
        if run.flow.is_none() || self.data[run.data].life != run.life {
            return;
        }
        run.client_left = true;
        let (id, keyed, goes, service) = (run.id, run.keyed, run.goes, run.service);
        let (data, life) = (run.data, run.life);
        self.ledger.left(id);
        let seen_us = self.random.below(CLIENT_CLOSED_CHECK_MS * 1_000);
        self.after(seen_us, Event::SeesClientLeave { request, data, life });
        if keyed && service != "catalogue" && goes < 3 && self.random.chance(500) {
            let back_us = self.random.below(COMES_BACK_US);
            self.after(back_us, Event::ClientComesBack { request });
        }
    }

    pub fn client_comes_back(&mut self, request: u64) {
        let Some(run) = self.requests.get(&request) else { return };
        let (id, keyed, goes, service) = (run.id, run.keyed, run.goes, run.service);
        self.client_sends(id, service, keyed, goes + 1);
    }

    /// The node's wait ends, unless it is for a target that may be running a one-time request.
    pub fn sees_client_leave(&mut self, request: u64, data: usize, life: u64) {
        let Some(run) = self.requests.get_mut(&request) else { return };
        if run.flow.is_none() || self.data[data].life != life {
            return;
        }
        run.saw_client_leave = true;
        let is_lookup = run.service == "catalogue";
        let left = || "the client left".to_string();
        let event = match run.awaits {
            Awaits::Connection => postbarrow_node::Event::ConnectFailed(left()),
            Awaits::Controller { key } => {
                self.data[data].waits.remove(&key);
                self.data_input(data, Input::Withdraw { key });
                postbarrow_node::Event::ControllerResponded(Response::TimedOut)
            }
            Awaits::Target if is_lookup => {
                let passed = AttemptOutcome::Unknown { late: false, reason: left() };
                postbarrow_node::Event::AttemptEnded(passed)
            }
            Awaits::Sending | Awaits::Target => return,
        };
        self.go_on(request, data, event);
    }

    /// The last look before the first byte: the client is still there, for all that can be seen.
    pub fn may_send_for_client(&mut self, request: u64) -> bool {
        let Some(run) = self.requests.get_mut(&request) else { return false };
        run.saw_client_leave |= run.client_left;
        if !run.client_left {
            run.awaits = Awaits::Target;
        }
        !run.client_left
    }
}
