//! Calls to an upstream that accepts no connections.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hemlocktack_protocol::{Call, Reason};
use socket2::{Domain, Socket, Type};
use tokio::net::TcpStream;

use super::InterfaceClient;
use crate::interfaces;
use crate::memory::{BodyMemory, BudgetSizes};
use crate::settings::InterfaceName;
use crate::upstream::{Announcement, UpstreamOutcome, UpstreamRequest};

/// Connections that a listener with the smallest backlog holds, with a margin.
const BACKLOG_CONNECTIONS: usize = 8;
/// Less than the limit for opening a connection.
const TIME_LEFT: Duration = Duration::from_millis(100);

/// Returns a listener whose backlog is full, with the connections in it.
async fn full_listener() -> (Socket, SocketAddr, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let mut held = Vec::new();
    for _ in 0..BACKLOG_CONNECTIONS {
        let connecting = TcpStream::connect(address);
        let connected = tokio::time::timeout(Duration::from_millis(50), connecting).await;
        held.extend(connected.ok().and_then(Result::ok));
    }
    (socket, address, held)
}

/// Failure: the upstream hangs and accepts no connection. The deadline ends the attempt to open
/// one, and the call is reported as possibly run although no byte of it left the node.
#[tokio::test]
async fn a_call_without_a_connection_by_its_deadline_has_not_run() {
    let (_listener, address, held) = full_listener().await;
    assert!(held.len() < BACKLOG_CONNECTIONS, "the backlog is not full");
    let interface = interfaces::find(InterfaceName::Cooperative).unwrap();
    let client = InterfaceClient::new(interface.upstreams);
    let announcement = Announcement {
        address,
        slots: 1,
        connections: 1,
        cold: false,
        load_path: None,
        upstream_start: None,
        started_unix_ms: None,
        start_number: 1,
    };
    let call = Call {
        method: "GET".to_owned(),
        path: "/browse/x".to_owned(),
        ..Call::default()
    };
    let request = UpstreamRequest {
        announcement: &announcement,
        call: &call,
        context: "",
        deadline: Instant::now() + TIME_LEFT,
        answer_limit_bytes: 1_024,
        memory: &BodyMemory::new(BudgetSizes::of_budget(1 << 20)),
    };
    let outcome = client.send(&request).await.outcome;
    let is_not_run = matches!(
        outcome,
        UpstreamOutcome::NotRun(Reason::UpstreamUnreachable)
    );
    assert!(is_not_run);
}
