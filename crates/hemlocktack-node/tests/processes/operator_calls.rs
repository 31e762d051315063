//! Operator commands through any node: status, drain, configuration.

use serde_json::Value;

use crate::harness::{DOCUMENT, Fleet, OPERATOR_TOKEN, Plan, document_with_comment, wait_until};

/// An operator drains a node through another one, twice. The node refuses new calls and ends by
/// itself with exit code 0; the other one answers every caller meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_is_drained_through_another_one() {
    let mut fleet = Fleet::start(&[Plan::new("diaries", 2)]).await;
    fleet.wait_until_known().await;
    let operator = fleet.operator(0, "asha");
    for _ in 0..2 {
        let drained = operator.run(&["drain", "diaries-2"], "").await;
        let is_gone_already = drained.stderr.contains("node-unreachable");
        assert!(drained.exit_code == 0 || is_gone_already, "{drained:?}");
        let reply = fleet.caller(0).get("diaries/slots", "during").await;
        assert!(reply.is_answered(), "{reply:?}");
    }
    assert_eq!(fleet.nodes[1].process.exit_code().await, Some(0));
    let reply = fleet.caller(0).get("diaries/slots", "after").await;
    assert!(reply.is_answered(), "{reply:?}");
    let unknown = operator.run(&["drain", "diaries-9"], "").await;
    assert_eq!(unknown.exit_code, 1);
    assert!(unknown.stderr.contains("unknown-node"), "{unknown:?}");
}

/// A node is frozen. The status lists it as silent, rather than omitting it or waiting for it, and
/// shows the other nodes.
#[tokio::test(flavor = "multi_thread")]
async fn the_status_names_nodes_that_do_not_answer() {
    let fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 2)]).await;
    fleet.wait_until_known().await;
    fleet.nodes[2].process.signal("STOP");
    let operator = fleet.operator(0, "asha");
    let silent = serde_json::json!(["diaries-2"]);
    // On a busy machine the process keeps running for a moment after the signal.
    wait_until("the status names the frozen node", || async {
        let status = operator.run(&["status"], "").await;
        status.report["silentNodeIds"] == silent
    })
    .await;
    let status = operator.run(&["status"], "").await;
    fleet.nodes[2].process.signal("CONT");
    assert_eq!(status.exit_code, 0, "{status:?}");
    let nodes = status.report["nodes"].as_array().unwrap();
    let generations = nodes.iter().map(|node| &node["generationInForce"]);
    assert_eq!(generations.collect::<Vec<_>>(), ["1", "1"]);
}

/// The status counts calls at the node where they enter, whichever node runs them.
#[tokio::test(flavor = "multi_thread")]
async fn the_status_counts_calls_where_they_enter() {
    let fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 1)]).await;
    fleet.wait_until_known().await;
    let reply = fleet.caller(0).get("nowhere/at-all", "undeclared").await;
    assert_eq!(reply.reason, "unknown-service");
    let reply = fleet.caller(0).get("diaries/slots", "known").await;
    assert!(reply.is_answered(), "{reply:?}");
    let status = fleet.operator(1, "asha").run(&["status"], "").await;
    let nodes = status.report["nodes"].as_array().unwrap();
    let listings = nodes.iter().find(|node| node["nodeId"] == "listings-1");
    let entries = listings.unwrap()["entries"].as_array().unwrap();
    let has = |service: &Value, outcome: &str, reason: &Value| {
        entries.iter().any(|entry| {
            entry["service"] == *service
                && entry["outcome"] == outcome
                && entry["reason"] == *reason
        })
    };
    let unknown_service = Value::from("REASON_UNKNOWN_SERVICE");
    assert!(
        has(&Value::Null, "OUTCOME_NOT_RUN", &unknown_service),
        "{entries:#?}"
    );
    assert!(
        has(&Value::from("diaries"), "OUTCOME_ANSWERED", &Value::Null),
        "{entries:#?}"
    );
}

/// Every generation stays readable, and the active one also during a platform outage. The newest
/// generation is unknown during an outage, so a query for it and changes are refused.
#[tokio::test(flavor = "multi_thread")]
async fn stored_generations_are_shown() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let operator = fleet.operator(0, "asha");
    let second = document_with_comment("second");
    assert_eq!(operator.apply(&second, 1).await.generation(), Some(2));
    let document = |report: &Value| report["configuration"]["document"].clone();
    let newest = operator.run(&["config", "show"], "").await;
    assert_eq!(document(&newest.report), second.as_str());
    let first = operator
        .run(&["config", "show", "--generation", "1"], "")
        .await;
    assert_eq!(document(&first.report), DOCUMENT);
    let missing = operator
        .run(&["config", "show", "--generation", "7"], "")
        .await;
    assert_eq!(missing.exit_code, 1, "{missing:?}");
    let history = operator.run(&["config", "history"], "").await;
    let changes = history.report["changes"].as_array().unwrap();
    let generations = changes.iter().map(|change| &change["generation"]);
    assert_eq!(generations.collect::<Vec<_>>(), ["2", "1"]);
    wait_in_force(&fleet, 2).await;
    fleet.platform.set_down(true).await;
    let in_force = operator
        .run(&["config", "show", "--generation", "2"], "")
        .await;
    assert_eq!(document(&in_force.report), second.as_str());
    let newest = operator.run(&["config", "show"], "").await;
    assert!(newest.stderr.contains("platform-unavailable"), "{newest:?}");
    let refused = operator.apply(DOCUMENT, 2).await;
    assert_eq!(refused.exit_code, 1, "{refused:?}");
}

/// A wrong HTTP method and a body over the limit are refused in the same form as other errors.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_methods_and_bodies_over_the_limit_are_refused() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let control = fleet.nodes[0].control;
    let http = reqwest::Client::new();
    let url = format!("http://{control}/hemlocktack.v1.Operators/CheckConfiguration");
    let document = "#".repeat((2 << 20) + 1);
    let cases = [
        (reqwest::Method::GET, String::new(), 404, "unknown-method"),
        (reqwest::Method::POST, document, 413, "body-too-large"),
    ];
    for (method, body, status, code) in cases {
        let request = http.request(method, &url).bearer_auth(OPERATOR_TOKEN);
        let request = request.header("content-type", "application/json");
        let answer = request.body(body).send().await.unwrap();
        assert_eq!(answer.status().as_u16(), status);
        let error = answer.json::<Value>().await.unwrap();
        assert_eq!(error["code"], code, "{error}");
    }
}

/// An upstream has one slot. Without a queue, a second concurrent call is refused immediately and
/// may be retried; with a queue, it waits and is answered.
#[tokio::test(flavor = "multi_thread")]
async fn the_operators_queue_limit_is_in_force() {
    let slow =
        Plan::new("diaries", 1).with_upstream_flags(&["--slots", "1", "--service-time-ms", "400"]);
    let fleet = Fleet::start(&[slow]).await;
    let operator = fleet.operator(0, "asha");
    let caller = fleet.caller(0);
    let without_queue = DOCUMENT.replace(
        "name = \"diaries\"\n",
        "name = \"diaries\"\nqueue_limit_calls = 0\n",
    );
    for (expected, document, refused_count) in [(1, without_queue.as_str(), 2), (2, DOCUMENT, 0)] {
        let applied = operator.apply(document, expected).await;
        assert_eq!(applied.generation(), Some(expected + 1), "{applied:?}");
        wait_in_force(&fleet, expected + 1).await;
        let replies = futures::future::join_all([
            caller.get("diaries/slots", "one"),
            caller.get("diaries/slots", "two"),
            caller.get("diaries/slots", "three"),
        ])
        .await;
        let refused = replies.iter().filter(|reply| reply.reason == "queue-full");
        assert_eq!(refused.clone().count(), refused_count, "{replies:#?}");
        let may_return = refused.filter(|reply| reply.retry_after.is_some());
        assert_eq!(may_return.count(), refused_count, "{replies:#?}");
        let answered = replies.iter().filter(|reply| reply.is_answered());
        assert_eq!(answered.count(), 3 - refused_count, "{replies:#?}");
    }
}

async fn wait_in_force(fleet: &Fleet, generation: u64) {
    let operator = fleet.operator(0, "asha");
    let what = format!("generation {generation} is in force");
    wait_until(&what, || async {
        let status = operator.run(&["status"], "").await;
        let in_force = &status.report["nodes"][0]["generationInForce"];
        in_force.as_str() == Some(generation.to_string().as_str())
    })
    .await;
}

/// The offline check and the node report identical findings, whether the node checks or applies
/// the document, and nothing is stored.
#[tokio::test(flavor = "multi_thread")]
async fn offline_check_and_node_agree() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let operator = fleet.operator(0, "asha");
    let documents = [
        include_str!("../../../hemlocktack-config/tests/documents/all_wrong.toml"),
        include_str!("../../../hemlocktack-config/tests/documents/wrong_types.toml"),
        "classes = [",
        "",
    ];
    let stored_before = fleet.platform.configuration_objects().await;
    for document in documents {
        let offline = operator.run(&["config", "check", "-"], document).await;
        assert_eq!(offline.exit_code, 2, "{offline:?}");
        let request = serde_json::json!({
            "document": document, "expectedGeneration": "1", "changeId": "c", "author": "asha",
        });
        for method in ["CheckConfiguration", "ApplyConfiguration"] {
            let answer = call(&fleet, method, &request).await;
            assert_eq!(answer["findings"], offline.report["findings"], "{method}");
        }
    }
    let stored = fleet.platform.configuration_objects().await;
    assert_eq!(stored, stored_before);
}

/// Sends one operator call in JSON.
async fn call(fleet: &Fleet, method: &str, request: &Value) -> Value {
    let control = fleet.nodes[0].control;
    let url = format!("http://{control}/hemlocktack.v1.Operators/{method}");
    let http = reqwest::Client::new();
    let answer = http.post(url).bearer_auth(OPERATOR_TOKEN).json(request);
    answer.send().await.unwrap().json().await.unwrap()
}
