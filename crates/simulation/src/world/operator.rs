//! Operators that submit plans, compete with each other, lose responses and submit orders again.

use crate::client::operator::{Order, Purpose, SubmittedOrder};
use crate::client::plans::{FIXED_ROUTES, began_at, plan_text};
use crate::event::Event;
use crate::world::World;
use postbarrow_controller_client::Effect;
use postbarrow_messages::{Envelope, Message, Request, Response, Submission};
use postbarrow_plan::Plan;
use std::net::SocketAddr;

/// Time that an operator's request may wait for its response, in milliseconds.
const RESPONSE_WAIT_MS: u64 = 3_000;

/// Maximum number of orders submitted at once under one version.
const MAX_COMPETING_ORDERS: u64 = 8;

/// Probability that an acknowledgement is lost, in thousandths.
const ACKNOWLEDGEMENTS_LOST_PER_MILLE: u64 = 150;

/// Number of additional routes of a large plan.
const LARGE_PLAN_ROUTES: u64 = 1_500;

/// Number of additional routes of a large plan in runs with pinned clients. It is small, since
/// every check reads all entries of a plan and these runs check the effects of lost contact only.
const LARGE_PLAN_ROUTES_PINNED: u64 = 30;

impl World {
    /// Handles timeouts of pending requests and sometimes submits a plan; runs twenty times a
    /// second.
    pub fn operators_tick(&mut self) {
        let now_ms = self.now_us / 1_000;
        let listed = self.control.iter().filter(|machine| machine.is_listed(self.now_us));
        let members: Vec<SocketAddr> = listed.map(|machine| machine.address).collect();
        self.operator.controller_client.on_members(now_ms, None, &members);
        let effects = self.operator.controller_client.tick(now_ms);
        self.apply_operator_effects(effects);
        let has_pinned_clients = self.pinned.is_some();
        let has_pinned_order = self.pinned.as_ref().is_some_and(|pinned| pinned.has_order());
        let idle = self.operator.submitted.is_empty() && !has_pinned_order;
        if idle
            && (self.operator.version.is_none() || (!self.plans_paused && self.random.chance(25)))
        {
            match self.random.below(12) {
                _ if self.operator.version.is_none() => self.submit_plan(0, false, false),
                0 => self.submit_plan(0, true, false),
                1 => self.submit_plan(0, false, true),
                2 => self.submit_plan(
                    if has_pinned_clients { LARGE_PLAN_ROUTES_PINNED } else { LARGE_PLAN_ROUTES },
                    false,
                    false,
                ),
                3 => {
                    self.submit_plan(0, false, false);
                    self.submit_plan(5, false, false);
                }
                4 => self.submit_competing_orders(),
                5 => self.submit_order_twice(),
                6 | 7 => {
                    self.repeat_old_orders();
                    self.submit_plan(4, false, false);
                }
                8 => self.repeat_old_orders(),
                _ => self.submit_plan(3, false, false),
            }
        }
        self.schedule(50_000, Event::OperatorsTick);
    }

    /// Prepares a plan with `routes` additional routes and submits it; as a dry run if `dry`, and
    /// with a service that has no target if `empty`.
    pub fn submit_plan(&mut self, routes: u64, dry: bool, empty: bool) {
        self.operator.number += 1;
        let submitted = self.prepare_order(routes, dry, empty);
        self.submit(submitted);
    }

    /// Submits two to eight different plans under one version, as competing operators do.
    fn submit_competing_orders(&mut self) {
        self.operator.number += 1;
        for routes in 0..self.random.between(2, MAX_COMPETING_ORDERS) {
            let submitted = self.prepare_order(routes, false, false);
            self.submit_through_any_member(submitted);
        }
    }

    /// Submits one order through two control machines at once.
    fn submit_order_twice(&mut self) {
        self.operator.number += 1;
        let submitted = self.prepare_order(2, false, false);
        self.submit(submitted.clone());
        self.submit_through_any_member(submitted);
    }

    /// Submits an acknowledged and a refused order again, unchanged, where there are any.
    fn repeat_old_orders(&mut self) {
        let (accepted, refused) =
            (self.ledger.orders.accepted_orders(), self.ledger.orders.refused_orders());
        let mut old = Vec::new();
        for orders in [accepted, refused] {
            if !orders.is_empty() {
                old.push(orders[self.random.below(orders.len() as u64) as usize].clone());
            }
        }
        for order in old {
            self.submit_through_any_member(SubmittedOrder {
                order,
                routes: 0,
                purpose: Purpose::Repeat,
            });
        }
    }

    /// Returns an order for a plan of the newest version number on the newest known base; a dry run
    /// and a plan that must be refused are recorded, since no data node may serve them.
    fn prepare_order(&mut self, routes: u64, dry: bool, empty: bool) -> SubmittedOrder {
        let version = format!("v{}", self.operator.number);
        let base = self.operator.version.clone();
        let text = plan_text(&version, base.as_deref(), routes, empty);
        let routes = routes as usize + FIXED_ROUTES;
        if dry || empty {
            self.ledger.refused.insert((version.clone(), routes));
        }
        self.operator.texts.insert(version.clone(), text.clone());
        let purpose = if dry { Purpose::DryRun } else { Purpose::Change };
        SubmittedOrder { order: Order { version, base, text }, routes, purpose }
    }

    /// Submits an order after dropping the known controller's address, so that the request may go
    /// through another control machine.
    fn submit_through_any_member(&mut self, submitted: SubmittedOrder) {
        self.operator.controller_client.forget_controller();
        self.submit(submitted);
    }

    /// Submits an order, which stays pending until a response acknowledges or refuses it.
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
            self.operator.possibly_in_force.insert(order.text.clone());
        }
        self.operator.submitted.insert(key, submitted);
        self.send_operator_request(key, Request::Submit(submission));
    }

    /// Requests the plan in force; the response is stored in `Operator::shown_plan`.
    pub fn request_plan_in_force(&mut self) {
        self.operator.key += 1;
        let key = self.operator.key;
        self.send_operator_request(key, Request::Show);
    }

    /// Sends a request through the operators' controller client.
    fn send_operator_request(&mut self, key: u64, request: Request) {
        let effects = self.operator.controller_client.send_request(
            self.now_us / 1_000,
            key,
            request,
            RESPONSE_WAIT_MS,
        );
        self.apply_operator_effects(effects);
    }

    /// Passes a frame to the operators' controller client.
    pub fn operator_receives(&mut self, envelope: Envelope) {
        if let Message::Response { key, response } = envelope.message {
            let effects =
                self.operator.controller_client.on_response(self.now_us / 1_000, key, response);
            self.apply_operator_effects(effects);
        }
    }

    /// Carries out the effects of the operators' controller client.
    fn apply_operator_effects(&mut self, effects: Vec<Effect>) {
        let from = self.operator.address;
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.transmit(from, to, message),
                Effect::Answer { response: Response::Plan { text, .. }, .. } => {
                    self.operator.shown_plan = String::from_utf8(text).ok();
                }
                Effect::Answer { key, response } => {
                    if let Some(submitted) = self.operator.submitted.remove(&key) {
                        self.order_answered(submitted, response);
                    }
                }
            }
        }
    }

    /// Handles the response to an order. The order is submitted again unchanged if the response
    /// neither acknowledges nor refuses it, or if its acknowledgement is drawn as lost.
    fn order_answered(&mut self, submitted: SubmittedOrder, response: Response) {
        let Response::Operator { status, body } = response else {
            return self.submit_through_any_member(submitted);
        };
        let text = String::from_utf8_lossy(&body).into_owned();
        let order = submitted.order.clone();
        match (status, submitted.purpose) {
            (200, Purpose::DryRun) => {
                self.operator.possibly_in_force.remove(&order.text);
            }
            (200, purpose) => {
                let lost =
                    !self.plans_paused && self.random.chance(ACKNOWLEDGEMENTS_LOST_PER_MILLE);
                let violations = self.ledger.orders.record_acknowledgement(&order);
                violations.into_iter().for_each(|text| self.ledger.report(text));
                if lost && purpose == Purpose::Change {
                    return self.submit_through_any_member(SubmittedOrder {
                        purpose: Purpose::Repeat,
                        ..submitted
                    });
                }
                self.operator.possibly_in_force.remove(&order.text);
                self.order_acknowledged(order, &text);
            }
            (_, purpose) => {
                self.operator.possibly_in_force.remove(&order.text);
                if purpose != Purpose::DryRun {
                    let violations = self.ledger.orders.record_refusal(&order);
                    violations.into_iter().for_each(|text| self.ledger.report(text));
                }
                self.order_refused(&submitted, &text);
            }
        }
    }

    /// Records a refused order, checks that no data node serves its plan, and records the version
    /// in force that the response names.
    fn order_refused(&mut self, submitted: &SubmittedOrder, text: &str) {
        self.operator.refusals += 1;
        if submitted.purpose != Purpose::Repeat {
            self.ledger.refused.insert((submitted.order.version.clone(), submitted.routes));
        }
        (0..self.data.len()).for_each(|at| self.check_published(at));
        let in_force = text.split("\"versionInForce\":\"").nth(1);
        let in_force = in_force.and_then(|rest| rest.split('"').next()).map(str::to_string);
        if let Some(in_force) = in_force {
            self.operator.record_version(in_force);
        }
    }

    /// Records an acknowledged order; `text` is the response's body.
    pub fn order_acknowledged(&mut self, order: Order, text: &str) {
        let offset = began_at(text);
        self.operator.acknowledged += 1;
        self.ledger.in_force.push((self.now_us, offset.unwrap_or(0)));
        self.operator.texts.insert(order.version.clone(), order.text);
        if text.contains("\"inForce\":true") {
            self.operator.record_version(order.version);
        }
    }
}
