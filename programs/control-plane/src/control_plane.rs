//! Starts and stops the threads of a control node.

use crate::client_listener::listen_for_clients;
use crate::command::Command;
use crate::control_loop::{Connections, ControlLoop};
use crate::disk_writer::DiskWriter;
use crate::{Dialect, NativeDialect, RequestSender, data_folder, endpoint_list_fetcher};
use log::info;
use postbarrow_consensus::{Member, RecoveredState};
use postbarrow_constants::consensus::LEADERSHIP_TRANSFER_MS;
use postbarrow_constants::coordination::SUBMIT_WAIT_MS;
use postbarrow_controller::ControlNode;
use postbarrow_startup::Startup;
use postbarrow_transport::{clock_ms, listen, random};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::Duration;

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
    /// The data folder can't be used, an address can't be bound, or the system refuses a thread.
    pub fn start(startup: &Startup) -> io::Result<ControlPlane> {
        ControlPlane::start_with_dialect(startup, Arc::new(NativeDialect))
    }

    /// Starts a node whose operators, applications and endpoint list speak another dialect.
    ///
    /// # Errors
    /// The data folder can't be used, an address can't be bound, or the system refuses a thread.
    pub fn start_with_dialect(
        startup: &Startup,
        dialect: Arc<dyn Dialect>,
    ) -> io::Result<ControlPlane> {
        let folder = startup.data.clone().ok_or(io::ErrorKind::InvalidInput)?;
        let (storage, recovered) = data_folder::open_folder(&folder, !startup.observer)?;
        let (links, address) = startup.listen()?;
        let own = Member { id: storage.id(), address };
        info!(
            "control: starting name={} member={:016x} address={}",
            startup.name, own.id, own.address
        );
        let (commands, queue) = channel();
        let reservation = (!startup.observer).then(|| data_folder::reservation(&startup.bounds));
        let disk = DiskWriter::start(storage, reservation, commands.clone())?;
        let pages = endpoint_list_fetcher::start(
            startup.endpoint_list_url.clone().unwrap_or_default(),
            dialect.clone(),
            commands.clone(),
        )?;
        let node = control_node(startup, own, recovered);
        let requests = RequestSender::new(commands.clone());
        let connections = Connections {
            own: own.address,
            disk,
            pages,
            commands: commands.clone(),
            pending_requests: requests.pending_requests(),
        };
        let control_loop = ControlLoop::new(node, connections);
        thread::Builder::new().name("control".into()).spawn(move || control_loop.run(queue))?;
        let envelopes = commands.clone();
        listen(links, move |envelope| envelopes.send(Command::Envelope(envelope)).is_ok())?;
        let http = listen_for_clients(startup.http, requests.clone(), dialect.client_handler())?;
        Ok(ControlPlane { commands, address, http, requests })
    }

    /// Replaces the addresses that may lead to other members.
    pub fn seeds(&self, seeds: Vec<SocketAddr>) {
        let _ = self.commands.send(Command::Seeds(seeds));
    }

    /// The address at which other postbarrow processes reach this one.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address at which operators and applications reach this process.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// How many requests of this process's clients have no response yet.
    pub fn pending_requests(&self) -> usize {
        self.requests.pending_requests().load(SeqCst)
    }

    /// Shuts down gracefully: pending requests get their responses, another member leads, a learner
    /// that stands ready gets this member's seat, and the disk's queue is written. All of it starts
    /// at once. Returns when it is done, after `SUBMIT_WAIT_MS + LEADERSHIP_TRANSFER_MS` at most.
    pub fn stop(&self) {
        self.requests.stop();
        let (sender, ended) = channel();
        if self.commands.send(Command::Stop(sender)).is_ok() {
            let wait = Duration::from_millis(SUBMIT_WAIT_MS + LEADERSHIP_TRANSFER_MS);
            let _ = ended.recv_timeout(wait);
        }
        info!("control: stopped");
    }
}

/// The node with the settings of this deployment.
fn control_node(startup: &Startup, own: Member, recovered: RecoveredState) -> ControlNode {
    let mut node = ControlNode::new(own, recovered, &startup.seeds, random(), clock_ms());
    let bounds = &startup.bounds;
    node = node.with_bounds(bounds.list_gap_ms(), bounds.history_ms(), bounds.log_bytes());
    node = node.with_losses(bounds.max_losses).with_voter_dead(bounds.voter_dead_ms());
    if let Some(members) = &startup.bootstrap_members {
        node = node.with_founders(members);
    }
    if startup.observer {
        info!(
            "control: observer without a lasting disk, forwards requests only name={}",
            startup.name
        );
        node = node.as_observer();
    }
    if !startup.may_bootstrap {
        node = node.with_known_log();
    }
    node
}
