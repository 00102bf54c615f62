//! Tests of the bytes that postbarrow's processes send to each other.
//!
//! A frame is a length of four bytes, followed by MessagePack as `rmp_serde::to_vec` writes it.
//! Structs, and variants with fields, are arrays: their fields are sent by position, so they may be
//! renamed but not reordered. Variants of enums are sent by name: a renamed variant needs
//! `#[serde(rename)]` with its name on the wire. Therefore the fixtures have a value of every
//! variant.

#[path = "../../consensus/tests/golden/values.rs"]
mod consensus_values;
#[path = "../../state/tests/golden/mod.rs"]
mod golden;
#[path = "../../state/tests/golden/values.rs"]
mod state_values;

use consensus_values::member;
use golden::{Case, assert_covers, case_of, check, variants};
use postbarrow_membership::UpdateEntry;
use postbarrow_messages::*;
use postbarrow_state::{GrantVersion, Name};
use serde_bytes::ByteBuf;
use std::net::SocketAddr;
use std::sync::Arc;

const CRATE: &str = env!("CARGO_MANIFEST_DIR");

fn socket(last: u8) -> SocketAddr {
    ([10, 3, 0, last], 9_000).into()
}

fn name(text: &str) -> Name {
    Name::from(text)
}

fn submission() -> Submission {
    let records = state_values::records().into_iter().map(|(_, record)| record).collect();
    let (version, base) = (name("v2"), Some(name("v1")));
    Submission { version, base, records, dry_run: true, allow_empty: false }
}

fn empty_allowed() -> Submission {
    Submission { records: Vec::new(), dry_run: false, allow_empty: true, ..submission() }
}

/// Values, each with its name on the wire.
type Named<T> = Vec<(String, T)>;

fn named<T, const COUNT: usize>(values: [(&str, T); COUNT]) -> Named<T> {
    values.into_iter().map(|(name, value)| (name.to_string(), value)).collect()
}

/// Wraps each inner value in the variant of this name.
fn wrapped_in<I: AsRef<str>, T, U>(
    name: &str,
    inner: Vec<(I, T)>,
    wrap: impl Fn(T) -> U,
) -> impl Iterator<Item = (String, U)> {
    let wrapped = |(inner, value): (I, T)| (format!("{name} {}", inner.as_ref()), wrap(value));
    inner.into_iter().map(wrapped).collect::<Vec<_>>().into_iter()
}

fn requests() -> Named<Request> {
    let settle = Request::Settle {
        ticket: state_values::open_ticket(),
        settlement: postbarrow_state::Settlement::Ran,
        response: Some(state_values::stored_response()),
    };
    let mut requests = named([
        ("Ticket", Request::Ticket(state_values::open_ticket())),
        ("Settle", settle),
        ("Submit", Request::Submit(submission())),
        ("Submit empty allowed", Request::Submit(empty_allowed())),
        ("Show", Request::Show),
        ("Targets", Request::Targets),
        ("Members", Request::Members),
        ("Status", Request::Status),
        ("Recent", Request::RequestSamples),
    ]);
    let call = |call| Request::Call { id: Some(name("call-1")), call };
    requests.extend(wrapped_in("Call", state_values::calls(), call));
    requests
}

fn responses() -> Named<Response> {
    let samples = vec![state_values::sample()];
    let mut responses = named([
        ("Granted", Response::Granted),
        ("Known", Response::Known(Box::new(state_values::settled_ticket()))),
        ("OtherDigest", Response::OtherDigest),
        ("Settled", Response::Settled),
        ("ConfirmClient", Response::ConfirmClient { version: GrantVersion { term: 5, starts: 2 } }),
        ("Refused", Response::Refused("no such name".into())),
        ("Full", Response::Full),
        ("Plan", Response::Plan { version: name("v2"), offset: 12, text: b"{}\n".to_vec() }),
        ("Operator", Response::Operator { status: 404, body: b"{\"error\":\"none\"}".to_vec() }),
        ("Recent", Response::RequestSamples { samples, seen: 99, seconds: 60 }),
        ("NotController", Response::NotController { controller: Some(socket(1)) }),
        ("Waiting", Response::Duplicate),
        ("Lost", Response::Lost),
        ("TimedOut", Response::TimedOut),
        ("Unavailable", Response::Unavailable),
    ]);
    responses.extend(wrapped_in("Outcome", state_values::outcomes(), Response::Outcome));
    responses
}

fn lease_responses() -> Named<LeaseResponse> {
    let members = || vec![socket(1), socket(2)];
    named([
        ("Granted", LeaseResponse::Granted { term: 5, watermark: 44, members: members() }),
        (
            "NotController",
            LeaseResponse::NotController { controller: Some(socket(3)), members: members() },
        ),
    ])
}

fn lease_request(ready: bool) -> LeaseRequest {
    LeaseRequest {
        number: 17,
        node: state_values::node(),
        image_offset: 43,
        version: Some(name("v2")),
        ready,
        failing_targets: vec![name("ledger-2")],
        suspects: vec![6, 8],
        samples: vec![state_values::sample()],
        request_count: 99,
    }
}

fn image_frame() -> ImageFrame {
    let state = ImageEncoder::default().frame(44, state_values::state).state;
    ImageFrame { offset: 44, state: Arc::new(ByteBuf::from(state.to_vec())) }
}

fn messages() -> Named<Message> {
    let announcement =
        DiscoveryAnnouncement { member: member(3), uninitialized: true, known_peers: vec![3, 2] };
    let entries =
        vec![UpdateEntry { previous_offset: 42, offset: 44, bytes: b"news\xff".to_vec() }];
    let mut messages = named([
        ("Greet", Message::DiscoveryAnnouncement(announcement)),
        ("Form", Message::Bootstrap(vec![member(1), member(2)])),
        ("Introduce", Message::Introduce),
        (
            "Introduction",
            Message::Introduction {
                control_addresses: vec![socket(1), socket(2)],
                log_exists: true,
            },
        ),
        ("Fresh", Message::LeaseRequest(lease_request(true))),
        ("Tail", Message::Tail { after: 43 }),
        ("News", Message::Updates { entries }),
        ("Image", Message::Image(image_frame())),
        ("Beat", Message::Heartbeat { node: 5 }),
    ]);
    let consensus = |message| Message::Consensus { from: member(1), to: 2, message };
    messages.extend(wrapped_in("Consensus", consensus_values::messages(), consensus));
    let lease_response = |response| Message::LeaseResponse { number: 17, response };
    messages.extend(wrapped_in("FreshResponse", lease_responses(), lease_response));
    let request = |request| Message::Request { key: 21, request };
    messages.extend(wrapped_in("Ask", requests(), request));
    let response_message = |response| Message::Response { key: 22, response };
    messages.extend(wrapped_in("Response", responses(), response_message));
    messages
}

fn frame(name: &str, message: Message) -> Case {
    let envelope = Envelope { from: socket(9), message };
    case_of(name, to_frame(&envelope).expect("the envelope fits in a frame"), |bytes| {
        let envelope = read_frame(&mut &bytes[..]).map_err(|error| error.to_string())?;
        to_frame(&envelope).map_err(|error| error.to_string())
    })
}

/// The fixture has every message in its frame, with every request, response and consensus message.
#[test]
fn frames_have_the_committed_bytes() {
    let frames: Vec<Case> =
        messages().into_iter().map(|(name, message)| frame(&name, message)).collect();
    assert_covers::<Message>(&frames);
    check(CRATE, "frames.hex", &frames);
}

#[test]
fn requests_and_responses_have_the_committed_bytes() {
    check(CRATE, "requests.hex", &variants(&requests()));
    check(CRATE, "responses.hex", &variants(&responses()));
    check(CRATE, "fresh.hex", &variants(&lease_responses()));
}
