//! The stand-ins of platform and upstream as processes, controlled over HTTP.

use std::net::SocketAddr;

use hemlocktack_testkit::{platform, upstream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::process::{Process, example_program};
use super::{next_address, wait_until};

/// The stand-in for the platform.
pub(crate) struct PlatformProcess {
    pub(crate) address: SocketAddr,
    _process: Process,
}

impl PlatformProcess {
    pub(crate) async fn start() -> PlatformProcess {
        let address = next_address();
        let arguments = ["--address".to_owned(), address.to_string()];
        let process = Process::start("platform", &example_program("platform"), &arguments);
        wait_until("the platform listens", || is_listening(address)).await;
        PlatformProcess {
            address,
            _process: process,
        }
    }

    pub(crate) async fn set_switches(&self, switches: platform::Switches) {
        put_switches(self.address, &switches).await;
    }

    pub(crate) async fn set_down(&self, down: bool) {
        let switches = platform::Switches {
            down,
            ..platform::Switches::default()
        };
        self.set_switches(switches).await;
    }

    /// Value of an object.
    pub(crate) async fn object(&self, key: &str) -> Value {
        let object = read::<Value>(self.address, &format!("objects/{key}")).await;
        object.unwrap()["value"].take()
    }

    /// Keys, versions and values of all stored configuration objects. Nodes write their own records
    /// at any time, so a count of all writes would not show the effect of one command.
    pub(crate) async fn configuration_objects(&self) -> Value {
        let listing = read::<Value>(self.address, "objects?prefix=configuration/").await;
        listing.unwrap()["objects"].take()
    }

    /// Replaces an object's value, whatever its present version.
    pub(crate) async fn replace(&self, key: &str, value: &Value) {
        let object: Value = read(self.address, &format!("objects/{key}")).await.unwrap();
        let url = format!(
            "http://{}/objects/{key}?expected-version={}",
            self.address, object["version"]
        );
        let request = reqwest::Client::new().put(url).json(value);
        assert!(request.send().await.unwrap().status().is_success());
    }
}

/// The stand-in for an upstream.
pub(crate) struct UpstreamProcess {
    pub(crate) address: SocketAddr,
    arguments: Vec<String>,
    pub(crate) process: Process,
}

impl UpstreamProcess {
    /// Starts the example with these arguments and a free address.
    pub(crate) fn start(mut arguments: Vec<String>) -> UpstreamProcess {
        let address = next_address();
        arguments.extend(["--address".to_owned(), address.to_string()]);
        let process = Process::start("upstream", &example_program("upstream"), &arguments);
        UpstreamProcess {
            address,
            arguments,
            process,
        }
    }

    /// Restarts it at the same address, as a supervisor does after a crash.
    pub(crate) fn restart(&mut self) {
        self.process.kill();
        self.process = Process::start("upstream", &example_program("upstream"), &self.arguments);
    }

    pub(crate) async fn set_switches(&self, switches: upstream::Switches) {
        put_switches(self.address, &switches).await;
    }

    /// Sets the time that each of its calls takes from now on.
    pub(crate) async fn set_service_time_ms(&self, service_time_ms: u64) {
        let switches = upstream::Switches {
            service_time_ms,
            ..upstream::Switches::default()
        };
        self.set_switches(switches).await;
    }

    pub(crate) async fn counts(&self) -> upstream::Counts {
        self.try_counts().await.unwrap()
    }

    pub(crate) async fn try_counts(&self) -> Option<upstream::Counts> {
        read(self.address, "counts").await
    }

    /// Tells its node that it is leaving.
    pub(crate) async fn drain(&self) {
        let url = format!("http://{}/drain", self.address);
        let answer = reqwest::Client::new().post(url).send().await.unwrap();
        assert!(answer.status().is_success());
    }
}

async fn is_listening(address: SocketAddr) -> bool {
    tokio::net::TcpStream::connect(address).await.is_ok()
}

async fn put_switches(address: SocketAddr, switches: &impl Serialize) {
    let url = format!("http://{address}/switches");
    let request = reqwest::Client::new().put(url).json(switches);
    assert!(request.send().await.unwrap().status().is_success());
}

async fn read<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    let answer = reqwest::get(format!("http://{address}/{path}"))
        .await
        .ok()?;
    answer.json().await.ok()
}
