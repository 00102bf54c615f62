//! Reads the fields of one JSON object one by one.
//!
//! A required field that is absent, a field of another type or out of bounds, and a field that is
//! never requested become findings.

use crate::{DocumentReader, Value};
use std::collections::BTreeSet;

/// The fields of one object of the document, with those that were requested so far.
pub struct Fields<'v> {
    value: &'v Value,
    path: String,
    requested: BTreeSet<&'static str>,
}

impl<'v> Fields<'v> {
    /// Returns the fields of a value; `None`, with a finding, if the value is not an object.
    pub fn of(value: &'v Value, json_path: &str, reading: &mut DocumentReader) -> Option<Self> {
        if !value.is_object() {
            reading.add_finding(json_path, "must be an object".into());
            return None;
        }
        Some(Fields { value, path: json_path.into(), requested: BTreeSet::new() })
    }

    /// Returns the JSON path of a field.
    pub fn path_of(&self, field: &str) -> String {
        format!("{}.{field}", self.path)
    }

    /// Returns a field's value; `None`, without a finding, if the field is absent or null.
    pub fn get(&mut self, field: &'static str) -> Option<&'v Value> {
        self.requested.insert(field);
        self.value.as_object()?.get(field).filter(|value| !value.is_null())
    }

    /// Returns a field's value; `None`, with a finding, if the field is absent or null.
    pub fn required(
        &mut self,
        field: &'static str,
        reading: &mut DocumentReader,
    ) -> Option<&'v Value> {
        let found = self.get(field);
        if found.is_none() {
            reading.add_finding(&self.path_of(field), "is missing".into());
        }
        found
    }

    /// Returns a field's string; `None`, with a finding, if the field is absent, null or not a
    /// string.
    pub fn text(&mut self, field: &'static str, reading: &mut DocumentReader) -> Option<&'v str> {
        let value = self.required(field, reading)?;
        text(value, &self.path_of(field), reading)
    }

    /// Returns a field's string; `None` if the field is absent or null, and with a finding if it is
    /// not a string.
    pub fn optional_text(
        &mut self,
        field: &'static str,
        reading: &mut DocumentReader,
    ) -> Option<&'v str> {
        let value = self.get(field)?;
        text(value, &self.path_of(field), reading)
    }

    /// Returns a field's whole number; `None` if the field is absent or null, and with a finding if
    /// it is not a whole number within the bounds.
    pub fn number(
        &mut self,
        field: &'static str,
        bounds: std::ops::RangeInclusive<u64>,
        reading: &mut DocumentReader,
    ) -> Option<u64> {
        let value = self.get(field)?;
        let number = value.as_number().and_then(|number| number.to_u64());
        let in_bounds = number.filter(|number| bounds.contains(number));
        if in_bounds.is_none() {
            let message =
                format!("must be a whole number from {} to {}", bounds.start(), bounds.end());
            reading.add_finding(&self.path_of(field), message);
        }
        in_bounds
    }

    /// Returns the items of a field's array, each with its JSON path; none, with a finding, if the
    /// field is absent, null or not an array.
    pub fn array(
        &mut self,
        field: &'static str,
        reading: &mut DocumentReader,
    ) -> Vec<(String, &'v Value)> {
        let Some(value) = self.required(field, reading) else { return Vec::new() };
        let json_path = self.path_of(field);
        let Some(array) = value.as_array() else {
            reading.add_finding(&json_path, "must be an array".into());
            return Vec::new();
        };
        let items = array.iter().enumerate();
        items.map(|(at, value)| (format!("{json_path}[{at}]"), value)).collect()
    }

    /// Returns the name, JSON path and value of each member of a field's object, whose names the
    /// operator chooses; none, with a finding, if the field is absent, null or not an object.
    pub fn named(
        &mut self,
        field: &'static str,
        reading: &mut DocumentReader,
    ) -> Vec<(String, String, &'v Value)> {
        let Some(value) = self.required(field, reading) else { return Vec::new() };
        let json_path = self.path_of(field);
        let Some(object) = value.as_object() else {
            reading.add_finding(&json_path, "must be an object".into());
            return Vec::new();
        };
        let members = object.iter().map(|(name, value)| {
            (name.as_str().to_string(), format!("{json_path}.{}", name.as_str()), value)
        });
        members.collect()
    }

    /// Returns the value that a field's string is parsed to; `None`, with a finding, if the field
    /// is absent, null or not a string. If the string does not parse, the finding is that it must
    /// be `expected`.
    pub fn parsed<T: std::str::FromStr>(
        &mut self,
        field: &'static str,
        expected: &str,
        reading: &mut DocumentReader,
    ) -> Option<T> {
        let value = self.text(field, reading)?;
        let parsed = value.parse().ok();
        if parsed.is_none() {
            reading.add_finding(&self.path_of(field), format!("must be {expected}"));
        }
        parsed
    }

    /// Adds a finding for each field that was never requested.
    pub fn finish(self, reading: &mut DocumentReader) {
        let Some(object) = self.value.as_object() else { return };
        for (name, _) in object.iter() {
            if !self.requested.contains(name.as_str()) {
                let json_path = format!("{}.{}", self.path, name.as_str());
                reading.add_finding(&json_path, "is not a known field".into());
            }
        }
    }
}

/// Returns the string that a value is; `None`, with a finding, if the value is not a string.
pub fn text<'v>(
    value: &'v Value,
    json_path: &str,
    reading: &mut DocumentReader,
) -> Option<&'v str> {
    let found = value.as_string().map(|text| text.as_str());
    if found.is_none() {
        reading.add_finding(json_path, "must be a string".into());
    }
    found
}
