//! One instance: a `hemlocktackd` and its upstream.

use std::net::SocketAddr;

use hemlocktack_testkit::Relay;

use super::process::{Process, node_program};
use super::{UpstreamProcess, next_address};

/// Fleet key of all nodes of a test.
pub(crate) const FLEET_KEY: &str = "a fleet key for tests, long enough for a node";
/// Token of operator calls.
pub(crate) const OPERATOR_TOKEN: &str = "operators-token-for-tests";

/// Options that differ between nodes.
#[derive(Clone, Debug)]
pub(crate) struct NodeOptions {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) data_centre: String,
    pub(crate) platform: SocketAddr,
    /// Gossip addresses of nodes to join through.
    pub(crate) seed_peers: Vec<SocketAddr>,
    /// Key to sign with.
    pub(crate) fleet_key: String,
    /// Another key to accept.
    pub(crate) previous_fleet_key: Option<String>,
    /// Whether links to it go through a relay that the test controls.
    pub(crate) is_relayed: bool,
    /// Additional flags of the node.
    pub(crate) flags: Vec<String>,
    /// Additional flags of its upstream.
    pub(crate) upstream_flags: Vec<String>,
}

/// One instance: a node and its upstream.
pub(crate) struct Node {
    pub(crate) options: NodeOptions,
    pub(crate) callers: SocketAddr,
    pub(crate) control: SocketAddr,
    /// Link address for the other nodes: its own, or that of its relay.
    pub(crate) link: SocketAddr,
    pub(crate) relay: Option<Relay>,
    link_listen: SocketAddr,
    pub(crate) gossip: SocketAddr,
    pub(crate) process: Process,
    pub(crate) upstream: UpstreamProcess,
}

impl Node {
    pub(crate) fn start(options: NodeOptions) -> Node {
        Node::start_at(options, next_address(), next_address())
    }

    /// Starts a node at the link and gossip addresses of a former one that other nodes still know.
    pub(crate) fn start_in_place_of(former: &Node, options: NodeOptions) -> Node {
        Node::start_at(options, former.link, former.gossip)
    }

    fn start_at(options: NodeOptions, link: SocketAddr, gossip: SocketAddr) -> Node {
        let callers = next_address();
        let control = next_address();
        let link_listen = match options.is_relayed {
            true => next_address(),
            false => link,
        };
        let flags = [
            ("node", options.id.clone()),
            ("service", options.service.clone()),
            ("data-centre", options.data_centre.clone()),
            ("caller-address", callers.to_string()),
            ("control-address", control.to_string()),
            ("link-address", link.to_string()),
            ("link-listen-address", link_listen.to_string()),
            ("gossip-address", gossip.to_string()),
            ("platform-url", format!("http://{}", options.platform)),
            ("seed-peers", joined(&options.seed_peers)),
            ("fleet-key", options.fleet_key.clone()),
            ("operator-token", OPERATOR_TOKEN.to_owned()),
        ];
        let mut arguments = as_arguments(&flags);
        if let Some(key) = &options.previous_fleet_key {
            arguments.extend(as_arguments(&[("previous-fleet-key", key.clone())]));
        }
        arguments.extend(options.flags.clone());
        let upstream_flags = [
            ("service", options.service.clone()),
            ("node-control", control.to_string()),
            ("node-callers", callers.to_string()),
        ];
        let mut upstream_arguments = as_arguments(&upstream_flags);
        upstream_arguments.extend(options.upstream_flags.clone());
        Node {
            process: Process::start(&options.id, &node_program(), &arguments),
            upstream: UpstreamProcess::start(upstream_arguments),
            options,
            callers,
            control,
            link,
            relay: None,
            link_listen,
            gossip,
        }
    }

    /// Starts the relay if the node has one.
    pub(crate) async fn start_relay(&mut self) {
        if self.options.is_relayed {
            let relay = Relay::spawn(self.link, self.link_listen).await;
            self.relay = Some(relay.unwrap());
        }
    }

    /// Whether the node reports that it is ready.
    pub(crate) async fn is_ready(&self) -> bool {
        let url = format!("http://{}/ready", self.control);
        let answer = reqwest::get(url).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Number of nodes that this one knows to be ready, from its metrics.
    pub(crate) async fn ready_members(&self) -> Option<usize> {
        let count = self.metric("hemlocktack_members{state=\"ready\"}").await?;
        count.parse().ok()
    }

    /// Value of a metric, given by its name with labels.
    pub(crate) async fn metric(&self, name: &str) -> Option<String> {
        let url = format!("http://{}/metrics", self.control);
        let text = reqwest::get(url).await.ok()?.text().await.ok()?;
        let value = text.lines().find_map(|line| line.strip_prefix(name))?;
        Some(value.trim().to_owned())
    }
}

fn as_arguments(flags: &[(&str, String)]) -> Vec<String> {
    let mut arguments = Vec::new();
    for (name, value) in flags {
        arguments.push(format!("--{name}"));
        arguments.push(value.clone());
    }
    arguments
}

fn joined(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    addresses.join(",")
}
