//! A route compiled: its pattern, rule and limits.

use crate::RouteLimits;
use crate::heads::header_names;
use postbarrow_plan::Pattern;
use postbarrow_rules::Rule;
use postbarrow_state::{Name, Route};
use std::sync::Arc;

/// What a route needs that only its plan decides; kept while the route stays.
pub struct CompiledRoute {
    pub route: Arc<Route>,
    pub limits: Arc<RouteLimits>,
    pub(crate) pattern: Pattern,
    pub(crate) rule: Option<Rule>,
    /// Names of the headers that the rule reads.
    pub(crate) rule_headers: Vec<String>,
}

impl CompiledRoute {
    /// A route that does not compile here is left out; the plan was checked, so it does.
    pub(crate) fn new(route: &Arc<Route>) -> Result<CompiledRoute, String> {
        let rule = route.when.as_deref().map(Rule::compile).transpose()?;
        let pattern = Pattern::read(&route.path)?;
        let limits = Arc::new(RouteLimits::new(route));
        let rule_headers = route.when.as_deref().map(header_names).unwrap_or_default();
        Ok(CompiledRoute { route: route.clone(), limits, pattern, rule, rule_headers })
    }

    /// The same route, all of it on one service.
    pub(crate) fn on(&self, service: &Name) -> CompiledRoute {
        let route = Route { service: service.clone(), ..self.route.as_ref().clone() };
        let (limits, pattern) = (self.limits.clone(), self.pattern.clone());
        CompiledRoute {
            route: Arc::new(route),
            limits,
            pattern,
            rule: None,
            rule_headers: Vec::new(),
        }
    }

    /// Routes for a host before those for any, literal patterns first, those with a rule first.
    pub(crate) fn rank(&self) -> (bool, &Pattern, bool) {
        (self.route.host.is_none(), &self.pattern, self.rule.is_none())
    }
}
