use crate::heads::{header_names, host_of, in_order};
use crate::pick::{Choice, Loads, carry, pick};
use crate::{Budget, Extra, Limits, mix};
use postbarrow_plan::{ANY_METHOD, Pattern, Segment};
use postbarrow_rules::{Facts, Rule};
use postbarrow_state::{Name, Route, State};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// What a route needs that only its plan decides; kept while the plan stays.
pub struct Made {
    pub route: Arc<Route>,
    pub limits: Arc<Limits>,
    pattern: Pattern,
    rule: Option<Rule>,
}

/// One route with all that its asks need.
pub struct Entry {
    pub made: Arc<Made>,
    pub budget: Arc<Budget>,
    targets: Arc<Vec<Choice>>,
    /// Of a split route: the same route on one service each, by weight.
    ways: Vec<(u64, Arc<Entry>)>,
}

/// A whole image made ready for asks; replaced whole by one swap.
pub struct Table {
    pub state: Arc<State>,
    pub offset: u64,
    entries: Vec<Arc<Entry>>,
    by_first: HashMap<Name, Vec<usize>>,
    any_first: Vec<usize>,
    loads: Loads,
    budgets: HashMap<Name, Arc<Budget>>,
    rule_headers: BTreeSet<String>,
    extra: Extra,
}

pub enum Found {
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
            loads: Loads::new(),
            budgets: HashMap::new(),
            rule_headers: BTreeSet::new(),
            extra: Extra::default(),
        }
    }

    /// Per cent of asks, a second and saved up; tables made from this one keep it.
    pub fn with_extra(mut self, (percent, per_s, saved): (u64, u64, u64)) -> Self {
        self.extra = Extra { percent, per_s, saved };
        self
    }

    pub fn new(state: Arc<State>, offset: u64, old: &Table) -> Self {
        let loads = carry(&old.loads, &state);
        let mut targets = HashMap::new();
        let mut budgets = HashMap::new();
        for (name, service) in &state.services {
            let live = state.live_targets(service).into_iter();
            let choices: Vec<Choice> = live
                .map(|target| {
                    let load = loads.get(&target.instance).cloned().unwrap_or_default();
                    (target, load)
                })
                .collect();
            targets.insert(name.clone(), Arc::new(choices));
            let budget = old.budgets.get(name).cloned();
            let budget = budget.unwrap_or_else(|| Arc::new(Budget::new(old.extra)));
            budgets.insert(name.clone(), budget);
        }
        let kept: HashMap<*const Route, &Arc<Made>> =
            old.entries.iter().map(|entry| (Arc::as_ptr(&entry.made.route), &entry.made)).collect();
        let mut entries: Vec<Arc<Entry>> = Vec::with_capacity(state.routes.len());
        for route in &state.routes {
            let made = match kept.get(&Arc::as_ptr(route)) {
                Some(made) => Arc::clone(made),
                None => match Made::new(route) {
                    Ok(made) => Arc::new(made),
                    Err(_) => continue,
                },
            };
            let entry = |made: Arc<Made>, service: &Name, ways| Entry {
                made,
                budget: budgets.get(service).cloned().unwrap_or_default(),
                targets: targets.get(service).cloned().unwrap_or_default(),
                ways,
            };
            let ways = route.shares.iter().filter(|share| share.weight > 0).map(|share| {
                let made = Arc::new(made.on(&share.service));
                (share.weight, Arc::new(entry(made, &share.service, Vec::new())))
            });
            let ways = ways.collect();
            entries.push(Arc::new(entry(made, &route.service, ways)));
        }
        entries.sort_by(|a, b| {
            let rank = |entry: &Entry| {
                let any_host = entry.route().host.is_none();
                (any_host, entry.made.pattern.clone(), entry.made.rule.is_none())
            };
            rank(a).cmp(&rank(b))
        });
        let mut by_first: HashMap<Name, Vec<usize>> = HashMap::new();
        let mut any_first = Vec::new();
        for (at, entry) in entries.iter().enumerate() {
            match entry.made.pattern.segments.first() {
                Some(Segment::Literal(first)) => {
                    by_first.entry(first.clone()).or_default().push(at)
                }
                _ => any_first.push(at),
            }
        }
        let rules = state.routes.iter().filter_map(|route| route.when.as_deref());
        let rule_headers = rules.flat_map(header_names).collect();
        Table {
            state,
            offset,
            entries,
            by_first,
            any_first,
            loads,
            budgets,
            rule_headers,
            extra: old.extra,
        }
    }

    /// The most literal pattern wins; among equals, one with a rule that holds.
    pub fn find(&self, method: &str, path: &str, headers: &[(String, String)]) -> Found {
        let facts = Facts { method, path, headers };
        let first = path.strip_prefix('/').map_or("", |rest| rest.split('/').next().unwrap_or(""));
        let named = self.by_first.get(first).map_or(&[][..], |list| list.as_slice());
        let mut others = BTreeSet::new();
        let mut host = None;
        for at in in_order(named, &self.any_first) {
            let entry = &self.entries[at];
            if !entry.made.pattern.matches(path) {
                continue;
            }
            if let Some(wanted) = &entry.route().host
                && !host.get_or_insert_with(|| host_of(headers)).eq_ignore_ascii_case(wanted)
            {
                continue;
            }
            let takes = |known: &Name| known == method || known == ANY_METHOD;
            if !entry.made.route.methods.iter().any(takes) {
                others.extend(entry.made.route.methods.iter().cloned());
                continue;
            }
            if entry.made.rule.as_ref().is_none_or(|rule| rule.holds(&facts)) {
                return Found::Route(entry.clone());
            }
        }
        if others.is_empty() {
            Found::NoRoute
        } else {
            Found::OtherMethods(others.into_iter().collect())
        }
    }

    /// Names of the headers that rules read.
    pub fn rule_headers(&self) -> &BTreeSet<String> {
        &self.rule_headers
    }

    pub fn loads(&self) -> &Loads {
        &self.loads
    }

    pub fn nodes(&self) -> u64 {
        self.state.nodes.len().max(1) as u64
    }

    /// Whether a target may still get an ask of this service under the present image.
    pub fn allows(&self, service: &Name, instance: &Name) -> bool {
        let service = self.state.services.get(service);
        let target = self.state.targets.get(instance);
        matches!((service, target), (Some(service), Some(target)) if target.is_live_for(service))
    }
}

impl Made {
    /// A route that does not compile here is left out; the plan was checked, so it does.
    fn new(route: &Arc<Route>) -> Result<Made, String> {
        let rule = route.when.as_deref().map(Rule::compile).transpose()?;
        let pattern = Pattern::read(&route.path)?;
        let limits = Arc::new(Limits::new(route));
        Ok(Made { route: route.clone(), limits, pattern, rule })
    }

    /// The same route, all of it on one service.
    fn on(&self, service: &Name) -> Made {
        let route = Route { service: service.clone(), ..self.route.as_ref().clone() };
        let (limits, pattern) = (self.limits.clone(), self.pattern.clone());
        Made { route: Arc::new(route), limits, pattern, rule: None }
    }
}

impl Entry {
    pub fn route(&self) -> &Route {
        &self.made.route
    }

    /// The entry itself, or of a split route the one that this seed draws.
    pub fn drawn(self: &Arc<Self>, seed: u64) -> Arc<Entry> {
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

    pub fn pick(&self, zone: &str, tried: &[Name], now_ms: u64, seed: u64) -> Option<Choice> {
        pick(&self.targets, zone, tried, now_ms, seed)
    }
}
