//! Tests of `leavers`.

use super::*;

fn left(id: &str, at_ms: u64) -> Left {
    Left { id: id.into(), at_ms }
}

fn worked(id: &str, began_ms: u64, ended_ms: Option<u64>) -> Worked {
    Worked { id: id.into(), began_ms, ended_ms }
}

#[test]
fn work_that_ends_with_its_client_is_sound() {
    let clients = [left("a", 1_000), left("b", 1_000), left("c", 1_000)];
    let works = [worked("a", 900, Some(1_100)), worked("b", 1_200, Some(1_400))];
    let summary = summarize(&clients, &works);
    assert_eq!(summary, Summary { left: 3, at_work: 2, worked_on: 0, began_late: 0 });
    assert!(check(&summary).is_empty());
}

#[test]
fn work_that_goes_on_or_never_ends_is_a_violation() {
    let clients = [left("a", 1_000), left("b", 1_000)];
    for ended_ms in [Some(1_501), None] {
        let works = [worked("a", 900, ended_ms), worked("b", 900, Some(1_001))];
        let summary = summarize(&clients, &works);
        assert_eq!((summary.at_work, summary.worked_on), (2, 1));
        assert_eq!(check(&summary).len(), 1, "{summary:?}");
    }
}

#[test]
fn requests_that_begin_after_their_clients_left_are_a_violation() {
    let clients: Vec<Left> = (0..4).map(|at| left(&at.to_string(), 1_000)).collect();
    let works: Vec<Worked> = (0..4).map(|at| worked(&at.to_string(), 1_501, Some(1_510))).collect();
    let summary = summarize(&clients, &works);
    assert_eq!(summary, Summary { left: 4, at_work: 0, worked_on: 0, began_late: 4 });
    assert_eq!(check(&summary).len(), 1);
    assert!(check(&summarize(&clients, &works[..3])).is_empty(), "a few may cross the close");
}

#[test]
fn records_of_targets_are_read_with_their_ends() {
    let folder = std::env::temp_dir().join(format!("leavers-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let text = "leaver-1 catalogue-1 GET d /stock/leaver-1 900\n\
                other catalogue-1 GET d /stock/other 901\n\
                leaver-2 catalogue-1 GET d /stock/leaver-2 950\n\
                ended leaver-1 dropped 1100\n";
    std::fs::write(folder.join("catalogue-1"), text).unwrap();
    let works = read_works(folder.to_str().unwrap()).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    let found: Vec<_> =
        works.iter().map(|work| (work.id.as_str(), work.began_ms, work.ended_ms)).collect();
    assert_eq!(found, [("leaver-1", 900, Some(1_100)), ("leaver-2", 950, None)]);
}
