//! A plan's delta produces the same state as the submitted plan, and contains only the differences.

use postbarrow_constants::plans::{BATCH_BYTES, TEXT_CHUNK_BYTES};
use postbarrow_plan::{Change, Plan, changes, delta};
use postbarrow_state::{Record, Route, State};
use postbarrow_transactions::{Image as _, split};
use std::collections::HashSet;
use std::sync::Arc;

/// A pseudo-random sequence of numbers that depends only on the seed.
struct RandomNumbers(u64);

impl RandomNumbers {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
        (self.0 >> 33) as usize % bound.max(1)
    }
}

/// The content from which a plan's text is generated.
#[derive(Clone)]
struct Draft {
    /// Name of each service, and the value of its label.
    services: Vec<(String, String)>,
    /// Number in the path and deadline in milliseconds of each route.
    routes: Vec<(usize, usize)>,
    /// Limit of a request's head in bytes, less 256; `None` if the plan sets no limits of clients.
    head_bytes: Option<usize>,
    /// White space between the parts of the text; may be empty.
    whitespace: &'static str,
}

impl Draft {
    fn new(routes: usize, whitespace: &'static str) -> Draft {
        Draft {
            services: vec![("s".into(), "catalogue".into())],
            routes: (0..routes).map(|at| (at, 1_000)).collect(),
            head_bytes: None,
            whitespace,
        }
    }

    fn text(&self, version: usize) -> String {
        let whitespace = self.whitespace;
        let named = |(name, label): &(String, String)| {
            format!("\"{name}\":{{\"labels\":{{\"service\":\"{label}\"}}}}")
        };
        let services: Vec<String> = self.services.iter().map(named).collect();
        let row = |(path, deadline_ms): &(usize, usize)| {
            format!(
                "{whitespace}{{\"path\":\"/käse{path}\",{whitespace}\"methods\":[\"GET\"],\"kind\":\"lookup\",\"service\":\"s\",{whitespace}\"limits\":{{\"deadlineMs\":{deadline_ms}}}}}"
            )
        };
        let routes: Vec<String> =
            self.routes.iter().map(row).map(|row| row.replace("käse", "cheese")).collect();
        let client_limits = self.head_bytes.map_or(String::new(), |bytes| {
            format!(",\"callers\":{{\"headBytes\":{}}}", bytes + 256)
        });
        format!(
            "{{\"version\":\"v{version}\",\"base\":\"v{}\",\"services\":{{{}}}{client_limits},{whitespace}\"routes\":[{}]}}",
            version - 1,
            services.join(","),
            routes.join(",")
        )
    }

    /// Makes one random edit: removes, adds, moves or changes routes, services or the limits of
    /// clients. Paths and names of new items are derived from `unused`.
    fn edit(&mut self, random: &mut RandomNumbers, unused: usize) {
        let at = random.below(self.routes.len());
        match random.below(9) {
            0 if self.routes.len() > 3 => drop(self.routes.remove(at)),
            1 => self.routes.insert(at, (unused, random.below(5_000) + 1)),
            2 => {
                let moved = self.routes.remove(at);
                self.routes.insert(random.below(self.routes.len() + 1), moved);
            }
            3 => {
                let more = random.below(40);
                let rows = (0..more).map(|step| (unused + 1_000 * (step + 1), 1 + step));
                self.routes.splice(at..at, rows);
            }
            4 => {
                let end = (at + random.below(20)).min(self.routes.len());
                if self.routes.len() > end - at + 3 {
                    self.routes.drain(at..end);
                }
            }
            5 => self.services.push((format!("t{unused}"), "ledger".into())),
            6 if self.services.len() > 1 => drop(self.services.pop()),
            7 => self.head_bytes = random.below(2).checked_sub(1).map(|_| random.below(9_000)),
            _ => self.routes[at].1 = random.below(5_000) + 1,
        }
    }
}

fn records(text: &str) -> Vec<Record> {
    Plan::read(text.as_bytes()).unwrap_or_else(|findings| panic!("{findings:?}\n{text}")).records()
}

fn applied(state: &State, offset: u64, records: &[Record]) -> State {
    let mut state = state.clone();
    records.iter().for_each(|record| state.apply(offset, record));
    state
}

fn size(records: &[Record]) -> usize {
    records.iter().map(|record| rmp_serde::to_vec(record).unwrap().len()).sum()
}

#[test]
fn deltas_of_random_changes_produce_the_states_of_the_submitted_plans() {
    let (mut steps, mut without_delta) = (0, 0);
    for seed in 0..12 {
        let mut random = RandomNumbers(seed);
        let whitespace = ["", "\n  "][seed as usize % 2];
        let mut draft = Draft::new(40 + random.below(100), whitespace);
        let mut state = applied(&State::default(), 1, &records(&draft.text(1)));
        for version in 2..12 {
            for edit in 0..1 + random.below(6) {
                draft.edit(&mut random, version * 100_000 + edit * 100);
            }
            let text = draft.text(version);
            let submitted = records(&text);
            let expected = applied(&state, version as u64, &submitted);
            let delta_records = delta(&state, &submitted);
            steps += 1;
            without_delta += usize::from(delta_records.is_none());
            let delta_records = delta_records.unwrap_or(submitted);
            state = applied(&state, version as u64, &delta_records);
            assert_eq!(state, expected, "seed {seed}, version {version}");
            assert_eq!(state.plan_text(), text.into_bytes(), "seed {seed}, version {version}");
        }
    }
    assert!(without_delta * 50 < steps, "{without_delta} of {steps} changes had no delta");
}

#[test]
fn a_delta_grows_with_its_change_and_not_with_the_number_of_routes() {
    let delta_size = |routes: usize| {
        let mut draft = Draft::new(routes, "");
        let state = applied(&State::default(), 1, &records(&draft.text(1)));
        draft.routes[routes / 2].1 = 2_000;
        let delta_records = delta(&state, &records(&draft.text(2))).expect("the plan has a delta");
        let after = applied(&state, 2, &delta_records);
        let shared = |at: usize| Arc::ptr_eq(&state.routes[at], &after.routes[at]);
        assert_eq!(
            (0..routes).filter(|at| !shared(*at)).count(),
            1,
            "routes that the delta replaced"
        );
        size(&delta_records)
    };
    let (few, many) = (delta_size(600), delta_size(6_000));
    assert!(few < 512 && many < few + 16, "{few} bytes for 600 routes, {many} bytes for 6000");
}

/// The records of a plan with these routes, built without parsing a plan; the plan's text is made
/// of the routes' paths and deadlines.
fn plan_records(version: usize, routes: &[Route]) -> Vec<Record> {
    let mut records =
        vec![Record::PlanStart { version: format!("v{version}").into(), base: Some("v".into()) }];
    let row = |route: &Route| format!("{{{} {}}}", route.path, route.deadline_ms).repeat(10);
    let text: String = routes.iter().map(row).collect();
    records.extend(routes.iter().cloned().map(Record::Route));
    let chunks = text.as_bytes().chunks(TEXT_CHUNK_BYTES);
    records.extend(chunks.map(|chunk| Record::PlanText(chunk.to_vec())));
    records
}

#[test]
fn a_thousand_deltas_leave_as_many_text_chunks_as_a_submitted_plan() {
    let first = records(&Draft::new(300, "").text(1));
    let mut routes: Vec<Route> = applied(&State::default(), 1, &first)
        .routes
        .iter()
        .map(|route| route.as_ref().clone())
        .collect();
    let mut random = RandomNumbers(7);
    let mut state = applied(&State::default(), 1, &plan_records(1, &routes));
    for version in 2..1_002 {
        routes.rotate_left(1);
        routes[random.below(300)].deadline_ms += 10;
        let submitted = plan_records(version, &routes);
        let delta_records = delta(&state, &submitted).expect("the plan has a delta");
        let before = state.clone();
        state = applied(&state, version as u64, &delta_records);
        assert_eq!(state.plan_text.len(), state.plan_text().len().div_ceil(TEXT_CHUNK_BYTES));
        let known: HashSet<_> = before.routes.iter().map(Arc::as_ptr).collect();
        let retained = state.routes.iter().filter(|route| known.contains(&Arc::as_ptr(route)));
        assert!(retained.count() >= 298, "version {version}");
    }
    assert!(state.plan_text.len() > 3, "the text is too short for several chunks");
    assert_eq!(state.plan, applied(&state, 1_001, &plan_records(1_001, &routes)).plan);
    assert_eq!(
        state.plan_text(),
        applied(&state, 1_001, &plan_records(1_001, &routes)).plan_text()
    );
}

#[test]
fn records_of_a_large_delta_fit_into_batches() {
    let mut draft = Draft::new(2_000, "");
    let state = applied(&State::default(), 1, &records(&draft.text(1)));
    for at in (0..2_000).step_by(3) {
        draft.routes[at].1 += 1 + at;
    }
    draft.routes.splice(500..500, (0..900).map(|step| (10_000 + step, 7)));
    let submitted = records(&draft.text(2));
    let delta_records = delta(&state, &submitted).expect("the plan has a delta");
    for record in &delta_records {
        assert!(
            size(std::slice::from_ref(record)) < BATCH_BYTES / 2,
            "one record takes half a batch or more"
        );
    }
    assert!(split(delta_records.clone()).len() > 1);
    assert_eq!(applied(&state, 2, &delta_records), applied(&state, 2, &submitted));
}

#[test]
fn a_first_plan_and_a_plan_with_uneven_text_chunks_have_no_delta() {
    let first = records(&Draft::new(30, "").text(1));
    assert_eq!(delta(&State::default(), &first), None);
    let state = applied(&State::default(), 1, &first);
    let mut second = records(&Draft::new(30, "").text(2));
    assert!(delta(&state, &second).is_some());
    let Some(Record::PlanText(text)) = second.pop() else { panic!("a plan ends with its text") };
    second.extend(text.chunks(100).map(|chunk| Record::PlanText(chunk.to_vec())));
    assert_eq!(
        delta(&state, &second),
        None,
        "a delta would not produce the state of the submitted plan"
    );
}

#[test]
fn text_changes_are_not_routing_updates() {
    let mut draft = Draft::new(30, "");
    let state = applied(&State::default(), 1, &records(&draft.text(1)));
    draft.routes[4].1 = 3;
    let delta_records = delta(&state, &records(&draft.text(2))).expect("the plan has a delta");
    let updates: Vec<Record> =
        delta_records.into_iter().filter(Record::is_routing_update).collect();
    assert_eq!(updates.len(), 2, "{updates:?}");
    let node = applied(&state.routing_view(), 2, &updates);
    assert_eq!(node.routes, applied(&state, 2, &records(&draft.text(2))).routes);
    assert!(node.plan_text.is_empty());
}

#[test]
fn changes_contain_only_what_differs() {
    let found = changes(&[1, 2, 3, 3, 4, 5], &[1, 9, 3, 3, 5, 6]);
    let change = |old, new| Change { old, new };
    assert_eq!(found, [change(1..5, 1..4), change(6..6, 5..6)]);
    assert_eq!(changes(&[1, 2], &[1, 2]), []);
    assert_eq!(changes(&[], &[1]), [change(0..0, 0..1)]);
}
