//! The routing table of one image, built from what the image does not share with the last one.

use crate::compiled_route::CompiledRoute;
use crate::load::Loads;
use crate::resolved_services::ResolvedServices;
use crate::route_match::RouteIndex;
use crate::{Entry, RetryAllowance, RouteMatch};
use postbarrow_state::{Name, Route, State};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// An image made ready for requests; replaced as a whole by one swap.
pub struct Table {
    /// The image.
    pub state: Arc<State>,
    /// Up to where in the log the image reaches.
    pub offset: u64,
    routes: RouteIndex,
    resolved: ResolvedServices,
    rule_headers: BTreeSet<String>,
    retry_allowance: RetryAllowance,
    statistics: BuildStatistics,
}

/// How much of a table was built anew and not taken from the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BuildStatistics {
    /// Services whose targets were looked for.
    pub services_resolved: usize,
    /// Routes whose pattern and rule were compiled.
    pub routes_compiled: usize,
    /// Entries that were built, of compiled or known routes.
    pub entries_built: usize,
}

impl Table {
    /// The table before the first image: no route takes any request.
    pub fn empty() -> Self {
        Table {
            state: Arc::new(State::default()),
            offset: 0,
            routes: RouteIndex::default(),
            resolved: ResolvedServices::default(),
            rule_headers: BTreeSet::new(),
            retry_allowance: RetryAllowance::default(),
            statistics: BuildStatistics::default(),
        }
    }

    /// Sets the retries per cent of requests, a second and saved up; tables built from this one
    /// inherit them.
    pub fn with_retry_allowance(mut self, (percent, per_s, saved): (u64, u64, u64)) -> Self {
        self.retry_allowance = RetryAllowance { percent, per_s, saved };
        self
    }

    /// Builds the table of a new image. What it shares with the old one is taken over: the work is
    /// that of what changed, and one pass over the routes.
    pub fn new(state: Arc<State>, offset: u64, old: &Table) -> Self {
        let resolved = ResolvedServices::new(&state, old);
        let mut statistics =
            BuildStatistics { services_resolved: resolved.rebuilt, ..BuildStatistics::default() };
        let routes = RouteIndex::new(build_entries(&state, &resolved, old, &mut statistics));
        let compiled = routes.entries().iter().map(|entry| &entry.compiled);
        let rule_headers = compiled.flat_map(|route| route.rule_headers.iter().cloned()).collect();
        Table {
            state,
            offset,
            routes,
            resolved,
            rule_headers,
            retry_allowance: old.retry_allowance,
            statistics,
        }
    }

    /// The route that takes a request, by the rules of [`crate::route_match`].
    pub fn find(&self, method: &str, path: &str, headers: &[(String, String)]) -> RouteMatch {
        self.routes.find(method, path, headers)
    }

    /// Names of the headers that rules read.
    pub fn rule_headers(&self) -> &BTreeSet<String> {
        &self.rule_headers
    }

    /// The loads of all known targets.
    pub fn loads(&self) -> &Loads {
        &self.resolved.loads
    }

    /// How much of it was built anew.
    pub fn statistics(&self) -> BuildStatistics {
        self.statistics
    }

    pub(crate) fn retry_allowance(&self) -> RetryAllowance {
        self.retry_allowance
    }

    pub(crate) fn resolved(&self) -> &ResolvedServices {
        &self.resolved
    }

    /// Nodes among which limits and retries of the fleet are divided; at least one.
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

/// The image's routes as entries, in its order. A route that does not compile is left out.
fn build_entries(
    state: &State,
    resolved: &ResolvedServices,
    old: &Table,
    statistics: &mut BuildStatistics,
) -> Vec<Arc<Entry>> {
    let old_entries = old.routes.entries().iter();
    let known: HashMap<*const Route, &Arc<Entry>> =
        old_entries.map(|entry| (Arc::as_ptr(&entry.compiled.route), entry)).collect();
    let mut entries: Vec<Arc<Entry>> = Vec::with_capacity(state.routes.len());
    for route in &state.routes {
        let compiled = match known.get(&Arc::as_ptr(route)) {
            Some(entry) if entry.is_resolved_by(resolved) => {
                entries.push(Arc::clone(entry));
                continue;
            }
            Some(entry) => entry.compiled.clone(),
            None => {
                let Some(compiled) = CompiledRoute::new(route) else { continue };
                statistics.routes_compiled += 1;
                Arc::new(compiled)
            }
        };
        statistics.entries_built += 1;
        entries.push(Arc::new(Entry::new(compiled, resolved)));
    }
    entries
}
