//! Samples of client requests that data nodes report.

use crate::Name;
use serde::{Deserialize, Serialize};

/// One recent client request as a data node reports it, for rehearsals of a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The request's method.
    pub method: Name,
    /// The request's path, including its query.
    pub path: String,
    /// Names and values of the headers that routing rules refer to; others are left out.
    pub headers: Vec<(String, String)>,
    /// Length of the request's body, in bytes.
    pub body_bytes: u64,
}
