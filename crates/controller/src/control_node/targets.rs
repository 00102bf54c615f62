//! Operators' report of the targets and the endpoint list.

use crate::ControlNode;
use crate::operator_body::json;
use crate::origin::Origin;
use facet::Facet;
use postbarrow_state::{State, Target};
use std::collections::BTreeMap;

#[derive(Facet)]
struct TargetRow {
    instance: String,
    service: String,
    address: String,
    zone: String,
    labels: BTreeMap<String, String>,
    /// The target's condition: `live`, `draining` or `down`.
    condition: String,
    /// Names of the plan's services whose labels the target has.
    services: Vec<String>,
}

#[derive(Facet)]
#[facet(rename_all = "camelCase")]
struct TargetsReport {
    targets: Vec<TargetRow>,
    /// Time since the last complete scan of the endpoint list without unconfirmed targets ended, in
    /// milliseconds; `None` if none is known since the controller gained its lease.
    #[facet(rename = "listWalkedMsAgo")]
    list_scan_age_ms: Option<u64>,
    /// Text of the list's last failure; `None` if a scan was completed since.
    list_finding: Option<String>,
    /// The longest time from a target's draining row in the list to its last request, in
    /// milliseconds, at the list's current size and speed.
    leave_bound_ms: Option<u64>,
    /// Number of requests that the list refused because of its rate limit.
    list_refusals: u64,
}

impl TargetRow {
    fn new(target: &Target, state: &State) -> Self {
        let labels = target.labels.iter();
        let services = state.services.values().filter(|service| target.matches(service));
        TargetRow {
            instance: target.instance.to_string(),
            service: target.service.to_string(),
            address: target.address.to_string(),
            zone: target.zone.to_string(),
            labels: labels.map(|(label, value)| (label.to_string(), value.to_string())).collect(),
            condition: match (target.draining, target.down) {
                (true, _) => "draining".into(),
                (false, true) => "down".into(),
                (false, false) => "live".into(),
            },
            services: services.map(|service| service.name.to_string()).collect(),
        }
    }
}

impl ControlNode {
    pub(super) fn on_targets(&mut self, now_ms: u64, origin: Origin) {
        let state = self.committed();
        let list = self.leader.as_ref().map(|leader| &leader.endpoint_list);
        let body = TargetsReport {
            targets: state.targets.values().map(|target| TargetRow::new(target, state)).collect(),
            list_scan_age_ms: list
                .and_then(|list| list.completed_ms())
                .map(|at_ms| now_ms.saturating_sub(at_ms)),
            list_finding: list.and_then(|list| list.finding()).map(str::to_string),
            leave_bound_ms: list.map(|list| list.leave_bound_ms()),
            list_refusals: list.map_or(0, |list| list.refusals()),
        };
        self.respond(origin, json(200, &body));
    }
}
