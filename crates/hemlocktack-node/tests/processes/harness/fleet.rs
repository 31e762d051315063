//! A small fleet: platform, nodes and upstreams.

use std::net::SocketAddr;

use hemlocktack_testkit::upstream;

use super::{
    Caller, DOCUMENT, FLEET_KEY, Node, NodeOptions, Operator, PlatformProcess, Reply, wait_until,
};

const DATA_CENTRES: [&str; 2] = ["salt-lake", "howrah"];

/// The instances of one service to start.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) service: &'static str,
    pub(crate) count: usize,
    pub(crate) upstream_flags: Vec<&'static str>,
    pub(crate) node_flags: Vec<String>,
    pub(crate) is_relayed: bool,
}

impl Plan {
    pub(crate) fn new(service: &'static str, count: usize) -> Plan {
        Plan {
            service,
            count,
            upstream_flags: Vec::new(),
            node_flags: Vec::new(),
            is_relayed: false,
        }
    }

    /// Puts a relay in front of these nodes, so that links to them can be cut.
    pub(crate) fn relayed(self) -> Plan {
        Plan {
            is_relayed: true,
            ..self
        }
    }

    /// Adds flags of the nodes.
    pub(crate) fn with_node_flags(self, flags: Vec<String>) -> Plan {
        Plan {
            node_flags: flags,
            ..self
        }
    }

    /// Adds flags of the upstreams, such as `--deeper`.
    pub(crate) fn with_upstream_flags(self, flags: &[&'static str]) -> Plan {
        Plan {
            upstream_flags: flags.to_vec(),
            ..self
        }
    }
}

/// The platform, nodes and upstreams of one test.
pub(crate) struct Fleet {
    pub(crate) platform: PlatformProcess,
    pub(crate) nodes: Vec<Node>,
}

impl Fleet {
    /// Starts everything, applies [`DOCUMENT`] and waits until every node serves.
    pub(crate) async fn start(plans: &[Plan]) -> Fleet {
        let platform = PlatformProcess::start().await;
        let mut fleet = Fleet {
            platform,
            nodes: Vec::new(),
        };
        for plan in plans {
            for number in 1..=plan.count {
                let position = fleet.add(plan, number);
                fleet.nodes[position].start_relay().await;
            }
        }
        let operator = fleet.operator(0, "asha");
        wait_until("the first configuration is stored", || async {
            let applied = operator.apply(DOCUMENT, 0).await;
            let is_input_fault = applied.exit_code == 2;
            assert!(!is_input_fault, "{applied:?}");
            applied.exit_code == 0
        })
        .await;
        fleet.wait_until_serving().await;
        fleet
    }

    /// Starts one more instance, named by its number; returns its position.
    pub(crate) fn add(&mut self, plan: &Plan, number: usize) -> usize {
        self.nodes.push(Node::start(self.options(plan, number)));
        self.nodes.len() - 1
    }

    /// Kills an instance and starts one of this plan at the same addresses.
    pub(crate) fn replace(&mut self, position: usize, plan: &Plan, number: usize) {
        let options = self.options(plan, number);
        self.nodes[position].process.kill();
        self.nodes[position] = Node::start_in_place_of(&self.nodes[position], options);
    }

    fn options(&self, plan: &Plan, number: usize) -> NodeOptions {
        NodeOptions {
            id: format!("{}-{number}", plan.service),
            service: plan.service.to_owned(),
            data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].to_owned(),
            platform: self.platform.address,
            seed_peers: self.gossip_addresses(),
            fleet_key: FLEET_KEY.to_owned(),
            previous_fleet_key: None,
            is_relayed: plan.is_relayed,
            flags: plan.node_flags.clone(),
            upstream_flags: plan
                .upstream_flags
                .iter()
                .map(|flag| (*flag).to_owned())
                .collect(),
        }
    }

    /// Kills a node and starts it again with other fleet keys.
    pub(crate) fn restart_with_keys(&mut self, position: usize, keys: (&str, Option<&str>)) {
        self.nodes[position].process.kill();
        let options = NodeOptions {
            fleet_key: keys.0.to_owned(),
            previous_fleet_key: keys.1.map(str::to_owned),
            seed_peers: self.gossip_addresses(),
            ..self.nodes[position].options.clone()
        };
        self.nodes[position] = Node::start(options);
    }

    fn gossip_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.gossip).collect()
    }

    /// Waits until every node is ready, knows all others and gets an answer from every service.
    pub(crate) async fn wait_until_serving(&self) {
        for node in &self.nodes {
            let what = format!("{} is ready", node.options.id);
            wait_until(&what, || node.is_ready()).await;
            let what = format!("{} knows all nodes", node.options.id);
            wait_until(&what, || async {
                node.ready_members().await == Some(self.nodes.len())
            })
            .await;
            for service in self.services() {
                let what = format!("{} serves {service}", node.options.id);
                let caller = Caller::at(node.callers);
                let path = format!("{service}/warm-up");
                wait_until(&what, || async {
                    is_served(&caller.get(&path, "warm-up").await)
                })
                .await;
            }
        }
    }

    /// Waits until every node knows every other one; gossip takes a moment to spread.
    pub(crate) async fn wait_until_known(&self) {
        for position in 0..self.nodes.len() {
            let operator = self.operator(position, "asha");
            let what = format!("{} knows all nodes", self.nodes[position].options.id);
            wait_until(&what, || async {
                let listed = operator.run(&["nodes"], "").await;
                let nodes = listed.report["nodes"].as_array();
                nodes.is_some_and(|nodes| nodes.len() == self.nodes.len())
            })
            .await;
        }
    }

    fn services(&self) -> Vec<&str> {
        let mut services: Vec<&str> = self
            .nodes
            .iter()
            .map(|node| node.options.service.as_str())
            .collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Cuts all links to relayed nodes until [`Fleet::restore_links`].
    pub(crate) fn cut_links(&self) {
        let relays = self.nodes.iter().filter_map(|node| node.relay.as_ref());
        relays.for_each(hemlocktack_testkit::Relay::cut);
    }

    pub(crate) fn restore_links(&self) {
        let relays = self.nodes.iter().filter_map(|node| node.relay.as_ref());
        relays.for_each(hemlocktack_testkit::Relay::restore);
    }

    pub(crate) fn caller(&self, node: usize) -> Caller {
        Caller::at(self.nodes[node].callers)
    }

    pub(crate) fn operator(&self, node: usize, name: &str) -> Operator {
        Operator::at(self.nodes[node].control, name)
    }

    /// Returns the positions of a service's nodes.
    pub(crate) fn positions_of(&self, service: &str) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|position| self.nodes[*position].options.service == service)
            .collect()
    }

    /// Returns the counts of the upstreams of a service that are running.
    pub(crate) async fn counts(&self, service: &str) -> Vec<upstream::Counts> {
        let mut counts = Vec::new();
        for position in self.positions_of(service) {
            counts.extend(self.nodes[position].upstream.try_counts().await);
        }
        counts
    }

    /// Counts the starts of requests with this marker at all upstreams of a service.
    pub(crate) async fn starts(&self, service: &str, marker: &str) -> u64 {
        let counts = self.counts(service).await;
        counts.iter().map(|counts| counts.starts_of(marker)).sum()
    }

    /// Waits until an upstream of the service has started the request; returns the position of its
    /// node.
    pub(crate) async fn wait_for_start(&self, service: &str, marker: &str) -> usize {
        let mut found = None;
        let what = format!("{service} starts {marker}");
        let deadline = std::time::Instant::now() + super::WAIT_TIMEOUT;
        while found.is_none() {
            assert!(std::time::Instant::now() < deadline, "timed out: {what}");
            for position in self.positions_of(service) {
                let counts = self.nodes[position].upstream.try_counts().await;
                if counts.is_some_and(|counts| counts.starts_of(marker) > 0) {
                    found = Some(position);
                }
            }
        }
        found.unwrap()
    }

    /// Sets the service time of all upstreams of a service.
    pub(crate) async fn set_service_time_ms(&self, service: &str, service_time_ms: u64) {
        for position in self.positions_of(service) {
            let upstream = &self.nodes[position].upstream;
            upstream.set_service_time_ms(service_time_ms).await;
        }
    }
}

/// Whether the warm-up page was served. An upstream whose child call is a booking cannot make it
/// for a page, so a refusal of that child call counts as served.
fn is_served(page: &Reply) -> bool {
    page.is_answered() || page.body["deeper"][0]["reason"] == "ticket-required"
}
