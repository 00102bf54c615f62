//! A plan as it was submitted, and its records.

use crate::plan_reader::read_plan;
use compact_str::CompactString;
use postbarrow_constants::plans::{PLAN_TEXT_BYTES, TEXT_CHUNK_BYTES};
use postbarrow_reading::{Findings, Reading};
use postbarrow_state::{ClientLimits, Record, Route, Service};

/// A plan that was read and checked.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its own version.
    pub version: String,
    /// The version that it replaces; none of a first plan.
    pub base: Option<String>,
    /// In the order of their names.
    pub services: Vec<Service>,
    /// In the plan's order.
    pub routes: Vec<Route>,
    /// What every client is limited to.
    pub callers: ClientLimits,
    /// Byte for byte as it was submitted.
    pub text: String,
}

impl Plan {
    /// Reads and checks a plan.
    ///
    /// # Errors
    /// All that is wrong with it, with JSON paths and lines.
    pub fn read(given: &[u8]) -> Result<Plan, Findings> {
        if given.len() > PLAN_TEXT_BYTES {
            let message = format!("is larger than {PLAN_TEXT_BYTES} bytes");
            return Err(Findings::without_position("$", message));
        }
        let given = std::str::from_utf8(given).map_err(|error| {
            Findings::without_position("$", format!("is not UTF-8 at byte {}", error.valid_up_to()))
        })?;
        let (value, mut reading) = Reading::parse(given)?;
        let plan = read_plan(&value, given, &mut reading);
        match plan {
            Some(plan) => reading.finish(plan),
            None => Err(reading.finish(()).expect_err("a plan that can't be read has findings")),
        }
    }

    /// The plan as records; its text goes along so that it reads back byte for byte.
    pub fn records(&self) -> Vec<Record> {
        let mut records = vec![Record::PlanStart {
            version: CompactString::from(&self.version),
            base: self.base.as_deref().map(CompactString::from),
        }];
        if self.callers != ClientLimits::default() {
            records.push(Record::ClientLimits(self.callers.clone()));
        }
        records.extend(self.services.iter().cloned().map(Record::Service));
        records.extend(self.routes.iter().cloned().map(Record::Route));
        let chunks = self.text.as_bytes().chunks(TEXT_CHUNK_BYTES);
        records.extend(chunks.map(|chunk| Record::PlanText(chunk.to_vec())));
        records
    }
}
