//! Route match: which route matches a request.
//!
//! Routes are tried in this order, and the first one that matches gets the request:
//!
//! 1. routes for one host before routes for any host;
//! 2. then by pattern: literal segments before `{name}`, and `{name}` before a last `*`;
//! 3. then routes with a rule before routes without one;
//! 4. otherwise in the plan's order.
//!
//! A route matches a request if its pattern matches the raw path, its host, if it has one, is the
//! request's host (without port, case ignored), its methods include the request's method or `*`,
//! and its rule, if it has one, evaluates to true. If no route matches, the methods of the routes
//! that match in pattern and host are reported for the `Allow` header (RFC 9110, 15.5.6). Routes
//! are indexed by their first segment if it is literal, so that a request is compared with few of
//! them.

use crate::Entry;
use postbarrow_plan::{ANY_METHOD, Segment};
use postbarrow_rules::RequestFacts;
use postbarrow_state::Name;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// The result of looking up the route of a request.
pub enum RouteMatch {
    /// The entry of the route that matches the request.
    Route(Arc<Entry>),
    /// No route matches the request.
    NoRoute,
    /// Routes match the request's path and host but not its method; they have these methods.
    OtherMethods(Vec<Name>),
}

/// The routes in the order in which they are tried, with an index of their first segments.
#[derive(Default)]
pub(crate) struct RouteIndex {
    entries: Vec<Arc<Entry>>,
    by_first_segment: HashMap<Name, Vec<usize>>,
    without_literal_first_segment: Vec<usize>,
}

impl RouteIndex {
    pub fn new(mut entries: Vec<Arc<Entry>>) -> RouteIndex {
        entries.sort_by(|one, other| one.compiled.rank().cmp(&other.compiled.rank()));
        let mut by_first_segment: HashMap<Name, Vec<usize>> = HashMap::new();
        let mut without_literal_first_segment = Vec::new();
        for (at, entry) in entries.iter().enumerate() {
            match entry.compiled.pattern.segments.first() {
                Some(Segment::Literal(first)) => {
                    by_first_segment.entry(first.clone()).or_default().push(at)
                }
                _ => without_literal_first_segment.push(at),
            }
        }
        RouteIndex { entries, by_first_segment, without_literal_first_segment }
    }

    pub fn entries(&self) -> &[Arc<Entry>] {
        &self.entries
    }

    /// Finds the first route that matches the request.
    pub fn find(&self, method: &str, path: &str, headers: &[(String, String)]) -> RouteMatch {
        let facts = RequestFacts { method, path, headers };
        let mut other_methods = BTreeSet::new();
        let mut request_host = None;
        for at in self.candidate_positions(path) {
            let entry = &self.entries[at];
            if !entry.compiled.pattern.matches(path) {
                continue;
            }
            if let Some(host) = &entry.route().host
                && !request_host.get_or_insert_with(|| host_of(headers)).eq_ignore_ascii_case(host)
            {
                continue;
            }
            let allows_method =
                |route_method: &Name| route_method == method || route_method == ANY_METHOD;
            if !entry.route().methods.iter().any(allows_method) {
                other_methods.extend(entry.route().methods.iter().cloned());
                continue;
            }
            if entry.compiled.rule.as_ref().is_none_or(|rule| rule.matches(&facts)) {
                return RouteMatch::Route(entry.clone());
            }
        }
        if other_methods.is_empty() {
            RouteMatch::NoRoute
        } else {
            RouteMatch::OtherMethods(other_methods.into_iter().collect())
        }
    }

    /// Returns the positions of the routes whose first segment can match the path, in ascending
    /// order.
    fn candidate_positions(&self, path: &str) -> impl Iterator<Item = usize> {
        let first = path.strip_prefix('/').map_or("", |rest| rest.split('/').next().unwrap_or(""));
        let literal = self.by_first_segment.get(first).map_or(&[][..], Vec::as_slice);
        merge_ascending(literal, &self.without_literal_first_segment)
    }
}

/// Merges two ascending lists into one.
fn merge_ascending(one: &[usize], other: &[usize]) -> impl Iterator<Item = usize> {
    let (mut one, mut other) = (one.iter().peekable(), other.iter().peekable());
    std::iter::from_fn(move || match (one.peek(), other.peek()) {
        (Some(first), Some(second)) if first > second => other.next().copied(),
        (Some(_), _) => one.next().copied(),
        (None, _) => other.next().copied(),
    })
}

/// Returns the host of the request's `Host` header without the port; empty without the header.
fn host_of(headers: &[(String, String)]) -> &str {
    let header = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("host"));
    let host = header.map_or("", |(_, value)| value.as_str());
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
