//! The control plane: one member of the replicated log, its disk, the list's walker, the operator's door.

#![deny(missing_docs)]

pub mod client;
mod core;
mod data_folder;
mod dialect;
mod disk;
mod endpoint_list;
mod listener;
mod operator;
mod rehearsal;
mod request_sender;
mod stopping;

use crate::core::{Command, ControlLoop};
use log::info;
use postbarrow_consensus::Member;
use postbarrow_constants::consensus::LEADERSHIP_TRANSFER_MS;
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

pub use dialect::{Dialect, NativeDialect};
pub use listener::{ClientHandler, ClientRequest, listen_for_clients};
pub use request_sender::RequestSender;

/// A running control node.
pub struct ControlPlane {
    commands: Sender<Command>,
    address: SocketAddr,
    http: SocketAddr,
    requests: RequestSender,
}

impl ControlPlane {
    /// Starts a node that speaks the product's own dialect.
    ///
    /// # Errors
    /// A folder, address or thread is refused.
    pub fn start(startup: &Startup) -> io::Result<ControlPlane> {
        ControlPlane::start_with_dialect(startup, Arc::new(NativeDialect))
    }

    /// The same node for operators, applications and a list that speak another dialect.
    ///
    /// # Errors
    /// A folder, address or thread is refused.
    pub fn start_with_dialect(
        startup: &Startup,
        dialect: Arc<dyn Dialect>,
    ) -> io::Result<ControlPlane> {
        let folder = startup.data.clone().ok_or(io::ErrorKind::InvalidInput)?;
        let (storage, recovered) = data_folder::open_folder(&folder, !startup.observer)?;
        let (links, address) = startup.listen()?;
        let own = Member { id: storage.id(), address };
        info!("control: {} is member {:016x} at {}", startup.name, own.id, own.address);
        let (commands, queue) = channel();
        let reservation = (!startup.observer).then(|| data_folder::reservation(&startup.bounds));
        let writes = disk::start(storage, reservation, commands.clone())?;
        let fetches = endpoint_list::start(
            startup.endpoint_list_url.clone().unwrap_or_default(),
            dialect.clone(),
            commands.clone(),
        )?;
        let mut node = ControlNode::new(own, recovered, &startup.seeds, random(), clock_ms());
        let bounds = &startup.bounds;
        node = node.with_bounds(bounds.list_gap_ms(), bounds.history_ms(), bounds.log_bytes());
        node = node.with_losses(bounds.max_losses).with_voter_dead(bounds.voter_dead_ms());
        if let Some(founders) = &startup.bootstrap_members {
            node = node.with_founders(founders);
        }
        if startup.observer {
            info!("control: {} has no disk that lasts, it only hands questions on", startup.name);
            node = node.as_observer();
        }
        if !startup.may_bootstrap {
            node = node.with_known_log();
        }
        let asker = RequestSender::new(commands.clone());
        let open_requests = asker.pending_requests();
        let core =
            ControlLoop::new(node, own.address, writes, fetches, commands.clone(), open_requests);
        thread::Builder::new().name("control".into()).spawn(move || core.run(queue))?;
        let hand = commands.clone();
        listen(links, move |envelope| hand.send(Command::Envelope(envelope)).is_ok())?;
        let http = listen_for_clients(startup.http, asker.clone(), dialect.client_handler())?;
        Ok(ControlPlane { commands, address, http, requests: asker })
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
    pub fn pending_requests(&self) -> usize {
        self.requests.pending_requests().load(SeqCst)
    }

    /// Operators get their answers, another controller leads, a learner that stands ready has this
    /// one's seat, the disk's queue is done: then it ends. All of it begins at once.
    pub fn stop(&self) {
        self.requests.stop();
        let (done, ended) = channel();
        if self.commands.send(Command::Stop(done)).is_ok() {
            let _ =
                ended.recv_timeout(Duration::from_millis(SUBMIT_WAIT_MS + LEADERSHIP_TRANSFER_MS));
        }
        info!("control: ends");
    }
}
