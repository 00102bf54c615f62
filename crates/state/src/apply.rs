use crate::patch::{patch_routes, patch_text};
use crate::*;
use postbarrow_transactions::Image;

impl Image for State {
    type Record = Record;

    fn apply(&mut self, offset: u64, record: &Record) {
        match record {
            Record::PlanStart { version, base } => {
                let head = PlanHead { version: version.clone(), base: base.clone(), offset };
                self.plan = Some(Arc::new(head));
                self.callers = ClientLimits::default();
                self.plan_text.clear();
                self.services.clear();
                self.routes.clear();
            }
            Record::PlanDelta { version, base } => {
                let head = PlanHead { version: version.clone(), base: base.clone(), offset };
                self.plan = Some(Arc::new(head));
            }
            Record::ServiceGone(name) => {
                self.services.remove(name);
            }
            Record::RoutesPatch(splices) => patch_routes(&mut self.routes, splices),
            Record::TextPatch(splices) => patch_text(&mut self.plan_text, splices),
            Record::PlanText(part) => self.plan_text.push_back(Arc::new(part.clone())),
            Record::Service(service) => {
                self.services.insert(service.name.clone(), Arc::new(service.clone()));
            }
            Record::Route(route) => self.routes.push_back(Arc::new(route.clone())),
            Record::Target(target) => {
                self.targets.insert(target.instance.clone(), Arc::new(target.clone()));
            }
            Record::TargetGone(instance) => {
                self.targets.remove(instance);
            }
            Record::TargetDown { instance, down } => {
                if let Some(target) = self.targets.get_mut(instance) {
                    Arc::make_mut(target).down = *down;
                }
            }
            Record::Node(node) => {
                self.nodes.insert(node.incarnation, Arc::new(node.clone()));
            }
            Record::NodeGone(incarnation) => {
                self.nodes.remove(incarnation);
            }
            Record::Ticket(ticket) => {
                let old = self.tickets.insert(ticket.key.clone(), Arc::new(ticket.clone()));
                self.stored_response_bytes -= kept_bytes(old.as_ref());
            }
            Record::Settled { key, settlement, response } => {
                if let Some(ticket) = self.tickets.get_mut(key) {
                    self.stored_response_bytes -= kept_bytes(Some(ticket));
                    let settled = Arc::make_mut(ticket);
                    settled.settlement = Some(*settlement);
                    settled.response = response.clone().map(Arc::new);
                    settled.era = self.era;
                    self.stored_response_bytes += kept_bytes(Some(ticket));
                }
            }
            Record::TicketsForgotten(keys) => {
                for key in keys {
                    let old = self.tickets.remove(key);
                    self.stored_response_bytes -= kept_bytes(old.as_ref());
                }
            }
            Record::Repeat { id, outcome } => {
                self.repeats.insert(id.clone(), Arc::new(outcome.clone()));
                self.repeat_queue.push_back((self.era, id.clone()));
            }
            Record::RepeatsForgotten(ids) => {
                for id in ids {
                    self.repeats.remove(id);
                }
                let known = &self.repeats;
                while self.repeat_queue.front().is_some_and(|(_, id)| !known.contains_key(id)) {
                    self.repeat_queue.pop_front();
                }
            }
            Record::HistoryTrimmed { floor } => {
                while self.history.front().is_some_and(|event| event.revision <= *floor) {
                    self.history.pop_front();
                }
                self.history_floor = self.history_floor.max(*floor);
            }
            Record::ClientLimits(callers) => self.callers = callers.clone(),
            Record::Era { by } => self.era += by,
            Record::PlanAccepted { version, base, digest, began_at } => {
                self.remember_accepted(AcceptedPlan {
                    version: version.clone(),
                    base: base.clone(),
                    digest: *digest,
                    began_at: *began_at,
                    ended_at: offset,
                });
            }
            Record::PlanRefused(refused) => self.remember_refused(refused.clone()),
            Record::Lock { name, holder, fence, ttl_ms } => {
                let lock = Lock { holder: holder.clone(), fence: *fence, ttl_ms: *ttl_ms };
                self.locks.insert(name.clone(), lock);
                self.fence = self.fence.max(*fence);
                self.tell(name, Change::Locked { fence: *fence });
            }
            Record::LockFreed { name } => {
                self.locks.remove(name);
                self.tell(name, Change::Freed);
            }
            Record::Number { name, value } => {
                self.numbers.insert(name.clone(), *value);
                self.tell(name, Change::Number(*value));
            }
            Record::Key { name, key: Some(key) } => {
                self.keys.insert(name.clone(), Arc::new(key.clone()));
                self.tell(name, Change::Key(key.clone()));
            }
            Record::Key { name, key: None } => {
                self.keys.remove(name);
                self.tell(name, Change::KeyGone);
            }
        }
    }
}

fn kept_bytes(ticket: Option<&Arc<Ticket>>) -> u64 {
    let kept = ticket.and_then(|ticket| ticket.response.as_ref());
    kept.map_or(0, |kept| kept.size() as u64)
}

impl State {
    fn tell(&mut self, name: &Name, change: Change) {
        self.revision += 1;
        let event = Event { revision: self.revision, name: name.clone(), change };
        self.history.push_back(Arc::new(event));
    }
}
