//! The controller is struck at one of its writes and syncs; `simulate --steps` takes each in turn.

use postbarrow_simulation::{HOWS, How, Step, WHATS};

fn strike(how: How) {
    let place = HOWS.iter().position(|known| *known == how).unwrap_or(0) as u64;
    for (turn, what) in WHATS.into_iter().enumerate() {
        let at = [23, 3, 5, 0][turn] + [2, 2, 2, 1][turn] * place;
        let ended = Step { seed: 1 + place, what, how, at }.run().expect("there is such a step");
        assert!(ended.violations.is_empty(), "{what:?} {how:?} {at}: {:#?}", ended.violations);
    }
}

#[test]
fn a_controller_is_killed_at_a_step() {
    strike(How::Kill);
}

#[test]
fn a_controller_loses_power_at_a_step() {
    strike(How::Power);
}

#[test]
fn a_controller_freezes_at_a_step() {
    strike(How::Freeze);
}

#[test]
fn a_controller_is_cut_off_at_a_step() {
    strike(How::Cut);
}
