//! A client request as a node reports it.

use crate::Name;
use serde::{Deserialize, Serialize};

/// What a node reports of one recent client request, for rehearsals.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The method.
    pub method: Name,
    /// The path, with its query.
    pub path: String,
    /// Only the headers that rules name.
    pub headers: Vec<(String, String)>,
    /// Length of the body.
    pub body_bytes: u64,
}
