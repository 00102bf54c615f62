//! The JSON bodies of responses to operators, byte for byte.

mod harness;
use harness::*;
use postbarrow_messages::{Request, Response};

fn body(harness: &mut Harness, key: u64, request: Request) -> String {
    harness.request(key, request);
    harness.run_until_idle();
    let Some(Response::Operator { body, .. }) = harness.response(key) else {
        panic!("no response")
    };
    String::from_utf8_lossy(body).into_owned()
}

#[test]
fn operator_response_bodies_are_unchanged_byte_for_byte() {
    let mut harness = Harness::serving();
    let bodies = [
        body(&mut harness, 1, Request::Submit(submission(&plan("v1", None, 1, "catalogue")))),
        body(&mut harness, 2, Request::Submit(submission(&plan("v1", None, 1, "catalogue")))),
        body(&mut harness, 3, Request::Submit(submission(&plan("v2", None, 1, "catalogue")))),
        body(&mut harness, 4, Request::Members),
        body(&mut harness, 5, Request::Targets),
        body(&mut harness, 6, Request::Status),
    ];
    assert_eq!(
        bodies,
        [
            concat!(
                r#"{"version":"v1","inForce":true,"dryRun":false,"beganAt":5,"endedAt":6,"#,
                r#""rehearsal":{"routesAdded":["GET /r0"],"routesRemoved":[],"routesChanged":[],"#,
                r#""servicesAdded":["s"],"servicesRemoved":[],"servicesChanged":[],"#,
                r#""liveTargets":[{"service":"s","liveBefore":0,"liveAfter":1}],"#,
                r#""withoutTarget":[]}}"#,
            ),
            concat!(
                r#"{"version":"v1","inForce":true,"dryRun":false,"beganAt":5,"endedAt":6,"#,
                r#""rehearsal":null}"#,
            ),
            r#"{"error":"the base is not the plan in force","versionInForce":"v1"}"#,
            concat!(
                r#"{"members":[{"id":"0000000000000001","address":"10.1.0.1:1","#,
                r#""role":"controller","silentMs":0,"lagEntries":0}]}"#,
            ),
            concat!(
                r#"{"targets":[{"instance":"catalogue-1","service":"catalogue","#,
                r#""address":"10.4.0.1:80","zone":"","labels":{},"condition":"live","#,
                r#""services":["s"]},{"instance":"ledger-1","service":"ledger","#,
                r#""address":"10.4.0.1:80","zone":"","labels":{},"condition":"live","#,
                r#""services":[]},{"instance":"ledger-2","service":"ledger","#,
                r#""address":"10.4.0.1:80","zone":"","labels":{},"condition":"live","#,
                r#""services":[]}],"listWalkedMsAgo":2000,"listFinding":null,"#,
                r#""leaveBoundMs":2750,"listRefusals":0}"#,
            ),
            concat!(
                r#"{"controller":"10.1.0.1:1","term":1,"logEnd":6,"watermark":6,"#,
                r#""newsWatermark":6,"holdLeftMs":18446744073709497215,"version":"v1","#,
                r#""openTransaction":null,"openMs":null,"longestStallMs":0,"tickets":0,"#,
                r#""openTickets":0,"ticketsMost":306000,"keptBytes":0,"#,
                r#""keptBytesMost":67108864,"unkept":0,"shed":0,"locks":0,"keys":0,"#,
                r#""numbers":0,"revision":0,"historyFloor":0,"nodes":[{"name":"node","#,
                r#""incarnation":"0000000000000005","address":"10.9.9.9:1","#,
                r#""http":"10.9.9.9:1","zone":"a","ready":false,"published":0,"#,
                r#""version":null,"silentMs":2400}]}"#,
            ),
        ]
    );
}
