//! Node records under restarts, pauses and lost responses.

use crate::support::{client, start_platform};
use hemlocktack_platform::{NodeRecords, Publication, RecordChange};
use hemlocktack_protocol::Member;
use hemlocktack_testkit::platform::Switches;
use serde_json::json;

fn member(incarnation: u64, version: u64) -> Member {
    Member {
        node_id: "salt-lake-1".to_owned(),
        incarnation,
        version,
        ..Member::default()
    }
}

/// A node publishes its record, refreshes it, loses a response and leaves.
#[tokio::test]
async fn a_record_follows_its_node() {
    let platform = start_platform().await;
    let records = NodeRecords::new(client(platform.address()));
    for version in 1..=3 {
        platform.set(Switches {
            lose_answers: u32::from(version == 2),
            ..Switches::default()
        });
        let published = records.publish(&member(1, version)).await;
        let change = match version {
            1 => RecordChange::Created,
            _ => RecordChange::Refreshed,
        };
        assert_eq!(published, Ok(Publication::Published(change)));
        let listed = records.list().await.unwrap();
        assert_eq!(listed.nodes[0].member, member(1, version));
    }
    records.withdraw("salt-lake-1").await.unwrap();
    assert!(records.list().await.unwrap().nodes.is_empty());
}

/// A node is replaced while its old process is paused, and the new one has overwritten the record.
/// When the old process resumes, it must not restore its record: other nodes would call its dead
/// addresses.
#[tokio::test]
async fn a_resumed_process_keeps_its_successors_record() {
    let platform = start_platform().await;
    let paused = NodeRecords::new(client(platform.address()));
    let successor = NodeRecords::new(client(platform.address()));
    paused.publish(&member(1, 1)).await.unwrap();
    let published = successor.publish(&member(2, 1)).await;
    let change = RecordChange::ReplacedEarlierStart {
        link_address: member(1, 1).link_address,
    };
    assert_eq!(published, Ok(Publication::Published(change)));
    let woken = paused.publish(&member(1, 2)).await;
    let replaced = Publication::Replaced { by_incarnation: 2 };
    assert_eq!(woken, Ok(replaced));
    assert!(paused.withdraw("salt-lake-1").await.is_err());
    let listed = successor.list().await.unwrap();
    assert_eq!(listed.nodes[0].member, member(2, 1));
}

/// A record that was deleted because its node was presumed dead is published again.
#[tokio::test]
async fn a_deleted_record_is_published_again() {
    let platform = start_platform().await;
    let records = NodeRecords::new(client(platform.address()));
    records.publish(&member(1, 1)).await.unwrap();
    let listed = records.list().await.unwrap();
    records.delete(&listed.nodes[0]).await.unwrap();
    let published = records.publish(&member(1, 2)).await;
    let change = RecordChange::Created;
    assert_eq!(published, Ok(Publication::Published(change)));
}

/// One malformed record does not hide the others.
#[tokio::test]
async fn a_malformed_record_is_reported_and_skipped() {
    let platform = start_platform().await;
    let client = client(platform.address());
    let records = NodeRecords::new(client.clone());
    let junk = json!({ "node_id": 7 });
    client
        .put_conditional("nodes/junk", None, &junk)
        .await
        .unwrap();
    records.publish(&member(1, 1)).await.unwrap();
    let listed = records.list().await.unwrap();
    assert_eq!(listed.nodes.len(), 1);
    assert_eq!(listed.malformed_keys, ["nodes/junk"]);
}

/// Failure: a store that returns from a copy holds the record of a node's earlier start, and the
/// node takes it for that of a later start and stops.
#[tokio::test]
async fn a_record_of_an_earlier_start_is_replaced_at_any_time() {
    let platform = start_platform().await;
    let records = NodeRecords::new(client(platform.address()));
    let other = NodeRecords::new(client(platform.address()));
    let started = |incarnation: u64, start_order: u64| Member {
        start_order,
        ..member(incarnation, 1)
    };
    records.publish(&started(2, 20)).await.unwrap();
    other.publish(&started(1, 10)).await.unwrap();
    let published = records.publish(&started(2, 20)).await;
    let change = RecordChange::ReplacedEarlierStart {
        link_address: String::new(),
    };
    assert_eq!(published, Ok(Publication::Published(change)));
    assert_eq!(
        records.list().await.unwrap().nodes[0].member,
        started(2, 20)
    );
}

/// Failure: a record that another writer has stored under a node's name stays there for ever, or one
/// of a later start is replaced along with it.
#[tokio::test]
async fn only_the_record_of_the_given_incarnation_is_replaced() {
    let platform = start_platform().await;
    let records = NodeRecords::new(client(platform.address()));
    let other = NodeRecords::new(client(platform.address()));
    records.publish(&member(1, 1)).await.unwrap();
    other.publish(&member(9, 1)).await.unwrap();
    let kept = records.publish_over(&member(1, 1), Some(8)).await;
    let replaced = Publication::Replaced { by_incarnation: 9 };
    assert_eq!(kept, Ok(replaced));
    assert_eq!(records.read("salt-lake-1").await, Ok(Some(member(9, 1))));
    records.publish_over(&member(1, 1), Some(9)).await.unwrap();
    assert_eq!(records.read("salt-lake-1").await, Ok(Some(member(1, 1))));
}

/// Failure: a record under one node's name that names another node, or none, sends others to the
/// wrong address.
#[tokio::test]
async fn a_record_under_another_name_is_malformed() {
    let platform = start_platform().await;
    let client = client(platform.address());
    let records = NodeRecords::new(client.clone());
    records.publish(&member(1, 1)).await.unwrap();
    for (key, node_id) in [("nodes/a", "salt-lake-1"), ("nodes/b", "")] {
        let value = json!({ "nodeId": node_id, "incarnation": "7" });
        client.put_conditional(key, None, &value).await.unwrap();
    }
    let listed = records.list().await.unwrap();
    assert_eq!(listed.nodes.len(), 1);
    assert_eq!(listed.malformed_keys, ["nodes/a", "nodes/b"]);
    assert!(listed.is_malformed("a") && !listed.is_malformed("salt-lake-1"));
}
