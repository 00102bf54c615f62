//! One value of each type of this crate that is stored or sent. No field has its default, and no
//! two fields of one struct are equal, so that a changed order of fields changes the bytes.
#![allow(dead_code)]

use postbarrow_state::*;
use postbarrow_transactions::Image;
use std::net::SocketAddr;
use std::sync::Arc;

fn name(text: &str) -> Name {
    Name::from(text)
}

fn socket(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 2, 0, last], port))
}

fn labels() -> Labels {
    [("tier", "gold"), ("zone", "west")].map(|(label, value)| (name(label), name(value))).into()
}

fn header(header: &str, value: &str) -> (String, String) {
    (header.into(), value.into())
}

pub fn stored_response() -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: vec![header("Location", "/a/7")],
        body: b"made\xff".to_vec(),
    }
}

pub fn open_ticket() -> Ticket {
    Ticket {
        key: name("order-7"),
        digest: [7; 32],
        service: name("ledger"),
        instance: name("ledger-1"),
        node: 5,
        number: 900,
        settlement: None,
        response: None,
        era: 4,
    }
}

pub fn settled_ticket() -> Ticket {
    let (settlement, response) = (Some(Settlement::Ran), Some(Arc::new(stored_response())));
    Ticket { settlement, response, ..open_ticket() }
}

pub fn key() -> Key {
    Key { value: b"on\x00".to_vec(), revision: 31 }
}

pub fn sample() -> Sample {
    let (method, path) = (name("PUT"), "/stock/9?x=1".into());
    Sample { method, path, headers: vec![header("x-region", "north")], body_bytes: 70_000 }
}

pub fn node() -> Node {
    Node {
        incarnation: 5,
        name: name("node-a"),
        address: socket(5, 7_000),
        http: socket(5, 8_000),
        zone: name("west"),
    }
}

fn target() -> Target {
    Target {
        instance: name("ledger-1"),
        service: name("ledger"),
        address: "[2001:db8::1]:80".parse().expect("an address"),
        zone: name("east"),
        labels: labels(),
        draining: true,
        down: false,
        slots: 12,
        warming_up: true,
    }
}

fn service() -> Service {
    Service { name: name("books"), labels: labels() }
}

fn route(kind: RouteKind) -> Route {
    Route {
        path: name("/books/{id}"),
        methods: vec![name("GET"), name("POST")],
        kind,
        service: name("books"),
        when: Some("request.path != ''".into()),
        body_bytes: 65_536,
        rate_per_s: Some(300),
        concurrency: Some(20),
        deadline_ms: 2_500,
        host: Some(name("shop.example")),
        weighted_services: vec![WeightedService { service: name("papers"), weight: 3 }],
        max_attempts: Some(2),
        latency_target_ms: Some(150),
        priority: 1,
    }
}

fn client_limits() -> ClientLimits {
    ClientLimits { head_bytes: Some(9_000), head_wait_ms: Some(4_000), idle_ms: Some(60_000) }
}

fn refused() -> RefusedPlan {
    RefusedPlan { version: name("v9"), digest: [9; 32] }
}

fn route_splice() -> RouteSplice {
    Splice {
        at: 0,
        removed: 1,
        inserted: vec![route(RouteKind::OneTime), route(RouteKind::Lookup)],
    }
}

fn text_splice() -> TextSplice {
    Splice { at: 2, removed: 3, inserted: b"text".to_vec().into() }
}

/// A value of every record, with its stored name.
pub fn records() -> Vec<(&'static str, Record)> {
    let (version, base) = (name("v2"), Some(name("v1")));
    let lock_name = name("leader");
    vec![
        ("PlanStart", Record::PlanStart { version: version.clone(), base: base.clone() }),
        ("PlanText", Record::PlanText(b"{\"version\"}".to_vec())),
        ("Service", Record::Service(service())),
        ("Route one-time", Record::Route(route(RouteKind::OneTime))),
        ("Route lookup", Record::Route(route(RouteKind::Lookup))),
        ("Target", Record::Target(target())),
        ("TargetGone", Record::TargetGone(name("ledger-2"))),
        ("TargetDown", Record::TargetDown { instance: name("ledger-1"), down: true }),
        ("Node", Record::Node(node())),
        ("NodeGone", Record::NodeGone(6)),
        ("Ticket open", Record::Ticket(open_ticket())),
        ("Ticket settled", Record::Ticket(settled_ticket())),
        (
            "Settled",
            Record::Settled {
                key: name("order-7"),
                settlement: Settlement::Ran,
                response: Some(stored_response()),
            },
        ),
        ("TicketsForgotten", Record::TicketsForgotten(vec![name("order-1"), name("order-2")])),
        (
            "Lock",
            Record::Lock { name: lock_name.clone(), holder: name("me"), fence: 44, ttl_ms: 9_000 },
        ),
        ("LockFreed", Record::LockFreed { name: lock_name }),
        ("Number", Record::Number { name: name("invoice"), value: 1_234 }),
        ("Key", Record::Key { name: name("flag"), key: Some(key()) }),
        ("Key gone", Record::Key { name: name("flag-2"), key: None }),
        (
            "Repeat",
            Record::Repeat { id: name("call-1"), outcome: Outcome::Conflict { revision: 8 } },
        ),
        ("RepeatsForgotten", Record::RepeatsForgotten(vec![name("call-0")])),
        ("HistoryTrimmed", Record::HistoryTrimmed { floor: 1 }),
        ("Callers", Record::ClientLimits(client_limits())),
        ("Era", Record::Era { by: 60 }),
        (
            "PlanTaken",
            Record::PlanAccepted {
                version: version.clone(),
                base: base.clone(),
                digest: [2; 32],
                began_at: 11,
            },
        ),
        ("PlanRefused", Record::PlanRefused(refused())),
        ("PlanDelta", Record::PlanDelta { version, base }),
        ("ServiceGone", Record::ServiceGone(name("photos"))),
        ("RoutesPatch", Record::RoutesPatch(vec![route_splice()])),
        ("TextPatch", Record::TextPatch(vec![text_splice()])),
    ]
}

/// The state after all records are applied in order, and a lock that is not released. The settled
/// ticket is left out: the log contains a ticket when it is open, and a separate record settles it.
pub fn state() -> State {
    let mut state = State::default();
    let applied = records().into_iter().filter(|(name, _)| *name != "Ticket settled");
    for (offset, (_, record)) in (100..).zip(applied) {
        state.apply(offset, &record);
    }
    let lock = Record::Lock { name: name("l"), holder: name("h"), fence: 45, ttl_ms: 8_000 };
    state.apply(200, &lock);
    state
}

pub fn settlements() -> Vec<(&'static str, Settlement)> {
    vec![("Ran", Settlement::Ran), ("Unsent", Settlement::Unsent), ("Unknown", Settlement::Unknown)]
}

pub fn kinds() -> Vec<(&'static str, RouteKind)> {
    vec![("Lookup", RouteKind::Lookup), ("OneTime", RouteKind::OneTime)]
}

pub fn resource_kinds() -> Vec<(&'static str, ResourceKind)> {
    vec![("Lock", ResourceKind::Lock), ("Number", ResourceKind::Number), ("Key", ResourceKind::Key)]
}

pub fn changes() -> Vec<(&'static str, Change)> {
    vec![
        ("Locked", Change::Locked { fence: 44 }),
        ("Freed", Change::Freed),
        ("Number", Change::Number(1_234)),
        ("Key", Change::Key(key())),
        ("KeyGone", Change::KeyGone),
    ]
}

pub fn calls() -> Vec<(&'static str, Call)> {
    let (lock, holder) = (name("leader"), name("me"));
    vec![
        ("Lock", Call::Lock { name: lock.clone(), holder: holder.clone(), ttl_ms: 9_000 }),
        (
            "Renew",
            Call::Renew {
                name: lock.clone(),
                holder: holder.clone(),
                fence: 44,
                ttl_ms: Some(8_000),
            },
        ),
        ("Free", Call::Free { name: lock.clone(), holder: holder.clone(), fence: 44 }),
        (
            "FreeConfirmed",
            Call::FreeConfirmed {
                name: lock.clone(),
                holder,
                fence: 44,
                version: GrantVersion { term: 5, starts: 2 },
            },
        ),
        ("ReadLock", Call::ReadLock { name: lock.clone() }),
        ("Next", Call::Next { name: name("invoice"), by: 3 }),
        ("ReadNumber", Call::ReadNumber { name: name("invoice") }),
        ("Put", Call::Put { name: name("flag"), value: b"on".to_vec(), revision: Some(31) }),
        ("Remove", Call::Remove { name: name("flag"), revision: Some(32) }),
        ("ReadKey", Call::ReadKey { name: name("flag") }),
        ("Watch", Call::Watch { sort: ResourceKind::Number, prefix: name("inv"), after: Some(17) }),
    ]
}

pub fn outcomes() -> Vec<(&'static str, Outcome)> {
    let event = Event { revision: 18, name: name("flag"), change: Change::Key(key()) };
    vec![
        ("Locked", Outcome::Locked { fence: 44, ttl_ms: 9_000 }),
        ("Held", Outcome::LockedByOther { fence: 43 }),
        ("Freed", Outcome::Freed),
        ("NotHeld", Outcome::NotOwner),
        ("NoLock", Outcome::NoLock),
        ("Number", Outcome::Number(1_234)),
        ("Key", Outcome::Key(key())),
        ("NoKey", Outcome::NoKey),
        ("Conflict", Outcome::Conflict { revision: 30 }),
        ("Removed", Outcome::Removed { revision: 33 }),
        ("Events", Outcome::Events { events: vec![event], next: 19 }),
        ("TooOld", Outcome::TooOld { floor: 12 }),
    ]
}
