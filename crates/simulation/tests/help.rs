//! The text that `simulate --help` prints.

#[path = "../../../programs/control-plane/tests/outer/mod.rs"]
mod outer;

#[test]
fn the_help() {
    let text = outer::help(env!("CARGO_BIN_EXE_simulate"), &[]);
    insta::assert_snapshot!(text);
}
