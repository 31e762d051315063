//! A store that comes back from a copy and gives its revisions out again.

use std::time::Duration;

use crate::support::{client, kind, start_platform};
use hemlocktack_platform::{Client, NodeRecords, Publication, RecordChange, StoreRevision};
use hemlocktack_protocol::Member;
use hemlocktack_testkit::platform::Platform;
use serde_json::json;

const LONG_WAIT: Duration = Duration::from_secs(30);
const SHORT_WAIT: Duration = Duration::from_millis(20);

async fn write(client: &Client, key: &str, value: u32) -> StoreRevision {
    client
        .put_confirmed(key, None, &json!(value))
        .await
        .unwrap()
}

/// Starts a store that names its era.
async fn start_store() -> Platform {
    let store = start_platform().await;
    store.set_era(Some("1"));
    store
}

/// Guards against a watch that goes on from a revision of the era before: it would wait for the
/// next write, although the revision now stands for another content.
#[tokio::test]
async fn a_watch_does_not_continue_in_another_era() {
    let store = start_store().await;
    let client = client(store.address());
    let copy = store.copy();
    let before = write(&client, "a/1", 1).await;
    store.return_from(&copy, "2");
    let after = write(&client, "a/1", 2).await;
    assert_eq!(before.number, after.number);
    assert_ne!(before, after);
    let error = client.watch("a/", before, SHORT_WAIT).await.unwrap_err();
    assert_eq!(kind(&error), "RevisionGone");
    let listing = client.list("a/").await.unwrap();
    assert_eq!(
        (listing.revision, &listing.objects[0].value),
        (after, &json!(2))
    );
}

/// Guards against a watch that is answered with what happened after the return, and so skips what
/// was lost or written again before.
#[tokio::test]
async fn a_watch_that_waited_over_the_return_is_not_used() {
    let store = start_store().await;
    let client = client(store.address());
    let before = write(&client, "a/1", 1).await;
    let copy = store.copy();
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.watch("a/", before, LONG_WAIT).await }
    });
    while store.counts().watches == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    store.return_from(&copy, "2");
    let writer = crate::support::client(store.address());
    write(&writer, "a/2", 2).await;
    let error = waiting.await.unwrap().unwrap_err();
    assert_eq!(kind(&error), "RevisionGone");
}

/// Guards against a conditional write with a revision from before the return, which would replace
/// what the number stands for now. `is_idle` is a client that has not seen the new era yet.
#[tokio::test]
async fn a_version_from_before_the_return_replaces_and_deletes_nothing() {
    for is_idle in [false, true] {
        let store = start_store().await;
        let client = client(store.address());
        let copy = store.copy();
        let before = write(&client, "a/1", 1).await;
        store.return_from(&copy, "2");
        let writer = crate::support::client(store.address());
        let other = write(&writer, "a/1", 2).await;
        assert_eq!(before.number, other.number);
        match is_idle {
            // As long as a node that calls nothing but its own record twice an hour.
            true => tokio::time::sleep(Duration::from_millis(600)).await,
            false => drop(client.list("a/").await),
        }
        let put = client.put_confirmed("a/1", Some(before), &json!(3)).await;
        assert_eq!(kind(&put.unwrap_err()), "EraEnded, no effect");
        let deleted = client.delete("a/1", before).await;
        assert_eq!(kind(&deleted.unwrap_err()), "EraEnded, no effect");
        let stored = writer.get("a/1").await.unwrap().unwrap();
        assert_eq!((stored.version, stored.value), (other, json!(2)));
    }
}

/// Guards against a node that relies on a record which the store has lost.
#[tokio::test]
async fn a_record_that_the_return_lost_is_published_again() {
    let store = start_store().await;
    let client = client(store.address());
    let records = NodeRecords::new(client.clone());
    let member = Member {
        node_id: "salt-lake-1".to_owned(),
        incarnation: 1,
        ..Member::default()
    };
    let copy = store.copy();
    records.publish(&member).await.unwrap();
    store.return_from(&copy, "2");
    let _ = client.list("a/").await;
    let published = records.publish(&member).await;
    let created = Publication::Published(RecordChange::Created);
    assert_eq!(published, Ok(created));
    assert_eq!(records.list().await.unwrap().nodes[0].member, member);
}

/// Guards against headers that name no era or a smaller one being taken for the same era.
#[tokio::test]
async fn a_doubtful_era_is_read_again() {
    for doubtful in [
        None,
        Some(""),
        Some("seven"),
        Some("-1"),
        Some("4"),
        Some("99999999999999999999"),
    ] {
        let store = start_store().await;
        store.set_era(Some("5"));
        let client = client(store.address());
        let mut known = write(&client, "a/1", 1).await;
        store.set_era(doubtful);
        for answer in 1..=2 {
            let watched = client.watch("a/", known, SHORT_WAIT).await;
            assert_eq!(kind(&watched.unwrap_err()), "RevisionGone", "{doubtful:?}");
            let seen = client.eras().seen();
            assert!(seen.changes >= answer, "{doubtful:?}");
            assert!(seen.doubtful_changes > 0, "{doubtful:?}");
            known = client.list("a/").await.unwrap().revision;
            if known.era.is_some() {
                break;
            }
        }
        store.set_era(Some("6"));
        let watched = client.watch("a/", known, SHORT_WAIT).await;
        assert_eq!(kind(&watched.unwrap_err()), "RevisionGone", "{doubtful:?}");
        let listed = client.list("a/").await.unwrap();
        let watched = client.watch("a/", listed.revision, SHORT_WAIT).await;
        assert!(watched.is_ok(), "{doubtful:?}");
    }
}
