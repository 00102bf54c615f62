//! Plans whose log records end close to the bound of one transaction.
//!
//! Guards against a plan that the leader accepts and a reader of the log refuses: such a plan is
//! committed and stops every member, also after each restart.

mod harness;
use harness::*;
use postbarrow_consensus::{Entry, Payload};
use postbarrow_constants::plans::{DELTA_BYTES, TEXT_CHUNK_BYTES};
use postbarrow_controller::Input;
use postbarrow_messages::*;
use postbarrow_state::{Call, Outcome, Record};
use postbarrow_transactions::{BatchRecord, decode, encode};
use std::ops::RangeInclusive;
use std::sync::Mutex;
use std::thread;

/// How far from the bound the tested sizes are, in bytes on each side.
const SIZES_BESIDE_BOUND: usize = 64;
/// How far below the bound the transaction is from which the others are computed.
const PROBE_BELOW_BOUND_BYTES: usize = 1_000;
/// An estimate, not too low, of the bytes that a transaction near the bound has beside its text.
const OVERHEAD_ESTIMATE_BYTES: usize = 64 * 1024;
/// The number of threads that check the sizes of one test.
const THREADS: usize = 4;

/// The rule by which readers of earlier releases bound a transaction: the sizes of its batches,
/// with the one that begins it and without the one that ends it.
fn refused_by_earlier_readers(entries: &[Entry]) -> bool {
    let mut open_bytes = None;
    for entry in entries {
        let Payload::Batch(bytes) = &entry.payload else { continue };
        for record in decode::<Record>(bytes).unwrap() {
            match record {
                BatchRecord::Begin { .. } => open_bytes = Some(0),
                BatchRecord::End | BatchRecord::Abort { .. } => open_bytes = None,
                BatchRecord::Data(_) => {}
            }
        }
        open_bytes = open_bytes.map(|open_bytes| open_bytes + bytes.len());
        if open_bytes.is_some_and(|open_bytes| open_bytes > DELTA_BYTES) {
            return true;
        }
    }
    false
}

/// Returns the size of the transaction in these entries as earlier readers count it.
fn transaction_bytes(entries: &[Entry]) -> usize {
    let mut size_bytes = 0;
    for entry in entries {
        let Payload::Batch(bytes) = &entry.payload else { continue };
        if decode::<Record>(bytes).unwrap().contains(&BatchRecord::End) {
            return size_bytes;
        }
        size_bytes += bytes.len();
    }
    panic!("the entries have no complete transaction");
}

/// Returns the number of routes of the plan before a delta: so many that a complete plan is larger
/// than its delta, whose text is cut into more pieces.
const ROUTES_BEFORE_DELTA: usize = 400;

/// Returns a submission of this version, whose text has this many bytes more than that of version
/// `v1`.
fn sized_submission(version: &str, base: Option<&str>, added_bytes: usize) -> Submission {
    let mut submission = submission(&plan(version, base, ROUTES_BEFORE_DELTA, "catalogue"));
    submission.records.retain(|record| !matches!(record, Record::PlanText(_)));
    let mut text = "a line\n".repeat(100).into_bytes();
    text.resize(text.len() + added_bytes, b'x');
    let chunks = text.chunks(TEXT_CHUNK_BYTES);
    submission.records.extend(chunks.map(|chunk| Record::PlanText(chunk.to_vec())));
    submission
}

/// Returns a leader on which a call was acknowledged, and the plan `v1` if the next one is a delta.
fn leader_before(is_delta: bool) -> Harness {
    let mut harness = Harness::serving();
    let call = Call::Next { name: "n".into(), by: 1 };
    harness.request(1, Request::Call { id: None, call });
    if is_delta {
        harness.request(2, Request::Submit(sized_submission("v1", None, 0)));
    }
    harness.run_until_idle();
    harness
}

/// Submits a plan with so many bytes more than the first one; returns the leader and the entries
/// that it wrote.
fn submit_sized(is_delta: bool, added_bytes: usize) -> (Harness, Vec<Entry>) {
    let mut harness = leader_before(is_delta);
    let before = harness.entries.len();
    let base = is_delta.then_some("v1");
    harness.request(3, Request::Submit(sized_submission("v2", base, added_bytes)));
    while harness.response(3).is_none() {
        harness.tick(1);
        harness.sync();
    }
    let written = harness.entries[before..].to_vec();
    (harness, written)
}

/// Checks one size of a transaction, `beyond` bytes from the bound. The transaction of a plan has
/// `overhead_bytes` more than the plan's added text.
fn check_size(is_delta: bool, beyond: isize, overhead_bytes: usize) {
    let size_bytes = DELTA_BYTES.checked_add_signed(beyond).unwrap();
    let (mut harness, written) = submit_sized(is_delta, size_bytes - overhead_bytes);
    let in_force = if beyond > 0 {
        assert_eq!(harness.status(3), Some(413), "{size_bytes} bytes");
        assert_eq!(written, [], "{size_bytes} bytes: a part of a refused plan was written");
        is_delta.then_some("v1")
    } else {
        assert_eq!(harness.status(3), Some(200), "{size_bytes} bytes");
        assert_eq!(transaction_bytes(&written), size_bytes);
        assert!(!refused_by_earlier_readers(&harness.entries), "{size_bytes} bytes");
        Some("v2")
    };
    harness.run_until_idle();
    assert_eq!(harness.state().plan_version(), in_force, "{size_bytes} bytes");
    let mut restarted = Harness::new(recovered(&[1], harness.entries.clone(), 9));
    restarted.become_leader();
    assert_eq!(restarted.state().plan_version(), in_force, "{size_bytes} bytes");
    assert_eq!(restarted.state().plan_text(), harness.state().plan_text());
    assert_eq!(restarted.state().numbers.get("n"), Some(&1));
}

/// Returns the bytes that a transaction has beside the added text of its plan; they depend only on
/// the number of the text's chunks.
fn overhead_bytes(is_delta: bool, added_bytes: usize) -> usize {
    let (_, written) = submit_sized(is_delta, added_bytes);
    let is_delta_record =
        |record: &_| matches!(record, BatchRecord::Data(Record::PlanDelta { .. }));
    let has_delta_record = written.iter().any(|entry| match &entry.payload {
        Payload::Batch(bytes) => decode(bytes).unwrap().iter().any(is_delta_record),
        _ => false,
    });
    assert_eq!(has_delta_record, is_delta);
    transaction_bytes(&written) - added_bytes
}

/// Checks all of these sizes, given in bytes beyond the bound, on several threads.
fn check_sizes(is_delta: bool, beyond_bound: RangeInclusive<isize>) {
    let estimate_bytes = overhead_bytes(is_delta, DELTA_BYTES - OVERHEAD_ESTIMATE_BYTES);
    let probed_bytes = DELTA_BYTES - PROBE_BELOW_BOUND_BYTES - estimate_bytes;
    let overhead_bytes = overhead_bytes(is_delta, probed_bytes);
    let remaining = Mutex::new(beyond_bound);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let Some(beyond) = remaining.lock().unwrap().next() else { return };
                    check_size(is_delta, beyond, overhead_bytes);
                }
            });
        }
    });
}

fn below_bound() -> RangeInclusive<isize> {
    -(SIZES_BESIDE_BOUND as isize)..=0
}

fn above_bound() -> RangeInclusive<isize> {
    1..=SIZES_BESIDE_BOUND as isize
}

#[test]
fn a_complete_plan_up_to_the_bound_is_applied_and_read_back_after_a_restart() {
    check_sizes(false, below_bound());
}

#[test]
fn a_complete_plan_over_the_bound_is_refused_before_anything_is_written() {
    check_sizes(false, above_bound());
}

#[test]
fn a_delta_up_to_the_bound_is_applied_and_read_back_after_a_restart() {
    check_sizes(true, below_bound());
}

#[test]
fn a_delta_over_the_bound_is_refused_before_anything_is_written() {
    check_sizes(true, above_bound());
}

/// Returns the entries that a leader of an earlier release wrote for a plan: their data has this
/// many bytes, to which that leader did not add the batch with Begin.
fn entries_of_earlier_leader(data_bytes: usize) -> Vec<Entry> {
    let start = Record::PlanStart { version: "v1".into(), base: None };
    let batch = |text_bytes| {
        vec![
            BatchRecord::Data(start.clone()),
            BatchRecord::Data(Record::PlanText(vec![b'x'; text_bytes])),
        ]
    };
    let probed_bytes = data_bytes - PROBE_BELOW_BOUND_BYTES;
    let overhead_bytes = encode(&batch(probed_bytes)).len() - probed_bytes;
    let data = batch(data_bytes - overhead_bytes);
    assert_eq!(encode(&data).len(), data_bytes);
    let accepted =
        Record::PlanAccepted { version: "v1".into(), base: None, digest: [0; 32], began_at: 2 };
    let number = Record::Number { name: "n".into(), value: 4 };
    let batches = [
        vec![BatchRecord::Data(number)],
        vec![BatchRecord::begin("plan v1")],
        data,
        vec![BatchRecord::Data(accepted), BatchRecord::End],
    ];
    let entry = |(position, batch): (usize, Vec<BatchRecord<Record>>)| Entry {
        term: 1,
        index: position as u64 + 1,
        payload: Payload::Batch(encode(&batch)),
    };
    batches.into_iter().enumerate().map(entry).collect()
}

/// Guards against members that stop again at each start on a log whose committed transaction an
/// earlier release let pass.
#[test]
fn a_log_with_a_transaction_over_the_bound_is_served_again() {
    let entries = entries_of_earlier_leader(DELTA_BYTES);
    assert!(refused_by_earlier_readers(&entries), "the log is not one that stopped members");
    let mut harness = Harness::new(recovered(&[1], entries, 1));
    harness.become_leader();
    assert_eq!(harness.state().plan_version(), Some("v1"));
    assert_eq!(harness.state().numbers.get("n"), Some(&4));
    let call = Call::Next { name: "n".into(), by: 1 };
    harness.request(1, Request::Call { id: None, call });
    harness.submit(2, &plan("v2", Some("v1"), 1, "nobody"));
    harness.run_until_idle();
    assert_eq!(harness.response(1), Some(&Response::Outcome(Outcome::Number(5))));
    assert_eq!(harness.status(2), Some(422), "the plan is rehearsed on the state that was read");
}

/// Returns a submission whose routes have conditions of this total length. The plan's text is
/// short, as that of a plan is whose routes repeat the name of their host.
fn submission_with_routes(version: u64, routes: usize) -> Submission {
    let base = (version > 1).then(|| format!("v{}", version - 1));
    let text = plan(&format!("v{version}"), base.as_deref(), routes, "catalogue");
    let mut submission = submission(&text);
    for record in &mut submission.records {
        if let Record::Route(route) = record {
            route.when = Some("x".repeat(ROUTE_BYTES));
        }
    }
    submission
}

/// Size of the condition of each route of `submission_with_routes`, in bytes.
const ROUTE_BYTES: usize = 1 << 20;

/// Guards against a plan in force that no data node can fetch any more: each change was within the
/// bound of a transaction, their sum beyond that of a frame, so that no image reached a node that
/// had just started.
#[test]
fn a_plan_that_grows_by_small_deltas_is_refused_before_its_image_exceeds_a_frame() {
    let mut harness = Harness::serving();
    for (version, routes) in [(1, 7), (2, 14), (3, 19)] {
        harness.request(version, Request::Submit(submission_with_routes(version, routes)));
        harness.run_until_idle();
        assert_eq!(harness.status(version), Some(200), "{routes} routes");
        assert!(image_fits_frame(&mut harness));
    }
    let before = harness.entries.len();
    harness.request(4, Request::Submit(submission_with_routes(4, 26)));
    assert_eq!(harness.status(4), Some(413));
    assert_eq!(harness.entries.len(), before, "a refused plan was written");
    harness.run_until_idle();
    assert_eq!(harness.state().plan_version(), Some("v3"));
    harness.request(5, Request::Submit(submission_with_routes(4, 13)));
    harness.run_until_idle();
    assert_eq!(harness.status(5), Some(200), "a smaller plan is refused");
}

/// Requests an image, as data nodes do that have just started, and encodes it into a frame.
fn image_fits_frame(harness: &mut Harness) -> bool {
    harness.sent.clear();
    let version = harness.state().plan_version().unwrap().to_string();
    let from = format!("10.3.0.{}:1", version.trim_start_matches('v')).parse().unwrap();
    harness.input(Input::Receive(Envelope { from, message: Message::Tail { after: 0 } }));
    let image = harness.sent.iter().find(|message| matches!(message, Message::Image(_)));
    let message = image.expect("an image is sent").clone();
    to_frame(&Envelope { from, message }).is_ok()
}
