//! Continuations by key, of the questions a process waits on.

/// Continuations by key. A key carries its place's generation, so a late response finds nothing
/// where another ask now waits; and the process's life, so that a response to a question of an
/// earlier life at the same address finds nothing either.
pub struct Slab<T> {
    life: u64,
    places: Vec<Place<T>>,
    free: Vec<u32>,
    count: usize,
}

struct Place<T> {
    generation: u32,
    held: Option<T>,
}

impl<T> Slab<T> {
    /// `life` is drawn at random for each process: its keys begin there.
    pub fn new(life: u64) -> Slab<T> {
        Slab { life, places: Vec::new(), free: Vec::new(), count: 0 }
    }

    /// Keeps a continuation; its key never came before in this life.
    pub fn insert(&mut self, held: T) -> u64 {
        let at = self.free.pop().unwrap_or_else(|| {
            self.places.push(Place { generation: 0, held: None });
            (self.places.len() - 1) as u32
        });
        let place = &mut self.places[at as usize];
        place.generation = place.generation.wrapping_add(1).max(1);
        place.held = Some(held);
        self.count += 1;
        let number = (u64::from(place.generation) << 32) | u64::from(at);
        self.life.wrapping_add(number)
    }

    /// Gives back what was kept under this key, once.
    pub fn take(&mut self, key: u64) -> Option<T> {
        let number = key.wrapping_sub(self.life);
        let (generation, at) = ((number >> 32) as u32, number as u32);
        let place = self.places.get_mut(at as usize)?;
        if place.generation != generation {
            return None;
        }
        let held = place.held.take()?;
        self.free.push(at);
        self.count -= 1;
        Some(held)
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

#[cfg(test)]
mod tests;
