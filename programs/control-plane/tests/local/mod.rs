//! Processes of a test on this machine: their settings and folders.
#![allow(dead_code)]

use postbarrow_startup::{Bounds, Startup};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Settings with ports that the system chooses, and no log.
pub fn startup(name: &str, seeds: Vec<SocketAddr>, data: Option<PathBuf>) -> Startup {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    Startup {
        name: name.into(),
        zone: "a".into(),
        address: any,
        bind: None,
        http: any,
        readiness: None,
        seeds,
        data,
        may_bootstrap: true,
        observer: false,
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
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}
