//! A fault at one of the controller's writes and syncs in each operation. `simulate --steps`
//! injects it at each of them in turn.

use postbarrow_simulation::{INJECTED_FAULTS, InjectedFault, InjectionPoint, OPERATIONS};

fn inject_into_each_operation(fault: InjectedFault) {
    let fault_index = INJECTED_FAULTS.iter().position(|known| *known == fault).unwrap_or(0) as u64;
    for (operation_index, operation) in OPERATIONS.into_iter().enumerate() {
        let at = [23, 3, 5, 0][operation_index] + [2, 2, 2, 1][operation_index] * fault_index;
        let result = InjectionPoint { seed: 1 + fault_index, operation, fault, at }
            .run()
            .expect("the operation has a write or sync with this number");
        assert!(
            result.violations.is_empty(),
            "{operation:?} {fault:?} at write or sync {at}: {:#?}",
            result.violations
        );
    }
}

#[test]
fn a_controller_killed_at_a_write_breaks_no_guarantee() {
    inject_into_each_operation(InjectedFault::Kill);
}

#[test]
fn a_controller_that_loses_power_at_a_write_breaks_no_guarantee() {
    inject_into_each_operation(InjectedFault::Power);
}

#[test]
fn a_controller_frozen_at_a_write_breaks_no_guarantee() {
    inject_into_each_operation(InjectedFault::Freeze);
}

#[test]
fn a_controller_isolated_at_a_write_breaks_no_guarantee() {
    inject_into_each_operation(InjectedFault::Cut);
}
