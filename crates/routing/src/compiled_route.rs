//! A compiled route: its pattern, rule and limits.

use crate::RouteLimits;
use crate::rule_headers::header_names;
use postbarrow_plan::Pattern;
use postbarrow_rules::Rule;
use postbarrow_state::{Name, Route};
use std::sync::Arc;

/// The parts of a route that depend on the plan alone; reused while the route is unchanged.
pub struct CompiledRoute {
    /// The route as the plan defines it.
    pub route: Arc<Route>,
    /// The route's limits, shared by its weighted services.
    pub limits: Arc<RouteLimits>,
    pub(crate) pattern: Pattern,
    pub(crate) rule: Option<Rule>,
    /// Names of the headers that the rule reads, in lower case.
    pub(crate) rule_headers: Vec<String>,
}

impl CompiledRoute {
    /// Compiles a route; none if its rule or pattern does not compile, which the checks of the plan
    /// rule out.
    pub(crate) fn new(route: &Arc<Route>) -> Option<CompiledRoute> {
        let rule = route.when.as_deref().map(Rule::compile).transpose().ok()?;
        let pattern = Pattern::read(&route.path).ok()?;
        let limits = Arc::new(RouteLimits::new(route));
        let rule_headers = route.when.as_deref().map(header_names).unwrap_or_default();
        Some(CompiledRoute { route: route.clone(), limits, pattern, rule, rule_headers })
    }

    /// Returns the same route with this service as its only one, and without its rule: the rule has
    /// matched before a service is drawn.
    pub(crate) fn for_service(&self, service: &Name) -> CompiledRoute {
        let route = Route { service: service.clone(), ..self.route.as_ref().clone() };
        CompiledRoute {
            route: Arc::new(route),
            limits: self.limits.clone(),
            pattern: self.pattern.clone(),
            rule: None,
            rule_headers: Vec::new(),
        }
    }

    /// Returns the route's rank. Routes are tried in ascending order of rank; see
    /// [`crate::route_match`].
    pub(crate) fn rank(&self) -> (bool, &Pattern, bool) {
        (self.route.host.is_none(), &self.pattern, self.rule.is_none())
    }
}
