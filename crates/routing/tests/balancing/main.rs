//! Route match, limits, selection and ejection, tested on tables of one route.

mod ejection;
mod limits;
mod route_match;
mod selection;
mod support;
