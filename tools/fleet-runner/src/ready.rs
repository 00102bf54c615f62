use crate::fleet::Fleet;
use std::time::{Duration, Instant};

impl Fleet {
    /// What each node says of itself: ready, and the version it serves.
    pub fn nodes(&self) -> Vec<Option<(bool, String)>> {
        let ask = |line: &String| {
            let address = line.split(' ').nth(1)?;
            let request = self.agent.get(format!("http://{address}/ready"));
            let request = request.config().timeout_global(Some(Duration::from_millis(500)));
            let mut response = request.build().call().ok()?;
            let text = response.body_mut().read_to_string().ok()?;
            Some((response.status() == 200, text))
        };
        std::thread::scope(|scope| {
            let asked: Vec<_> =
                self.zones.iter().map(|line| scope.spawn(move || ask(line))).collect();
            asked.into_iter().map(|one| one.join().unwrap_or(None)).collect()
        })
    }

    pub fn wait_ready(&self, most_ms: u128) -> Result<u128, String> {
        let start = Instant::now();
        loop {
            let ready = self.nodes().iter().flatten().filter(|(ready, _)| *ready).count();
            if ready == self.zones.len() {
                return Ok(start.elapsed().as_millis());
            }
            if start.elapsed().as_millis() > most_ms {
                return Err(format!("{ready} of {} nodes are ready", self.zones.len()));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}
