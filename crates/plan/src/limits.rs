use postbarrow_constants::plans::*;
use postbarrow_reading::{Fields, Reading};
use postbarrow_state::Callers;

pub(crate) struct Limits {
    pub bodyBytes: u64,
    pub ratePerS: Option<u64>,
    pub concurrency: Option<u64>,
    pub deadlineMs: u64,
}

pub(crate) fn read(route: &mut Fields<'_>, reading: &mut Reading) -> Limits {
    let mut limits = Limits {
        bodyBytes: ROUTE_BODY_BYTES,
        ratePerS: None,
        concurrency: None,
        deadlineMs: ROUTE_DEADLINE_MS,
    };
    let place = route.place("limits");
    let Some(value) = route.get("limits") else { return limits };
    let Some(mut fields) = Fields::of(value, &place, reading) else { return limits };
    if let Some(most) = fields.number("bodyBytes", 0..=ROUTE_BODY_MOST_BYTES, reading) {
        limits.bodyBytes = most;
    }
    limits.ratePerS = fields.number("ratePerS", 1..=1_000_000, reading);
    limits.concurrency = fields.number("concurrency", 1..=1_000_000, reading);
    if let Some(waitMs) = fields.number("deadlineMs", 1..=ROUTE_DEADLINE_MOST_MS, reading) {
        limits.deadlineMs = waitMs;
    }
    fields.finish(reading);
    limits
}

/// What every caller is held to, in `callers` of the plan.
pub(crate) fn callers(plan: &mut Fields<'_>, reading: &mut Reading) -> Callers {
    let place = plan.place("callers");
    let Some(value) = plan.get("callers") else { return Callers::default() };
    let Some(mut fields) = Fields::of(value, &place, reading) else { return Callers::default() };
    let callers = Callers {
        headBytes: fields.number("headBytes", 256..=HEAD_MOST_BYTES, reading),
        headWaitMs: fields.number("headWaitMs", 1..=ROUTE_DEADLINE_MOST_MS, reading),
        idleMs: fields.number("idleMs", 1..=IDLE_MOST_MS, reading),
    };
    fields.finish(reading);
    callers
}
