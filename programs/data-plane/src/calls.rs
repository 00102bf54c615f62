use crate::downstream::head::Head;
use crate::read_call::read_call;
use crate::share::{Place, Shared};
use facet::Facet;
use postbarrow_constants::coordination::*;
use postbarrow_constants::traffic::{CALLS_IN_FLIGHT, RETRY_AFTER_S};
use postbarrow_downstream::client_watch::ClientWatch;
use postbarrow_messages::{Request, Response};
use postbarrow_node::TargetResponse;
use postbarrow_state::{Call, Change, Event, Name, Outcome};
use postbarrow_transport::clock_ms;
use sha2::{Digest, Sha256};
use std::sync::atomic::Ordering::Relaxed;

/// A key's value escaped at worst, and its frame.
pub const BODY_BYTES: u64 = 6 * VALUE_BYTES as u64 + 4_096;

#[derive(Facet, Default)]
#[facet(rename_all = "camelCase", skip_all_unless_truthy)]
struct Told {
    error: Option<String>,
    outcome: Option<String>,
    held: Option<bool>,
    fence: Option<u64>,
    ttl_ms: Option<u64>,
    value: Option<String>,
    number: Option<u64>,
    revision: Option<u64>,
    floor: Option<u64>,
}

#[derive(Facet)]
struct Events {
    events: Vec<TellEvent>,
    next: u64,
}

#[derive(Facet)]
#[facet(skip_all_unless_truthy)]
struct TellEvent {
    revision: u64,
    name: String,
    change: String,
    fence: Option<u64>,
    number: Option<u64>,
    value: Option<String>,
}

pub fn error(status: u16, why: &str) -> TargetResponse {
    refused(status, if status == 504 { "unknown" } else { "not-run" }, why)
}

pub fn refused(status: u16, outcome: &str, why: &str) -> TargetResponse {
    let told = Told { error: Some(why.into()), outcome: Some(outcome.into()), ..Told::default() };
    let mut response = json(status, &told);
    response.headers.push((postbarrow_node::OUTCOME.into(), outcome.into()));
    response
}

fn json<'f, T: Facet<'f>>(status: u16, told: &T) -> TargetResponse {
    let mut headers = vec![("Content-Type".to_string(), "application/json".to_string())];
    if matches!(status, 429 | 503 | 504) {
        headers.push(("Retry-After".into(), RETRY_AFTER_S.to_string()));
    }
    TargetResponse { status, headers, body: facet_json::to_vec(told).unwrap_or_default() }
}

#[derive(Facet)]
struct Ready {
    ready: bool,
    version: Option<String>,
    offset: u64,
}

pub fn ready(shared: &Shared) -> TargetResponse {
    let table = shared.table.load();
    let ready = shared.is_ready();
    let version = table.state.plan_version().map(str::to_string);
    json(if ready { 200 } else { 503 }, &Ready { ready, version, offset: table.offset })
}

/// Answers an application's call. A caller that leaves takes its question back, and its place is free.
pub fn serve(shared: &Shared, head: &Head, body: &[u8], client: &ClientWatch) -> TargetResponse {
    let call = match read_call(head, body) {
        Ok(call) => call,
        Err((status, why)) => return error(status, &why),
    };
    if matches!(call, Call::Watch { .. }) {
        let Some(_place) = Place::take(&shared.watches, WATCHES) else {
            return error(503, "too many watches at this node");
        };
        return watch(shared, call, client);
    }
    let Some(_place) = Place::take(&shared.calls, CALLS_IN_FLIGHT) else {
        return error(503, "this node is full");
    };
    let given = head.header("idempotency-key");
    if given.is_some_and(|key| key.len() > TICKET_KEY_BYTES) {
        return error(400, "the Idempotency-Key is too long");
    }
    let key = given.map_or_else(|| shared.made_key(), Name::from);
    let id = repeat_id(&key, &call);
    let reads =
        matches!(call, Call::ReadKey { .. } | Call::ReadLock { .. } | Call::ReadNumber { .. });
    let response =
        shared.request(Request::Call { id: Some(id), call }, CONTROLLER_REQUEST_MS, client);
    match response {
        Response::Outcome(outcome) => tell(outcome),
        Response::Refused(why) => error(400, &why),
        _ if reads => error(503, "no controller responds"),
        Response::Full => error(503, "the log has no space for more calls"),
        _ => {
            let why = "no word from the controller; a repeat under one Idempotency-Key is safe";
            let mut response = error(504, why);
            if given.is_none() {
                response.headers.retain(|(name, _)| name != "Retry-After");
                response.headers.push((postbarrow_node::KEY.into(), key.to_string()));
            }
            response
        }
    }
}

/// The same key with another call is another call.
fn repeat_id(key: &str, call: &Call) -> Name {
    let sum = Sha256::digest(format!("{call:?}").as_bytes());
    let sum: String = sum.iter().take(8).map(|byte| format!("{byte:02x}")).collect();
    Name::from(format!("{key}:{sum}"))
}

/// A long poll; it ends early when the node stops or the client is gone.
fn watch(shared: &Shared, call: Call, client: &ClientWatch) -> TargetResponse {
    let until_ms = clock_ms() + WATCH_WAIT_MS;
    let first = matches!(call, Call::Watch { after: None, .. });
    let over = || clock_ms() >= until_ms || shared.stopping.load(Relaxed) || client.has_departed();
    let mut call = call;
    loop {
        let asked = Request::Call { id: None, call: call.clone() };
        match shared.request(asked, CONTROLLER_REQUEST_MS, client) {
            Response::Outcome(Outcome::Events { events, next })
                if events.is_empty() && !first && !over() =>
            {
                if let Call::Watch { after, .. } = &mut call {
                    *after = Some(next);
                }
            }
            Response::Outcome(outcome) => return tell(outcome),
            Response::Refused(why) => return error(400, &why),
            _ if over() => return error(503, "no controller responds"),
            _ => {}
        }
    }
}

fn tell(outcome: Outcome) -> TargetResponse {
    let none = Told::default();
    let refused = |text: &str| Some(text.to_string());
    match outcome {
        Outcome::Locked { fence, ttl_ms } => {
            json(200, &Told { held: Some(true), fence: Some(fence), ttl_ms: Some(ttl_ms), ..none })
        }
        Outcome::LockedByOther { fence } => {
            let error = refused("another holder has the lock");
            json(409, &Told { error, held: Some(true), fence: Some(fence), ..none })
        }
        Outcome::Freed | Outcome::NoLock => json(200, &Told { held: Some(false), ..none }),
        Outcome::NotOwner => json(409, &Told { error: refused("not held by this holder"), ..none }),
        Outcome::Number(number) => json(200, &Told { number: Some(number), ..none }),
        Outcome::Key(key) => {
            let value = String::from_utf8_lossy(&key.value).into_owned();
            json(200, &Told { value: Some(value), revision: Some(key.revision), ..none })
        }
        Outcome::NoKey => json(404, &Told { error: refused("no such key"), ..none }),
        Outcome::Conflict { revision } => {
            let error = refused("the revision is another");
            json(409, &Told { error, revision: Some(revision), ..none })
        }
        Outcome::Removed { revision } => json(200, &Told { revision: Some(revision), ..none }),
        Outcome::Events { events, next } => {
            json(200, &Events { events: events.iter().map(tell_event).collect(), next })
        }
        Outcome::TooOld { floor } => json(
            410,
            &Told { error: refused("the revision is too old"), floor: Some(floor), ..none },
        ),
    }
}

fn tell_event(event: &Event) -> TellEvent {
    let mut told = TellEvent {
        revision: event.revision,
        name: event.name.to_string(),
        change: String::new(),
        fence: None,
        number: None,
        value: None,
    };
    told.change = match &event.change {
        Change::Locked { fence } => {
            told.fence = Some(*fence);
            "locked".into()
        }
        Change::Freed => "freed".into(),
        Change::Number(number) => {
            told.number = Some(*number);
            "number".into()
        }
        Change::Key(key) => {
            told.value = Some(String::from_utf8_lossy(&key.value).into_owned());
            "key".into()
        }
        Change::KeyGone => "removed".into(),
    };
    told
}
