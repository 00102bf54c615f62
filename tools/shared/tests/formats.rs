//! Tests of the formats that the tools exchange: execution records and names of faults.

use std::str::FromStr;
use tools_shared::{ExecutionRecord, TargetFault, WorkEnd, mix};

#[test]
fn records_are_formatted_and_parsed_without_loss() {
    let run = "a ledger-1 POST d /transfers?q=1 900";
    let record = ExecutionRecord::parse(run).unwrap();
    assert_eq!(record.to_string(), run);
    assert_eq!(record.at_ms(), Some(900));
    for (end, line) in [
        (WorkEnd::Complete, "ended a whole 1100"),
        (WorkEnd::Dropped, "ended a dropped 1100"),
        (WorkEnd::Aborted, "ended a broke 1100"),
    ] {
        let ended = ExecutionRecord::Ended { id: "a".into(), end, at_ms: Some(1_100) };
        assert_eq!(ended.to_string(), line);
        assert_eq!(ExecutionRecord::parse(line), Some(ended));
    }
    assert_eq!(ExecutionRecord::parse("a ledger-1 POST"), None);
}

#[test]
fn faults_are_parsed_by_their_command_line_names() {
    let names = ["lost", "garbage", "cut", "endless", "lie", "double"];
    for (name, fault) in names.into_iter().zip(TargetFault::ALL) {
        assert_eq!(TargetFault::from_str(name), Ok(fault));
    }
    assert_eq!(
        TargetFault::from_str("sulk").unwrap_err().to_string(),
        "sulk: unknown target fault"
    );
}

#[test]
fn mix_returns_the_first_output_of_splitmix64() {
    assert_eq!(mix(0), 0xe220_a839_7b1d_cdaf);
}
