//! Compares encoded values with committed fixtures.
//!
//! A fixture is a text file with one line per value: its name, and its bytes in hexadecimal digits.
//! The committed fixtures were written by commit dfb0489. With POSTBARROW_WRITE_FIXTURES set, the
//! tests write the fixtures instead of comparing. That is meant for new values only, since other
//! releases can't read changed bytes.
#![allow(dead_code)]

use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

type Reencode = fn(&[u8]) -> Result<Vec<u8>, String>;

/// A value's encoding by the current types, and a function that decodes and re-encodes bytes of its
/// type.
pub struct Case {
    /// Name of the value; for a value of an enum it begins with the variant's encoded name.
    name: String,
    bytes: Vec<u8>,
    reencode: Reencode,
}

pub fn case<T: Serialize + DeserializeOwned>(name: &str, value: &T) -> Case {
    case_of(name, encode(value), |bytes| Ok(encode(&decode::<T>(bytes)?)))
}

/// Creates a case from bytes that contain more than one encoded value.
pub fn case_of(name: &str, bytes: Vec<u8>, reencode: Reencode) -> Case {
    Case { name: name.into(), bytes, reencode }
}

/// Creates a case for each value of an enum. Fails unless the values cover every variant name that
/// the decoder knows.
pub fn variants<N: AsRef<str>, T: Serialize + DeserializeOwned>(values: &[(N, T)]) -> Vec<Case> {
    let cases: Vec<Case> = values.iter().map(|(name, value)| case(name.as_ref(), value)).collect();
    assert_covers::<T>(&cases);
    cases
}

pub fn assert_covers<T: DeserializeOwned>(cases: &[Case]) {
    let names = |case: &Case| case.name.split(' ').next().map(str::to_string);
    let covered: BTreeSet<String> = cases.iter().filter_map(names).collect();
    assert_eq!(covered, known_names::<T>(), "variants covered and known to the decoder");
}

/// Compares the cases with a fixture in the folder of the crate, or writes the fixture.
pub fn check(crate_folder: &str, fixture: &str, cases: &[Case]) {
    let path = fixture_path(crate_folder, fixture);
    if writes_fixtures() {
        let line = |case: &Case| format!("{} = {}\n", case.name, to_hex(&case.bytes));
        std::fs::write(&path, cases.iter().map(line).collect::<String>())
            .expect("the fixture can be written");
        return;
    }
    let committed = read_fixture(crate_folder, fixture);
    let names: Vec<&str> = committed.iter().map(|(name, _)| name.as_str()).collect();
    let expected: Vec<&str> = cases.iter().map(|case| case.name.as_str()).collect();
    assert_eq!(names, expected, "{fixture}: names of the values");
    for (case, (name, bytes)) in cases.iter().zip(&committed) {
        let reencoded = (case.reencode)(bytes)
            .unwrap_or_else(|error| panic!("{fixture}: {name} can no longer be decoded: {error}"));
        assert_eq!(to_hex(&reencoded), to_hex(bytes), "{fixture}: {name} decoded and re-encoded");
        assert_eq!(to_hex(&case.bytes), to_hex(bytes), "{fixture}: {name} as encoded now");
    }
}

/// Returns the names and bytes of a committed fixture.
pub fn read_fixture(crate_folder: &str, fixture: &str) -> Vec<(String, Vec<u8>)> {
    let text = std::fs::read_to_string(fixture_path(crate_folder, fixture));
    let text = text.expect("the fixture is committed");
    let named = text
        .lines()
        .map(|line| line.split_once(" = ").expect("a fixture line is `name = hex digits`"));
    named.map(|(name, digits)| (name.to_string(), from_hex(digits))).collect()
}

pub fn fixture_path(crate_folder: &str, fixture: &str) -> PathBuf {
    Path::new(crate_folder).join("tests/fixtures").join(fixture)
}

pub fn writes_fixtures() -> bool {
    std::env::var_os("POSTBARROW_WRITE_FIXTURES").is_some()
}

pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("encoding a value into memory succeeds")
}

pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(bytes).map_err(|error| error.to_string())
}

/// Returns the variant names that the decoder knows. Its error on an unknown name lists them.
fn known_names<T: DeserializeOwned>() -> BTreeSet<String> {
    let error = decode::<T>(&encode(&"?")).err().expect("no variant is named `?`");
    assert!(error.starts_with("unknown variant"), "{error}");
    error.split('`').skip(1).step_by(2).skip(1).map(str::to_string).collect()
}

pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(digits: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("two hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}
