//! Starts and stops a Rocket server owned by a test.

use std::collections::HashSet;
use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use rocket::config::{LogLevel, Shutdown as ShutdownConfig};
use rocket::fairing::AdHoc;
use rocket::http::Method;
use rocket::route::Handler;
use rocket::{Config, Route};
use tokio::sync::oneshot;

/// Result of starting a stand-in.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a stand-in did not start.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The address cannot be listened on.
    #[display("cannot listen: {_0}")]
    Listen(std::io::Error),
    /// The server ended before it listened.
    #[display("the server ended before it listened on {address}")]
    #[from(skip)]
    Ended {
        /// Address that was requested.
        address: SocketAddr,
    },
}

const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Patch,
    Method::Head,
    Method::Options,
];

/// A running server, stopped when dropped.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    shutdown: rocket::Shutdown,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
    }
}

/// Serves all paths and the usual methods with one handler.
pub(crate) async fn serve<H: Handler + Clone>(address: SocketAddr, handler: H) -> Result<Server> {
    let (bound, listening) = oneshot::channel();
    let report = AdHoc::on_liftoff("report address", move |rocket| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        Box::pin(async move {
            let _ = bound.send(address);
        })
    });
    let rocket = rocket::custom(config(address))
        .mount("/", routes(handler))
        .attach(report)
        .ignite()
        .await
        .map_err(|_| Error::Ended { address })?;
    let shutdown = rocket.shutdown();
    tokio::spawn(rocket.launch());
    let address = listening.await.map_err(|_| Error::Ended { address })?;
    Ok(Server { address, shutdown })
}

fn routes<H: Handler + Clone>(handler: H) -> Vec<Route> {
    METHODS
        .into_iter()
        .map(|method| Route::new(method, "/<path..>", handler.clone()))
        .collect()
}

fn config(address: SocketAddr) -> Config {
    Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: HashSet::new(),
            grace: 0,
            mercy: 0,
            ..ShutdownConfig::default()
        },
        ..Config::debug_default()
    }
}
