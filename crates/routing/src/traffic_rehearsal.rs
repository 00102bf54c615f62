//! The rehearsal of a plan with recent requests: which of them would be routed or limited
//! differently.
//!
//! Operators read the result as JSON, so the JSON names of its fields are fixed.

use crate::{Entry, RouteMatch, Table};
use facet::Facet;
use postbarrow_constants::plans::REHEARSAL_MS;
use postbarrow_plan::Plan;
use postbarrow_state::{Labels, Sample, State};
use postbarrow_transactions::Image;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// Counts of the sampled requests of one route of the plan in force, by how the new plan would
/// treat them.
#[derive(Clone, Debug, Default, PartialEq, Facet)]
#[facet(rename_all = "camelCase")]
pub struct RouteTraffic {
    /// The route's methods, separated by commas, and its path.
    pub route: String,
    /// Sampled requests that the route matches.
    #[facet(rename = "asks")]
    pub requests: u64,
    /// Requests of the route that no route of the new plan matches.
    pub lose_route: u64,
    /// Requests of the route that would go to another service.
    pub change_service: u64,
    /// Requests of the route whose service would select its targets by other labels.
    pub change_targets: u64,
    /// Requests of the route whose new route would be of another kind.
    pub change_kind: u64,
    /// Requests of the route whose body exceeds the limit of the new route but not of the old one.
    pub break_body_limit: u64,
    /// Requests of the route whose new route would get more requests per second than its limit
    /// allows.
    pub break_rate_limit: u64,
}

/// The result of running recent requests through the plan in force and the one that would replace
/// it.
#[derive(Clone, Debug, Default, PartialEq, Facet)]
#[facet(rename_all = "camelCase")]
pub struct Traffic {
    /// Number of sampled requests that were compared.
    pub compared: u64,
    /// Number of all requests that nodes observed in the sampled period, sampled or not.
    #[facet(rename = "seen")]
    pub observed: u64,
    /// Length of the sampled period, in seconds.
    pub seconds: u64,
    /// Number of sampled requests that only the new plan routes.
    pub gain_route: u64,
    /// Number of sampled requests that only the plan in force routes.
    pub lose_route: u64,
    /// Sum of `change_service`, `change_targets` and `change_kind` over all routes.
    pub changed: u64,
    /// Sum of `break_body_limit` and `break_rate_limit` over all routes.
    pub limited: u64,
    /// One row for each route of the plan in force that matches a sampled request.
    pub routes: Vec<RouteTraffic>,
    /// What the rehearsal can't show, and why; empty if nothing is missing.
    pub missing: Vec<String>,
}

/// The requests that nodes reported in a recent period.
pub struct RecentRequests {
    /// Samples of these requests.
    pub samples: Vec<Sample>,
    /// Number of all these requests.
    pub observed: u64,
    /// Length of the period, in seconds.
    pub seconds: u64,
}

impl Traffic {
    /// Returns the result of a rehearsal that could compare nothing, for this reason.
    pub fn unknown(reason: &str) -> Traffic {
        Traffic { missing: vec![reason.into()], ..Traffic::default() }
    }

    /// Runs recent requests through both plans; stops after [`REHEARSAL_MS`].
    pub fn compare(before: &Plan, after: &Plan, recent: &RecentRequests) -> Traffic {
        let mut comparison = Comparison::new(build_table(before), build_table(after));
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

/// Which of the two plans routes a request.
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

/// The routing tables of both plans, and the counts so far.
struct Comparison {
    old: Table,
    new: Table,
    /// Counts by the name of the old route.
    rows: BTreeMap<String, RouteTraffic>,
    /// For each new route's name, the old route's name for each request that both plans route.
    old_routes_by_new_route: BTreeMap<String, Vec<String>>,
}

impl Comparison {
    fn new(old: Table, new: Table) -> Comparison {
        Comparison { old, new, rows: BTreeMap::new(), old_routes_by_new_route: BTreeMap::new() }
    }

    fn compare(&mut self, sample: &Sample) -> RoutedBy {
        let (before, after) = (find_entry(&self.old, sample), find_entry(&self.new, sample));
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
        self.old_routes_by_new_route.entry(route_name(&after)).or_default().push(name);
        let (before, after) = (before.route(), after.route());
        row.change_service += u64::from(before.service != after.service);
        let labels_differ = labels(&self.old, &before.service) != labels(&self.new, &after.service);
        row.change_targets += u64::from(labels_differ);
        row.change_kind += u64::from(before.kind != after.kind);
        let body_bytes = sample.body_bytes;
        row.break_body_limit +=
            u64::from(body_bytes > after.body_bytes && body_bytes <= before.body_bytes);
        RoutedBy::Both
    }

    /// Counts the requests of new routes that exceed their rate. The sample represents all observed
    /// requests: a route's fraction of the sample is taken as its fraction of them.
    fn count_over_rate(&mut self, recent: &RecentRequests, compared: u64) {
        for route in &self.new.state.routes {
            let Some(rate_per_s) = route.rate_per_s else { continue };
            let name = format!("{} {}", route.methods.join(","), route.path);
            let old_routes = self.old_routes_by_new_route.get(&name).map_or(&[][..], Vec::as_slice);
            let observed = old_routes.len() as u64 * recent.observed / compared.max(1);
            if observed > rate_per_s * recent.seconds.max(1) {
                for name in old_routes {
                    self.rows.entry(name.clone()).or_default().break_rate_limit += 1;
                }
            }
        }
    }
}

fn labels(table: &Table, service: &str) -> Option<Labels> {
    table.state.services.get(service).map(|service| service.labels.clone())
}

fn build_table(plan: &Plan) -> Table {
    let mut state = State::default();
    for record in plan.records() {
        state.apply(1, &record);
    }
    Table::new(Arc::new(state), 1, &Table::empty())
}

fn find_entry(table: &Table, sample: &Sample) -> Option<Arc<Entry>> {
    match table.find(&sample.method, &sample.path, &sample.headers) {
        RouteMatch::Route(entry) => Some(entry),
        RouteMatch::NoRoute | RouteMatch::OtherMethods(_) => None,
    }
}

fn route_name(entry: &Entry) -> String {
    format!("{} {}", entry.route().methods.join(","), entry.route().path)
}
