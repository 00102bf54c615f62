//! Route plans: reading, checks, records, and the rehearsal against the plan they replace.

mod delta;
mod difference;
mod document;
mod limits;
mod path;
mod rehearsal;
mod route_options;

pub use delta::delta;
pub use difference::{Change, changes};
pub use document::Plan;
pub use path::{Pattern, Segment};
pub use rehearsal::{Rehearsal, ServiceRehearsal};
pub use route_options::weights;

use compact_str::CompactString;
use postbarrow_constants::plans::TEXT_CHUNK_BYTES;
use postbarrow_state::{ClientLimits, Record};

/// A route with this method takes every method.
pub const ANY_METHOD: &str = "*";

impl Plan {
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
        let parts = self.text.as_bytes().chunks(TEXT_CHUNK_BYTES);
        records.extend(parts.map(|part| Record::PlanText(part.to_vec())));
        records
    }
}
