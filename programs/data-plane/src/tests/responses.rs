//! Tests of responses from targets: relaying, settlement, and retries after a failed response.

use super::rig::*;
use postbarrow_state::Settlement;

fn post_to_scripted_target(script: Vec<Script>) -> (String, usize, Vec<Settlement>) {
    let scripted = ScriptedTarget::start("s-1", "s", script);
    let rig = Rig::new(vec![target("s-1", "s", scripted.address)], grant_all);
    let reply = rig.post("", "a");
    (reply, scripted.runs(), rig.settlements())
}

fn raw_script(text: &str) -> Script {
    Script::Raw(text.as_bytes().to_vec())
}

#[test]
fn malformed_truncated_or_unbounded_response_settles_unknown_and_is_never_relayed() {
    for text in [
        "",
        "\u{16}\u{3} not http\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nxyz",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nxyz",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nxyzuv",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le",
    ] {
        let (reply, runs, settlements) = post_to_scripted_target(vec![raw_script(text)]);
        assert!(reply.starts_with("HTTP/1.1 502"), "{text:?}: {reply}");
        assert!(reply.contains("Postbarrow-Outcome: unknown"), "{text:?}: {reply}");
        assert!(!reply.contains("xyz"), "{text:?}: {reply}");
        assert_eq!(runs, 1, "{text:?}: a one-time request must be sent exactly once");
        assert_eq!(settlements, [Settlement::Unknown], "{text:?}");
    }
}

#[test]
fn complete_response_is_relayed_and_settled_as_ran() {
    let (reply, runs, settlements) = post_to_scripted_target(vec![raw_script(
        "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    )]);
    assert!(reply.starts_with("HTTP/1.1 201 Created"), "{reply}");
    assert!(reply.contains("Content-Length: 3\r\n") && reply.ends_with("\r\n\r\nabc"), "{reply}");
    assert_eq!((runs, settlements), (1, vec![Settlement::Ran]));
    let (redirect, _, _) = post_to_scripted_target(vec![raw_script(
        "HTTP/1.1 302 Found\r\nLocation: /post/2\r\nContent-Length: 0\r\n\r\n",
    )]);
    assert!(
        redirect.starts_with("HTTP/1.1 302"),
        "a redirect must be relayed to the client: {redirect}"
    );
    let zipped = "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nxyz";
    let (zipped, _, _) = post_to_scripted_target(vec![raw_script(zipped)]);
    let header = "content-encoding: gzip";
    assert!(zipped.to_ascii_lowercase().contains(header) && zipped.ends_with("xyz"), "{zipped}");
}

#[test]
fn lookup_is_retried_at_another_target_and_one_time_request_never_is() {
    let failing = ScriptedTarget::start("s-1", "s", vec![raw_script("")]);
    let working = ScriptedTarget::start("s-2", "s", vec![Script::Complete("fine")]);
    let targets = vec![target("s-1", "s", failing.address), target("s-2", "s", working.address)];
    let rig = Rig::new(targets, grant_all);
    let mut retried = 0;
    for _ in 0..12 {
        let before = failing.runs();
        let reply = rig.get("/look/1");
        if failing.runs() > before && reply.contains("fine") {
            retried += 1;
        }
    }
    assert!(retried > 0, "no lookup was sent to the failing target first and retried");
    for index in 0..6 {
        let before = (failing.runs(), working.runs());
        let _reply = rig.post("", &format!("{index}"));
        assert_eq!(
            failing.runs() + working.runs(),
            before.0 + before.1 + 1,
            "a one-time request must be sent to one target only"
        );
    }
}

#[test]
fn connection_closed_while_idle_counts_as_unsent_and_another_is_identified() {
    let script = vec![Script::CompleteThenClose("one"), Script::Complete("two")];
    let scripted = ScriptedTarget::start("s-1", "s", script);
    let other = ScriptedTarget::start("s-2", "s", vec![Script::Complete("other")]);
    let rig = Rig::new(vec![target("s-1", "s", scripted.address)], grant_all);
    assert!(rig.post("", "a").ends_with("one"));
    rig.publish(vec![target("s-1", "s", scripted.address), target("s-2", "s", other.address)]);
    let reply = rig.post("", "b");
    assert!(reply.ends_with("two") || reply.ends_with("other"), "{reply}");
    assert_eq!(scripted.runs() + other.runs(), 2, "each request must run once");
}
