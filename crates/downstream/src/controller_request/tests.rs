//! Tests of `controller_request`: what is queued for a client that departs, with real sockets.

use super::*;
use crate::test_sockets::connected_pair;
use postbarrow_messages::Submission;
use postbarrow_state::{Call, GrantVersion, Name, Outcome, Settlement, Ticket};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::TcpStream;

/// Time to wait for a response, far longer than any test takes.
const WAIT_MS: u64 = 60_000;

/// A control loop that answers each request at once with the next of its responses.
#[derive(Default)]
struct ScriptedQueue {
    keys: Cell<u64>,
    requests: RefCell<Vec<Request>>,
    responses: RefCell<VecDeque<Response>>,
    /// Closed when a request is queued: the client departs while its request is pending.
    departing_client: RefCell<Option<TcpStream>>,
}

impl ControlLoopQueue for ScriptedQueue {
    fn next_key(&self) -> u64 {
        self.keys.set(self.keys.get() + 1);
        self.keys.get()
    }

    fn enqueue(&self, _: u64, request: Request, _: u64, reply: SyncSender<Response>) -> bool {
        self.requests.borrow_mut().push(request);
        self.departing_client.take();
        let response = self.responses.borrow_mut().pop_front();
        response.is_none_or(|response| reply.send(response).is_ok())
    }

    fn withdraw(&self, _: u64) {}
}

fn call(call: Call) -> Request {
    Request::Call { id: Some("id".into()), call }
}

fn lock() -> Name {
    "lock".into()
}

fn release() -> Request {
    call(Call::Free { name: lock(), holder: "a".into(), fence: 7 })
}

fn ticket() -> Ticket {
    Ticket {
        key: "key".into(),
        digest: [1; 32],
        service: "s".into(),
        instance: "s-1".into(),
        node: 5,
        number: 1,
        settlement: None,
        response: None,
        era: 0,
    }
}

fn confirm(starts: u64) -> Response {
    Response::ConfirmClient { version: GrantVersion { term: 3, starts } }
}

/// Returns the version in each queued release; `None` for an unconfirmed one.
fn versions(queue: &ScriptedQueue) -> Vec<Option<u64>> {
    let requests = queue.requests.borrow();
    let version = |request: &Request| match request {
        Request::Call { call: Call::FreeConfirmed { version, .. }, .. } => Some(version.starts),
        _ => None,
    };
    requests.iter().map(version).collect()
}

/// Guards against a suspended process that executes the calls of departed clients at its waking.
#[test]
fn a_change_of_a_departed_client_is_not_enqueued() {
    let (name, holder) = (lock, || Name::from("a"));
    let changes = [
        call(Call::Lock { name: name(), holder: holder(), ttl_ms: 1_000 }),
        call(Call::Renew { name: name(), holder: holder(), fence: 7, ttl_ms: None }),
        release(),
        call(Call::Next { name: name(), by: 1 }),
        call(Call::Put { name: name(), value: vec![1], revision: None }),
        call(Call::Remove { name: name(), revision: None }),
        Request::Ticket(ticket()),
        Request::Submit(Submission {
            version: "v1".into(),
            base: None,
            records: Vec::new(),
            dry_run: false,
            allow_empty: false,
        }),
    ];
    for change in changes {
        let (near, client) = connected_pair();
        drop(client);
        let queue = ScriptedQueue::default();
        let response = send_for_client(&queue, change.clone(), WAIT_MS, &ClientWatch::new(&near));
        assert_eq!(response, Response::Unavailable, "{change:?}");
        assert!(queue.requests.borrow().is_empty(), "{change:?} was queued");
    }
}

#[test]
fn a_settlement_and_a_read_are_enqueued_for_a_departed_client() {
    let settlement =
        Request::Settle { ticket: ticket(), settlement: Settlement::Ran, response: None };
    for request in [settlement, call(Call::ReadLock { name: lock() }), Request::Show] {
        let (near, client) = connected_pair();
        drop(client);
        let queue = ScriptedQueue::default();
        queue.responses.borrow_mut().push_back(Response::Settled);
        let response = send_for_client(&queue, request, WAIT_MS, &ClientWatch::new(&near));
        assert_eq!(response, Response::Settled);
    }
}

#[test]
fn a_release_of_a_present_client_is_confirmed_until_the_version_is_current() {
    let (near, _client) = connected_pair();
    let queue = ScriptedQueue::default();
    let freed = Response::Outcome(Outcome::Freed);
    queue.responses.borrow_mut().extend([confirm(2), confirm(3), freed.clone()]);
    let response = send_for_client(&queue, release(), WAIT_MS, &ClientWatch::new(&near));
    assert_eq!(response, freed);
    assert_eq!(versions(&queue), [None, Some(2), Some(3)]);
}

/// Guards against a release that ends a hold which its caller got again after it had departed.
#[test]
fn a_release_is_not_confirmed_once_its_client_has_departed() {
    let (near, client) = connected_pair();
    let queue = ScriptedQueue::default();
    queue.departing_client.replace(Some(client));
    queue.responses.borrow_mut().push_back(confirm(2));
    let response = send_for_client(&queue, release(), WAIT_MS, &ClientWatch::new(&near));
    assert_eq!(response, Response::TimedOut);
    assert_eq!(versions(&queue), [None]);
}

#[test]
fn confirmations_end_at_the_deadline() {
    let (near, _client) = connected_pair();
    let queue = ScriptedQueue::default();
    queue.responses.borrow_mut().extend((0..1_000_000).map(confirm));
    let started_ms = clock_ms();
    let response = send_for_client(&queue, release(), 50, &ClientWatch::new(&near));
    assert_eq!(response, Response::TimedOut);
    assert!(clock_ms() >= started_ms + 50);
}
