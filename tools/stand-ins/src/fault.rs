use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Runs, then closes without a response.
    Lost,
    /// Runs, then sends what is not HTTP.
    Garbage,
    /// Runs, then sends half its response.
    Cut,
    /// Runs, then sends a whole body whose end is only the connection's.
    Endless,
    /// Sends a response without running: a planted lie for the books.
    Lie,
    /// Runs twice: a planted double for the books.
    Double,
}

pub struct Faults {
    per_mille: u64,
    kinds: Vec<Fault>,
    state: AtomicU64,
}

impl Faults {
    pub fn read(kinds: &str, per_mille: u64, seed: u64) -> Result<Self, String> {
        let kinds: Result<Vec<Fault>, String> = kinds
            .split(',')
            .filter(|kind| !kind.is_empty())
            .map(|kind| match kind {
                "lost" => Ok(Fault::Lost),
                "garbage" => Ok(Fault::Garbage),
                "cut" => Ok(Fault::Cut),
                "endless" => Ok(Fault::Endless),
                "lie" => Ok(Fault::Lie),
                "double" => Ok(Fault::Double),
                other => Err(format!("{other} is no fault")),
            })
            .collect();
        Ok(Faults { per_mille, kinds: kinds?, state: AtomicU64::new(seed | 1) })
    }

    pub fn draw(&self) -> Fault {
        let mut drawn = self.state.fetch_add(0x9e37_79b9_7f4a_7c15, Relaxed);
        drawn = (drawn ^ (drawn >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        drawn = (drawn ^ (drawn >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        drawn ^= drawn >> 31;
        if self.kinds.is_empty() || drawn % 1_000 >= self.per_mille {
            return Fault::None;
        }
        self.kinds[(drawn / 1_000) as usize % self.kinds.len()]
    }
}
