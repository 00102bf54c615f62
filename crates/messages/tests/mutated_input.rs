//! Tests of mutated frames, plans, endpoint-list pages, slots and logs. Reading them gives a valid
//! value or an error (for a plan, with the path of the invalid field), never a panic, and doesn't
//! use more memory than the input's size justifies.

use postbarrow_consensus::{Entry, HardState, Payload, Write};
use postbarrow_constants::traffic::FRAME_BYTES;
use postbarrow_messages::*;
use postbarrow_simulation::{Random, SimDisk};
use postbarrow_storage::{Disk, LOG_FILES, OpenResult, SLOT_FILES, Storage, open};

fn mutate(random: &mut Random, bytes: &[u8]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for _ in 0..=random.below(4) {
        let length = bytes.len() as u64;
        match random.below(5) {
            0 if length > 0 => bytes[random.below(length) as usize] = random.draw() as u8,
            1 if length > 0 => bytes.truncate(random.below(length) as usize),
            2 => bytes.insert(random.below(length + 1) as usize, random.draw() as u8),
            3 if length > 0 => {
                let (from, to) = (random.below(length) as usize, random.below(length) as usize);
                let run = bytes[from.min(to)..from.max(to)].to_vec();
                bytes.extend(run);
            }
            _ if length > 0 => bytes[random.below(length) as usize] ^= 1 << random.below(8),
            _ => {}
        }
    }
    bytes
}

fn frame() -> Vec<u8> {
    let entries = vec![Entry { term: 3, index: 9, payload: Payload::Batch(vec![1; 60]) }];
    let append = postbarrow_consensus::AppendRequest {
        term: 3,
        prev_index: 8,
        prev_term: 2,
        entries,
        commit_index: 7,
        sent_ms: 1_000,
    };
    let from = postbarrow_consensus::Member { id: 1, address: "10.0.0.1:1".parse().unwrap() };
    let message = postbarrow_consensus::Message::Append(append);
    let message = Message::Consensus { from, to: 2, message };
    to_frame(&Envelope { from: from.address, message }).unwrap()
}

#[test]
fn mutated_frames_are_read_or_rejected() {
    let intact = frame();
    assert!(read_frame(&mut &intact[..]).is_ok());
    let (mut accepted, mut rejected) = (0, 0);
    for seed in 0..20_000 {
        let mutated = mutate(&mut Random::new(seed), &intact);
        match read_frame(&mut &mutated[..]) {
            Ok(_) => accepted += 1,
            Err(error) => {
                assert!(!error.to_string().is_empty());
                rejected += 1;
            }
        }
    }
    assert!(rejected > 5_000 && accepted > 100, "{accepted} accepted, {rejected} rejected");
    let mut too_large = (FRAME_BYTES as u32 + 1).to_be_bytes().to_vec();
    too_large.extend([0; 10]);
    assert!(matches!(read_frame(&mut &too_large[..]), Err(FrameError::TooLarge { .. })));
    let length_without_content = (FRAME_BYTES as u32).to_be_bytes();
    assert!(matches!(read_frame(&mut &length_without_content[..]), Err(FrameError::Closed)));
}

const PLAN: &str = r#"{"version": "v1", "base": null,
 "services": {"s": {"labels": {"service": "s"}}},
 "routes": [{"path": "/a/{b}/*", "methods": ["GET"], "kind": "lookup", "service": "s",
   "when": "headers['x'] == 'y' || path.startsWith('/a')", "limits": {"bodyBytes": 10, "deadlineMs": 100}}]}"#;

#[test]
fn mutated_plans_are_read_or_rejected_with_a_field_path() {
    let mut rejected = 0;
    for seed in 0..3_000 {
        let mutated = mutate(&mut Random::new(seed), PLAN.as_bytes());
        if let Err(findings) = postbarrow_plan::Plan::read(&mutated) {
            assert!(findings.findings.iter().all(|finding| finding.field_path.starts_with('$')));
            rejected += 1;
        }
    }
    assert!(rejected > 1_000, "{rejected} rejected");
    let deeply_nested = "[".repeat(100_000);
    assert!(postbarrow_plan::Plan::read(deeply_nested.as_bytes()).is_err());
}

#[test]
fn mutated_endpoint_list_pages_are_read_or_rejected() {
    let page = br#"{"targets":[{"instance":"a","service":"s","address":"10.0.0.1:1","zone":"z","labels":{"l":"v"},"draining":true}],"next":"1"}"#;
    assert!(postbarrow_controller::read_page(page).is_ok());
    let mut rejected = 0;
    for seed in 0..5_000 {
        let mutated = mutate(&mut Random::new(seed), page);
        rejected += u32::from(postbarrow_controller::read_page(&mutated).is_err());
    }
    assert!(rejected > 1_000, "{rejected} rejected");
}

#[test]
fn mutated_slots_and_logs_are_recovered_in_order_or_reported_as_damage() {
    let mut opened = [0; 3];
    for seed in 0..1_500 {
        let mut random = Random::new(seed);
        let mut disk = SimDisk::default();
        let mut storage = Storage::create(disk.clone(), 9).unwrap();
        for index in 1..=6 {
            let entry = Entry { term: 1, index, payload: Payload::Batch(vec![index as u8; 30]) };
            let hard = HardState { term: 1, voted_for: Some(3) };
            storage.apply(vec![Write::HardState(hard), Write::Append(vec![entry])]).unwrap();
        }
        let file =
            [SLOT_FILES[0], SLOT_FILES[1], LOG_FILES[0], LOG_FILES[1]][random.below(4) as usize];
        let mutated = mutate(&mut random, &disk.read(file).unwrap());
        disk.truncate(file, 0).unwrap();
        disk.write(file, 0, &mutated).unwrap();
        match open(disk).unwrap() {
            OpenResult::Recovered { recovered, .. } => {
                let indexes: Vec<u64> = recovered.entries.iter().map(|entry| entry.index).collect();
                assert_eq!(indexes, (1..=indexes.len() as u64).collect::<Vec<_>>(), "seed {seed}");
                opened[0] += 1;
            }
            OpenResult::Empty(_) => opened[1] += 1,
            OpenResult::Damaged { damage, .. } => {
                assert!(!damage.to_string().is_empty());
                opened[2] += 1;
            }
        }
    }
    assert!(opened[0] > 100 && opened[2] > 100, "recovered, empty, damaged: {opened:?}");
}
