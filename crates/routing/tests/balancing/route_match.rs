//! Which requests a route with a host matches.

use crate::support::table;
use postbarrow_routing::RouteMatch;

#[test]
fn a_route_matches_by_its_host_without_port_or_case() {
    let table = table(&[("one", "a", 2, false)]);
    let find = |host: &str| {
        let host = [("host".to_string(), host.to_string())];
        matches!(table.find("GET", "/a/b", &host), RouteMatch::Route(_))
    };
    assert!(find("h.example") && find("H.EXAMPLE:80"));
    assert!(!find("other.example") && !find("") && !find("h.example.org"));
}
