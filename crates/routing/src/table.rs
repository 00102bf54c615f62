//! The routing table of one image, which reuses what the image shares with the previous one.

use crate::compiled_route::CompiledRoute;
use crate::load::Loads;
use crate::resolved_services::ResolvedServices;
use crate::route_match::RouteIndex;
use crate::{Entry, RetryAllowance, RouteMatch};
use postbarrow_state::{Name, Route, State};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// An image prepared for routing requests; replaced as a whole by an atomic swap.
pub struct Table {
    /// The image that the table was built from.
    pub state: Arc<State>,
    /// The log offset that the image has reached.
    pub offset: u64,
    routes: RouteIndex,
    resolved: ResolvedServices,
    rule_headers: BTreeSet<String>,
    retry_allowance: RetryAllowance,
    statistics: BuildStatistics,
}

/// How much of a table was built anew and not reused from the previous one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BuildStatistics {
    /// Number of services whose targets were determined again.
    pub services_resolved: usize,
    /// Number of routes whose pattern and rule were compiled.
    pub routes_compiled: usize,
    /// Number of entries that were built, whether their routes were compiled or reused.
    pub entries_built: usize,
}

impl Table {
    /// Returns the table before the first image, which matches no request.
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

    /// Sets the retry allowance: retries in percent of the requests, retries per second, and the
    /// largest number of saved retries. Tables built from this one inherit it.
    pub fn with_retry_allowance(mut self, (percent, per_s, saved): (u64, u64, u64)) -> Self {
        self.retry_allowance = RetryAllowance { percent, per_s, saved };
        self
    }

    /// Builds the table of a new image. It reuses what the image shares with that of the old table,
    /// so the cost is one pass over the routes plus the work for what changed.
    pub fn new(state: Arc<State>, offset: u64, old: &Table) -> Self {
        let resolved = ResolvedServices::new(&state, old);
        let mut statistics = BuildStatistics {
            services_resolved: resolved.rebuilt_count,
            ..BuildStatistics::default()
        };
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

    /// Finds the route that matches a request, by the rules of [`crate::route_match`].
    pub fn find(&self, method: &str, path: &str, headers: &[(String, String)]) -> RouteMatch {
        self.routes.find(method, path, headers)
    }

    /// Returns the names of the headers that the routes' rules read, in lower case.
    pub fn rule_headers(&self) -> &BTreeSet<String> {
        &self.rule_headers
    }

    /// Returns the loads of all targets of the image, by instance.
    pub fn loads(&self) -> &Loads {
        &self.resolved.loads
    }

    /// Returns how much of the table was built anew.
    pub fn statistics(&self) -> BuildStatistics {
        self.statistics
    }

    pub(crate) fn retry_allowance(&self) -> RetryAllowance {
        self.retry_allowance
    }

    pub(crate) fn resolved(&self) -> &ResolvedServices {
        &self.resolved
    }

    /// Returns the number of nodes among which the fleet's limits and retries are divided; at least
    /// 1.
    pub fn nodes(&self) -> u64 {
        self.state.nodes.len().max(1) as u64
    }

    /// Returns whether a target may get a request of this service under the table's image.
    pub fn allows(&self, service: &Name, instance: &Name) -> bool {
        let service = self.state.services.get(service);
        let target = self.state.targets.get(instance);
        matches!((service, target), (Some(service), Some(target)) if target.is_live_for(service))
    }
}

/// Builds or reuses an entry for each of the image's routes, in the image's order. Omits routes
/// that do not compile.
fn build_entries(
    state: &State,
    resolved: &ResolvedServices,
    old: &Table,
    statistics: &mut BuildStatistics,
) -> Vec<Arc<Entry>> {
    let old_entries = old.routes.entries().iter();
    let old_by_route: HashMap<*const Route, &Arc<Entry>> =
        old_entries.map(|entry| (Arc::as_ptr(&entry.compiled.route), entry)).collect();
    let mut entries: Vec<Arc<Entry>> = Vec::with_capacity(state.routes.len());
    for route in &state.routes {
        let compiled = match old_by_route.get(&Arc::as_ptr(route)) {
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
