use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct Row {
    pub instance: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub draining: bool,
}

/// The platform's view of its targets, written for the stand-in list.
pub struct List {
    file: String,
    pub rows: BTreeMap<String, Row>,
}

impl List {
    pub fn new(folder: &str) -> List {
        List { file: format!("{folder}/targets.jsonl"), rows: BTreeMap::new() }
    }

    pub fn file(&self) -> &str {
        &self.file
    }

    pub fn write(&self) -> Result<(), String> {
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
        std::fs::write(&next, text).map_err(|error| error.to_string())?;
        std::fs::rename(&next, &self.file).map_err(|error| error.to_string())
    }
}
