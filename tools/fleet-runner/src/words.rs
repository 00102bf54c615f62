use crate::fleet::Fleet;
use crate::spec::ZONES;
use std::net::SocketAddr;

/// From the port that others are told to the one a process listens at.
pub const BOUND: u16 = 6_000;

pub fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Where each process stands, in the words of its command line.
impl Fleet {
    /// Two of the first three core machines, which may be gone, and a data node that a fault
    /// does not take together with the one that starts.
    pub fn seeds(&self, at: usize) -> String {
        let count = self.spec.data_nodes;
        let other = self.port + 200 + ((at + count / 2) % count) as u16;
        let seeds = [self.port + 100, self.port + 101, other];
        let words = seeds.iter().map(|port| format!("--seed 127.0.0.1:{port}"));
        words.collect::<Vec<_>>().join(" ")
    }

    /// `place` names the port, so that a machine can come back at another address.
    pub fn control_words(&mut self, at: usize, place: u16) -> Result<Vec<String>, String> {
        let (address, http) = (self.port + 100 + place, self.port + 150 + place);
        self.relay(address, ZONES[at % ZONES.len()])?;
        let text = format!(
            "run --name control-{at} --zone {} --address 127.0.0.1:{address} --bind 127.0.0.1:{} --http 127.0.0.1:{http} --data {}/control-{at} --list http://127.0.0.1:{}/targets {}",
            ZONES[at % ZONES.len()],
            address + BOUND,
            self.folder,
            self.port,
            self.seeds(at)
        );
        Ok(text.split(' ').map(str::to_string).collect())
    }

    pub fn relay(&mut self, port: u16, zone: &str) -> Result<(), String> {
        if !self.relayed.insert(port) {
            return Ok(());
        }
        let relayed = self.relays.frames(local(port), local(port + BOUND), zone);
        relayed.map_err(|error| format!("relay {port}: {error}"))
    }
}
