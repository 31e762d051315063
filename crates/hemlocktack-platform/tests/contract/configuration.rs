//! Accepted means stored: configuration changes under failures of the platform.

use std::sync::Arc;
use std::time::Duration;

use crate::support::{client, kind, start_platform};
use hemlocktack_platform::{Applied, Change, Client, ConfigurationStore, Error, HISTORY_LENGTH};
use hemlocktack_testkit::platform::{Platform, Switches};

const LONG_WAIT: Duration = Duration::from_secs(30);

fn change(id: &str, expected_generation: u64) -> Change {
    Change {
        document: format!("# {id}"),
        expected_generation,
        change_id: id.to_owned(),
        author: "asha".to_owned(),
    }
}

async fn start() -> (Platform, Arc<Client>, ConfigurationStore) {
    let platform = start_platform().await;
    let client = client(platform.address());
    let store = ConfigurationStore::new(client.clone());
    (platform, client, store)
}

fn stored(generation: u64) -> Applied {
    Applied::Stored { generation }
}

#[tokio::test]
async fn changes_follow_each_other() {
    let (_platform, _client, store) = start().await;
    assert_eq!(store.read_newest().await, Ok(None));
    assert_eq!(store.apply(&change("one", 0)).await, Ok(stored(1)));
    assert_eq!(store.apply(&change("two", 1)).await, Ok(stored(2)));
    assert_eq!(store.apply(&change("three", 2)).await, Ok(stored(3)));
    let ids: Vec<String> = store
        .history(10)
        .await
        .unwrap()
        .into_iter()
        .map(|configuration| configuration.change_id)
        .collect();
    assert_eq!(ids, ["three", "two", "one"]);
    let second = store.read(2).await.unwrap().unwrap();
    assert_eq!(second.document, "# two");
    assert_eq!(store.read(9).await, Ok(None));
}

/// An edit based on an older generation would revert the changes made since. It is rejected with
/// the newest generation, and nothing is stored.
#[tokio::test]
async fn an_edit_of_another_generation_is_rejected() {
    let (_platform, _client, store) = start().await;
    store.apply(&change("one", 0)).await.unwrap();
    store.apply(&change("two", 1)).await.unwrap();
    for expected in [0, 1, 7, u64::MAX] {
        let applied = store.apply(&change("late", expected)).await;
        let conflict = Applied::GenerationConflict {
            current_generation: 2,
        };
        assert_eq!(applied, Ok(conflict), "expected generation {expected}");
    }
    let newest = store.read_newest().await.unwrap().unwrap();
    assert_eq!(newest.configuration.change_id, "two");
}

/// The operator's client lost the response and sends the change again, immediately or after other
/// changes. It must be applied only once.
#[tokio::test]
async fn a_repeated_change_is_applied_once() {
    let (_platform, _client, store) = start().await;
    store.apply(&change("one", 0)).await.unwrap();
    store.apply(&change("two", 1)).await.unwrap();
    let already = Applied::AlreadyApplied { generation: 2 };
    assert_eq!(store.apply(&change("two", 1)).await, Ok(already.clone()));
    store.apply(&change("three", 2)).await.unwrap();
    store.apply(&change("four", 3)).await.unwrap();
    assert_eq!(store.apply(&change("two", 1)).await, Ok(already));
    let newest = store.read_newest().await.unwrap().unwrap();
    assert_eq!(newest.configuration.generation, 4);
}

/// A different document with a change id that was already used must not be reported as stored.
#[tokio::test]
async fn a_reused_change_id_is_rejected() {
    let (_platform, _client, store) = start().await;
    store.apply(&change("one", 0)).await.unwrap();
    let other = Change {
        document: "# other".to_owned(),
        ..change("one", 0)
    };
    let reused = Ok(Applied::ChangeIdReused { generation: 1 });
    assert_eq!(store.apply(&other).await, reused);
    assert_eq!(store.apply(&change("one", 1)).await, reused);
}

/// The responses to the copy to the history and to the change itself are lost after they took
/// effect. The change is reported as stored, and it is stored once.
#[tokio::test]
async fn a_lost_response_neither_loses_nor_duplicates_a_change() {
    let (platform, _client, store) = start().await;
    store.apply(&change("one", 0)).await.unwrap();
    for lose_answers in 1..=4 {
        let generation = u64::from(lose_answers);
        platform.set(Switches {
            lose_answers,
            ..Switches::default()
        });
        let change = change(&format!("lost {generation}"), generation);
        assert_eq!(store.apply(&change).await, Ok(stored(generation + 1)));
    }
    let newest = store.read_newest().await.unwrap().unwrap();
    assert_eq!(newest.configuration.generation, 5);
}

/// The platform fails during an apply. The error says that the change may be stored only if that is
/// possible, and the operator sends it again after the outage.
#[tokio::test]
async fn an_apply_during_an_outage_reports_its_effect() {
    let (platform, _client, store) = start().await;
    store.apply(&change("one", 0)).await.unwrap();
    platform.set(Switches {
        down: true,
        ..Switches::default()
    });
    let error = store.apply(&change("two", 1)).await.unwrap_err();
    assert_eq!(kind(&error), "Unavailable, no effect");
    platform.set(Switches::default());
    let applied = loop {
        match store.apply(&change("two", 1)).await {
            Ok(applied) => break applied,
            Err(error) => tokio::time::sleep(error.retry_after().unwrap()).await,
        }
    };
    assert_eq!(applied, stored(2));
}

/// A document over the platform's limit is rejected; nothing is stored.
#[tokio::test]
async fn a_document_over_the_limit_is_rejected() {
    let (_platform, _client, store) = start().await;
    let huge = Change {
        document: "x".repeat(hemlocktack_platform::VALUE_LIMIT_BYTES),
        ..change("huge", 0)
    };
    let error = store.apply(&huge).await.unwrap_err();
    assert_eq!(kind(&error), "TooLarge over 1048576 bytes");
    assert_eq!(store.read_newest().await, Ok(None));
}

/// Operators of six teams apply changes concurrently, each with a client of its own and based on
/// the newest generation it has read. Each generation is accepted from exactly one of them, and no
/// accepted change is missing.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_operators_never_get_the_same_generation() {
    const TEAMS: u64 = 6;
    const CHANGES: u64 = 5;
    let (platform, _client, store) = start().await;
    let mut teams = Vec::new();
    for team in 0..TEAMS {
        let store = ConfigurationStore::new(client(platform.address()));
        teams.push(tokio::spawn(async move {
            let mut won = Vec::new();
            let mut expected = 0;
            while (won.len() as u64) < CHANGES {
                let id = format!("team {team}, change {}", won.len());
                match store.apply(&change(&id, expected)).await {
                    Ok(Applied::Stored { generation }) => {
                        won.push((generation, id));
                        expected = generation;
                    }
                    Ok(Applied::GenerationConflict { current_generation }) => {
                        expected = current_generation;
                    }
                    Ok(other) => panic!("{other:?}"),
                    Err(error) => tokio::time::sleep(error.retry_after().unwrap()).await,
                }
            }
            won
        }));
    }
    let mut accepted = Vec::new();
    for team in teams {
        accepted.extend(team.await.unwrap());
    }
    accepted.sort();
    let generations: Vec<u64> = accepted.iter().map(|(generation, _)| *generation).collect();
    assert_eq!(
        generations,
        (1..=TEAMS * CHANGES).collect::<Vec<u64>>(),
        "each generation accepted once"
    );
    for (generation, id) in accepted {
        let kept = store.read(generation).await.unwrap().unwrap();
        assert_eq!(kept.change_id, id);
    }
}

/// After many changes the history stays bounded and contains the newest ones.
#[tokio::test]
async fn the_history_is_bounded() {
    let (_platform, client, store) = start().await;
    let count = HISTORY_LENGTH + 10;
    for generation in 0..count {
        store
            .apply(&change(&format!("change {generation}"), generation))
            .await
            .unwrap();
    }
    let kept = client.list_keys("configuration/history/").await.unwrap();
    assert_eq!(kept.objects.len() as u64, HISTORY_LENGTH);
    assert!(store.read(count - HISTORY_LENGTH).await.unwrap().is_some());
    assert_eq!(store.read(1).await, Ok(None));
}

/// A watching node learns of a change without polling, and a watch started after a change does not
/// miss it.
#[tokio::test]
async fn a_watch_returns_only_newer_configurations() {
    let (platform, _client, store) = start().await;
    let watching = tokio::spawn({
        let store = store.clone();
        async move { store.watch_newer(0.into(), LONG_WAIT).await }
    });
    while platform.counts().watches == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    store.apply(&change("one", 0)).await.unwrap();
    let seen = watching.await.unwrap().unwrap();
    let first = seen.stored.unwrap();
    assert_eq!(first.configuration.generation, 1);
    store.apply(&change("two", 1)).await.unwrap();
    let seen = store.watch_newer(seen.revision, LONG_WAIT).await.unwrap();
    let second = seen.stored.unwrap();
    assert_eq!(second.configuration.generation, 2);
    let none = store.watch_newer(seen.revision, Duration::from_millis(5));
    assert_eq!(none.await.unwrap().stored, None);
    let unknown_revision = store.watch_newer(u64::MAX.into(), LONG_WAIT).await;
    assert_eq!(unknown_revision, Err(Error::RevisionGone));
    let read_again = store.read_with_revision().await.unwrap();
    assert_eq!(read_again.stored, Some(second));
}

/// Nodes write their records, and the store compacts older revisions. A watch from the
/// configuration's own version then always fails; one from the revision that the read returned
/// works and costs one call.
#[tokio::test]
async fn a_watch_resumes_from_the_revision_of_the_read() {
    let (platform, client, store) = start().await;
    store.apply(&change("one", 0)).await.unwrap();
    let written = client.put_conditional("nodes/a", None, &1.into()).await;
    assert!(written.is_ok());
    platform.set(Switches {
        forgets_revisions: true,
        ..Switches::default()
    });
    let read = store.read_with_revision().await.unwrap();
    let version = read.stored.unwrap().version;
    let stale = store.watch_newer(version, LONG_WAIT).await;
    assert_eq!(stale, Err(Error::RevisionGone));
    let watched = store.watch_newer(read.revision, Duration::from_millis(5));
    assert_eq!(watched.await.unwrap().stored, None);
    let counts = platform.counts();
    assert_eq!((counts.lists, counts.watches), (1, 2));
}
