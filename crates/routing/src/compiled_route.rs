//! A route compiled: its pattern, rule and limits.

use crate::RouteLimits;
use crate::rule_headers::header_names;
use postbarrow_plan::Pattern;
use postbarrow_rules::Rule;
use postbarrow_state::{Name, Route};
use std::sync::Arc;

/// What a route needs that only its plan decides; retained while the route stays.
pub struct CompiledRoute {
    /// As the plan has it.
    pub route: Arc<Route>,
    /// Shared by the route's weighted services.
    pub limits: Arc<RouteLimits>,
    pub(crate) pattern: Pattern,
    pub(crate) rule: Option<Rule>,
    /// Names of the headers that the rule reads.
    pub(crate) rule_headers: Vec<String>,
}

impl CompiledRoute {
    /// The route compiled; none if its rule or pattern does not compile, which the check of the plan
    /// rules out.
    pub(crate) fn new(route: &Arc<Route>) -> Option<CompiledRoute> {
        let rule = route.when.as_deref().map(Rule::compile).transpose().ok()?;
        let pattern = Pattern::read(&route.path).ok()?;
        let limits = Arc::new(RouteLimits::new(route));
        let rule_headers = route.when.as_deref().map(header_names).unwrap_or_default();
        Some(CompiledRoute { route: route.clone(), limits, pattern, rule, rule_headers })
    }

    /// The same route, all of it on one service.
    pub(crate) fn on_service(&self, service: &Name) -> CompiledRoute {
        let route = Route { service: service.clone(), ..self.route.as_ref().clone() };
        CompiledRoute {
            route: Arc::new(route),
            limits: self.limits.clone(),
            pattern: self.pattern.clone(),
            rule: None,
            rule_headers: Vec::new(),
        }
    }

    /// Routes are tried by rising rank; see [`crate::route_match`].
    pub(crate) fn rank(&self) -> (bool, &Pattern, bool) {
        (self.route.host.is_none(), &self.pattern, self.rule.is_none())
    }
}
