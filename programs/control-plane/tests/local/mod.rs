//! Settings and folders of the processes that a test starts on this machine.
#![allow(dead_code)]

use postbarrow_startup::{Bounds, Startup};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Returns settings with ports that the system chooses, and with logging switched off.
pub fn startup(name: &str, seeds: Vec<SocketAddr>, data: Option<PathBuf>) -> Startup {
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("the address parses");
    Startup {
        name: name.into(),
        zone: "a".into(),
        address: any_port,
        bind: None,
        http: any_port,
        readiness: None,
        seeds,
        data,
        may_bootstrap: true,
        is_observer: false,
        bootstrap_members: None,
        endpoint_list_url: None,
        log: None,
        level: log::LevelFilter::Off,
        bounds: Bounds::default(),
    }
}

pub fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the folder is created");
    folder
}
