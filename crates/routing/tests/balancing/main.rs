//! From a request to a target: route match, limits, selection and ejection.

mod ejection;
mod limits;
mod route_match;
mod selection;
mod support;
