use facet::Facet;
use postbarrow_state::{Route, State};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Facet)]
#[facet(rename_all = "camelCase")]
pub struct ServiceRehearsal {
    pub service: String,
    pub live_before: u64,
    pub live_after: u64,
}

/// What would change if the staged plan came into force now.
#[derive(Clone, Debug, PartialEq, Facet)]
#[facet(rename_all = "camelCase")]
pub struct Rehearsal {
    pub routes_added: Vec<String>,
    pub routes_removed: Vec<String>,
    pub routes_changed: Vec<String>,
    pub services_added: Vec<String>,
    pub services_removed: Vec<String>,
    pub services_changed: Vec<String>,
    pub live_targets: Vec<ServiceRehearsal>,
    /// Routed services that would have no live target.
    pub without_target: Vec<String>,
}

impl Rehearsal {
    pub fn of(before: &State, staged: &State) -> Rehearsal {
        let (old, new) = (routes(before), routes(staged));
        let (routes_added, routes_removed, routes_changed) = differ(&old, &new);
        let services = |state: &State| -> BTreeMap<String, _> {
            state.services.iter().map(|(name, made)| (name.to_string(), made.clone())).collect()
        };
        let (old, new) = (services(before), services(staged));
        let (services_added, services_removed, services_changed) = differ(&old, &new);
        let live = |state: &State, name: &String| {
            let service = state.services.get(name.as_str());
            service.map_or(0, |service| state.live_targets(service).len() as u64)
        };
        let live_targets: Vec<ServiceRehearsal> = new
            .keys()
            .map(|name| ServiceRehearsal {
                service: name.clone(),
                live_before: live(before, name),
                live_after: live(staged, name),
            })
            .collect();
        let routed = |name: &str| {
            staged.routes.iter().any(|route| route.services().iter().any(|known| **known == name))
        };
        let without_target = live_targets
            .iter()
            .filter(|row| row.live_after == 0 && routed(&row.service))
            .map(|row| row.service.clone())
            .collect();
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

fn routes(state: &State) -> BTreeMap<String, Vec<Route>> {
    let mut named: BTreeMap<String, Vec<Route>> = BTreeMap::new();
    for route in &state.routes {
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
        .filter(|(name, made)| old.get(*name).is_some_and(|kept| kept != *made))
        .map(|(name, _)| name.clone())
        .collect();
    (added, removed, changed)
}
