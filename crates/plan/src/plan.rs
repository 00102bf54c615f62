//! A submitted plan, and the log records that represent it.

use crate::plan_reader::read_plan;
use compact_str::CompactString;
use postbarrow_constants::plans::{PLAN_TEXT_BYTES, TEXT_CHUNK_BYTES};
use postbarrow_reading::{DocumentReader, Findings};
use postbarrow_state::{ClientLimits, Record, Route, Service};

/// A plan that was read and checked.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The plan's version.
    pub version: String,
    /// The version of the plan that this one replaces; none for a first plan.
    pub base: Option<String>,
    /// The services, ordered by name.
    pub services: Vec<Service>,
    /// The routes in the plan's order.
    pub routes: Vec<Route>,
    /// The limits that apply to every client.
    pub callers: ClientLimits,
    /// The plan's text, byte for byte as it was submitted.
    pub text: String,
}

impl Plan {
    /// Reads and checks a plan.
    ///
    /// # Errors
    /// Returns everything that is wrong with the plan, with JSON paths and lines.
    pub fn read(submitted: &[u8]) -> Result<Plan, Findings> {
        if submitted.len() > PLAN_TEXT_BYTES {
            let message = format!("is larger than {PLAN_TEXT_BYTES} bytes");
            return Err(Findings::without_position("$", message));
        }
        let submitted = std::str::from_utf8(submitted).map_err(|error| {
            Findings::without_position("$", format!("is not UTF-8 at byte {}", error.valid_up_to()))
        })?;
        let (value, mut reading) = DocumentReader::parse(submitted)?;
        let plan = read_plan(&value, submitted, &mut reading);
        match plan {
            Some(plan) => reading.finish(plan),
            None => Err(reading.finish(()).expect_err("a plan that can't be read has findings")),
        }
    }

    /// Returns the log records that represent the plan. They include its text, so that the plan can
    /// be read back byte for byte.
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
