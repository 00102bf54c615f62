use crate::fleet::Fleet;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

/// How long a cut lasts, before it heals by itself.
const CUT_MS: u64 = 4_000;

fn told(words: &[String]) -> Option<SocketAddr> {
    let at = words.iter().position(|word| word == "--address")?;
    words.get(at + 1)?.parse().ok()
}

impl Fleet {
    fn control_at(&self, at: usize) -> Option<SocketAddr> {
        told(self.control.get(at)?.words())
    }

    fn everyone(&self) -> Vec<SocketAddr> {
        self.control.iter().chain(&self.data).filter_map(|process| told(process.words())).collect()
    }

    /// These are out of each other's reach until it heals; fails if there is nothing to cut.
    fn cut(&self, pairs: BTreeSet<(SocketAddr, SocketAddr)>) -> Result<(), String> {
        if pairs.is_empty() {
            return Err("no link to cut".into());
        }
        self.relays.rule(|rules| rules.cut.extend(pairs));
        sleep(Duration::from_millis(CUT_MS));
        self.relays.rule(|rules| {
            rules.cut.clear();
            rules.dark.clear();
        });
        Ok(())
    }

    fn apart(&self, some: &[SocketAddr]) -> BTreeSet<(SocketAddr, SocketAddr)> {
        let others = self.everyone().into_iter().filter(|other| !some.contains(other));
        others
            .flat_map(|other| some.iter().flat_map(move |one| [(*one, other), (other, *one)]))
            .collect()
    }

    /// One core machine and the two others; data nodes reach all three.
    pub fn split_core(&self, at: usize) -> Result<(), String> {
        let core: Vec<SocketAddr> = (0..3).filter_map(|at| self.control_at(at)).collect();
        let one = self.control_at(at).ok_or("no such machine")?;
        let others = core.iter().filter(|other| **other != one);
        self.cut(others.flat_map(|other| [(one, *other), (*other, one)]).collect())
    }

    pub fn cut_control(&self, at: usize) -> Result<(), String> {
        let one = self.control_at(at).ok_or("no such machine")?;
        self.cut(self.apart(&[one]))
    }

    pub fn cut_data(&self, at: usize) -> Result<(), String> {
        let one = told(self.data[at % self.data.len()].words()).ok_or("no such node")?;
        self.cut(self.apart(&[one]))
    }

    pub fn cut_one_way(&self, at: usize) -> Result<(), String> {
        let (one, other) = (self.control_at(at % 3), self.control_at((at + 1) % 3));
        let pair = one.zip(other).ok_or("no such machine")?;
        self.cut([pair].into())
    }

    /// A zone with its core machine, its data nodes and its targets.
    pub fn cut_zone(&self, zone: &str) -> Result<(), String> {
        let mut inside = Vec::new();
        self.relays.rule(|rules| {
            let here = rules.zones.iter().filter(|(_, known)| *known == zone);
            inside.extend(here.map(|(address, _)| *address));
        });
        let rows = self.list.rows.values().filter(|row| row.zone == zone);
        let dark: Vec<SocketAddr> = rows.filter_map(|row| row.address.parse().ok()).collect();
        if dark.is_empty() {
            return Err(format!("zone {zone} has no targets"));
        }
        self.relays.rule(|rules| rules.dark.extend(dark));
        self.cut(self.apart(&inside))
    }

    /// The platform's list in trouble for a while.
    pub fn trouble(&self, word: &str, for_ms: u64) -> Result<(), String> {
        let file = format!("{}/trouble", self.folder);
        std::fs::write(&file, word).map_err(|error| error.to_string())?;
        sleep(Duration::from_millis(for_ms));
        std::fs::write(&file, "").map_err(|error| error.to_string())
    }

    /// A core machine's files may grow no further: as a full disk, for this process alone.
    pub fn fill_disk(&mut self, at: usize) -> Result<(), String> {
        self.control[at].limit_files(0)?;
        for _ in 0..100 {
            sleep(Duration::from_millis(50));
            if self.control[at].has_ended() {
                self.control[at].reap();
                sleep(Duration::from_millis(500));
                return self.control[at].begin();
            }
        }
        Err("the process went on with a full disk".into())
    }

    /// Each core machine in turn comes back empty elsewhere; then a data node starts on old seeds.
    pub fn swap_seeds(&mut self) -> Result<(), String> {
        for at in 0..3 {
            self.empty_control(at)?;
        }
        let old = format!("127.0.0.1:{}", self.first_seed());
        let at = self.data.iter().position(|node| node.words().contains(&old)).unwrap_or(0);
        self.data[at].signal(libc::SIGTERM);
        self.data[at].reap();
        self.data[at].begin()?;
        self.wait_ready(15_000).map(|_| ())
    }

    /// Its machine comes back empty, at a place that none had before.
    pub fn empty_control(&mut self, at: usize) -> Result<(), String> {
        let place = self.next_place;
        for _ in 0..60 {
            if self.three_voters() {
                break;
            }
            sleep(Duration::from_millis(250));
        }
        if !self.three_voters() {
            return Err("three voters are not at hand, no disk is emptied".into());
        }
        self.control[at].kill();
        let folder = format!("{}/control-{at}", self.folder);
        std::fs::remove_dir_all(folder).map_err(|error| error.to_string())?;
        self.next_place += 1;
        let words = self.control_words(at, place)?;
        self.control[at].with_words(words);
        self.control[at].begin()?;
        let own = self.control_at(at).ok_or("no such machine")?;
        for _ in 0..80 {
            sleep(Duration::from_millis(250));
            if self.three_voters() && self.is_voter(own) {
                return Ok(());
            }
        }
        Err("the emptied machine never became a voter".into())
    }

    /// What an operator waits for before touching another core machine.
    fn three_voters(&self) -> bool {
        let members = self.get("/members").map(|(_, text)| text).unwrap_or_default();
        let silent = members
            .split("\"silentMs\":")
            .skip(1)
            .filter_map(|rest| rest.split(',').next()?.parse::<u64>().ok());
        members.matches("\"voter\"").count() == 2 && silent.max().is_some_and(|most| most < 1_000)
    }

    /// Among the members, as itself and not only as one that learns.
    fn is_voter(&self, address: SocketAddr) -> bool {
        let members = self.get("/members").map(|(_, text)| text).unwrap_or_default();
        let row = members.split('{').find(|row| row.contains(&format!("\"{address}\"")));
        row.is_some_and(|row| row.contains("\"voter\"") || row.contains("\"controller\""))
    }

    fn first_seed(&self) -> u16 {
        self.port + 100
    }
}
