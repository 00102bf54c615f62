//! Pages of the endpoint list, and their parser.

use compact_str::CompactString;
use postbarrow_constants::nodes::LIST_PAGE_BYTES;
use postbarrow_reading::{DocumentReader, Fields, Findings, Value, text};
use postbarrow_state::{Labels, Target};
use std::net::SocketAddr;

/// One page of the endpoint list.
#[derive(Debug)]
pub struct ListPage {
    /// Targets in the order of the page's rows.
    pub targets: Vec<Target>,
    /// Cursor of the next page; `None` on the last page.
    pub next: Option<String>,
}

/// Parses a page. A page with any finding is rejected as a whole.
///
/// # Errors
/// The findings, if the page is larger than `LIST_PAGE_BYTES`, is not UTF-8 or JSON, or has invalid
/// fields.
pub fn read_page(bytes: &[u8]) -> Result<ListPage, Findings> {
    if bytes.len() > LIST_PAGE_BYTES {
        return Err(Findings::without_position(
            "$",
            format!("is larger than {LIST_PAGE_BYTES} bytes"),
        ));
    }
    let content = std::str::from_utf8(bytes).map_err(|error| {
        Findings::without_position("$", format!("is not UTF-8 at byte {}", error.valid_up_to()))
    })?;
    let (value, mut reading) = DocumentReader::parse(content)?;
    let mut page = ListPage { targets: Vec::new(), next: None };
    if let Some(mut fields) = Fields::of(&value, "$", &mut reading) {
        for (json_path, value) in fields.array("targets", &mut reading) {
            if let Some(target) = read_target(value, &json_path, &mut reading) {
                page.targets.push(target);
            }
        }
        page.next = fields.optional_text("next", &mut reading).map(str::to_string);
    }
    reading.finish(page)
}

fn read_target(value: &Value, json_path: &str, reading: &mut DocumentReader) -> Option<Target> {
    let mut fields = Fields::of(value, json_path, reading)?;
    let instance = fields.text("instance", reading).map(CompactString::from);
    let service = fields.text("service", reading).map(CompactString::from);
    let address: Option<SocketAddr> = fields.parsed("address", "an IP address and port", reading);
    let zone = fields.optional_text("zone", reading).unwrap_or_default();
    let draining = match fields.get("draining") {
        None => false,
        Some(value) => value.as_bool().unwrap_or_else(|| {
            reading.add_finding(&fields.path_of("draining"), "must be true or false".into());
            false
        }),
    };
    let mut labels = Labels::new();
    if fields.get("labels").is_some() {
        for (label, label_path, value) in fields.named("labels", reading) {
            if let Some(value) = text(value, &label_path, reading) {
                labels.insert(CompactString::from(label), CompactString::from(value));
            }
        }
    }
    Some(Target {
        instance: instance?,
        service: service?,
        address: address?,
        zone: CompactString::from(zone),
        labels,
        draining,
        down: false,
        slots: 0,
        warming_up: false,
    })
}
