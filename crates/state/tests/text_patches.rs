//! Splices of a plan's text.

use postbarrow_constants::plans::TEXT_CHUNK_BYTES;
use postbarrow_state::{Record, State, TextSplice};
use postbarrow_transactions::Image;

/// A generator of reproducible numbers (xorshift).
struct RandomNumbers(u64);

impl RandomNumbers {
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % bound as u64) as usize
    }
}

fn state_of(text: &[u8]) -> State {
    let mut state = State::default();
    for chunk in text.chunks(TEXT_CHUNK_BYTES) {
        state.apply(1, &Record::PlanText(chunk.to_vec()));
    }
    state
}

/// Applies splices byte by byte, without chunks.
fn spliced(text: &[u8], splices: &[TextSplice]) -> Vec<u8> {
    let mut spliced = Vec::new();
    let mut position = 0;
    for splice in splices {
        spliced.extend_from_slice(&text[position..splice.at as usize]);
        spliced.extend_from_slice(&splice.inserted);
        position = (splice.at + splice.removed) as usize;
    }
    spliced.extend_from_slice(&text[position..]);
    spliced
}

/// Returns ascending splices of a text of this length. Half of them keep the text's division into
/// chunks.
fn draw_splices(random: &mut RandomNumbers, text_bytes: usize) -> Vec<TextSplice> {
    let mut splices = Vec::new();
    let mut position = 0;
    for _ in 0..1 + random.below(3) {
        let at = position + random.below(text_bytes - position + 1);
        let removed = random.below((text_bytes - at).min(40_000) + 1);
        let inserted_bytes = match random.below(4) {
            0 => removed,
            1 => removed + TEXT_CHUNK_BYTES * random.below(3),
            2 => random.below(40_000),
            _ => 0,
        };
        let fill = b'A' + random.below(26) as u8;
        let inserted = vec![fill; inserted_bytes].into();
        splices.push(TextSplice { at: at as u64, removed: removed as u64, inserted });
        position = at + removed;
    }
    splices
}

#[test]
fn patched_text_is_divided_like_a_submitted_one() {
    let mut random = RandomNumbers(5);
    let mut text: Vec<u8> = Vec::new();
    let mut state = state_of(&text);
    for step in 0..3_000 {
        let splices = draw_splices(&mut random, text.len());
        text = spliced(&text, &splices);
        state.apply(2, &Record::TextPatch(splices));
        assert_eq!(state, state_of(&text), "step {step}");
        if text.len() > 300_000 {
            text.clear();
            state = state_of(&text);
        }
    }
}

/// Guards against a control loop that stands still for seconds while it applies one large delta:
/// each of its records once copied the complete text.
#[test]
fn a_record_of_a_large_delta_copies_only_the_chunks_that_it_changes() {
    const CHUNKS: usize = 512;
    let mut state = state_of(&vec![b'a'; CHUNKS * TEXT_CHUNK_BYTES + 100]);
    let before = state.plan_text.clone();
    let in_the_middle = (CHUNKS / 2 * TEXT_CHUNK_BYTES + 7) as u64;
    let inserted = vec![b'b'; TEXT_CHUNK_BYTES].into();
    state
        .apply(2, &Record::TextPatch(vec![TextSplice { at: in_the_middle, removed: 0, inserted }]));
    let is_known = |chunk: &&std::sync::Arc<Vec<u8>>| {
        before.iter().any(|known| std::sync::Arc::ptr_eq(known, chunk))
    };
    assert_eq!(state.plan_text.len(), before.len() + 1);
    assert_eq!(state.plan_text.iter().filter(|chunk| !is_known(chunk)).count(), 2);
}
