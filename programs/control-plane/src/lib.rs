//! The control plane: one member of the replicated log, its disk, the list's walker, the operator's door.

#![deny(missing_docs)]

mod asker;
pub mod client;
mod core;
mod dialect;
mod disk;
mod door;
mod list;
mod opening;
mod operator;
mod rehearse;
mod stopping;

use crate::core::{Command, Core};
use log::info;
use postbarrow_consensus::Member;
use postbarrow_constants::consensus::HAND_OVER_MS;
use postbarrow_constants::coordination::SUBMIT_WAIT_MS;
use postbarrow_controller::ControlNode;
use postbarrow_startup::Startup;
use postbarrow_transport::listen;
pub use postbarrow_transport::{clock_ms, random};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::Duration;

pub use asker::Asker;
pub use dialect::{Dialect, Own};
pub use door::{CallerRequest, Callers, open_door};

/// A running control node.
pub struct ControlPlane {
    commands: Sender<Command>,
    address: SocketAddr,
    http: SocketAddr,
    asker: Asker,
}

impl ControlPlane {
    /// Starts a node that speaks the product's own dialect.
    ///
    /// # Errors
    /// A folder, address or thread is refused.
    pub fn start(startup: &Startup) -> io::Result<ControlPlane> {
        ControlPlane::speaking(startup, Arc::new(Own))
    }

    /// The same node for operators, applications and a list that speak another dialect.
    ///
    /// # Errors
    /// A folder, address or thread is refused.
    pub fn speaking(startup: &Startup, dialect: Arc<dyn Dialect>) -> io::Result<ControlPlane> {
        let folder = startup.data.clone().ok_or(io::ErrorKind::InvalidInput)?;
        let (storage, recovered) = opening::open_folder(&folder, !startup.guest)?;
        let (links, address) = startup.listen()?;
        let own = Member { id: storage.id(), address };
        info!("control: {} is member {:016x} at {}", startup.name, own.id, own.address);
        let (commands, queue) = channel();
        let reservation = (!startup.guest).then(|| opening::reservation(&startup.bounds));
        let writes = disk::start(storage, reservation, commands.clone())?;
        let fetches = list::start(
            startup.list.clone().unwrap_or_default(),
            dialect.clone(),
            commands.clone(),
        )?;
        let mut node = ControlNode::new(own, recovered, &startup.seeds, random(), clock_ms());
        let bounds = &startup.bounds;
        node = node.with_bounds(bounds.list_gap_ms(), bounds.history_ms(), bounds.log_bytes());
        node = node.with_losses(bounds.losses).with_voter_dead(bounds.voter_dead_ms());
        if let Some(founders) = &startup.founders {
            node = node.with_founders(founders);
        }
        if startup.guest {
            info!("control: {} has no disk that lasts, it only hands questions on", startup.name);
            node = node.as_guest();
        }
        if !startup.first {
            node = node.with_known_log();
        }
        let asker = Asker::new(commands.clone());
        let open_requests = asker.open_requests();
        let core = Core::new(node, own.address, writes, fetches, commands.clone(), open_requests);
        thread::Builder::new().name("control".into()).spawn(move || core.run(queue))?;
        let hand = commands.clone();
        listen(links, move |envelope| hand.send(Command::Envelope(envelope)).is_ok())?;
        let http = open_door(startup.http, asker.clone(), dialect.callers())?;
        Ok(ControlPlane { commands, address, http, asker })
    }

    /// Other addresses that may lead to the other members.
    pub fn seeds(&self, seeds: Vec<SocketAddr>) {
        let _ = self.commands.send(Command::Seeds(seeds));
    }

    /// Where other postbarrow processes reach this one.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where operators reach this one.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Requests at its door that have no answer yet.
    pub fn open_requests(&self) -> usize {
        self.asker.open_requests().load(SeqCst)
    }

    /// Operators get their answers, another controller leads, a learner that stands ready has this
    /// one's seat, the disk's queue is done: then it ends. All of it begins at once.
    pub fn stop(&self) {
        self.asker.stop();
        let (done, ended) = channel();
        if self.commands.send(Command::Stop(done)).is_ok() {
            let _ = ended.recv_timeout(Duration::from_millis(SUBMIT_WAIT_MS + HAND_OVER_MS));
        }
        info!("control: ends");
    }
}
