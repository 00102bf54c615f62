use super::rig::*;
use postbarrow_state::Settlement;

fn post_with(script: Vec<Script>) -> (String, usize, Vec<Settlement>) {
    let found = ScriptedTarget::start("s-1", "s", script);
    let rig = Rig::new(vec![target("s-1", "s", found.address)], yes);
    let told = rig.post("", "a");
    (told, found.runs(), rig.settled())
}

fn raw(text: &str) -> Script {
    Script::Raw(text.as_bytes().to_vec())
}

#[test]
fn garbage_cut_and_endless_responses_are_unknown_and_never_look_whole() {
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
        let (told, runs, settled) = post_with(vec![raw(text)]);
        assert!(told.starts_with("HTTP/1.1 502"), "{text:?}: {told}");
        assert!(told.contains("Postbarrow-Outcome: unknown"), "{text:?}: {told}");
        assert!(!told.contains("xyz"), "{text:?}: {told}");
        assert_eq!(runs, 1, "{text:?}: a one-time ask went twice");
        assert_eq!(settled, [Settlement::Unknown], "{text:?}");
    }
}

#[test]
fn a_whole_response_is_passed_on_and_settled_as_ran() {
    let (told, runs, settled) = post_with(vec![raw(
        "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    )]);
    assert!(told.starts_with("HTTP/1.1 201 Created"), "{told}");
    assert!(told.contains("Content-Length: 3\r\n") && told.ends_with("\r\n\r\nabc"), "{told}");
    assert_eq!((runs, settled), (1, vec![Settlement::Ran]));
    let (redirect, _, _) = post_with(vec![raw(
        "HTTP/1.1 302 Found\r\nLocation: /post/2\r\nContent-Length: 0\r\n\r\n",
    )]);
    assert!(redirect.starts_with("HTTP/1.1 302"), "redirects are the client's: {redirect}");
    let zipped = "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nxyz";
    let (zipped, _, _) = post_with(vec![raw(zipped)]);
    let header = "content-encoding: gzip";
    assert!(zipped.to_ascii_lowercase().contains(header) && zipped.ends_with("xyz"), "{zipped}");
}

#[test]
fn a_lookup_goes_again_to_another_target_and_a_posting_never() {
    let bad = ScriptedTarget::start("s-1", "s", vec![raw("")]);
    let good = ScriptedTarget::start("s-2", "s", vec![Script::Whole("fine")]);
    let targets = vec![target("s-1", "s", bad.address), target("s-2", "s", good.address)];
    let rig = Rig::new(targets, yes);
    let mut again = 0;
    for _ in 0..12 {
        let before = bad.runs();
        let told = rig.get("/look/1");
        if bad.runs() > before && told.contains("fine") {
            again += 1;
        }
    }
    assert!(again > 0, "no lookup met the bad target first and went again");
    for at in 0..6 {
        let before = (bad.runs(), good.runs());
        let _told = rig.post("", &format!("{at}"));
        assert_eq!(bad.runs() + good.runs(), before.0 + before.1 + 1, "one target only");
    }
}

#[test]
fn a_connection_closed_while_idle_is_found_unsent_and_another_is_proved() {
    let script = vec![Script::WholeThenClose("one"), Script::Whole("two")];
    let found = ScriptedTarget::start("s-1", "s", script);
    let other = ScriptedTarget::start("s-2", "s", vec![Script::Whole("other")]);
    let rig = Rig::new(vec![target("s-1", "s", found.address)], yes);
    assert!(rig.post("", "a").ends_with("one"));
    rig.publish(vec![target("s-1", "s", found.address), target("s-2", "s", other.address)]);
    let told = rig.post("", "b");
    assert!(told.ends_with("two") || told.ends_with("other"), "{told}");
    assert_eq!(found.runs() + other.runs(), 2, "each ran once");
}
