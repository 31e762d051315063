//! An upstream that immediately answers with the body of the request.
//!
//! The testkit stand-in waits on a timer with a resolution of a millisecond, which would hide the
//! cost that is measured here.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use rocket::config::{LogLevel, Shutdown};
use rocket::data::ToByteUnit;
use rocket::fairing::AdHoc;
use rocket::{Config, Data, post, routes};
use tokio::sync::oneshot;

use crate::common::Result;

const RENEWAL_INTERVAL: Duration = Duration::from_millis(900);
const BODY_LIMIT_MIB: u64 = 1;

/// Starts it on a free port and announces it to its node.
pub(crate) async fn start(node_control: SocketAddr) -> Result<SocketAddr> {
    let (bound, listening) = oneshot::channel();
    let report = AdHoc::on_liftoff("report address", move |rocket| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        Box::pin(async move {
            let _ = bound.send(address);
        })
    });
    let shutdown = Shutdown {
        ctrlc: false,
        signals: HashSet::new(),
        ..Shutdown::default()
    };
    let config = Config {
        port: 0,
        log_level: LogLevel::Off,
        shutdown,
        ..Config::release_default()
    };
    tokio::spawn(
        rocket::custom(config)
            .mount("/", routes![echo])
            .attach(report)
            .launch(),
    );
    let address = listening.await?;
    tokio::spawn(announce(address, node_control));
    // The node uses the latest announcement; it has received one after two intervals.
    tokio::time::sleep(2 * RENEWAL_INTERVAL).await;
    Ok(address)
}

#[post("/echo", data = "<data>")]
async fn echo(data: Data<'_>) -> std::io::Result<Vec<u8>> {
    Ok(data
        .open(BODY_LIMIT_MIB.mebibytes())
        .into_bytes()
        .await?
        .into_inner())
}

async fn announce(address: SocketAddr, node_control: SocketAddr) {
    let client = reqwest::Client::new();
    let body =
        serde_json::json!({ "address": address, "slots": 64, "connections": 512 }).to_string();
    loop {
        let url = format!("http://{node_control}/upstream/announce");
        let _ = client.post(url).body(body.clone()).send().await;
        tokio::time::sleep(RENEWAL_INTERVAL).await;
    }
}
