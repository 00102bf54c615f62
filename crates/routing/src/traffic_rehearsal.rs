use crate::{Entry, RouteMatch, Table};
use facet::Facet;
use postbarrow_constants::plans::REHEARSAL_MS;
use postbarrow_plan::Plan;
use postbarrow_state::{Sample, Service, State};
use postbarrow_transactions::Image;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// What would become of recent requests of one route of the plan in force.
#[derive(Clone, Debug, Default, PartialEq, Facet)]
#[facet(rename_all = "camelCase")]
pub struct RouteTraffic {
    pub route: String,
    #[facet(rename = "asks")]
    pub requests: u64,
    pub lose_route: u64,
    pub change_service: u64,
    /// The service is chosen by other labels.
    pub change_targets: u64,
    pub change_kind: u64,
    pub break_body_limit: u64,
    /// Of a route that would get more requests a second than its new limit allows.
    pub break_rate_limit: u64,
}

/// Recent requests, run through the plan in force and the one that would replace it.
#[derive(Clone, Debug, Default, PartialEq, Facet)]
#[facet(rename_all = "camelCase")]
pub struct Traffic {
    /// Asks of the sample that were compared, and all that nodes saw in that time.
    pub compared: u64,
    #[facet(rename = "seen")]
    pub observed: u64,
    pub seconds: u64,
    pub gain_route: u64,
    pub lose_route: u64,
    pub changed: u64,
    pub limited: u64,
    pub routes: Vec<RouteTraffic>,
    /// What the sample can't tell, and why; empty if it tells all.
    pub missing: Vec<String>,
}

pub struct RecentRequests {
    pub samples: Vec<Sample>,
    pub observed: u64,
    pub seconds: u64,
}

impl Traffic {
    pub fn unknown(why: &str) -> Traffic {
        Traffic { missing: vec![why.into()], ..Traffic::default() }
    }

    pub fn of(before: &Plan, after: &Plan, recent: &RecentRequests) -> Traffic {
        let (old, new) = (table(before), table(after));
        let mut told =
            Traffic { observed: recent.observed, seconds: recent.seconds, ..Traffic::default() };
        if recent.samples.is_empty() {
            told.missing.push("no node has told of any recent ask".into());
        }
        for name in new.rule_headers().difference(old.rule_headers()) {
            told.missing.push(format!("the sample has no {name:?}, which a new rule may read"));
        }
        let start = Instant::now();
        let mut routes: BTreeMap<String, RouteTraffic> = BTreeMap::new();
        let mut news: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for sample in &recent.samples {
            if start.elapsed().as_millis() as u64 > REHEARSAL_MS {
                told.missing.push(format!("stopped after {REHEARSAL_MS} ms"));
                break;
            }
            told.compared += 1;
            let was = find(&old, sample);
            let is = find(&new, sample);
            let Some(was) = was else {
                told.gain_route += u64::from(is.is_some());
                continue;
            };
            let name = named(&was);
            let row = routes.entry(name.clone()).or_default();
            row.requests += 1;
            let Some(is) = is else {
                row.lose_route += 1;
                continue;
            };
            news.entry(named(&is)).or_default().push(name);
            let (was, is) = (was.route(), is.route());
            let labels = |table: &Table, name: &str| {
                table.state.services.get(name).map(|service: &Arc<Service>| service.labels.clone())
            };
            row.change_service += u64::from(was.service != is.service);
            let moved = labels(&old, &was.service) != labels(&new, &is.service);
            row.change_targets += u64::from(moved);
            row.change_kind += u64::from(was.kind != is.kind);
            let body = sample.body_bytes;
            row.break_body_limit += u64::from(body > is.body_bytes && body <= was.body_bytes);
        }
        over_rate(&new, &news, recent, told.compared, &mut routes);
        for (route, row) in routes {
            told.lose_route += row.lose_route;
            told.changed += row.change_service + row.change_targets + row.change_kind;
            told.limited += row.break_body_limit + row.break_rate_limit;
            told.routes.push(RouteTraffic { route, ..row });
        }
        told
    }
}

/// The sample stands for all that was seen: a route's share of it is its share of that.
fn over_rate(
    new: &Table,
    news: &BTreeMap<String, Vec<String>>,
    recent: &RecentRequests,
    compared: u64,
    routes: &mut BTreeMap<String, RouteTraffic>,
) {
    for route in &new.state.routes {
        let Some(most) = route.rate_per_s else { continue };
        let name = format!("{} {}", route.methods.join(","), route.path);
        let samples = news.get(&name).map_or(&[][..], Vec::as_slice);
        let all = samples.len() as u64 * recent.observed / compared.max(1);
        if all > most * recent.seconds.max(1) {
            for name in samples {
                routes.entry(name.clone()).or_default().break_rate_limit += 1;
            }
        }
    }
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

fn named(entry: &Entry) -> String {
    format!("{} {}", entry.route().methods.join(","), entry.route().path)
}
