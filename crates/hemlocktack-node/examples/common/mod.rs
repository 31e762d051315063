//! A small fleet in one process: a platform stand-in, and instances of an upstream and a node.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::{Duration, Instant};

use hemlocktack_protocol::{ApplyConfigurationRequest, ApplyConfigurationResponse};
use hemlocktack_testkit::platform::{self, Platform};
use hemlocktack_testkit::upstream::{self, ChildCall, Settings, Upstream};
use prost::Message;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Result type of the examples.
pub(crate) type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

const FLEET_KEY: &str = "a fleet key for examples, no secret";
const OPERATOR_TOKEN: &str = "an operator token for examples";
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const LOOPBACK: [u8; 4] = [127, 0, 0, 1];

/// One upstream and its child call.
pub(crate) struct Member {
    pub(crate) service: &'static str,
    pub(crate) data_centre: &'static str,
    pub(crate) slots: u32,
    pub(crate) service_time_ms: u64,
    /// Child call that the upstream makes for each call, such as `GET diaries/slots`.
    pub(crate) child_call: Option<&'static str>,
}

/// One running node and its upstream.
pub(crate) struct RunningNode {
    pub(crate) caller_address: SocketAddr,
    pub(crate) control_address: SocketAddr,
    #[allow(dead_code, reason = "not every example uses it")]
    pub(crate) upstream: Upstream,
    task: JoinHandle<std::result::Result<(), String>>,
}

/// A running fleet; [`Fleet::stop`] stops it gracefully.
pub(crate) struct Fleet {
    #[allow(dead_code, reason = "not every example uses it")]
    pub(crate) platform: Platform,
    pub(crate) nodes: Vec<RunningNode>,
    stop: watch::Sender<bool>,
}

impl Fleet {
    /// Starts everything on free loopback ports and applies the configuration.
    pub(crate) async fn start(members: &[Member], document: &str) -> Result<Self> {
        let errors_only = tracing_subscriber::EnvFilter::new("error,rocket=off");
        let _ = tracing_subscriber::fmt()
            .with_env_filter(errors_only)
            .with_writer(std::io::stderr)
            .try_init();
        let platform = platform::spawn(SocketAddr::from((LOOPBACK, 0))).await?;
        let stop = watch::Sender::new(false);
        let seed = free_address()?;
        let mut nodes = Vec::new();
        for (index, member) in members.iter().enumerate() {
            let gossip_address = if index == 0 { seed } else { free_address()? };
            nodes.push(start_node(index, member, gossip_address, seed, &platform, &stop).await?);
        }
        let fleet = Self {
            platform,
            nodes,
            stop,
        };
        fleet.apply(document).await?;
        fleet.wait_until_ready(members).await?;
        Ok(fleet)
    }

    /// Stores the first configuration through a node, as an operator does.
    async fn apply(&self, document: &str) -> Result<()> {
        let request = ApplyConfigurationRequest {
            document: document.to_owned(),
            change_id: "first".to_owned(),
            author: "example".to_owned(),
            ..ApplyConfigurationRequest::default()
        };
        let control_address = self.nodes[0].control_address;
        let url = format!("http://{control_address}/hemlocktack.v1.Operators/ApplyConfiguration");
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let sent = reqwest::Client::new()
                .post(&url)
                .bearer_auth(OPERATOR_TOKEN)
                .header("content-type", "application/x-protobuf")
                .body(request.encode_to_vec())
                .send()
                .await;
            match sent {
                Ok(answer) if answer.status().is_success() => {
                    ApplyConfigurationResponse::decode(answer.bytes().await?)?;
                    return Ok(());
                }
                Ok(answer) if Instant::now() > deadline => return Err(answer.text().await?.into()),
                Err(error) if Instant::now() > deadline => return Err(error.into()),
                _ => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Waits until a call through each node is answered by every service.
    async fn wait_until_ready(&self, members: &[Member]) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for node in &self.nodes {
            for member in members {
                let url = format!("http://{}/{}/ready", node.caller_address, member.service);
                while !is_answered(&url).await {
                    if Instant::now() > deadline {
                        return Err(format!("no answer from {url}").into());
                    }
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
        }
        Ok(())
    }

    /// Stops all nodes gracefully.
    pub(crate) async fn stop(self) -> Result<()> {
        self.stop.send_replace(true);
        for node in self.nodes {
            node.task.await??;
        }
        Ok(())
    }
}

async fn is_answered(url: &str) -> bool {
    match reqwest::get(url).await {
        Ok(answer) => answer
            .headers()
            .get("hemlocktack-outcome")
            .is_some_and(|outcome| outcome == "answered"),
        Err(_) => false,
    }
}

async fn start_node(
    index: usize,
    member: &Member,
    gossip_address: SocketAddr,
    seed: SocketAddr,
    platform: &Platform,
    stop: &watch::Sender<bool>,
) -> Result<RunningNode> {
    let caller_address = free_address()?;
    let control_address = free_address()?;
    let link_address = free_address()?;
    let flags = [
        ("node", format!("{}-{index}", member.service)),
        ("service", member.service.to_owned()),
        ("data-centre", member.data_centre.to_owned()),
        ("caller-address", caller_address.to_string()),
        ("control-address", control_address.to_string()),
        ("link-address", link_address.to_string()),
        ("gossip-address", gossip_address.to_string()),
        ("seed-peers", seed.to_string()),
        ("platform-url", format!("http://{}", platform.address())),
        ("fleet-key", FLEET_KEY.to_owned()),
        ("operator-token", OPERATOR_TOKEN.to_owned()),
    ];
    let arguments: Vec<String> = flags
        .iter()
        .map(|(flag, value)| format!("--{flag}={value}"))
        .collect();
    let mut stop_signal = stop.subscribe();
    let task = tokio::spawn(async move {
        let stopped = async move {
            let _ = stop_signal.wait_for(|is_stopped| *is_stopped).await;
        };
        hemlocktack_node::run_until(&arguments, stopped).await
    });
    let upstream = start_upstream(member, control_address, caller_address).await?;
    Ok(RunningNode {
        caller_address,
        control_address,
        upstream,
        task,
    })
}

async fn start_upstream(
    member: &Member,
    control: SocketAddr,
    callers: SocketAddr,
) -> Result<Upstream> {
    let mut settings = Settings::new(member.service);
    settings.node_control = Some(control);
    settings.node_callers = Some(callers);
    settings.slots = member.slots;
    settings.connections = member.slots * 8;
    settings.switches.service_time_ms = member.service_time_ms;
    if let Some(child_call) = member.child_call {
        let call: ChildCall = child_call
            .parse()
            .map_err(|error| format!("{child_call}: {error}"))?;
        settings.child_calls.push(call);
    }
    Ok(upstream::spawn(settings).await?)
}

/// Returns an address whose port is free for TCP and UDP; another process may still take it.
fn free_address() -> Result<SocketAddr> {
    loop {
        let listener = TcpListener::bind(SocketAddr::from((LOOPBACK, 0)))?;
        let address = listener.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}
