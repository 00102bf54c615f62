//! The fields of one JSON object, read one by one.
//!
//! A field that is absent, of another type or out of bounds becomes a finding, and so does one that is
//! never requested.

use crate::{Reading, Value};
use std::collections::BTreeSet;

/// One object of the document.
pub struct Fields<'v> {
    value: &'v Value,
    path: String,
    requested: BTreeSet<&'static str>,
}

impl<'v> Fields<'v> {
    /// The fields of a value; none, and a finding, if it is no object.
    pub fn of(value: &'v Value, json_path: &str, reading: &mut Reading) -> Option<Self> {
        if !value.is_object() {
            reading.find(json_path, "must be an object".into());
            return None;
        }
        Some(Fields { value, path: json_path.into(), requested: BTreeSet::new() })
    }

    /// The JSON path of a field.
    pub fn path_of(&self, field: &str) -> String {
        format!("{}.{field}", self.path)
    }

    /// A field's value; none if it is absent or null.
    pub fn get(&mut self, field: &'static str) -> Option<&'v Value> {
        self.requested.insert(field);
        self.value.as_object()?.get(field).filter(|value| !value.is_null())
    }

    /// A field's value, which must be there.
    pub fn required(&mut self, field: &'static str, reading: &mut Reading) -> Option<&'v Value> {
        let found = self.get(field);
        if found.is_none() {
            reading.find(&self.path_of(field), "is missing".into());
        }
        found
    }

    /// A string, which must be there.
    pub fn text(&mut self, field: &'static str, reading: &mut Reading) -> Option<&'v str> {
        let value = self.required(field, reading)?;
        text(value, &self.path_of(field), reading)
    }

    /// A string; none if it is absent.
    pub fn text_or_none(&mut self, field: &'static str, reading: &mut Reading) -> Option<&'v str> {
        let value = self.get(field)?;
        text(value, &self.path_of(field), reading)
    }

    /// A whole number within bounds; none if it is absent.
    pub fn number(
        &mut self,
        field: &'static str,
        bounds: std::ops::RangeInclusive<u64>,
        reading: &mut Reading,
    ) -> Option<u64> {
        let value = self.get(field)?;
        let number = value.as_number().and_then(|number| number.to_u64());
        let within = number.filter(|number| bounds.contains(number));
        if within.is_none() {
            let message =
                format!("must be a whole number from {} to {}", bounds.start(), bounds.end());
            reading.find(&self.path_of(field), message);
        }
        within
    }

    /// The items of an array, which must be there, with their JSON paths.
    pub fn array(
        &mut self,
        field: &'static str,
        reading: &mut Reading,
    ) -> Vec<(String, &'v Value)> {
        let Some(value) = self.required(field, reading) else { return Vec::new() };
        let json_path = self.path_of(field);
        let Some(array) = value.as_array() else {
            reading.find(&json_path, "must be an array".into());
            return Vec::new();
        };
        let rows = array.iter().enumerate();
        rows.map(|(at, value)| (format!("{json_path}[{at}]"), value)).collect()
    }

    /// The members of an object whose names the operator chooses: name, JSON path and value.
    pub fn named(
        &mut self,
        field: &'static str,
        reading: &mut Reading,
    ) -> Vec<(String, String, &'v Value)> {
        let Some(value) = self.required(field, reading) else { return Vec::new() };
        let json_path = self.path_of(field);
        let Some(object) = value.as_object() else {
            reading.find(&json_path, "must be an object".into());
            return Vec::new();
        };
        let rows = object.iter().map(|(name, value)| {
            (name.as_str().to_string(), format!("{json_path}.{}", name.as_str()), value)
        });
        rows.collect()
    }

    /// A string that parses, which must be there; the finding says what is expected.
    pub fn parsed<T: std::str::FromStr>(
        &mut self,
        field: &'static str,
        expected: &str,
        reading: &mut Reading,
    ) -> Option<T> {
        let value = self.text(field, reading)?;
        let parsed = value.parse().ok();
        if parsed.is_none() {
            reading.find(&self.path_of(field), format!("must be {expected}"));
        }
        parsed
    }

    /// Reports the fields that were never requested.
    pub fn finish(self, reading: &mut Reading) {
        let Some(object) = self.value.as_object() else { return };
        for (name, _) in object.iter() {
            if !self.requested.contains(name.as_str()) {
                let json_path = format!("{}.{}", self.path, name.as_str());
                reading.find(&json_path, "is not a known field".into());
            }
        }
    }
}

/// A value that must be a string.
pub fn text<'v>(value: &'v Value, json_path: &str, reading: &mut Reading) -> Option<&'v str> {
    let found = value.as_string().map(|text| text.as_str());
    if found.is_none() {
        reading.find(json_path, "must be a string".into());
    }
    found
}
