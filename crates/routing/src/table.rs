//! The routing table of one image: which route a request takes, and which targets it has.

use crate::compiled_route::CompiledRoute;
use crate::heads::{host_of, in_order};
use crate::resolved::Resolved;
use crate::selection::{Candidate, Loads, select_target};
use crate::{RetryAllowance, RetryBudget, mix};
use postbarrow_plan::{ANY_METHOD, Segment};
use postbarrow_rules::RequestFacts;
use postbarrow_state::{Name, Route, State};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// One route with all that its requests need.
pub struct Entry {
    pub compiled: Arc<CompiledRoute>,
    pub retry_budget: Arc<RetryBudget>,
    targets: Arc<Vec<Candidate>>,
    /// Of a split route: the same route on one service each, by weight.
    ways: Vec<(u64, Arc<Entry>)>,
}

/// A whole image made ready for requests; replaced whole by one swap.
pub struct Table {
    pub state: Arc<State>,
    pub offset: u64,
    entries: Vec<Arc<Entry>>,
    by_first: HashMap<Name, Vec<usize>>,
    any_first: Vec<usize>,
    resolved: Resolved,
    rule_headers: BTreeSet<String>,
    extra: RetryAllowance,
    statistics: BuildStatistics,
}

/// How much of a table was made anew and not taken from the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BuildStatistics {
    pub services_resolved: usize,
    pub routes_compiled: usize,
    pub entries_built: usize,
}

pub enum RouteMatch {
    Route(Arc<Entry>),
    NoRoute,
    OtherMethods(Vec<Name>),
}

impl Table {
    pub fn empty() -> Self {
        Table {
            state: Arc::new(State::default()),
            offset: 0,
            entries: Vec::new(),
            by_first: HashMap::new(),
            any_first: Vec::new(),
            resolved: Resolved::default(),
            rule_headers: BTreeSet::new(),
            extra: RetryAllowance::default(),
            statistics: BuildStatistics::default(),
        }
    }

    /// Per cent of requests, a second and saved up; tables made from this one keep it.
    pub fn with_retry_allowance(mut self, (percent, per_s, saved): (u64, u64, u64)) -> Self {
        self.extra = RetryAllowance { percent, per_s, saved };
        self
    }

    /// Takes from the old table what the new image shares with it: the work is that of what
    /// changed, and one pass over the routes.
    pub fn new(state: Arc<State>, offset: u64, old: &Table) -> Self {
        let resolved = Resolved::new(&state, old);
        let (mut entries, routes_compiled, entries_made) = entries(&state, &resolved, old);
        entries.sort_by(|a, b| a.compiled.rank().cmp(&b.compiled.rank()));
        let mut by_first: HashMap<Name, Vec<usize>> = HashMap::new();
        let mut any_first = Vec::new();
        for (at, entry) in entries.iter().enumerate() {
            match entry.compiled.pattern.segments.first() {
                Some(Segment::Literal(first)) => {
                    by_first.entry(first.clone()).or_default().push(at)
                }
                _ => any_first.push(at),
            }
        }
        let headers = entries.iter().flat_map(|entry| entry.compiled.rule_headers.iter().cloned());
        let rule_headers = headers.collect();
        let services_resolved = resolved.rebuilt;
        Table {
            state,
            offset,
            entries,
            by_first,
            any_first,
            resolved,
            rule_headers,
            extra: old.extra,
            statistics: BuildStatistics {
                services_resolved,
                routes_compiled,
                entries_built: entries_made,
            },
        }
    }

    /// The most literal pattern wins; among equals, one with a rule that holds.
    pub fn find(&self, method: &str, path: &str, headers: &[(String, String)]) -> RouteMatch {
        let facts = RequestFacts { method, path, headers };
        let first = path.strip_prefix('/').map_or("", |rest| rest.split('/').next().unwrap_or(""));
        let named = self.by_first.get(first).map_or(&[][..], |list| list.as_slice());
        let mut others = BTreeSet::new();
        let mut host = None;
        for at in in_order(named, &self.any_first) {
            let entry = &self.entries[at];
            if !entry.compiled.pattern.matches(path) {
                continue;
            }
            if let Some(wanted) = &entry.route().host
                && !host.get_or_insert_with(|| host_of(headers)).eq_ignore_ascii_case(wanted)
            {
                continue;
            }
            let takes = |known: &Name| known == method || known == ANY_METHOD;
            if !entry.compiled.route.methods.iter().any(takes) {
                others.extend(entry.compiled.route.methods.iter().cloned());
                continue;
            }
            if entry.compiled.rule.as_ref().is_none_or(|rule| rule.matches(&facts)) {
                return RouteMatch::Route(entry.clone());
            }
        }
        if others.is_empty() {
            RouteMatch::NoRoute
        } else {
            RouteMatch::OtherMethods(others.into_iter().collect())
        }
    }

    /// Names of the headers that rules read.
    pub fn rule_headers(&self) -> &BTreeSet<String> {
        &self.rule_headers
    }

    pub fn loads(&self) -> &Loads {
        &self.resolved.loads
    }

    pub fn work(&self) -> BuildStatistics {
        self.statistics
    }

    pub(crate) fn extra(&self) -> RetryAllowance {
        self.extra
    }

    pub(crate) fn resolved(&self) -> &Resolved {
        &self.resolved
    }

    pub fn nodes(&self) -> u64 {
        self.state.nodes.len().max(1) as u64
    }

    /// Whether a target may still get a request of this service under the present image.
    pub fn allows(&self, service: &Name, instance: &Name) -> bool {
        let service = self.state.services.get(service);
        let target = self.state.targets.get(instance);
        matches!((service, target), (Some(service), Some(target)) if target.is_live_for(service))
    }
}

/// The image's routes as entries, in its order; how many routes were compiled, and entries made.
fn entries(state: &State, resolved: &Resolved, old: &Table) -> (Vec<Arc<Entry>>, usize, usize) {
    let kept: HashMap<*const Route, &Arc<Entry>> =
        old.entries.iter().map(|entry| (Arc::as_ptr(&entry.compiled.route), entry)).collect();
    let mut entries: Vec<Arc<Entry>> = Vec::with_capacity(state.routes.len());
    let (mut routes_compiled, mut entries_made) = (0, 0);
    for route in &state.routes {
        let made = match kept.get(&Arc::as_ptr(route)) {
            Some(entry) if entry.is_resolved_by(resolved) => {
                entries.push(Arc::clone(entry));
                continue;
            }
            Some(entry) => entry.compiled.clone(),
            None => match CompiledRoute::new(route) {
                Ok(made) => {
                    routes_compiled += 1;
                    Arc::new(made)
                }
                Err(_) => continue,
            },
        };
        entries_made += 1;
        entries.push(Arc::new(Entry::new(made, resolved)));
    }
    (entries, routes_compiled, entries_made)
}

impl Entry {
    fn new(made: Arc<CompiledRoute>, resolved: &Resolved) -> Entry {
        let entry = |made: Arc<CompiledRoute>, service: &Name, ways| Entry {
            compiled: made,
            retry_budget: resolved.budgets.get(service).cloned().unwrap_or_default(),
            targets: resolved.choices.get(service).cloned().unwrap_or_default(),
            ways,
        };
        let route = made.route.clone();
        let ways = route.weighted_services.iter().filter(|share| share.weight > 0).map(|share| {
            let made = Arc::new(made.on(&share.service));
            (share.weight, Arc::new(entry(made, &share.service, Vec::new())))
        });
        let ways = ways.collect();
        entry(made, &route.service, ways)
    }

    /// Whether it holds the very targets and budgets that its services have now.
    fn is_resolved_by(&self, resolved: &Resolved) -> bool {
        let service = &self.route().service;
        let targets = resolved.choices.get(service);
        let budget = resolved.budgets.get(service);
        targets.is_some_and(|targets| Arc::ptr_eq(targets, &self.targets))
            && budget.is_some_and(|budget| Arc::ptr_eq(budget, &self.retry_budget))
            && self.ways.iter().all(|(_, way)| way.is_resolved_by(resolved))
    }

    pub fn route(&self) -> &Route {
        &self.compiled.route
    }

    /// The entry itself, or of a split route the one that this seed draws.
    pub fn draw_service(self: &Arc<Self>, seed: u64) -> Arc<Entry> {
        let whole: u64 = self.ways.iter().map(|(weight, _)| weight).sum();
        if whole == 0 {
            return self.clone();
        }
        let mut left = mix(seed) % whole;
        for (weight, way) in &self.ways {
            if left < *weight {
                return way.clone();
            }
            left -= weight;
        }
        self.clone()
    }

    pub fn select_target(
        &self,
        zone: &str,
        tried: &[Name],
        now_ms: u64,
        seed: u64,
    ) -> Option<Candidate> {
        select_target(&self.targets, zone, tried, now_ms, seed)
    }
}
