//! A fleet whose nodes are separate processes, so that the CPU time and memory of each can be read.
//! The platform is a stand-in, and the upstreams only announce themselves.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use hemlocktack_protocol::{ApplyConfigurationRequest, DrainNodeRequest};
use hemlocktack_testkit::platform::{self, Platform};
use prost::Message;
use tokio::task::JoinHandle;

use crate::sample::{Scrape, scrape};

/// Result type of the example.
pub(crate) type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

const FLEET_KEY: &str = "a fleet key for examples, no secret";
const OPERATOR_TOKEN: &str = "an operator token for examples";
const DATA_CENTRES: usize = 4;
const NODES_PER_SERVICE: usize = 6;
const FIRST_PORT: u16 = 21_000;
const LAST_PORT: u16 = 32_000;
const LOOPBACK: [u8; 4] = [127, 0, 0, 1];
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for any state that the fleet should reach.
const STATE_TIMEOUT: Duration = Duration::from_secs(60);

/// A node process and its addresses, which stay the same over restarts.
pub(crate) struct Node {
    number: usize,
    caller: SocketAddr,
    pub(crate) control: SocketAddr,
    link: SocketAddr,
    gossip: SocketAddr,
    process: Child,
}

/// All nodes and the platform.
pub(crate) struct Fleet {
    pub(crate) platform: Platform,
    pub(crate) nodes: Vec<Node>,
    http: reqwest::Client,
    announcing: JoinHandle<()>,
    seeds: String,
    generation: u64,
    document: String,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.announcing.abort();
        for node in &mut self.nodes {
            // Fails if the process has ended already.
            let _ = node.process.kill();
            let _ = node.process.wait();
        }
    }
}

impl Fleet {
    /// Starts `count` nodes and waits until each knows all others as ready.
    pub(crate) async fn start(count: usize, document: &str) -> Result<Self> {
        let platform = platform::spawn(SocketAddr::from((LOOPBACK, 0))).await?;
        let addresses: Vec<[SocketAddr; 4]> = (0..count)
            .map(|_| free_addresses())
            .collect::<Result<_>>()?;
        let seeds = addresses.iter().take(3).map(|known| known[3].to_string());
        let seeds = seeds.collect::<Vec<_>>().join(",");
        let mut nodes = Vec::new();
        for (number, [caller, control, link, gossip]) in addresses.into_iter().enumerate() {
            nodes.push(Node {
                number,
                caller,
                control,
                link,
                gossip,
                process: spawn(number, [caller, control, link, gossip], &seeds, &platform)?,
            });
        }
        let http = reqwest::Client::new();
        let controls = nodes.iter().map(|node| node.control).collect();
        let announcing = tokio::spawn(announce(http.clone(), controls));
        let mut fleet = Self {
            platform,
            nodes,
            http,
            announcing,
            seeds,
            generation: 0,
            document: document.to_owned(),
        };
        fleet.apply().await?;
        fleet.wait_until_joined().await?;
        Ok(fleet)
    }

    /// Stores a document that differs in a comment through one node; returns its generation.
    pub(crate) async fn apply(&mut self) -> Result<u64> {
        let request = ApplyConfigurationRequest {
            document: format!("{}\n# change {}\n", self.document, self.generation),
            expected_generation: self.generation,
            change_id: format!("change-{}", self.generation),
            author: "control_cost".to_owned(),
        };
        let number = self.generation as usize % self.nodes.len();
        let deadline = Instant::now() + STATE_TIMEOUT;
        while !self
            .command(number, "ApplyConfiguration", request.encode_to_vec())
            .await
        {
            if Instant::now() > deadline {
                return Err("the change was not accepted".into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.generation += 1;
        Ok(self.generation)
    }

    async fn command(&self, number: usize, method: &str, body: Vec<u8>) -> bool {
        let control = self.nodes[number].control;
        let url = format!("http://{control}/hemlocktack.v1.Operators/{method}");
        let sent = self.http.post(url).bearer_auth(OPERATOR_TOKEN);
        let sent = sent.header("content-type", "application/x-protobuf");
        let answer = sent.body(body).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Waits until the generation is active on every node; returns the time taken.
    pub(crate) async fn wait_until_in_force(&self, generation: u64) -> Result<Duration> {
        let started_at = Instant::now();
        let wanted = generation as f64;
        self.wait_for(|scrape| scrape.value("hemlocktack_configuration_generation") >= wanted)
            .await?;
        Ok(started_at.elapsed())
    }

    pub(crate) async fn wait_until_joined(&self) -> Result<()> {
        let wanted = self.nodes.len() as f64;
        let ready = "hemlocktack_members{state=\"ready\"}";
        self.wait_for(|scrape| scrape.value(ready) >= wanted).await
    }

    async fn wait_for(&self, is_reached: impl Fn(&Scrape) -> bool) -> Result<()> {
        let deadline = Instant::now() + STATE_TIMEOUT;
        for node in &self.nodes {
            loop {
                let scraped = scrape(&self.http, node.control).await;
                if scraped.is_some_and(|scraped| is_reached(&scraped)) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(
                        format!("node {} does not reach the expected state", node.number).into(),
                    );
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Drains a node and starts it again at the same addresses.
    pub(crate) async fn restart(&mut self, number: usize) -> Result<()> {
        let request = DrainNodeRequest {
            node_id: node_id(number),
        };
        if !self
            .command(number, "DrainNode", request.encode_to_vec())
            .await
        {
            return Err("the drain was not accepted".into());
        }
        let deadline = Instant::now() + STATE_TIMEOUT;
        while self.nodes[number].process.try_wait()?.is_none() {
            if Instant::now() > deadline {
                return Err("a drained node does not exit".into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let node = &mut self.nodes[number];
        let addresses = [node.caller, node.control, node.link, node.gossip];
        node.process = spawn(number, addresses, &self.seeds, &self.platform)?;
        Ok(())
    }

    /// Reads the metrics of every node and the resource usage of its process.
    pub(crate) async fn scrape_all(&self) -> Result<Vec<Scrape>> {
        let mut scrapes = Vec::new();
        for node in &self.nodes {
            let scraped = scrape(&self.http, node.control).await;
            let mut scraped = scraped.ok_or("a node does not answer with its metrics")?;
            scraped.read_process(node.process.id())?;
            scrapes.push(scraped);
        }
        Ok(scrapes)
    }
}

fn node_id(number: usize) -> String {
    format!("node-{number:03}")
}

fn spawn(
    number: usize,
    [caller, control, link, gossip]: [SocketAddr; 4],
    seeds: &str,
    platform: &Platform,
) -> Result<Child> {
    let flags = [
        ("node", node_id(number)),
        ("service", format!("service-{}", number / NODES_PER_SERVICE)),
        (
            "data-centre",
            format!("data-centre-{}", number % DATA_CENTRES),
        ),
        ("region", format!("region-{}", number % DATA_CENTRES % 2)),
        ("caller-address", caller.to_string()),
        ("control-address", control.to_string()),
        ("link-address", link.to_string()),
        ("gossip-address", gossip.to_string()),
        ("seed-peers", seeds.to_owned()),
        ("platform-url", format!("http://{}", platform.address())),
        ("fleet-key", FLEET_KEY.to_owned()),
        ("operator-token", OPERATOR_TOKEN.to_owned()),
    ];
    let arguments = flags.map(|(flag, value)| format!("--{flag}={value}"));
    let process = Command::new(node_program()?)
        .args(arguments)
        .env("RUST_LOG", "error,rocket=off")
        .stdin(Stdio::null())
        .spawn()?;
    Ok(process)
}

/// `hemlocktackd` of the same build, beside the directory of the examples.
fn node_program() -> Result<PathBuf> {
    let example = std::env::current_exe()?;
    let build = example.parent().and_then(|directory| directory.parent());
    let program = build.ok_or("no build directory")?.join("hemlocktackd");
    match program.is_file() {
        true => Ok(program),
        false => Err("build hemlocktackd first: cargo build --release -p hemlocktack-node".into()),
    }
}

/// Announces an upstream to each node every second.
async fn announce(http: reqwest::Client, controls: Vec<SocketAddr>) {
    let body = r#"{"address": "127.0.0.1:9", "slots": 45, "connections": 360}"#;
    let mut ticks = tokio::time::interval(ANNOUNCE_PERIOD);
    loop {
        ticks.tick().await;
        for control in &controls {
            let url = format!("http://{control}/upstream/announce");
            // A node that is down receives the next announcement.
            let _ = http.post(url).body(body).send().await;
        }
    }
}

/// Returns addresses whose ports are free for TCP and UDP. The ports lie below those that the
/// system assigns to outgoing connections, so that they are still free when a node restarts.
fn free_addresses() -> Result<[SocketAddr; 4]> {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let mut addresses = [SocketAddr::from((LOOPBACK, 0)); 4];
    for address in &mut addresses {
        loop {
            let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
            if port >= LAST_PORT {
                return Err("no free ports left".into());
            }
            *address = SocketAddr::from((LOOPBACK, port));
            if TcpListener::bind(*address).is_ok() && UdpSocket::bind(*address).is_ok() {
                break;
            }
        }
    }
    Ok(addresses)
}
