//! The markers that frame a transaction in the log, and how readers and the writer handle them.

use postbarrow_constants::plans::{
    BATCH_BYTES, DELTA_BYTES, MARKER_TEXT_BYTES, TRANSACTION_OPEN_MS,
};
use postbarrow_transactions::*;

#[derive(Clone, Debug, Default, PartialEq)]
struct Values(Vec<u64>);

impl Image for Values {
    type Record = u64;
    fn apply(&mut self, _offset: u64, record: &u64) {
        self.0.push(*record);
    }
}

fn data(value: u64) -> BatchRecord<u64> {
    BatchRecord::Data(value)
}

#[test]
fn image_is_published_at_end_only_and_is_unchanged_by_an_abort() {
    let mut tail = Tail::new(0, Values::default());
    assert_eq!(tail.apply(1, &[data(1)]), Ok(BatchOutcome::Published));
    assert_eq!(tail.apply(2, &[BatchRecord::begin("plan"), data(2)]), Ok(BatchOutcome::Pending));
    assert_eq!(tail.apply(3, &[data(3)]), Ok(BatchOutcome::Pending));
    assert_eq!(tail.image().0, [1]);
    assert_eq!(tail.pending_image().map(|staged| staged.0.clone()), Some(vec![1, 2, 3]));
    let aborted = tail.apply(4, &[data(4), BatchRecord::abort("broken")]);
    assert_eq!(aborted, Ok(BatchOutcome::Aborted { reason: Some("broken".into()) }));
    assert_eq!(tail.image().0, [1]);
    assert_eq!(
        tail.apply(5, &[BatchRecord::begin("again"), data(5), BatchRecord::End]),
        Ok(BatchOutcome::Published)
    );
    assert_eq!(tail.image().0, [1, 5]);
}

#[test]
fn misplaced_markers_are_errors_and_leave_the_tail_unchanged() {
    let mut tail = Tail::new(0, Values::default());
    assert!(tail.apply(1, &[BatchRecord::End]).unwrap_err().to_string().contains("without Begin"));
    assert!(tail.apply(1, &[data(7), BatchRecord::abort("x")]).is_err());
    assert_eq!((tail.image().0.len(), tail.offset()), (0, 0));
    tail.apply(1, &[BatchRecord::begin("one")]).unwrap();
    assert!(
        tail.apply(2, &[BatchRecord::begin("two")])
            .unwrap_err()
            .to_string()
            .contains("within transaction \"one\"")
    );
    assert_eq!(tail.open_transaction_name(), Some("one"));
    assert!(tail.apply(1, &[data(1)]).unwrap_err().to_string().contains("not after"));
}

/// Returns the batches of a transaction with this name whose pending delta has this many bytes.
fn sized_batches(name: &str, size_bytes: usize) -> Vec<Vec<BatchRecord<String>>> {
    let begin = [BatchRecord::begin(name)];
    let batches = |length| vec![vec![BatchRecord::Data("x".repeat(length))]];
    let length = size_bytes - 100;
    let overhead_bytes = delta_bytes(&begin, &batches(length)) - length;
    let sized = batches(size_bytes - overhead_bytes);
    assert_eq!(delta_bytes(&begin, &sized), size_bytes);
    sized
}

#[derive(Clone, Default)]
struct Length(usize);

impl Image for Length {
    type Record = String;
    fn apply(&mut self, _offset: u64, record: &String) {
        self.0 += record.len();
    }
}

#[test]
fn writer_begins_no_transaction_over_the_bound_with_its_begin_marker() {
    for (name, size_bytes) in [("big", DELTA_BYTES + 1), ("big", DELTA_BYTES + 18)] {
        let mut writer = Writer::new(3, Length::default());
        let batches = sized_batches(name, size_bytes);
        assert!(batches.iter().map(|batch| encode(batch).len()).sum::<usize>() <= DELTA_BYTES + 13);
        assert_eq!(
            writer.begin(100, name, &batches),
            Err(TransactionError::DeltaTooLarge { size_bytes })
        );
        assert!(!writer.has_open_transaction());
    }
    let mut writer = Writer::new(3, Length::default());
    assert!(writer.begin(100, "big", &sized_batches("big", DELTA_BYTES)).is_ok());
}

#[test]
fn counted_bytes_are_those_of_the_encoded_batch() {
    let batch = [BatchRecord::begin("a"), BatchRecord::Data("b".repeat(70_000)), BatchRecord::End];
    assert_eq!(encoded_bytes(&batch), encode(&batch).len());
    let batches = [batch.to_vec(), batch.to_vec()];
    assert_eq!(delta_bytes(&batch, &batches), 3 * encode(&batch).len());
}

#[test]
fn committed_transaction_over_the_bound_is_published() {
    let mut tail = Tail::new(0, Length::default());
    tail.apply(1, &[BatchRecord::begin("big")]).unwrap();
    let batches = sized_batches("big", DELTA_BYTES + 1);
    assert_eq!(tail.apply(2, &batches[0]), Ok(BatchOutcome::Pending));
    assert_eq!(tail.apply(3, &[BatchRecord::End]), Ok(BatchOutcome::Published));
    assert!(tail.image().0 > DELTA_BYTES - 100);
}

#[test]
fn abort_returns_the_writer_to_its_state_at_begin() {
    let mut writer = Writer::new(3, Values(vec![1]));
    assert_eq!(writer.begin(100, "plan", &[]), Ok(BatchRecord::begin("plan")));
    assert_eq!(writer.begin(100, "other", &[]), Err(TransactionError::AlreadyOpen));
    writer.apply(2, &2);
    assert_eq!(writer.proposed_state().0, [1, 2]);
    assert_eq!(writer.state_before_transaction().map(|state| state.0.clone()), Some(vec![1]));
    assert!(!writer.is_transaction_overdue(100 + TRANSACTION_OPEN_MS - 1));
    assert!(writer.is_transaction_overdue(100 + TRANSACTION_OPEN_MS));
    assert_eq!(writer.abort("late"), Ok(BatchRecord::abort("late")));
    assert_eq!(writer.proposed_state().0, [1]);
    assert_eq!(writer.end(), Err(TransactionError::NotOpen));
}

#[test]
fn marker_texts_are_truncated_when_written_and_rejected_over_the_bound_when_read() {
    let long_text = "ü".repeat(200);
    let BatchRecord::<u64>::Begin { name: Some(name) } = BatchRecord::begin(&long_text) else {
        panic!("the Begin marker has no name")
    };
    assert!(name.len() <= MARKER_TEXT_BYTES && name.len() > MARKER_TEXT_BYTES - 2);
    let too_long = [BatchRecord::<u64>::Abort { reason: Some("r".repeat(MARKER_TEXT_BYTES + 1)) }];
    assert!(decode::<u64>(&encode(&too_long)).unwrap_err().to_string().contains("over 255"));
    let complete = vec![BatchRecord::begin("a"), data(1), BatchRecord::End];
    assert_eq!(decode::<u64>(&encode(&complete)), Ok(complete));
    assert!(decode::<u64>(&[9, 1, 2]).unwrap_err().to_string().contains("unknown format"));
}

#[test]
fn split_groups_records_in_order_into_bounded_batches() {
    let records: Vec<String> = (0..100).map(|index| format!("{index:04}").repeat(1_000)).collect();
    let batches = split(records.clone());
    assert!(batches.len() > 3);
    for batch in &batches {
        assert!(batch.iter().map(String::len).sum::<usize>() <= BATCH_BYTES);
    }
    assert_eq!(batches.concat(), records);
}
