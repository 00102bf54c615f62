use crate::Name;
use serde::{Deserialize, Serialize};

/// What a node keeps of one recent ask, for rehearsals: of its headers only those that rules name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    pub method: Name,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body_bytes: u64,
}
