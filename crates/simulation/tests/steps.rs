//! A fault at one of the controller's writes and syncs; `simulate --steps` takes each in turn.

use postbarrow_simulation::{INJECTED_FAULTS, InjectedFault, InjectionPoint, OPERATIONS};

fn inject_into_each_operation(fault: InjectedFault) {
    let index = INJECTED_FAULTS.iter().position(|known| *known == fault).unwrap_or(0) as u64;
    for (turn, operation) in OPERATIONS.into_iter().enumerate() {
        let at = [23, 3, 5, 0][turn] + [2, 2, 2, 1][turn] * index;
        let result = InjectionPoint { seed: 1 + index, operation, fault, at }
            .run()
            .expect("there is such a step");
        assert!(
            result.violations.is_empty(),
            "{operation:?} {fault:?} {at}: {:#?}",
            result.violations
        );
    }
}

#[test]
fn a_controller_is_killed_at_a_write() {
    inject_into_each_operation(InjectedFault::Kill);
}

#[test]
fn a_controller_loses_power_at_a_write() {
    inject_into_each_operation(InjectedFault::Power);
}

#[test]
fn a_controller_freezes_at_a_write() {
    inject_into_each_operation(InjectedFault::Freeze);
}

#[test]
fn a_controller_is_isolated_at_a_write() {
    inject_into_each_operation(InjectedFault::Cut);
}
