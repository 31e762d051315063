//! Which connection a request is sent on.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use http::HeaderMap;
use tokio::net::TcpListener;

use super::{Connections, LeasedConnection, lock};

/// Accepts connections and keeps them open.
async fn start_listener() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut accepted = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            accepted.push(stream);
        }
    });
    address
}

async fn lease(
    connections: &Connections,
    address: SocketAddr,
    request_id: &str,
) -> LeasedConnection {
    connections.lease(address, request_id).await.unwrap()
}

/// Returns the connection once it is free, as after an answer.
async fn release(connections: &Connections, mut leased: LeasedConnection) {
    leased.sender.as_mut().unwrap().ready().await.unwrap();
    connections.release(leased, &HeaderMap::new());
}

/// Failure: a rejected request is sent again on its connection, where a late copy of the rejection
/// passes for the second answer.
#[tokio::test]
async fn a_request_is_sent_once_on_a_connection() {
    let address = start_listener().await;
    let connections = Connections::default();
    let first = lease(&connections, address, "a").await;
    let first_task = first.task.id();
    release(&connections, first).await;
    let other = lease(&connections, address, "b").await;
    assert_eq!(other.task.id(), first_task);
    release(&connections, other).await;
    for request_id in ["a", "b"] {
        let again = lease(&connections, address, request_id).await;
        assert!(again.is_fresh, "{request_id}");
    }
}

/// Failure: many requests with one id, or without any, each open a connection, and the upstream
/// runs out of them.
#[tokio::test]
async fn repeated_ids_do_not_add_to_the_idle_connections() {
    let address = start_listener().await;
    let connections = Connections::default();
    let held = lease(&connections, address, "other").await;
    for _ in 0..20 {
        let leased = lease(&connections, address, "").await;
        release(&connections, leased).await;
        assert_eq!(lock(&connections.idle).len(), 1);
    }
    release(&connections, held).await;
    assert_eq!(lock(&connections.idle).len(), 2);
}

/// Failure: the ids of a busy connection fill the memory of its node.
#[tokio::test]
async fn a_connection_is_closed_after_many_requests() {
    let address = start_listener().await;
    let connections = Connections::default();
    let mut opened = 0;
    for number in 0..2_050 {
        let leased = lease(&connections, address, &number.to_string()).await;
        opened += u32::from(leased.is_fresh);
        release(&connections, leased).await;
    }
    assert_eq!(opened, 3);
}
