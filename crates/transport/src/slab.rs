/// Continuations by key. A key carries its place's generation, so a late response finds nothing
/// where another ask now waits.
pub struct Slab<T> {
    places: Vec<Place<T>>,
    free: Vec<u32>,
    count: usize,
    first: u32,
}

struct Place<T> {
    generation: u32,
    held: Option<T>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab::starting_at(0)
    }
}

impl<T> Slab<T> {
    /// Begins with this generation. A process that draws it finds nothing by the keys of the
    /// process that stood at its address before, whose responses may still be under way.
    pub fn starting_at(first: u32) -> Self {
        Slab { places: Vec::new(), free: Vec::new(), count: 0, first }
    }

    pub fn insert(&mut self, held: T) -> u64 {
        let at = self.free.pop().unwrap_or_else(|| {
            self.places.push(Place { generation: self.first, held: None });
            (self.places.len() - 1) as u32
        });
        let place = &mut self.places[at as usize];
        place.generation = place.generation.wrapping_add(1).max(1);
        place.held = Some(held);
        self.count += 1;
        (u64::from(place.generation) << 32) | u64::from(at)
    }

    pub fn take(&mut self, key: u64) -> Option<T> {
        let (generation, at) = ((key >> 32) as u32, key as u32);
        let place = self.places.get_mut(at as usize)?;
        if place.generation != generation {
            return None;
        }
        let held = place.held.take()?;
        self.free.push(at);
        self.count -= 1;
        Some(held)
    }

    pub fn len(&self) -> usize {
        self.count
    }
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

#[cfg(test)]
mod tests;
