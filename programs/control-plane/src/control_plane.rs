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
use postbarrow_transport::{clock_ms, listen, random, spawn_essential};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

/// A running control node.
pub struct ControlPlane {
    commands: Sender<Command>,
    address: SocketAddr,
    http: SocketAddr,
    request_sender: RequestSender,
}

impl ControlPlane {
    /// Starts a control node that uses Postbarrow's own protocols, [`NativeDialect`].
    ///
    /// # Errors
    /// The data folder can't be used, an address can't be bound, or a thread can't be started.
    pub fn start(startup: &Startup) -> io::Result<ControlPlane> {
        ControlPlane::start_with_dialect(startup, Arc::new(NativeDialect))
    }

    /// Starts a control node that uses the given dialect towards operators, applications and the
    /// endpoint list.
    ///
    /// # Errors
    /// The data folder can't be used, an address can't be bound, or a thread can't be started.
    pub fn start_with_dialect(
        startup: &Startup,
        dialect: Arc<dyn Dialect>,
    ) -> io::Result<ControlPlane> {
        let folder = startup.data.clone().ok_or(io::ErrorKind::InvalidInput)?;
        let (storage, recovered) = data_folder::open_folder(&folder, !startup.is_observer)?;
        let (listener, address) = startup.listen()?;
        let this_member = Member { id: storage.id(), address };
        info!(
            "control: starting name={} member={:016x} address={}",
            startup.name, this_member.id, this_member.address
        );
        let (commands, queue) = channel();
        let reservation = (!startup.is_observer).then(|| data_folder::reservation(&startup.bounds));
        let disk = DiskWriter::start(storage, reservation, commands.clone())?;
        let page_requests = endpoint_list_fetcher::start(
            startup.endpoint_list_url.clone().unwrap_or_default(),
            dialect.clone(),
            commands.clone(),
        )?;
        let node = control_node(startup, this_member, recovered);
        let request_sender = RequestSender::new(commands.clone());
        let connections = Connections {
            own_address: this_member.address,
            disk,
            page_requests,
            commands: commands.clone(),
            pending_requests: request_sender.pending_requests(),
            health: request_sender.health().clone(),
        };
        let control_loop = ControlLoop::new(node, connections);
        spawn_essential("control", move || control_loop.run(queue))?;
        let envelopes = commands.clone();
        listen(listener, move |envelope| envelopes.send(Command::Envelope(envelope)).is_ok())?;
        let http =
            listen_for_clients(startup.http, request_sender.clone(), dialect.client_handler())?;
        Ok(ControlPlane { commands, address, http, request_sender })
    }

    /// Replaces the seeds, the addresses of processes through which other members can be found.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        let _ = self.commands.send(Command::Seeds(seeds));
    }

    /// Returns the address at which other postbarrow processes reach this one.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the HTTP address at which operators and applications reach this process.
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Returns the number of client requests that have no response yet.
    pub fn pending_requests(&self) -> usize {
        self.request_sender.pending_requests().load(SeqCst)
    }

    /// Shuts down gracefully: pending requests get their responses, leadership is transferred to
    /// another member, this member's voter seat is given to a learner that has caught up, if there
    /// is one, and the disk's queue is written. The waits for all of these start together. Returns
    /// when they are done, after `SUBMIT_WAIT_MS + LEADERSHIP_TRANSFER_MS` at most.
    pub fn stop(&self) {
        self.request_sender.stop();
        let (sender, ended) = channel();
        if self.commands.send(Command::Stop(sender)).is_ok() {
            let wait = Duration::from_millis(SUBMIT_WAIT_MS + LEADERSHIP_TRANSFER_MS);
            let _ = ended.recv_timeout(wait);
        }
        info!("control: stopped");
    }
}

/// Creates the control node with the settings of this deployment.
fn control_node(startup: &Startup, this_member: Member, recovered: RecoveredState) -> ControlNode {
    let mut node = ControlNode::new(this_member, recovered, &startup.seeds, random(), clock_ms());
    let bounds = &startup.bounds;
    node = node.with_bounds(bounds.list_gap_ms(), bounds.history_ms(), bounds.log_bytes());
    node = node.with_tolerated_losses(bounds.max_losses).with_voter_dead_ms(bounds.voter_dead_ms());
    if let Some(members) = &startup.bootstrap_members {
        node = node.with_bootstrap_members(members);
    }
    if startup.is_observer {
        info!(
            "control: observer without a persistent disk, only forwards requests name={}",
            startup.name
        );
        node = node.as_observer();
    }
    if !startup.may_bootstrap {
        node = node.with_known_log();
    }
    node
}
