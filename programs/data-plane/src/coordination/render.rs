//! Renders the outcomes of coordination calls as JSON responses to applications.

use crate::json_response::json;
use facet::Facet;
use postbarrow_node::TargetResponse;
use postbarrow_state::{Change, Event, Outcome};

#[derive(Facet, Default)]
#[facet(rename_all = "camelCase", skip_all_unless_truthy)]
struct CallBody {
    error: Option<String>,
    #[facet(rename = "held")]
    is_locked: Option<bool>,
    fence: Option<u64>,
    ttl_ms: Option<u64>,
    value: Option<String>,
    number: Option<u64>,
    revision: Option<u64>,
    floor: Option<u64>,
}

#[derive(Facet)]
struct EventsBody {
    events: Vec<EventBody>,
    next: u64,
}

#[derive(Facet)]
#[facet(skip_all_unless_truthy)]
struct EventBody {
    revision: u64,
    name: String,
    change: String,
    fence: Option<u64>,
    number: Option<u64>,
    value: Option<String>,
}

/// Returns the response to a call with this outcome.
pub fn render_outcome(outcome: Outcome) -> TargetResponse {
    let base = CallBody::default();
    let error_text = |text: &str| Some(text.to_string());
    match outcome {
        Outcome::Locked { fence, ttl_ms } => json(
            200,
            &CallBody { is_locked: Some(true), fence: Some(fence), ttl_ms: Some(ttl_ms), ..base },
        ),
        Outcome::LockedByOther { fence } => {
            let error = error_text("another holder has the lock");
            json(409, &CallBody { error, is_locked: Some(true), fence: Some(fence), ..base })
        }
        Outcome::Freed | Outcome::NoLock => json(200, &CallBody { is_locked: Some(false), ..base }),
        Outcome::NotOwner => {
            json(409, &CallBody { error: error_text("not held by this holder"), ..base })
        }
        Outcome::Number(number) => json(200, &CallBody { number: Some(number), ..base }),
        Outcome::Key(key) => {
            let value = String::from_utf8_lossy(&key.value).into_owned();
            json(200, &CallBody { value: Some(value), revision: Some(key.revision), ..base })
        }
        Outcome::NoKey => json(404, &CallBody { error: error_text("no such key"), ..base }),
        Outcome::Conflict { revision } => {
            let error = error_text("the revision is another");
            json(409, &CallBody { error, revision: Some(revision), ..base })
        }
        Outcome::Removed { revision } => json(200, &CallBody { revision: Some(revision), ..base }),
        Outcome::Events { events, next } => {
            json(200, &EventsBody { events: events.iter().map(render_event).collect(), next })
        }
        Outcome::TooOld { floor } => json(
            410,
            &CallBody { error: error_text("the revision is too old"), floor: Some(floor), ..base },
        ),
    }
}

fn render_event(event: &Event) -> EventBody {
    let mut body = EventBody {
        revision: event.revision,
        name: event.name.to_string(),
        change: String::new(),
        fence: None,
        number: None,
        value: None,
    };
    body.change = match &event.change {
        Change::Locked { fence } => {
            body.fence = Some(*fence);
            "locked".into()
        }
        Change::Freed => "freed".into(),
        Change::Number(number) => {
            body.number = Some(*number);
            "number".into()
        }
        Change::Key(key) => {
            body.value = Some(String::from_utf8_lossy(&key.value).into_owned());
            "key".into()
        }
        Change::KeyGone => "removed".into(),
    };
    body
}
