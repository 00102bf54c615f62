//! The contents of the platform's endpoint list, in a file that its stand-in serves.

use std::collections::BTreeMap;
use std::io;

/// The row of one target.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The instance name of the target.
    pub instance: String,
    /// The service of the target.
    pub service: String,
    /// The address at which the target is reached, as IP and port.
    pub address: String,
    /// The zone of the target.
    pub zone: String,
    /// Whether the target should get no new requests.
    pub draining: bool,
}

/// The rows of the endpoint list and the path of their file.
pub struct EndpointList {
    file: String,
    /// The rows by their instance names. Changes reach the file only by `write`.
    pub rows: BTreeMap<String, Endpoint>,
}

impl EndpointList {
    /// Returns an empty list whose file `write` creates in this folder.
    pub fn new(folder: &str) -> EndpointList {
        EndpointList { file: format!("{folder}/targets.jsonl"), rows: BTreeMap::new() }
    }

    /// Returns the path of the file.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Replaces the file atomically with the present rows.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn write(&self) -> io::Result<()> {
        let text: String = self
            .rows
            .values()
            .map(|row| {
                format!(
                    "{{\"instance\":\"{}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"labels\":{{}},\"draining\":{}}}\n",
                    row.instance, row.service, row.address, row.zone, row.draining
                )
            })
            .collect();
        let next = format!("{}.next", self.file);
        std::fs::write(&next, text)?;
        std::fs::rename(&next, &self.file)
    }
}
