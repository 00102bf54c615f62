//! The rehearsal of a plan against the one it replaces: what changes for routes and targets.
//!
//! Operators read the result as JSON; the names of its fields are fixed.

use facet::Facet;
use postbarrow_state::{Name, Route, Service, State};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;

/// How many live targets a service of the staged plan has.
#[derive(Clone, Debug, PartialEq, Facet)]
#[facet(rename_all = "camelCase")]
pub struct ServiceRehearsal {
    /// Its name.
    pub service: String,
    /// Under the plan in force; 0 of a new service.
    pub live_before: u64,
    /// Under the staged plan.
    pub live_after: u64,
}

/// What would change if the staged plan came into force now.
#[derive(Clone, Debug, PartialEq, Facet)]
#[facet(rename_all = "camelCase")]
pub struct Rehearsal {
    /// By method and path, as all routes here.
    pub routes_added: Vec<String>,
    /// Routes of the plan in force alone.
    pub routes_removed: Vec<String>,
    /// Routes that differ in anything else.
    pub routes_changed: Vec<String>,
    /// Services of the staged plan alone.
    pub services_added: Vec<String>,
    /// Services of the plan in force alone.
    pub services_removed: Vec<String>,
    /// Services that are chosen by other labels.
    pub services_changed: Vec<String>,
    /// One row for each service of the staged plan.
    pub live_targets: Vec<ServiceRehearsal>,
    /// Routed services that would have no live target.
    pub without_target: Vec<String>,
}

impl Rehearsal {
    /// Looks closely only at what the two states don't share.
    pub fn of(before: &State, staged: &State) -> Rehearsal {
        let (old, new) = changed_routes(before, staged);
        let (routes_added, routes_removed, routes_changed) = differ(&old, &new);
        let services = |state: &State| -> BTreeMap<String, _> {
            state
                .services
                .iter()
                .map(|(name, service)| (name.to_string(), service.clone()))
                .collect()
        };
        let (old, new) = (services(before), services(staged));
        let (services_added, services_removed, services_changed) = differ(&old, &new);
        let live_targets = live_targets(before, staged);
        let empty = live_targets.iter().filter(|row| row.live_after == 0);
        let empty: BTreeSet<&str> = empty.map(|row| row.service.as_str()).collect();
        let is_routed = |name: &str| {
            staged.routes.iter().any(|route| route.services().iter().any(|known| **known == name))
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

/// Routes of both states by method and path; paths all of whose routes are shared are left out.
fn changed_routes(before: &State, staged: &State) -> (NamedRoutes, NamedRoutes) {
    let shared = shared_routes(before, staged);
    let own = |route: &&Arc<Route>| !shared.contains(&Arc::as_ptr(route));
    let either = before.routes.iter().chain(&staged.routes);
    let paths: HashSet<&Name> = either.filter(own).map(|route| &route.path).collect();
    (routes(before, &paths), routes(staged, &paths))
}

/// Routes that both states share, if they stand in the same order; routes of one path depend on it.
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

fn routes(state: &State, paths: &HashSet<&Name>) -> NamedRoutes {
    let mut named = NamedRoutes::new();
    for route in state.routes.iter().filter(|route| paths.contains(&route.path)) {
        for method in &route.methods {
            let single = Route { methods: vec![method.clone()], ..route.as_ref().clone() };
            named.entry(format!("{method} {}", route.path)).or_default().push(single);
        }
    }
    named
}

fn differ<V: PartialEq>(
    old: &BTreeMap<String, V>,
    new: &BTreeMap<String, V>,
) -> (Vec<String>, Vec<String>, Vec<String>) {
    let added = new.keys().filter(|name| !old.contains_key(*name)).cloned().collect();
    let removed = old.keys().filter(|name| !new.contains_key(*name)).cloned().collect();
    let changed = new
        .iter()
        .filter(|(name, value)| old.get(*name).is_some_and(|known| known != *value))
        .map(|(name, _)| name.clone())
        .collect();
    (added, removed, changed)
}
