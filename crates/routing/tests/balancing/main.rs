//! From a request to a target: route match, selection and ejection.

mod ejection;
mod route_match;
mod selection;
mod support;
