//! The names of the product's own headers and paths, which clients and targets rely on.

use postbarrow_constants::traffic::IDENTITY_PATH;
use postbarrow_node::{KEY_HEADER, OUTCOME_HEADER, REPLAYED_HEADER};

#[test]
fn own_headers_and_paths_keep_their_names() {
    let names = [OUTCOME_HEADER, KEY_HEADER, REPLAYED_HEADER, IDENTITY_PATH].join("\n");
    insta::assert_snapshot!(names, @r"
    Postbarrow-Outcome
    Postbarrow-Key
    Postbarrow-Replayed
    /.well-known/postbarrow-target
    ");
}
