use crate::event::Event;
use crate::world::World;
use postbarrow_desk::{Desk, Effect};
use postbarrow_messages::{Ask, Envelope, Message, Response, Submission};
use postbarrow_plan::Plan;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A plan on its way.
#[derive(Clone, Debug)]
pub struct Handed {
    pub version: String,
    pub base: Option<String>,
    pub text: String,
    pub dry: bool,
}

/// Operators who hand over plans, sometimes two at once on one base.
pub struct Operator {
    pub address: SocketAddr,
    pub version: Option<String>,
    pub acknowledged: u64,
    pub refusals: u64,
    pub shown: Option<String>,
    /// Plans of which nobody knows yet whether they are in force.
    pub unsure: BTreeMap<String, String>,
    pub texts: BTreeMap<String, String>,
    desk: Desk,
    handed: BTreeMap<u64, Handed>,
    key: u64,
    pub number: u64,
}

const WAIT_MS: u64 = 3_000;
/// Routes of a large plan, whose entries every check reads; few where only contact is looked at.
const MANY_ROUTES: u64 = 1_500;
const FEW_ROUTES: u64 = 30;

impl Operator {
    pub fn new(address: SocketAddr) -> Self {
        Operator {
            address,
            version: None,
            acknowledged: 0,
            refusals: 0,
            shown: None,
            unsure: BTreeMap::new(),
            texts: BTreeMap::new(),
            desk: Desk::default(),
            handed: BTreeMap::new(),
            key: 0,
            number: 0,
        }
    }
}

pub fn plan_text(version: &str, base: Option<&str>, routes: u64, empty: bool) -> String {
    let base = base.map_or("null".into(), |base| format!("\"{base}\""));
    let more: String = (0..routes)
        .map(|at| format!(",{{\"path\":\"/more/{at}\",\"methods\":[\"GET\"],\"kind\":\"lookup\",\"service\":\"catalogue\"}}"))
        .collect();
    let ledger = if empty { "nobody" } else { "ledger" };
    format!(
        "{{\"version\":\"{version}\",\"base\":{base},\"services\":{{\"catalogue\":{{\"labels\":{{\"service\":\"catalogue\"}}}},\"ledger\":{{\"labels\":{{\"service\":\"{ledger}\"}}}},\"photos\":{{\"labels\":{{\"service\":\"photos\"}}}}}},\"routes\":[{{\"path\":\"/stock/*\",\"methods\":[\"GET\"],\"kind\":\"lookup\",\"service\":\"catalogue\"}},{{\"path\":\"/transfers\",\"methods\":[\"POST\"],\"kind\":\"one-time\",\"service\":\"ledger\"}},{{\"path\":\"/photos/*\",\"methods\":[\"PUT\"],\"kind\":\"one-time\",\"service\":\"photos\"}}{more}]}}"
    )
}

impl Operator {
    /// Every plan of its own has its end.
    pub fn is_idle(&self) -> bool {
        self.handed.is_empty() && self.version.is_some()
    }
}

/// Where the plan began in the log, as an acknowledgement tells it.
pub fn began_at(text: &str) -> Option<u64> {
    let rest = text.split("\"beganAt\":").nth(1)?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

impl World {
    /// Twenty times a second: looks after open questions; now and then hands over a plan.
    pub fn operate(&mut self) {
        let now_ms = self.now_us / 1_000;
        let members: Vec<SocketAddr> = self.control.iter().map(|machine| machine.address).collect();
        self.operator.desk.learn(now_ms, None, &members);
        let effects = self.operator.desk.pulse(now_ms);
        self.operator_does(effects);
        let clung = self.cling.is_some();
        let waits = self.cling.as_ref().is_some_and(|cling| cling.has_order());
        let idle = self.operator.handed.is_empty() && !waits;
        if idle && (self.operator.version.is_none() || (!self.quiet && self.random.chance(25))) {
            match self.random.below(8) {
                _ if self.operator.version.is_none() => self.hand_over(0, false, false),
                0 => self.hand_over(0, true, false),
                1 => self.hand_over(0, false, true),
                2 => self.hand_over(if clung { FEW_ROUTES } else { MANY_ROUTES }, false, false),
                3 => {
                    self.hand_over(0, false, false);
                    self.hand_over(5, false, false);
                }
                _ => self.hand_over(3, false, false),
            }
        }
        self.after(50_000, Event::Operate);
    }

    pub fn hand_over(&mut self, routes: u64, dry: bool, empty: bool) {
        self.operator.number += 1;
        let version = format!("v{}", self.operator.number);
        let base = self.operator.version.clone();
        let text = plan_text(&version, base.as_deref(), routes, empty);
        if dry || empty {
            self.book.refused.insert(version.clone());
        }
        self.operator.texts.insert(version.clone(), text.clone());
        self.submit(Handed { version, base, text, dry });
    }

    pub fn submit(&mut self, handed: Handed) {
        let plan = Plan::read(handed.text.as_bytes()).expect("the simulator's plans are sound");
        let submission = Submission {
            version: handed.version.as_str().into(),
            base: handed.base.as_deref().map(Into::into),
            records: plan.records(),
            dry_run: handed.dry,
            allow_empty: self.operator.version.is_none(),
        };
        self.operator.key += 1;
        let key = self.operator.key;
        self.operator.unsure.insert(handed.version.clone(), handed.text.clone());
        self.operator.handed.insert(key, handed);
        self.operator_asks(key, Ask::Submit(submission));
    }

    pub fn show(&mut self) {
        self.operator.key += 1;
        let key = self.operator.key;
        self.operator_asks(key, Ask::Show);
    }

    fn operator_asks(&mut self, key: u64, ask: Ask) {
        let effects = self.operator.desk.ask(self.now_us / 1_000, key, ask, WAIT_MS);
        self.operator_does(effects);
    }

    pub fn operator_hears(&mut self, envelope: Envelope) {
        if let Message::Response { key, response } = envelope.message {
            let effects = self.operator.desk.on_response(self.now_us / 1_000, key, response);
            self.operator_does(effects);
        }
    }

    fn operator_does(&mut self, effects: Vec<Effect>) {
        let from = self.operator.address;
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.transmit(from, to, message),
                Effect::Answer { response: Response::Plan { text, .. }, .. } => {
                    self.operator.shown = String::from_utf8(text).ok();
                }
                Effect::Answer { key, response } => {
                    if let Some(handed) = self.operator.handed.remove(&key) {
                        self.plan_ended(handed, response);
                    }
                }
            }
        }
    }

    fn plan_ended(&mut self, handed: Handed, response: Response) {
        let Response::Operator { status, body } = response else {
            return self.submit(handed);
        };
        let text = String::from_utf8_lossy(&body).into_owned();
        self.operator.unsure.remove(&handed.version);
        match status {
            200 if handed.dry => {}
            200 => self.plan_acknowledged(&handed, &text),
            503 => self.submit(handed),
            _ => {
                self.operator.refusals += 1;
                self.book.refused.insert(handed.version.clone());
                (0..self.data.len()).for_each(|at| self.check_published(at));
                let named = text.split("\"versionInForce\":\"").nth(1);
                let named = named.and_then(|rest| rest.split('"').next()).map(str::to_string);
                if named.is_some() {
                    self.operator.version = named;
                }
            }
        }
    }

    pub fn plan_acknowledged(&mut self, handed: &Handed, text: &str) {
        let began = began_at(text);
        self.operator.acknowledged += 1;
        self.operator.version = Some(handed.version.clone());
        self.book.in_force.push((self.now_us, began.unwrap_or(0)));
        let other = self.book.acknowledged.insert(handed.base.clone(), handed.version.clone());
        if other.is_some_and(|other| other != handed.version) {
            self.book.violate(format!("two plans were acknowledged on base {:?}", handed.base));
        }
    }
}
