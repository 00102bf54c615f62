//! Route match: which route takes a request.
//!
//! Routes are tried in this order, and the first that takes the request gets it:
//!
//! 1. routes for a host before those for any;
//! 2. then by pattern, literal segments before `{name}`, and that before a last `*`;
//! 3. among equals, routes with a rule before the one without;
//! 4. otherwise in the plan's order.
//!
//! A route takes a request if its pattern matches the raw path, its host is the request's (without
//! port, case ignored), its methods include the request's or `*`, and its rule, if it has one, gives
//! true. If routes match but for the method, their methods are reported for the `Allow` header (RFC
//! 9110, 15.5.6). Routes are indexed by their first literal segment, so that a request is compared
//! with few of them.

use crate::Entry;
use postbarrow_plan::{ANY_METHOD, Segment};
use postbarrow_rules::RequestFacts;
use postbarrow_state::Name;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// What the routes say of a request.
pub enum RouteMatch {
    /// This route takes it.
    Route(Arc<Entry>),
    /// None takes its path.
    NoRoute,
    /// Routes take its path with these methods only.
    OtherMethods(Vec<Name>),
}

/// The routes in the order in which they are tried, indexed by their first segment.
#[derive(Default)]
pub(crate) struct RouteIndex {
    entries: Vec<Arc<Entry>>,
    by_first_segment: HashMap<Name, Vec<usize>>,
    any_first_segment: Vec<usize>,
}

impl RouteIndex {
    pub fn new(mut entries: Vec<Arc<Entry>>) -> RouteIndex {
        entries.sort_by(|one, other| one.compiled.rank().cmp(&other.compiled.rank()));
        let mut by_first_segment: HashMap<Name, Vec<usize>> = HashMap::new();
        let mut any_first_segment = Vec::new();
        for (at, entry) in entries.iter().enumerate() {
            match entry.compiled.pattern.segments.first() {
                Some(Segment::Literal(first)) => {
                    by_first_segment.entry(first.clone()).or_default().push(at)
                }
                _ => any_first_segment.push(at),
            }
        }
        RouteIndex { entries, by_first_segment, any_first_segment }
    }

    pub fn entries(&self) -> &[Arc<Entry>] {
        &self.entries
    }

    /// The first route that takes the request.
    pub fn find(&self, method: &str, path: &str, headers: &[(String, String)]) -> RouteMatch {
        let facts = RequestFacts { method, path, headers };
        let mut other_methods = BTreeSet::new();
        let mut request_host = None;
        for at in self.with_first_segment(path) {
            let entry = &self.entries[at];
            if !entry.compiled.pattern.matches(path) {
                continue;
            }
            if let Some(host) = &entry.route().host
                && !request_host.get_or_insert_with(|| host_of(headers)).eq_ignore_ascii_case(host)
            {
                continue;
            }
            let takes = |known: &Name| known == method || known == ANY_METHOD;
            if !entry.route().methods.iter().any(takes) {
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

    /// Routes whose first segment may be the path's, in their order.
    fn with_first_segment(&self, path: &str) -> impl Iterator<Item = usize> {
        let first = path.strip_prefix('/').map_or("", |rest| rest.split('/').next().unwrap_or(""));
        let literal = self.by_first_segment.get(first).map_or(&[][..], Vec::as_slice);
        merge_rising(literal, &self.any_first_segment)
    }
}

/// The numbers of two rising lists in one.
fn merge_rising(one: &[usize], other: &[usize]) -> impl Iterator<Item = usize> {
    let (mut one, mut other) = (one.iter().peekable(), other.iter().peekable());
    std::iter::from_fn(move || match (one.peek(), other.peek()) {
        (Some(first), Some(second)) if first > second => other.next().copied(),
        (Some(_), _) => one.next().copied(),
        (None, _) => other.next().copied(),
    })
}

/// The host a request is for, without its port.
fn host_of(headers: &[(String, String)]) -> &str {
    let header = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("host"));
    let host = header.map_or("", |(_, value)| value.as_str());
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
