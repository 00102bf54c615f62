//! Tests of `data_folder`.

use super::*;

#[test]
fn a_locked_folder_refuses_a_second_lock_with_addr_in_use() {
    let folder = std::env::temp_dir().join(format!("postbarrow-lock-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the test folder is created");
    lock(&folder).expect("no process has the lock");
    let refused =
        lock(&folder).expect_err("this process already has the lock, through another file");
    std::fs::remove_dir_all(&folder).expect("the test folder is removed");
    assert_eq!(refused.kind(), io::ErrorKind::AddrInUse);
    assert!(lock(&folder).is_err_and(|error| error.kind() == io::ErrorKind::NotFound));
}
