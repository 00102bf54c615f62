//! The platform's endpoint list, as a file that the stand-in list serves.

use std::collections::BTreeMap;
use std::io;

/// One target's row.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The target's instance name.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Where it is reached.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Whether it takes no new requests.
    pub draining: bool,
}

/// The rows by their instance names.
pub struct EndpointList {
    file: String,
    /// The rows, of which `write` makes the file's text.
    pub rows: BTreeMap<String, Endpoint>,
}

impl EndpointList {
    /// An empty list whose file will stand in this folder.
    pub fn new(folder: &str) -> EndpointList {
        EndpointList { file: format!("{folder}/targets.jsonl"), rows: BTreeMap::new() }
    }

    /// The file's path.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Replaces the file, at once and in full.
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
