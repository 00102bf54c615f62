use crate::downstream::head::{Head, passed_on};
use crate::memory::Reserved;
use crate::share::Shared;
use crate::upstream::Proved;
use crate::wire::Gate;
use postbarrow_constants::coordination::{SETTLE_WAIT_MS, TICKET_KEY_BYTES};
use postbarrow_messages::Ask;
use postbarrow_node::*;
use postbarrow_routing::{Entry, Load};
use postbarrow_state::{Digest, Kind, Name, Target};
use postbarrow_transport::now_ms;
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

/// Drives the course of one ask on this thread.
pub fn run(
    shared: &Arc<Shared>,
    entry: Arc<Entry>,
    head: &Head,
    body: Vec<u8>,
    startMs: u64,
) -> (TargetResponse, Option<Reserved>) {
    let key = head.header("idempotency-key");
    let number = shared.number();
    let oneTime = entry.route().kind == Kind::OneTime;
    let go = Go {
        key: match key {
            Some(key) => Name::from(key),
            None if oneTime => shared.made_key(),
            None => Name::default(),
        },
        keyed: key.is_some(),
        digest: if oneTime { digest(head, &body) } else { [0; 32] },
        node: shared.own.incarnation,
        zone: shared.own.zone.clone(),
        startMs,
        seed: shared.own.incarnation ^ number,
    };
    let headers = passed_on(&head.headers);
    let service = entry.route().service.clone();
    let mut course = Course::new(go, entry);
    let mut work = Work {
        shared,
        service,
        head,
        headers,
        body,
        proved: None,
        target: None,
        load: None,
        memory: None,
    };
    let mut event = Event::Start;
    loop {
        let table = shared.table.load_full();
        let now = Now {
            nowMs: now_ms(),
            table: &table,
            serves: shared.serves(),
            number: shared.number(),
        };
        event = match course.handle(&now, event) {
            Step::Connect { target, load } => work.connect(target, load),
            Step::AskTicket { ticket, waitMs } => {
                Event::Answered(shared.ask(Ask::Ticket(ticket), waitMs))
            }
            Step::Pass { waitMs, untilMs } => Event::Passed(work.pass(waitMs, untilMs)),
            Step::Settle { ticket, settlement, response, waitMs } => {
                let settle = Ask::Settle { ticket, settlement, response };
                Event::Answered(shared.ask(settle, waitMs))
            }
            Step::Done { verdict, settle } => {
                if let Some((ticket, settlement, response)) = settle {
                    let settle = Ask::Settle { ticket, settlement, response };
                    shared.tell(settle, SETTLE_WAIT_MS);
                }
                return (verdict.into_response(), work.memory);
            }
        };
    }
}

struct Work<'a> {
    shared: &'a Arc<Shared>,
    service: Name,
    head: &'a Head,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    proved: Option<Proved>,
    target: Option<Arc<Target>>,
    load: Option<Arc<Load>>,
    memory: Option<Reserved>,
}

impl Work<'_> {
    fn connect(&mut self, target: Arc<Target>, load: Arc<Load>) -> Event {
        let kept = self.shared.pools.load().take(&target);
        let opened = match kept {
            Some(proved) => Ok(proved),
            None => Proved::open(&target).map(|(proved, occupancy)| {
                load.report(occupancy);
                proved
            }),
        };
        self.target = Some(target);
        self.load = Some(load);
        match opened {
            Ok(proved) => {
                self.proved = Some(proved);
                Event::Connected
            }
            Err(why) => Event::Unconnected(why),
        }
    }

    fn pass(&mut self, waitMs: u64, untilMs: u64) -> Passed {
        let (Some(proved), Some(target), Some(load)) =
            (self.proved.take(), &self.target, &self.load)
        else {
            return Passed::Unsent("no connection".into());
        };
        let head = self.head;
        proved.gate(self.gate(target.instance.clone(), untilMs));
        let Some(mut memory) = self.shared.responses.reserve(0) else {
            return Passed::Unsent("no space".into());
        };
        load.enter();
        let (passed, back) =
            proved.pass(&head.method, &head.target, &self.headers, &self.body, waitMs, &mut memory);
        load.leave();
        self.memory = Some(memory);
        if let Some(proved) = back {
            self.shared.pools.load().give(target, proved);
        }
        passed
    }
    /// Looked at right before the first byte: hold, target and ticket must still stand.
    fn gate(&self, instance: Name, untilMs: u64) -> Gate {
        let (shared, service) = (self.shared.clone(), self.service.clone());
        Box::new(move || {
            let allowed = shared.table.load().allows(&service, &instance);
            allowed && now_ms() < untilMs && shared.serves()
        })
    }
}

/// What makes two requests under one key the same request.
fn digest(head: &Head, body: &[u8]) -> Digest {
    let mut hash = Sha256::new();
    for part in [head.method.as_bytes(), head.target.as_bytes(), body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

pub fn is_sound_key(head: &Head) -> bool {
    let keys = head.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("idempotency-key"));
    keys.clone().count() <= 1
        && keys.clone().all(|(_, key)| {
            (1..=TICKET_KEY_BYTES).contains(&key.len())
                && key.bytes().all(|byte| byte.is_ascii_graphic())
        })
}
