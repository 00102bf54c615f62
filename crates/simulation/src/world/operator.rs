//! Operators that submit plans, race each other, lose responses and submit orders again.

use crate::client::operator::{Order, Purpose, SubmittedOrder};
use crate::client::plans::{ROUTES, began_at, plan_text};
use crate::event::Event;
use crate::world::World;
use postbarrow_controller_client::Effect;
use postbarrow_messages::{Envelope, Message, Request, Response, Submission};
use postbarrow_plan::Plan;
use std::net::SocketAddr;

const WAIT_MS: u64 = 3_000;

/// Maximum of orders pending at once.
const RACERS: u64 = 8;

/// Of a thousand acknowledgements, how many are lost.
const ACKNOWLEDGEMENTS_LOST_PER_MILLE: u64 = 150;

/// Routes of a large plan, whose entries every check reads; few where only contact is checked.
const MANY_ROUTES: u64 = 1_500;

const FEW_ROUTES: u64 = 30;

impl World {
    /// Twenty times a second: drives pending requests, and now and then submits a plan.
    pub fn operate(&mut self) {
        let now_ms = self.now_us / 1_000;
        let listed = self.control.iter().filter(|machine| machine.is_listed(self.now_us));
        let members: Vec<SocketAddr> = listed.map(|machine| machine.address).collect();
        self.operator.controller_client.on_members(now_ms, None, &members);
        let effects = self.operator.controller_client.tick(now_ms);
        self.apply_operator_effects(effects);
        let has_pinned_clients = self.pinned.is_some();
        let has_pinned_order = self.pinned.as_ref().is_some_and(|pinned| pinned.has_order());
        let idle = self.operator.submitted.is_empty() && !has_pinned_order;
        if idle && (self.operator.version.is_none() || (!self.quiet && self.random.chance(25))) {
            match self.random.below(12) {
                _ if self.operator.version.is_none() => self.submit_plan(0, false, false),
                0 => self.submit_plan(0, true, false),
                1 => self.submit_plan(0, false, true),
                2 => self.submit_plan(
                    if has_pinned_clients { FEW_ROUTES } else { MANY_ROUTES },
                    false,
                    false,
                ),
                3 => {
                    self.submit_plan(0, false, false);
                    self.submit_plan(5, false, false);
                }
                4 => self.race(),
                5 => self.submit_plan_twice(),
                6 | 7 => {
                    self.send_old_orders();
                    self.submit_plan(4, false, false);
                }
                8 => self.send_old_orders(),
                _ => self.submit_plan(3, false, false),
            }
        }
        self.after(50_000, Event::Operate);
    }

    /// Prepares a plan with `routes` further routes and submits it; `dry`: as a dry run; `empty`:
    /// with a service that has no target.
    pub fn submit_plan(&mut self, routes: u64, dry: bool, empty: bool) {
        self.operator.number += 1;
        let submitted = self.prepare_order(routes, dry, empty);
        self.submit(submitted);
    }

    /// Up to eight operators submit different changes under one version.
    fn race(&mut self) {
        self.operator.number += 1;
        for routes in 0..self.random.between(2, RACERS) {
            let submitted = self.prepare_order(routes, false, false);
            self.submit_elsewhere(submitted);
        }
    }

    /// Submits one order by two members at once.
    fn submit_plan_twice(&mut self) {
        self.operator.number += 1;
        let submitted = self.prepare_order(2, false, false);
        self.submit(submitted.clone());
        self.submit_elsewhere(submitted);
    }

    /// Submits an acknowledged and a refused order again, unchanged.
    fn send_old_orders(&mut self) {
        let (accepted, refused) =
            (self.ledger.orders.accepted_orders(), self.ledger.orders.refused_orders());
        let mut old = Vec::new();
        for orders in [accepted, refused] {
            if !orders.is_empty() {
                old.push(orders[self.random.below(orders.len() as u64) as usize].clone());
            }
        }
        for order in old {
            self.submit_elsewhere(SubmittedOrder { order, routes: 0, purpose: Purpose::Repeat });
        }
    }

    fn prepare_order(&mut self, routes: u64, dry: bool, empty: bool) -> SubmittedOrder {
        let version = format!("v{}", self.operator.number);
        let base = self.operator.version.clone();
        let text = plan_text(&version, base.as_deref(), routes, empty);
        let routes = routes as usize + ROUTES;
        if dry || empty {
            self.ledger.refused.insert((version.clone(), routes));
        }
        self.operator.texts.insert(version.clone(), text.clone());
        let purpose = if dry { Purpose::DryRun } else { Purpose::Change };
        SubmittedOrder { order: Order { version, base, text }, routes, purpose }
    }

    /// Submits by another member than the one that answers now.
    fn submit_elsewhere(&mut self, submitted: SubmittedOrder) {
        self.operator.controller_client.suspect_controller();
        self.submit(submitted);
    }

    /// Submits an order, which stays pending until it has a clear response.
    pub fn submit(&mut self, submitted: SubmittedOrder) {
        let order = &submitted.order;
        let plan = Plan::read(order.text.as_bytes()).expect("the simulator's plans are valid");
        let submission = Submission {
            version: order.version.as_str().into(),
            base: order.base.as_deref().map(Into::into),
            records: plan.records(),
            dry_run: submitted.purpose == Purpose::DryRun,
            allow_empty: self.operator.version.is_none(),
        };
        self.operator.key += 1;
        let key = self.operator.key;
        if submitted.purpose != Purpose::Repeat {
            self.operator.unsure.insert(order.text.clone());
        }
        self.operator.submitted.insert(key, submitted);
        self.send_operator_request(key, Request::Submit(submission));
    }

    /// Requests the plan in force; `Operator::shown` receives it.
    pub fn show(&mut self) {
        self.operator.key += 1;
        let key = self.operator.key;
        self.send_operator_request(key, Request::Show);
    }

    fn send_operator_request(&mut self, key: u64, request: Request) {
        let effects = self.operator.controller_client.send_request(
            self.now_us / 1_000,
            key,
            request,
            WAIT_MS,
        );
        self.apply_operator_effects(effects);
    }

    /// Feeds a frame to the operators' client.
    pub fn operator_receives(&mut self, envelope: Envelope) {
        if let Message::Response { key, response } = envelope.message {
            let effects =
                self.operator.controller_client.on_response(self.now_us / 1_000, key, response);
            self.apply_operator_effects(effects);
        }
    }

    fn apply_operator_effects(&mut self, effects: Vec<Effect>) {
        let from = self.operator.address;
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.transmit(from, to, message),
                Effect::Answer { response: Response::Plan { text, .. }, .. } => {
                    self.operator.shown = String::from_utf8(text).ok();
                }
                Effect::Answer { key, response } => {
                    if let Some(submitted) = self.operator.submitted.remove(&key) {
                        self.plan_ended(submitted, response);
                    }
                }
            }
        }
    }

    /// Handles a response. An order without a clear one is submitted again unchanged, as is one
    /// whose acknowledgement was lost.
    fn plan_ended(&mut self, submitted: SubmittedOrder, response: Response) {
        let Response::Operator { status, body } = response else {
            return self.submit_elsewhere(submitted);
        };
        let text = String::from_utf8_lossy(&body).into_owned();
        let order = submitted.order.clone();
        match (status, submitted.purpose) {
            (200, Purpose::DryRun) => {
                self.operator.unsure.remove(&order.text);
            }
            (200, purpose) => {
                let lost = !self.quiet && self.random.chance(ACKNOWLEDGEMENTS_LOST_PER_MILLE);
                let found = self.ledger.orders.acknowledged(&order);
                found.into_iter().for_each(|text| self.ledger.violate(text));
                if lost && purpose == Purpose::Change {
                    return self.submit_elsewhere(SubmittedOrder {
                        purpose: Purpose::Repeat,
                        ..submitted
                    });
                }
                self.operator.unsure.remove(&order.text);
                self.plan_acknowledged(order, &text);
            }
            (_, purpose) => {
                self.operator.unsure.remove(&order.text);
                if purpose != Purpose::DryRun {
                    let found = self.ledger.orders.refused(&order);
                    found.into_iter().for_each(|text| self.ledger.violate(text));
                }
                self.plan_refused(&submitted, &text);
            }
        }
    }

    fn plan_refused(&mut self, submitted: &SubmittedOrder, text: &str) {
        self.operator.refusals += 1;
        if submitted.purpose != Purpose::Repeat {
            self.ledger.refused.insert((submitted.order.version.clone(), submitted.routes));
        }
        (0..self.data.len()).for_each(|at| self.check_published(at));
        let named = text.split("\"versionInForce\":\"").nth(1);
        let named = named.and_then(|rest| rest.split('"').next()).map(str::to_string);
        if let Some(named) = named {
            self.operator.learn(named);
        }
    }

    /// Records an acknowledged plan; `text` is the response's body.
    pub fn plan_acknowledged(&mut self, order: Order, text: &str) {
        let began = began_at(text);
        self.operator.acknowledged += 1;
        self.ledger.in_force.push((self.now_us, began.unwrap_or(0)));
        self.operator.texts.insert(order.version.clone(), order.text);
        if text.contains("\"inForce\":true") {
            self.operator.learn(order.version);
        }
    }
}
