//! Applies records of the plan.

use crate::splice::{patch_routes, patch_text};
use crate::{
    AcceptedPlan, ClientLimits, Digest, Name, PlanHead, RefusedPlan, Route, RouteSplice, Service,
    State, TextSplice,
};
use std::sync::Arc;

impl State {
    pub(super) fn start_plan(&mut self, offset: u64, version: &Name, base: Option<&Name>) {
        self.start_plan_delta(offset, version, base);
        self.client_limits = ClientLimits::default();
        self.plan_text.clear();
        self.services.clear();
        self.routes.clear();
    }

    pub(super) fn start_plan_delta(&mut self, offset: u64, version: &Name, base: Option<&Name>) {
        let head = PlanHead { version: version.clone(), base: base.cloned(), offset };
        self.plan = Some(Arc::new(head));
    }

    pub(super) fn append_plan_text(&mut self, chunk: &[u8]) {
        self.plan_text.push_back(Arc::new(chunk.to_vec()));
    }

    pub(super) fn patch_plan_text(&mut self, splices: &[TextSplice]) {
        patch_text(&mut self.plan_text, splices);
    }

    pub(super) fn set_service(&mut self, service: &Service) {
        self.services.insert(service.name.clone(), Arc::new(service.clone()));
    }

    pub(super) fn remove_service(&mut self, name: &Name) {
        self.services.remove(name);
    }

    pub(super) fn append_route(&mut self, route: &Route) {
        self.routes.push_back(Arc::new(route.clone()));
    }

    pub(super) fn patch_plan_routes(&mut self, splices: &[RouteSplice]) {
        patch_routes(&mut self.routes, splices);
    }

    pub(super) fn set_client_limits(&mut self, limits: &ClientLimits) {
        self.client_limits = limits.clone();
    }

    pub(super) fn accept_plan(
        &mut self,
        offset: u64,
        version: &Name,
        base: Option<&Name>,
        digest: &Digest,
        began_at: u64,
    ) {
        self.retain_accepted_plan(AcceptedPlan {
            version: version.clone(),
            base: base.cloned(),
            digest: *digest,
            began_at,
            ended_at: offset,
        });
    }

    pub(super) fn refuse_plan(&mut self, refused: &RefusedPlan) {
        self.retain_refused_plan(refused.clone());
    }
}
