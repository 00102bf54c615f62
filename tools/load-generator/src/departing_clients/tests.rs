//! Tests of `departing_clients`.

use super::*;

fn departure(id: &str, at_ms: u64) -> Departure {
    Departure { id: id.into(), at_ms }
}

fn execution(id: &str, started_ms: u64, ended_ms: Option<u64>) -> ExecutionTimes {
    ExecutionTimes { id: id.into(), started_ms, ended_ms }
}

#[test]
fn work_that_ends_with_its_client_is_no_violation() {
    let clients = [departure("a", 1_000), departure("b", 1_000), departure("c", 1_000)];
    let executions = [execution("a", 900, Some(1_100)), execution("b", 1_200, Some(1_400))];
    let summary = summarize(&clients, &executions);
    assert_eq!(summary, Summary { departed: 3, in_flight: 2, overran: 0, started_late: 0 });
    assert!(check(&summary).is_empty());
}

#[test]
fn work_that_overruns_or_never_ends_is_a_violation() {
    let clients = [departure("a", 1_000), departure("b", 1_000)];
    for ended_ms in [Some(1_501), None] {
        let executions = [execution("a", 900, ended_ms), execution("b", 900, Some(1_001))];
        let summary = summarize(&clients, &executions);
        assert_eq!((summary.in_flight, summary.overran), (2, 1));
        assert_eq!(check(&summary).len(), 1, "{summary:?}");
    }
}

#[test]
fn requests_that_start_after_their_clients_departed_are_a_violation() {
    let clients: Vec<Departure> = (0..4).map(|at| departure(&at.to_string(), 1_000)).collect();
    let executions: Vec<ExecutionTimes> =
        (0..4).map(|at| execution(&at.to_string(), 1_501, Some(1_510))).collect();
    let summary = summarize(&clients, &executions);
    assert_eq!(summary, Summary { departed: 4, in_flight: 0, overran: 0, started_late: 4 });
    assert_eq!(check(&summary).len(), 1);
    assert!(
        check(&summarize(&clients, &executions[..3])).is_empty(),
        "a few requests may cross the close of their connections"
    );
}

#[test]
fn records_of_targets_are_read_with_their_end_times() {
    let folder = std::env::temp_dir().join(format!("leavers-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let records = [
        "leaver-1 catalogue-1 GET d /stock/leaver-1 900",
        "other catalogue-1 GET d /stock/other 901",
        "leaver-2 catalogue-1 GET d /stock/leaver-2 950",
        "ended leaver-1 dropped 1100",
        "",
    ];
    std::fs::write(folder.join("catalogue-1"), records.join("\n")).unwrap();
    let executions = read_executions(folder.to_str().unwrap()).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    let found: Vec<_> = executions
        .iter()
        .map(|execution| (execution.id.as_str(), execution.started_ms, execution.ended_ms))
        .collect();
    assert_eq!(found, [("leaver-1", 900, Some(1_100)), ("leaver-2", 950, None)]);
}
