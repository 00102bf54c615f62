//! The rehearsal of a plan by recent requests: which of them would be routed or limited otherwise.
//!
//! Operators read the result as JSON; the names of its fields are fixed.

use crate::{Entry, RouteMatch, Table};
use facet::Facet;
use postbarrow_constants::plans::REHEARSAL_MS;
use postbarrow_plan::Plan;
use postbarrow_state::{Labels, Sample, State};
use postbarrow_transactions::Image;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// What would become of recent requests of one route of the plan in force.
#[derive(Clone, Debug, Default, PartialEq, Facet)]
#[facet(rename_all = "camelCase")]
pub struct RouteTraffic {
    /// The route's methods and path.
    pub route: String,
    /// Requests of the sample that the route takes.
    #[facet(rename = "asks")]
    pub requests: u64,
    /// Those that no route of the new plan takes.
    pub lose_route: u64,
    /// Those that would go to another service.
    pub change_service: u64,
    /// Those whose service is chosen by other labels.
    pub change_targets: u64,
    /// Those whose route would be of another kind.
    pub change_kind: u64,
    /// Those whose body the new route does not take, and the old one does.
    pub break_body_limit: u64,
    /// Those of a route that would get more requests a second than its new limit allows.
    pub break_rate_limit: u64,
}

/// Recent requests, run through the plan in force and the one that would replace it.
#[derive(Clone, Debug, Default, PartialEq, Facet)]
#[facet(rename_all = "camelCase")]
pub struct Traffic {
    /// Requests of the sample that were compared.
    pub compared: u64,
    /// All requests that nodes observed in that time.
    #[facet(rename = "seen")]
    pub observed: u64,
    /// Length of that time.
    pub seconds: u64,
    /// Requests that only the new plan routes.
    pub gain_route: u64,
    /// Requests that only the plan in force routes.
    pub lose_route: u64,
    /// Changes of service, targets and kind, over all routes.
    pub changed: u64,
    /// Requests over a new limit of body or rate.
    pub limited: u64,
    /// One row for each route of the plan in force that the sample meets.
    pub routes: Vec<RouteTraffic>,
    /// What the sample can't show, and the reason; empty if it shows all.
    pub missing: Vec<String>,
}

/// The requests that nodes reported lately.
pub struct RecentRequests {
    /// A few of them.
    pub samples: Vec<Sample>,
    /// How many there were.
    pub observed: u64,
    /// In this time.
    pub seconds: u64,
}

impl Traffic {
    /// A rehearsal that compared nothing, for this reason.
    pub fn unknown(reason: &str) -> Traffic {
        Traffic { missing: vec![reason.into()], ..Traffic::default() }
    }

    /// Runs recent requests through both plans, for [`REHEARSAL_MS`] at most.
    pub fn of(before: &Plan, after: &Plan, recent: &RecentRequests) -> Traffic {
        let mut comparison = Comparison::new(table(before), table(after));
        let mut traffic =
            Traffic { observed: recent.observed, seconds: recent.seconds, ..Traffic::default() };
        if recent.samples.is_empty() {
            traffic.missing.push("no node has told of any recent ask".into());
        }
        let (old, new) = (&comparison.old, &comparison.new);
        for name in new.rule_headers().difference(old.rule_headers()) {
            traffic.missing.push(format!("the sample has no {name:?}, which a new rule may read"));
        }
        let start = Instant::now();
        for sample in &recent.samples {
            if start.elapsed().as_millis() as u64 > REHEARSAL_MS {
                traffic.missing.push(format!("stopped after {REHEARSAL_MS} ms"));
                break;
            }
            traffic.compared += 1;
            traffic.gain_route += u64::from(comparison.compare(sample).is_gained());
        }
        comparison.count_over_rate(recent, traffic.compared);
        for (route, row) in comparison.rows {
            traffic.add(RouteTraffic { route, ..row });
        }
        traffic
    }

    fn add(&mut self, row: RouteTraffic) {
        self.lose_route += row.lose_route;
        self.changed += row.change_service + row.change_targets + row.change_kind;
        self.limited += row.break_body_limit + row.break_rate_limit;
        self.routes.push(row);
    }
}

/// Which of the two plans route a request.
enum RoutedBy {
    Neither,
    OldOnly,
    NewOnly,
    Both,
}

impl RoutedBy {
    fn is_gained(&self) -> bool {
        matches!(self, RoutedBy::NewOnly)
    }
}

/// Both plans as tables, and what was counted so far.
struct Comparison {
    old: Table,
    new: Table,
    /// By the name of the old route.
    rows: BTreeMap<String, RouteTraffic>,
    /// By the name of the new route: the old route's name of each of its requests.
    old_names: BTreeMap<String, Vec<String>>,
}

impl Comparison {
    fn new(old: Table, new: Table) -> Comparison {
        Comparison { old, new, rows: BTreeMap::new(), old_names: BTreeMap::new() }
    }

    fn compare(&mut self, sample: &Sample) -> RoutedBy {
        let (before, after) = (find(&self.old, sample), find(&self.new, sample));
        let Some(before) = before else {
            return if after.is_some() { RoutedBy::NewOnly } else { RoutedBy::Neither };
        };
        let name = route_name(&before);
        let row = self.rows.entry(name.clone()).or_default();
        row.requests += 1;
        let Some(after) = after else {
            row.lose_route += 1;
            return RoutedBy::OldOnly;
        };
        self.old_names.entry(route_name(&after)).or_default().push(name);
        let (before, after) = (before.route(), after.route());
        row.change_service += u64::from(before.service != after.service);
        let other_labels = labels(&self.old, &before.service) != labels(&self.new, &after.service);
        row.change_targets += u64::from(other_labels);
        row.change_kind += u64::from(before.kind != after.kind);
        let body_bytes = sample.body_bytes;
        row.break_body_limit +=
            u64::from(body_bytes > after.body_bytes && body_bytes <= before.body_bytes);
        RoutedBy::Both
    }

    /// The sample stands for all that was observed: a route's part of it is its part of that.
    fn count_over_rate(&mut self, recent: &RecentRequests, compared: u64) {
        for route in &self.new.state.routes {
            let Some(rate_per_s) = route.rate_per_s else { continue };
            let name = format!("{} {}", route.methods.join(","), route.path);
            let old_names = self.old_names.get(&name).map_or(&[][..], Vec::as_slice);
            let observed = old_names.len() as u64 * recent.observed / compared.max(1);
            if observed > rate_per_s * recent.seconds.max(1) {
                for name in old_names {
                    self.rows.entry(name.clone()).or_default().break_rate_limit += 1;
                }
            }
        }
    }
}

fn labels(table: &Table, service: &str) -> Option<Labels> {
    table.state.services.get(service).map(|service| service.labels.clone())
}

fn table(plan: &Plan) -> Table {
    let mut state = State::default();
    for record in plan.records() {
        state.apply(1, &record);
    }
    Table::new(Arc::new(state), 1, &Table::empty())
}

fn find(table: &Table, sample: &Sample) -> Option<Arc<Entry>> {
    match table.find(&sample.method, &sample.path, &sample.headers) {
        RouteMatch::Route(entry) => Some(entry),
        RouteMatch::NoRoute | RouteMatch::OtherMethods(_) => None,
    }
}

fn route_name(entry: &Entry) -> String {
    format!("{} {}", entry.route().methods.join(","), entry.route().path)
}
