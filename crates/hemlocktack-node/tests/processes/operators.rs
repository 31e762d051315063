//! Configuration changes: races, lost answers, and the active generation of each node.

use std::time::Duration;

use hemlocktack_testkit::platform::Switches;

use crate::harness::{Fleet, Plan, document_with_comment, wait_until};

const ROUNDS: u64 = 5;
/// Far longer than a watching node needs to receive a change.
const WATCH_TIME: Duration = Duration::from_secs(2);

/// Three operators apply different changes concurrently, each through another node and with the
/// same expected generation. One is accepted; the others are told of the conflict. The accepted one
/// becomes active on every node, and no node returns to an older generation.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_have_one_winner() {
    let fleet = Fleet::start(&[Plan::new("listings", 1), Plan::new("diaries", 2)]).await;
    let mut seen = vec![0; fleet.nodes.len()];
    for round in 1..=ROUNDS {
        let mut teams = Vec::new();
        for team in 0..fleet.nodes.len() {
            let operator = fleet.operator(team, &format!("team {team}"));
            let document = document_with_comment(&format!("round {round}, team {team}"));
            teams.push(tokio::spawn(async move {
                operator.apply(&document, round).await
            }));
        }
        let mut accepted = 0;
        for team in teams {
            let applied = team.await.unwrap();
            match applied.exit_code {
                0 => {
                    accepted += 1;
                    assert_eq!(applied.generation(), Some(round + 1), "{applied:?}");
                }
                code => assert_eq!(code, 1, "{applied:?}"),
            }
        }
        assert_eq!(accepted, 1, "round {round}");
        wait_in_force(&fleet, round + 1, &mut seen).await;
    }
}

/// The platform stores a change but its answer is lost. The operator is told that the change is
/// stored, and repeating the command makes no second change.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_no_second_change() {
    let fleet = Fleet::start(&[Plan::new("diaries", 2)]).await;
    // Nodes write their own records too, so one of theirs may be the answer that is lost.
    let switches = Switches {
        lose_answers: 3,
        ..Switches::default()
    };
    fleet.platform.set_switches(switches).await;
    let operator = fleet.operator(0, "asha");
    let document = document_with_comment("lost");
    let first = operator.apply(&document, 1).await;
    assert_eq!(first.exit_code, 0, "{first:?}");
    assert_eq!(first.generation(), Some(2));
    let again = fleet.operator(1, "asha").apply(&document, 1).await;
    assert_eq!(again.exit_code, 0, "{again:?}");
    assert_eq!(again.generation(), Some(2));
    wait_in_force(&fleet, 2, &mut [0, 0]).await;
}

/// The platform comes back from an outage with an older state: the generation that it stores as
/// current was replaced before. Nodes keep their newer one, and a node that starts afterwards gets
/// it from them.
#[tokio::test(flavor = "multi_thread")]
async fn an_older_document_in_the_platform_is_not_adopted() {
    let plan = Plan::new("diaries", 2);
    let mut fleet = Fleet::start(std::slice::from_ref(&plan)).await;
    let operator = fleet.operator(0, "asha");
    for generation in 1..=2 {
        let document = document_with_comment(&format!("after {generation}"));
        assert_eq!(operator.apply(&document, generation).await.exit_code, 0);
    }
    wait_in_force(&fleet, 3, &mut [0, 0]).await;
    let older = fleet
        .platform
        .object("configuration/history/00000000000000000001")
        .await;
    fleet
        .platform
        .replace("configuration/current", &older)
        .await;
    tokio::time::sleep(WATCH_TIME).await;
    for position in 0..2 {
        assert_eq!(in_force(&fleet, position).await, 3, "node {position}");
    }
    let fresh = fleet.add(&plan, 3);
    let node = &fleet.nodes[fresh];
    wait_until("the fresh node is ready", || node.is_ready()).await;
    wait_in_force(&fleet, 3, &mut [0, 0, 0]).await;
}

/// All errors of an invalid document are reported with their places, nothing is stored, and the
/// active configuration stays.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_document_is_refused_as_a_whole() {
    let fleet = Fleet::start(&[Plan::new("diaries", 1)]).await;
    let faulty = r#"
        [[classes]]
        name = "bookings"
        [[caller_kinds]]
        name = "family"
        patience_ms = 0
        retry_allowance = 2
        [[services]]
        name = "diaries"
        [[services.requests]]
        method = "GET"
        path_prefix = "slots"
        class = "no such class"
        idempotent = true
    "#;
    let stored_before = fleet.platform.configuration_objects().await;
    let url = format!(
        "http://{}/hemlocktack.v1.Operators/ApplyConfiguration",
        fleet.nodes[0].control
    );
    let body = serde_json::json!({
        "document": faulty, "expectedGeneration": "1", "changeId": "faulty", "author": "asha",
    });
    let answer = reqwest::Client::new()
        .post(url)
        .bearer_auth(crate::harness::OPERATOR_TOKEN)
        .json(&body)
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status().as_u16(), 422);
    let error: serde_json::Value = answer.json().await.unwrap();
    let places: Vec<&str> = error["findings"]
        .as_array()
        .unwrap()
        .iter()
        .map(|finding| finding["place"].as_str().unwrap())
        .collect();
    for place in [
        "caller_kinds[0].patience_ms",
        "services[0].requests[0].class",
    ] {
        assert!(places.contains(&place), "{error:#}");
    }
    let stored = fleet.platform.configuration_objects().await;
    assert_eq!(stored, stored_before);
    assert_eq!(in_force(&fleet, 0).await, 1);
}

/// Waits until the generation is active on all nodes; asserts that none returns to an older one.
async fn wait_in_force(fleet: &Fleet, generation: u64, seen: &mut [u64]) {
    for (position, seen) in seen.iter_mut().enumerate() {
        let what = format!("generation {generation} is in force on node {position}");
        let mut newest = *seen;
        let mut reverted = None;
        let deadline = std::time::Instant::now() + crate::harness::WAIT_TIMEOUT;
        while newest < generation {
            assert!(std::time::Instant::now() < deadline, "timed out: {what}");
            let found = in_force(fleet, position).await;
            if found < newest {
                reverted = Some(found);
            }
            newest = newest.max(found);
        }
        assert_eq!(
            reverted, None,
            "node {position} returned to an older generation"
        );
        *seen = newest;
    }
}

/// The active generation of a node, from its metrics.
async fn in_force(fleet: &Fleet, position: usize) -> u64 {
    let name = "hemlocktack_configuration_generation ";
    let generation = fleet.nodes[position].metric(name).await;
    generation.unwrap().parse().unwrap()
}
