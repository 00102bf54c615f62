//! The rehearsal of a plan against the plan in force: what it would change for routes and targets.
//!
//! The staged plan is the new plan before it comes into force: its state is complete, but not yet
//! published.
//!
//! Operators read the result as JSON, so the JSON names of its fields are fixed.

use facet::Facet;
use postbarrow_state::{Name, Route, Service, State};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

/// The number of live targets of a service of the staged plan, before and after.
#[derive(Clone, Debug, PartialEq, Facet)]
#[facet(rename_all = "camelCase")]
pub struct ServiceRehearsal {
    /// The service's name.
    pub service: String,
    /// Number of live targets under the plan in force; 0 for a new service.
    pub live_before: u64,
    /// Number of live targets under the staged plan.
    pub live_after: u64,
}

/// What would change if the staged plan came into force now.
#[derive(Clone, Debug, PartialEq, Facet)]
#[facet(rename_all = "camelCase")]
pub struct Rehearsal {
    /// Routes that only the staged plan has, by method and path.
    pub routes_added: Vec<String>,
    /// Routes that only the plan in force has, by method and path.
    pub routes_removed: Vec<String>,
    /// Routes that both plans have with different contents, by method and path.
    pub routes_changed: Vec<String>,
    /// Services that only the staged plan has.
    pub services_added: Vec<String>,
    /// Services that only the plan in force has.
    pub services_removed: Vec<String>,
    /// Services of both plans that select their targets by other labels.
    pub services_changed: Vec<String>,
    /// One row for each service of the staged plan.
    pub live_targets: Vec<ServiceRehearsal>,
    /// Services that get requests from a route of the staged plan and would have no live target.
    pub without_target: Vec<String>,
}

impl Rehearsal {
    /// Compares the states of the plan in force and the staged plan. Routes that both states share
    /// are not compared in detail.
    pub fn compare(before: &State, staged: &State) -> Rehearsal {
        let (old, new) = changed_routes(before, staged);
        let (routes_added, routes_removed, routes_changed) = compare_by_name(&old, &new);
        let services = |state: &State| -> BTreeMap<String, _> {
            state
                .services
                .iter()
                .map(|(name, service)| (name.to_string(), service.clone()))
                .collect()
        };
        let (old, new) = (services(before), services(staged));
        let (services_added, services_removed, services_changed) = compare_by_name(&old, &new);
        let live_targets = live_targets(before, staged);
        let empty = live_targets.iter().filter(|row| row.live_after == 0);
        let empty: BTreeSet<&str> = empty.map(|row| row.service.as_str()).collect();
        let is_routed = |name: &str| {
            staged
                .routes
                .iter()
                .any(|route| route.services().iter().any(|service| **service == name))
        };
        let without_target =
            empty.into_iter().filter(|name| is_routed(name)).map(str::to_string).collect();
        Rehearsal {
            routes_added,
            routes_removed,
            routes_changed,
            services_added,
            services_removed,
            services_changed,
            live_targets,
            without_target,
        }
    }
}

fn live_targets(before: &State, staged: &State) -> Vec<ServiceRehearsal> {
    let same_targets = before.targets.ptr_eq(&staged.targets);
    let live = |state: &State, service: &Service| {
        state.targets.values().filter(|target| target.is_live_for(service)).count() as u64
    };
    let row = |(name, service): (&Name, &Arc<Service>)| {
        let live_after = live(staged, service);
        let live_before = match before.services.get(name) {
            Some(old) if same_targets && old == service => live_after,
            Some(old) => live(before, old),
            None => 0,
        };
        ServiceRehearsal { service: name.to_string(), live_before, live_after }
    };
    staged.services.iter().map(row).collect()
}

type NamedRoutes = BTreeMap<String, Vec<Route>>;

/// Returns the routes of both states by method and path, without the paths whose routes are all
/// shared.
fn changed_routes(before: &State, staged: &State) -> (NamedRoutes, NamedRoutes) {
    let shared = shared_routes(before, staged);
    let is_not_shared = |route: &&Arc<Route>| !shared.contains(&Arc::as_ptr(route));
    let all_routes = before.routes.iter().chain(&staged.routes);
    let paths: HashSet<&Name> = all_routes.filter(is_not_shared).map(|route| &route.path).collect();
    (routes_by_name(before, &paths), routes_by_name(staged, &paths))
}

/// Returns the routes that both states share, or none if their order differs: the order decides
/// between routes of one path.
fn shared_routes(before: &State, staged: &State) -> HashSet<*const Route> {
    let pointers =
        |state: &State| -> Vec<*const Route> { state.routes.iter().map(Arc::as_ptr).collect() };
    let (old, new) = (pointers(before), pointers(staged));
    let (in_old, in_new): (HashSet<_>, HashSet<_>) =
        (old.iter().copied().collect(), new.iter().copied().collect());
    let retained = old.iter().filter(|route| in_new.contains(route));
    let same_order = retained.eq(new.iter().filter(|route| in_old.contains(route)));
    if same_order { in_old.intersection(&in_new).copied().collect() } else { HashSet::new() }
}

fn routes_by_name(state: &State, paths: &HashSet<&Name>) -> NamedRoutes {
    let mut named = NamedRoutes::new();
    for route in state.routes.iter().filter(|route| paths.contains(&route.path)) {
        for method in &route.methods {
            let single = Route { methods: vec![method.clone()], ..route.as_ref().clone() };
            named.entry(format!("{method} {}", route.path)).or_default().push(single);
        }
    }
    named
}

fn compare_by_name<V: PartialEq>(
    old: &BTreeMap<String, V>,
    new: &BTreeMap<String, V>,
) -> (Vec<String>, Vec<String>, Vec<String>) {
    let added = new.keys().filter(|name| !old.contains_key(*name)).cloned().collect();
    let removed = old.keys().filter(|name| !new.contains_key(*name)).cloned().collect();
    let changed = new
        .iter()
        .filter(|(name, value)| old.get(*name).is_some_and(|old_value| old_value != *value))
        .map(|(name, _)| name.clone())
        .collect();
    (added, removed, changed)
}
