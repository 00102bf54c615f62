//! Tests of `settings`.

use super::*;

#[test]
fn every_finding_is_reported_with_its_field_and_line() {
    let file = "{\n \"name\": \"\",\n \"zone\": 7,\n \"address\": \"here\",\n \"seeds\": [\"127.0.0.1:1\", \"x\"],\n \"dtaa\": \"/d\"\n}";
    let findings =
        Startup::read(ProgramKind::ControlPlane, file, &UncheckedSettings::default()).unwrap_err();
    let report = findings.to_string();
    for finding in [
        "$.zone (line 3): must be a string",
        "$.dtaa (line 6): is not a known field",
        "$.address (line 4): must be an IP address and port",
        "$.http (line 1): is missing",
        "$.seeds[1] (line 5): must be an IP",
        "$.name (line 2): must have 1 to 64 bytes",
        "$.data (line 1): is missing",
        "$.list (line 1): is missing",
    ] {
        assert!(report.contains(finding), "{finding:?} is not in:\n{report}");
    }
}

#[test]
fn flags_alone_suffice_and_override_the_file() {
    let flags = UncheckedSettings {
        name: Some("d1".into()),
        zone: Some("a".into()),
        address: Some("127.0.0.1:7001".into()),
        http: Some("127.0.0.1:8001".into()),
        seeds: vec!["127.0.0.1:7000".into()],
        ..UncheckedSettings::default()
    };
    let startup = Startup::read(ProgramKind::DataPlane, "{\"zone\": \"b\"}", &flags).unwrap();
    assert_eq!(startup.zone, "a");
    assert_eq!(startup.seeds.len(), 1);
}
