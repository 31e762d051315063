//! How the client reports each failure of the platform.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use crate::support::{client, kind, settings, start_platform};
use hemlocktack_platform::{Client, ClientSettings, Result, StoreRevision, VALUE_LIMIT_BYTES};
use hemlocktack_testkit::Relay;
use hemlocktack_testkit::platform::Switches;
use serde_json::{Value, json};

const SLOW_MS: u64 = 60_000;
const WAIT: Duration = Duration::from_millis(20);

struct Fault {
    name: &'static str,
    switches: Switches,
}

fn faults() -> Vec<Fault> {
    let fault = |name, switches| Fault { name, switches };
    vec![
        fault("none", Switches::default()),
        fault(
            "down",
            Switches {
                down: true,
                ..Switches::default()
            },
        ),
        fault(
            "slow",
            Switches {
                slow_ms: SLOW_MS,
                ..Switches::default()
            },
        ),
        fault(
            "write answered by nothing",
            Switches {
                lose_answers: 1,
                ..Switches::default()
            },
        ),
        fault(
            "malformed",
            Switches {
                malformed: true,
                ..Switches::default()
            },
        ),
        fault(
            "watch dropped",
            Switches {
                drop_watches: true,
                ..Switches::default()
            },
        ),
    ]
}

const OPERATIONS: [&str; 8] = [
    "get",
    "get missing",
    "list",
    "watch",
    "put",
    "put, other version",
    "delete",
    "delete missing",
];

async fn run(client: &Client, operation: &str, version: StoreRevision) -> Result<String> {
    let value = json!({ "new": true });
    match operation {
        "get" => client.get("a/1").await.map(|object| format!("{object:?}")),
        "get missing" => client.get("a/9").await.map(|object| format!("{object:?}")),
        "list" => client.list("a/").await.map(|list| format!("{list:?}")),
        "watch" => {
            let watched = client.watch("a/", version, WAIT).await;
            watched.map(|watched| format!("{watched:?}"))
        }
        "put" => {
            let version = client.put_conditional("a/1", Some(version), &value).await;
            version.map(|version| format!("version {version}"))
        }
        "put, other version" => {
            let other = StoreRevision {
                number: version.number + 7,
                ..version
            };
            let version = client.put_conditional("a/1", Some(other), &value).await;
            version.map(|version| format!("version {version}"))
        }
        "delete" => client.delete("a/1", version).await.map(|()| "done".into()),
        _ => client.delete("a/9", version).await.map(|()| "done".into()),
    }
}

/// Tabulates the result of every call under every failure, and what is stored afterwards. The error
/// of a write whose response is lost, late or malformed must say that the write may have taken
/// effect; the error of a version conflict must not.
#[tokio::test]
async fn each_failure_is_reported_with_its_effect() {
    let mut table = String::new();
    for fault in faults() {
        writeln!(table, "platform: {}", fault.name).unwrap();
        for operation in OPERATIONS {
            let platform = start_platform().await;
            let before = client(platform.address());
            let version = before
                .put_conditional("a/1", None, &json!({}))
                .await
                .unwrap();
            platform.set(fault.switches.clone());
            let seen = run(&client(platform.address()), operation, version).await;
            platform.set(Switches::default());
            let stored = before.get("a/1").await.unwrap();
            let stored = stored.map(|object| object.value.to_string());
            let seen = seen.unwrap_or_else(|error| kind(&error));
            let stored = stored.unwrap_or_else(|| "nothing".to_owned());
            writeln!(table, "  {operation}: {seen}; stored after it: {stored}").unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

/// Nothing listens on the platform's address, so a write certainly had no effect.
#[tokio::test]
async fn a_refused_connection_had_no_effect() {
    let gone = start_platform().await;
    let relay = Relay::spawn(SocketAddr::from(([127, 0, 0, 1], 0)), gone.address())
        .await
        .unwrap();
    let address = relay.address;
    drop(relay);
    // The relay's listener closes only when its task has ended.
    while tokio::net::TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let error = client(address)
        .put_conditional("a/1", None, &json!({}))
        .await
        .unwrap_err();
    assert_eq!(kind(&error), "Unavailable, no effect");
}

/// The connection breaks while a watch waits. The watch fails at once, and the next watch from the
/// old revision returns a change made in between.
#[tokio::test]
async fn a_cut_watch_loses_no_change() {
    let platform = start_platform().await;
    let relay = Relay::spawn(SocketAddr::from(([127, 0, 0, 1], 0)), platform.address())
        .await
        .unwrap();
    let near = client(platform.address());
    let far = client(relay.address);
    let watching = tokio::spawn({
        let far = far.clone();
        async move {
            far.watch("a/", StoreRevision::default(), Duration::from_secs(30))
                .await
        }
    });
    while platform.counts().watches == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    relay.cut();
    let error = watching.await.unwrap().unwrap_err();
    assert_eq!(kind(&error), "Unavailable, no effect");
    near.put_conditional("a/1", None, &json!(1)).await.unwrap();
    relay.restore();
    let watched = loop {
        match far
            .watch("a/", StoreRevision::default(), Duration::from_secs(30))
            .await
        {
            Ok(watched) => break watched,
            Err(error) => tokio::time::sleep(error.retry_after().unwrap()).await,
        }
    };
    assert_eq!(watched.objects[0].value, json!(1));
}

/// A watch from a revision that the store does not know must fail and not wait forever.
#[tokio::test]
async fn a_watch_from_an_unknown_revision_fails() {
    let platform = start_platform().await;
    let client = client(platform.address());
    let error = client.watch("a/", 99.into(), WAIT).await.unwrap_err();
    assert_eq!(kind(&error), "RevisionGone");
}

/// The client rejects an oversized value itself, with the same error as the platform.
#[tokio::test]
async fn a_value_over_the_limit_is_refused_before_it_is_sent() {
    let platform = start_platform().await;
    let client = client(platform.address());
    let quotes = 2;
    let largest = Value::String("x".repeat(VALUE_LIMIT_BYTES - quotes));
    client.put_conditional("a/1", None, &largest).await.unwrap();
    let larger = Value::String("x".repeat(VALUE_LIMIT_BYTES - quotes + 1));
    let error = client
        .put_conditional("a/2", None, &larger)
        .await
        .unwrap_err();
    assert_eq!(kind(&error), "TooLarge over 1048576 bytes");
    assert_eq!(platform.counts().puts, 1);
}

/// Another server on the platform's address answers 404 to everything. That must not count as
/// "there is no configuration", or a node would run without one.
#[tokio::test]
async fn a_404_from_another_server_is_malformed() {
    let platform = start_platform().await;
    let elsewhere = ClientSettings {
        base_url: format!("http://{}/elsewhere", platform.address()),
        ..settings(platform.address())
    };
    let client = Client::new(elsewhere).unwrap();
    let error = client.get("a/1").await.unwrap_err();
    assert_eq!(kind(&error), "Malformed, no effect");
    let bad = Client::new(ClientSettings::new("no address"));
    assert_eq!(kind(&bad.unwrap_err()), "BadAddress");
}

/// The response to the first write is lost after it took effect. The write is sent again, conflicts
/// with its own success, and is confirmed by reading the object back.
#[tokio::test]
async fn a_lost_response_is_resolved_by_reading_back() {
    let platform = start_platform().await;
    let client = client(platform.address());
    platform.set(Switches {
        lose_answers: 1,
        ..Switches::default()
    });
    let version = client.put_confirmed("a/1", None, &json!("mine")).await;
    assert_eq!(version, Ok(1.into()));
    assert_eq!(platform.counts().puts, 2);
    assert_eq!(platform.counts().conflicts, 1);
}

/// No response can be read. After a bounded number of attempts the error says that the value may be
/// stored.
#[tokio::test]
async fn an_unresolved_write_reports_a_possible_effect() {
    let platform = start_platform().await;
    let client = client(platform.address());
    platform.set(Switches {
        malformed: true,
        ..Switches::default()
    });
    let error = client
        .put_confirmed("a/1", None, &json!("mine"))
        .await
        .unwrap_err();
    assert_eq!(kind(&error), "Malformed, effect possible");
    assert_eq!(platform.counts().puts, 5);
}
