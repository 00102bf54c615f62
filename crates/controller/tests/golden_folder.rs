//! A control node started on a data folder that commit dfb0489 wrote knows all records acknowledged
//! then.
//!
//! With POSTBARROW_WRITE_FIXTURES set, the current code rewrites the folder. The test then no
//! longer checks that a folder of an older release can be read, so set it only to add another
//! folder.

mod harness;
use harness::*;

use postbarrow_consensus::{RecoveredState, Write};
use postbarrow_controller::Input;
use postbarrow_messages::{Request, Response};
use postbarrow_state::{Call, Key, Name, Outcome, Settlement, State, StoredResponse, Ticket};
use postbarrow_storage::{FolderDisk, LOG_FILES, OpenResult, SLOT_FILES, Storage, open};
use std::path::{Path, PathBuf};
use std::sync::Once;

/// A bound of the log in bytes that the records of one plan exceed.
const LOG_BOUND_BYTES: u64 = 200;
const LOCK_TTL_MS: u64 = 60_000;

/// Returns the folder in the repository. If POSTBARROW_WRITE_FIXTURES is set, the folder is
/// rewritten before its first use.
fn fixture() -> PathBuf {
    static WRITTEN: Once = Once::new();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/folder");
    if std::env::var_os("POSTBARROW_WRITE_FIXTURES").is_some() {
        WRITTEN.call_once(|| {
            let _ = std::fs::remove_dir_all(&folder);
            write_folder(&folder);
        });
    }
    folder
}

fn name(text: &str) -> Name {
    Name::from(text)
}

fn stored_response(status: u16) -> StoredResponse {
    let headers = vec![("Location".to_string(), format!("/orders/{status}"))];
    StoredResponse { status, headers, body: b"made\x00\xff".to_vec() }
}

fn settle(ticket: Ticket, response: StoredResponse) -> Request {
    Request::Settle { ticket, settlement: Settlement::Ran, response: Some(response) }
}

fn lock(lock: &str) -> Request {
    call(Call::Lock { name: name(lock), holder: name("me"), ttl_ms: LOCK_TTL_MS })
}

fn put(key: &str) -> Request {
    call(Call::Put { name: name(key), value: b"on\x00".to_vec(), revision: None })
}

fn next_number(number: &str, by: u64) -> Request {
    call(Call::Next { name: name(number), by })
}

fn call(call: Call) -> Request {
    Request::Call { id: None, call }
}

fn first_plan() -> String {
    plan("v1", None, 2, "ledger")
}

fn second_plan() -> String {
    plan("v2", Some("v1"), 3, "ledger")
}

fn request(harness: &mut Harness, key: u64, request: Request) -> Response {
    harness.request(key, request);
    harness.run_until_idle();
    harness.response(key).cloned().expect("the request got no response")
}

/// Writes one record of each kind, with names that end in `name_suffix` and request keys from
/// `keys`.
fn write_records(harness: &mut Harness, name_suffix: &str, keys: u64, status: u16) {
    harness.renew_lease(5);
    let ticket = ticket(&format!("order-{name_suffix}"), keys);
    request(harness, keys, Request::Ticket(ticket.clone()));
    request(harness, keys + 1, settle(ticket, stored_response(status)));
    request(harness, keys + 2, next_number(&format!("number-{name_suffix}"), 7));
    request(harness, keys + 3, put(&format!("key-{name_suffix}")));
    request(harness, keys + 4, lock(&format!("lock-{name_suffix}")));
}

/// Writes the folder: the first records are in its snapshot, the second ones in the log after it.
fn write_folder(folder: &Path) {
    let mut harness = Harness::serving();
    write_records(&mut harness, "old", 100, 201);
    harness.submit(1, &first_plan());
    harness.run_until_idle();
    harness.set_log_bound(LOG_BOUND_BYTES);
    request(&mut harness, 2, put("last-of-the-snapshot"));
    let snapshot = harness.snapshot.clone().expect("no snapshot was taken");
    harness.set_log_bound(u64::MAX);
    harness.input(Input::Encoded { index: snapshot.index, state: snapshot.state });
    harness.run_until_idle();
    harness.submit(3, &second_plan());
    harness.run_until_idle();
    write_records(&mut harness, "new", 200, 202);
    harness.renew_lease(5);
    harness.run_until_idle();

    let RecoveredState { snapshot, .. } = recovered(&[1], Vec::new(), 0);
    let first = Write::Slot {
        snapshot: snapshot.expect("a snapshot with the members"),
        hard: Default::default(),
        entries: Vec::new(),
    };
    let disk = FolderDisk::new(folder.to_path_buf()).expect("a folder");
    let mut storage = Storage::create(disk, 1).expect("the storage is created");
    storage.apply(vec![first]).expect("the slot is written");
    storage.apply(harness.writes).expect("the node's writes are written");
}

/// Opens a copy of the folder in the repository. Returns the member id and the recovered state.
fn recovered_from_copy(copy_name: &str) -> (u64, RecoveredState) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(copy_name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    for file in SLOT_FILES.into_iter().chain(LOG_FILES) {
        std::fs::copy(fixture().join(file), folder.join(file))
            .expect("the fixture is missing in the repository");
    }
    match open(FolderDisk::new(folder).expect("a folder")).expect("the folder opens") {
        OpenResult::Recovered { storage, recovered } => (storage.id(), recovered),
        OpenResult::Damaged { damage, .. } => panic!("damaged: {damage}"),
        OpenResult::Empty(_) => panic!("the folder has no slot"),
    }
}

fn check_records(state: &State, name_suffix: &str, status: u16, fence: u64) {
    let named = |kind: &str| name(&format!("{kind}-{name_suffix}"));
    let ticket = &state.tickets[&named("order")];
    assert_eq!(ticket.settlement, Some(Settlement::Ran), "settlement of order-{name_suffix}");
    assert_eq!((ticket.service.as_str(), ticket.instance.as_str()), ("ledger", "ledger-1"));
    assert_eq!(
        ticket.response.as_deref(),
        Some(&stored_response(status)),
        "response of order-{name_suffix}"
    );
    assert_eq!(state.numbers[&named("number")], 7, "value of number-{name_suffix}");
    assert_eq!(state.keys[&named("key")].value, b"on\x00", "value of key-{name_suffix}");
    let lock = &state.locks[&named("lock")];
    assert_eq!(
        (lock.holder.as_str(), lock.fence, lock.ttl_ms),
        ("me", fence, LOCK_TTL_MS),
        "owner of lock-{name_suffix}"
    );
}

#[test]
fn a_leader_started_on_the_older_folder_knows_all_its_records() {
    let (id, recovered) = recovered_from_copy("golden-promises");
    assert_eq!(id, 1);
    let snapshot = recovered.snapshot.clone().expect("a snapshot");
    assert!(snapshot.index > 0 && !recovered.entries.is_empty(), "no snapshot with a log after it");

    let mut harness = Harness::new(recovered);
    let restored = harness.state();
    assert_eq!(restored.plan_version(), Some("v1"), "the plan of the snapshot is in force");
    check_records(restored, "old", 201, 1);
    assert!(
        !restored.numbers.contains_key("number-new"),
        "the log's records were applied before they were committed"
    );

    harness.become_leader();
    let state = harness.state();
    assert_eq!(state.plan_version(), Some("v2"), "the plan of the log is in force");
    assert_eq!(state.plan_text(), second_plan().into_bytes());
    assert_eq!((state.routes.len(), state.services.len()), (3, 1));
    assert_eq!((state.targets.len(), state.nodes.len()), (3, 1));
    assert!(state.accepted_plan("v1").is_some() && state.has_complete_plan_history());
    check_records(state, "old", 201, 1);
    check_records(state, "new", 202, 2);

    for (key, name_suffix, status) in [(1, "old", 201), (2, "new", 202)] {
        let again = Request::Ticket(ticket(&format!("order-{name_suffix}"), 999));
        let Response::Known(known) = request(&mut harness, key, again) else {
            panic!("the key order-{name_suffix} is not known")
        };
        assert_eq!(
            known.response.as_deref(),
            Some(&stored_response(status)),
            "response stored for order-{name_suffix}"
        );
    }
    let shown = request(&mut harness, 3, Request::Show);
    assert!(matches!(shown, Response::Plan { text, .. } if text == second_plan().into_bytes()));
    let number = request(&mut harness, 4, next_number("number-old", 1));
    assert_eq!(
        number,
        Response::Outcome(Outcome::Number(8)),
        "the number does not continue from its stored value"
    );
    let locked = request(&mut harness, 5, lock("lock-third"));
    let next = Outcome::Locked { fence: 3, ttl_ms: LOCK_TTL_MS };
    assert_eq!(locked, Response::Outcome(next), "a fencing token was used twice");
    let read = request(&mut harness, 6, call(Call::ReadKey { name: name("key-old") }));
    assert!(
        matches!(&read, Response::Outcome(Outcome::Key(Key { value, .. })) if value == b"on\x00")
    );
}

/// The content of a snapshot is an array of the state and the log offset of the last routing
/// update.
#[test]
fn the_snapshot_of_the_older_folder_is_read_and_written_byte_for_byte() {
    let (_, recovered) = recovered_from_copy("golden-snapshot");
    let committed = &recovered.snapshot.expect("a snapshot").state;
    let content: (State, u64) = rmp_serde::from_slice(committed).expect("the snapshot decodes");
    assert!(content.1 > 0, "the offset of the last update is missing");
    assert_eq!(&rmp_serde::to_vec(&content).expect("it encodes"), committed);
}
