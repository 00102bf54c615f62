use crate::dialect::{Dialect, on_to_target};
use crate::downstream::head::Head;
use crate::share::Shared;
use crate::straight::{Sent, Straight};
use crate::upstream::{Proved, Upstream};
use crate::wire::Gate;
use postbarrow_constants::coordination::{SETTLE_WAIT_MS, TICKET_KEY_BYTES};
use postbarrow_downstream::memory::Reserved;
use postbarrow_messages::Request;
use postbarrow_node::*;
use postbarrow_routing::{Entry, Load};
use postbarrow_state::{Digest, Kind, Name, Target};
use postbarrow_transport::clock_ms;
use sha2::{Digest as _, Sha256};
use std::sync::Arc;

/// Drives the course of one ask on this thread.
pub fn run(
    shared: &Arc<Shared>,
    entry: Arc<Entry>,
    head: &Head,
    body: Vec<u8>,
    start_ms: u64,
    arrived_ms: u64,
) -> (TargetResponse, Option<Reserved>) {
    let dialect = shared.dialect.as_ref();
    let key = dialect.key(head);
    let number = shared.number();
    let seed = shared.own.incarnation ^ number;
    let entry = entry.drawn(seed);
    let until_ms = start_ms + entry.route().deadline_ms;
    let wait_ms = dialect.wait_ms(head);
    let logged = dialect.named().is_none();
    let one_time = entry.route().kind == Kind::OneTime;
    let go = Go {
        key: match key {
            Some(key) => Name::from(key),
            None if one_time && logged => shared.made_key(),
            None => Name::default(),
        },
        keyed: key.is_some(),
        digest: if one_time && logged { digest(head, &body) } else { [0; 32] },
        logged,
        node: shared.own.incarnation,
        zone: shared.own.zone.clone(),
        until_ms: wait_ms.map_or(until_ms, |wait_ms| until_ms.min(arrived_ms + wait_ms)),
        seed,
    };
    let service = entry.route().service.clone();
    let mut course = Course::new(go, entry);
    let mut work = Work {
        shared,
        service,
        head,
        body,
        upstream: None,
        target: None,
        entered: None,
        repeatable: !one_time,
        memory: None,
    };
    let mut event = Event::Start;
    loop {
        let table = shared.table.load_full();
        let now = Now {
            now_ms: clock_ms(),
            table: &table,
            serves: shared.serves(),
            number: shared.number(),
        };
        event = match course.handle(&now, event) {
            Step::Connect { target, load, wait_ms } => work.connect(target, load, wait_ms),
            Step::AskTicket { ticket, wait_ms } => {
                Event::Answered(shared.ask(Request::Ticket(ticket), wait_ms))
            }
            Step::Pass { wait_ms, until_ms } => Event::Passed(work.pass(wait_ms, until_ms)),
            Step::Settle { ticket, settlement, response, wait_ms } => {
                let settle = Request::Settle { ticket, settlement, response };
                Event::Answered(shared.ask(settle, wait_ms))
            }
            Step::Done { verdict, settle } => {
                if let Some((ticket, settlement, response)) = settle {
                    let settle = Request::Settle { ticket, settlement, response };
                    shared.tell(settle, SETTLE_WAIT_MS);
                }
                return (dialect.told(verdict), work.memory);
            }
        };
    }
}

struct Work<'a> {
    shared: &'a Arc<Shared>,
    service: Name,
    head: &'a Head,
    body: Vec<u8>,
    upstream: Option<Upstream>,
    target: Option<Arc<Target>>,
    entered: Option<Entered>,
    repeatable: bool,
    memory: Option<Reserved>,
}

impl Work<'_> {
    fn connect(&mut self, target: Arc<Target>, load: Arc<Load>, wait_ms: u64) -> Event {
        self.entered = Some(Entered::new(load.clone()));
        let kept = self.shared.pools.load().take(&target);
        let named = self.shared.dialect.named().is_some();
        let opened = match kept {
            Some(upstream) => Ok(upstream),
            None if named => Straight::open(target.address, wait_ms).map(Upstream::Straight),
            None => Proved::open(&target).map(|(proved, occupancy)| {
                load.report(occupancy);
                Upstream::Proved(proved)
            }),
        };
        self.target = Some(target);
        match opened {
            Ok(upstream) => {
                self.upstream = Some(upstream);
                Event::Connected
            }
            Err(why) => Event::Unconnected(why),
        }
    }

    fn pass(&mut self, wait_ms: u64, until_ms: u64) -> Passed {
        let (Some(upstream), Some(target), Some(entered)) =
            (self.upstream.take(), &self.target, self.entered.take())
        else {
            return Passed::Unsent("no connection".into());
        };
        let Some(mut memory) = self.shared.responses.reserve(0) else {
            return Passed::Unsent("no space".into());
        };
        let dialect = self.shared.dialect.as_ref();
        let headers = on_to_target(dialect, self.head, &target.instance, wait_ms);
        let gate = self.gate(target.instance.clone(), until_ms);
        let (passed, back) = match (upstream, dialect.named()) {
            (Upstream::Straight(straight), Some(named)) => {
                let (head, body) = (self.head, &self.body[..]);
                let headers = &headers;
                let repeatable = self.repeatable;
                let sent = Sent { head, headers, body, wait_ms, repeatable, gate };
                let (passed, back) = straight.pass(sent, named, &mut memory);
                (passed, back.map(Upstream::Straight))
            }
            (Upstream::Proved(proved), _) => {
                proved.gate(gate);
                let (method, path) = (&self.head.method, &self.head.target);
                let (passed, back) =
                    proved.pass(method, path, &headers, &self.body, wait_ms, &mut memory);
                (passed, back.map(Upstream::Proved))
            }
            (Upstream::Straight(_), None) => (Passed::Unsent("no name to send".into()), None),
        };
        let load = entered.leave();
        if let (Passed::Whole(response), Some(named)) = (&passed, dialect.named())
            && let Some(occupancy) = named.occupancy(response)
        {
            load.report_at(clock_ms(), occupancy.saturating_sub(load.at_work()));
        }
        self.memory = Some(memory);
        if let Some(upstream) = back {
            self.shared.pools.load().give(target, upstream);
        }
        passed
    }

    /// Looked at right before the first byte: hold, target and ticket must still stand.
    fn gate(&self, instance: Name, until_ms: u64) -> Gate {
        let (shared, service) = (self.shared.clone(), self.service.clone());
        Box::new(move || {
            let allowed = shared.table.load().allows(&service, &instance);
            allowed && clock_ms() < until_ms && shared.serves()
        })
    }
}

/// Counted at its target from the choice on, so that two asks at once don't choose the same place.
struct Entered(Arc<Load>);

impl Entered {
    fn new(load: Arc<Load>) -> Entered {
        load.enter();
        Entered(load)
    }

    fn leave(self) -> Arc<Load> {
        self.0.clone()
    }
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.leave();
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

pub fn is_sound_key(dialect: &dyn Dialect, head: &Head) -> bool {
    if dialect.key(head).is_none() && dialect.named().is_some() {
        return true;
    }
    let keys = head.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("idempotency-key"));
    keys.clone().count() <= 1
        && keys.clone().all(|(_, key)| {
            (1..=TICKET_KEY_BYTES).contains(&key.len())
                && key.bytes().all(|byte| byte.is_ascii_graphic())
        })
}
