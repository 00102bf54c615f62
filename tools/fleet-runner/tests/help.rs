//! Test of the help text of this tool.

#[path = "../../../programs/control-plane/tests/outer/mod.rs"]
mod outer;

#[test]
fn the_help() {
    let text = outer::help(env!("CARGO_BIN_EXE_fleet-runner"), &[]);
    insta::assert_snapshot!(text);
}
