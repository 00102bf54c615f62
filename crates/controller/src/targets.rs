use crate::operator::json;
use crate::{ControlNode, Origin};
use facet::Facet;
use std::collections::BTreeMap;

#[derive(Facet)]
struct TargetRow {
    instance: String,
    service: String,
    address: String,
    zone: String,
    labels: BTreeMap<String, String>,
    /// live, draining or down
    condition: String,
    services: Vec<String>,
}

#[derive(Facet)]
#[facet(rename_all = "camelCase")]
struct TargetsReport {
    targets: Vec<TargetRow>,
    #[facet(rename = "listWalkedMsAgo")]
    list_scan_age_ms: Option<u64>,
    list_finding: Option<String>,
    /// From a mark in the list to the last ask, at worst, with the list as it is.
    leave_bound_ms: Option<u64>,
    list_refusals: u64,
}

impl ControlNode {
    pub(crate) fn on_targets(&mut self, now_ms: u64, origin: Origin) {
        let state = self.committed();
        let rows = state.targets.values().map(|target| TargetRow {
            instance: target.instance.to_string(),
            service: target.service.to_string(),
            address: target.address.to_string(),
            zone: target.zone.to_string(),
            labels: target
                .labels
                .iter()
                .map(|(label, value)| (label.to_string(), value.to_string()))
                .collect(),
            condition: match (target.draining, target.down) {
                (true, _) => "draining".into(),
                (false, true) => "down".into(),
                (false, false) => "live".into(),
            },
            services: state
                .services
                .values()
                .filter(|service| target.matches(service))
                .map(|service| service.name.to_string())
                .collect(),
        });
        let scan = self.leader.as_ref().map(|leader| &leader.scan);
        let body = TargetsReport {
            targets: rows.collect(),
            list_scan_age_ms: scan
                .and_then(|scan| scan.completed_ms)
                .map(|at_ms| now_ms.saturating_sub(at_ms)),
            list_finding: scan.and_then(|scan| scan.finding.clone()),
            leave_bound_ms: scan.map(|scan| scan.leave_bound_ms()),
            list_refusals: scan.map_or(0, |scan| scan.poll_rate.refusals),
        };
        self.respond(origin, json(200, &body));
    }
}
