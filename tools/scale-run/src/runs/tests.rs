//! Tests of `runs`.

use super::*;
use gumdrop::Options;

#[test]
fn one_two_three_or_more_control_nodes_begin_one_log_and_grow_to_the_voters_needed() {
    for (control, losses, voters) in [(1, 0, 1), (2, 1, 2), (4, 1, 3), (6, 2, 5), (8, 2, 5)] {
        let (control, losses) = (control.to_string(), losses.to_string());
        let words = ["--control", &control, "--losses", &losses];
        let cli = Cli::parse_args_default(&words).unwrap();
        let mut world = World::new(&cli, 4, 10);
        world.run_until(8_000_000);
        assert_eq!(world.serving(), (4, 4), "{control} control nodes");
        let leader = world.leader().expect("one leads");
        let Body::Control(node) = &world.processes[leader].body else { panic!("no control") };
        assert_eq!(node.consensus().members().len(), voters, "of {control}");
    }
}

#[test]
fn a_small_size_stays_within_what_a_node_may_spend_and_recovers() {
    let cli = Cli::parse_args_default(&["--seconds", "2"]).unwrap();
    let measured = one(&cli, 20, 60, 30);
    assert!(measured.node_bytes_per_s < 5_000.0, "{measured:?}");
    assert_eq!(measured.changed_nodes, 20, "{measured:?}");
    assert!(measured.slowest_ms < 2_000, "{measured:?}");
    assert_eq!(measured.recovered_ms.len(), 4, "{measured:?}");
    let recovered = |ms: &Option<u64>| ms.is_some_and(|ms| ms < 5_000);
    assert!(measured.recovered_ms.iter().all(recovered), "{measured:?}");
}
