//! Compares encoded values with committed fixtures.
//!
//! A fixture is a text file of one line per value: a name and the bytes in hexadecimal digits. The
//! committed ones were written by commit dfb0489. With POSTBARROW_WRITE_FIXTURES set, the tests
//! write the fixtures instead of comparing; that is meant for new values only, since changed bytes
//! can't be read by other releases.
#![allow(dead_code)]

use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

type Rewrite = fn(&[u8]) -> Result<Vec<u8>, String>;

/// A value of today's types, its bytes, and how its type reads bytes and writes them again.
pub struct Case {
    /// Begins with the name of an enum's variant as it stands in the bytes.
    name: String,
    bytes: Vec<u8>,
    rewrite: Rewrite,
}

pub fn case<T: Serialize + DeserializeOwned>(name: &str, value: &T) -> Case {
    case_of(name, encode(value), |bytes| Ok(encode(&decode::<T>(bytes)?)))
}

/// For bytes that are more than one encoded value.
pub fn case_of(name: &str, bytes: Vec<u8>, rewrite: Rewrite) -> Case {
    Case { name: name.into(), bytes, rewrite }
}

/// One case for each variant of an enum: fails unless every name that its decoder knows is covered.
pub fn variants<N: AsRef<str>, T: Serialize + DeserializeOwned>(values: &[(N, T)]) -> Vec<Case> {
    let cases: Vec<Case> = values.iter().map(|(name, value)| case(name.as_ref(), value)).collect();
    assert_covers::<T>(&cases);
    cases
}

pub fn assert_covers<T: DeserializeOwned>(cases: &[Case]) {
    let names = |case: &Case| case.name.split(' ').next().map(str::to_string);
    let covered: BTreeSet<String> = cases.iter().filter_map(names).collect();
    assert_eq!(covered, known_names::<T>(), "names covered, and names that the decoder knows");
}

/// Compares with a fixture below the crate's own folder, or writes it.
pub fn check(crate_folder: &str, fixture: &str, cases: &[Case]) {
    let path = fixture_path(crate_folder, fixture);
    if writes_fixtures() {
        let line = |case: &Case| format!("{} = {}\n", case.name, to_hex(&case.bytes));
        std::fs::write(&path, cases.iter().map(line).collect::<String>()).expect("it is written");
        return;
    }
    let committed = read_fixture(crate_folder, fixture);
    let names: Vec<&str> = committed.iter().map(|(name, _)| name.as_str()).collect();
    let expected: Vec<&str> = cases.iter().map(|case| case.name.as_str()).collect();
    assert_eq!(names, expected, "{fixture}: its values");
    for (case, (name, bytes)) in cases.iter().zip(&committed) {
        let again = (case.rewrite)(bytes)
            .unwrap_or_else(|error| panic!("{fixture}: {name} can't be read any more: {error}"));
        assert_eq!(to_hex(&again), to_hex(bytes), "{fixture}: {name} read and written again");
        assert_eq!(to_hex(&case.bytes), to_hex(bytes), "{fixture}: {name} written today");
    }
}

/// The names and bytes of a committed fixture.
pub fn read_fixture(crate_folder: &str, fixture: &str) -> Vec<(String, Vec<u8>)> {
    let text = std::fs::read_to_string(fixture_path(crate_folder, fixture));
    let text = text.expect("the fixture is committed");
    let named = text.lines().map(|line| line.split_once(" = ").expect("a name and bytes"));
    named.map(|(name, digits)| (name.to_string(), from_hex(digits))).collect()
}

pub fn fixture_path(crate_folder: &str, fixture: &str) -> PathBuf {
    Path::new(crate_folder).join("tests/fixtures").join(fixture)
}

pub fn writes_fixtures() -> bool {
    std::env::var_os("POSTBARROW_WRITE_FIXTURES").is_some()
}

pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("a value encodes into memory")
}

pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(bytes).map_err(|error| error.to_string())
}

/// The decoder lists the names that it knows when it is given another.
fn known_names<T: DeserializeOwned>() -> BTreeSet<String> {
    let error = decode::<T>(&encode(&"?")).err().expect("no variant is named so");
    assert!(error.starts_with("unknown variant"), "{error}");
    error.split('`').skip(1).step_by(2).skip(1).map(str::to_string).collect()
}

pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(digits: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}
